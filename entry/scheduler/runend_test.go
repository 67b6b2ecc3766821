package scheduler

import (
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

// Failure guarded against: an end has the effect of one feature of its step, though
// another feature changes it.
func TestEffectOfEachEndOnEachStep(t *testing.T) {
	kinds := []workload.EndKind{workload.EndDone, workload.EndFailed, workload.EndStopped, workload.EndLapsed, workload.EndBroken, workload.EndAlone, "unknown"}
	for bits := range 1 << 6 {
		has := func(n int) bool { return bits&(1<<n) != 0 }
		s := &workload.Step{Gang: has(0), Lasting: has(1), Copies: has(2), Fills: has(3), Checkpointing: has(4), Coupled: has(5)}
		for _, kind := range kinds {
			want := requeued
			switch {
			case kind == workload.EndFailed:
				want = countedFailure
			case kind == workload.EndDone && !s.Lasting && s.Gang:
				want = gangEnds
			case kind == workload.EndDone && !s.Lasting:
				want = taskEnds
			}
			if got := effectOf(s, kind); got != want {
				t.Errorf("%s of %+v: effect %d, want %d", kind, s, got, want)
			}
		}
	}
}

// Failure guarded against: a gang that lasts never runs again once its runs have ended
// as done, and its job is shown as completed.
func TestLastingGangRunsAgainAfterItEndsAsDone(t *testing.T) {
	now := time.Hour
	term := loadedTerm(&now, workload.Queue{Name: "q", Service: "s"})
	gang := workload.Step{Count: 3, Need: workload.Resources{CPU: 100}, Gang: true, Lasting: true}
	term.addJob(workload.Job{ID: "a", Queue: workload.Queue{Name: "q", Service: "s"}, Steps: []workload.Step{gang}})
	w := newWorker("w", "node")
	w.alive, w.info = true, workload.Worker{ID: "w", Service: "s", Capacity: workload.Resources{CPU: 1000}}
	term.addWorker(w)
	j := term.jobs["a"]
	s := j.occurrences[0].steps[0]
	for run := 1; run <= 3; run++ {
		term.plan()
		for i := range s.tasks {
			k := &s.tasks[i]
			if k.state != taskPlaced || k.run != run {
				t.Fatalf("run %d: member %d is in state %d with run %d; the job is %s", run, i, k.state, k.run, j.state)
			}
			k.storedRun = k.run
		}
		for i := range s.tasks {
			id := workload.TaskID{Job: "a", Index: i}
			term.applyEnd(w, workload.End{Number: uint64(3*run + i), Run: workload.RunID{Task: id, Run: run}, Kind: workload.EndDone})
		}
	}
}
