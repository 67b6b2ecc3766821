package runner

import (
	"testing"
	"time"

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
