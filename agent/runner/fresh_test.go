package runner

import (
	"testing"
	"time"

	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// A run that may have begun is suspected of a crash until it has run for
// provenAfter.
func TestFreshRunsAreThoseThatMayHaveCrashedTheWorker(t *testing.T) {
	const answered = time.Hour
	cases := []struct {
		name string
		run  run
		want bool
	}{
		{"on the worker for a moment", run{state: dispatch.RunPresent, presentAt: answered - provenAfter/2}, true},
		{"confirmed by the last answer", run{state: dispatch.RunPresent, presentAt: answered}, true},
		{"on the worker for long", run{state: dispatch.RunPresent, presentAt: answered - provenAfter}, false},
		{"its order is in flight", run{calling: true}, true},
		{"its order got no answer", run{uncertain: true}, true},
		{"ordered and not sent", run{}, false},
		{"void", run{state: dispatch.RunVoid, uncertain: true}, false},
	}
	for _, c := range cases {
		id := workload.RunID{Run: 1}
		inc := &incarnation{answeredAt: answered, runs: map[workload.RunID]*run{id: &c.run}}
		if got := len(inc.freshRuns()) == 1; got != c.want {
			t.Errorf("%s: fresh %t", c.name, got)
		}
	}
}

// Guards against suspicion of runs that had begun earlier than the run that
// crashed the worker, and against an order sent after the crash that hides it.
func TestLastStartsBeforeACrash(t *testing.T) {
	const answered = time.Hour
	present := func(sent time.Duration) *run {
		return &run{state: dispatch.RunPresent, presentAt: answered, sentAt: sent}
	}
	id := func(n int) workload.RunID { return workload.RunID{Run: n} }
	inc := &incarnation{answeredAt: answered, runs: map[workload.RunID]*run{
		id(1): present(answered - 3*lastStartWindow),
		id(2): present(answered - lastStartWindow/2),
		id(3): present(answered),
		id(4): {uncertain: true, sentAt: answered + 3*lastStartWindow},
	}}
	want := map[workload.RunID]bool{id(1): false, id(2): true, id(3): true, id(4): true}
	for _, r := range inc.freshRuns() {
		if r.Last != want[r.Run] {
			t.Errorf("run %d: last %t, want %t", r.Run.Run, r.Last, want[r.Run])
		}
	}
}

// Guards against a crash that nobody counts, because the worker's agent exits
// before it knows whether the worker has crashed.
func TestStoppingAgentNamesTheSuspectsOfASilentWorker(t *testing.T) {
	const answered = time.Hour
	id := workload.RunID{Run: 1}
	for _, failed := range []bool{false, true} {
		inc := &incarnation{answeredAt: answered, runs: map[workload.RunID]*run{id: {state: dispatch.RunPresent, presentAt: answered}}}
		r := &Runner{stopping: true, incarnation: inc, deps: Deps{Now: func() time.Duration { return answered + time.Second }}, watchWake: make(chan struct{})}
		if failed {
			r.recordFailure(inc, workerctl.ErrDown)
		}
		if named := len(r.report(0).Fresh) == 1; named != failed {
			t.Errorf("worker failed to answer: %t, its run is named: %t", failed, named)
		}
	}
}
