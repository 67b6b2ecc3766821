package scheduler

import (
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

// pacedDownTerm is a busyTerm all of whose jobs run at a tenth of the pace.
func pacedDownTerm(workers, jobs int) (*Term, *view) {
	t := busyTerm(workers, jobs)
	t.plan()
	now := t.deps.Now()
	v := t.newView()
	n := 0
	for _, j := range t.active {
		s := j.occurrences[0].steps[0]
		for i := range s.tasks {
			w := v.workers[n%len(v.workers)]
			n++
			w.link = &agentLink{}
			s.tasks[i] = task{
				state: taskPlaced, run: 1, worker: w.id, ordered: true, presentAt: now - time.Second, placedAt: time.Now().Add(-time.Minute),
				work: runWork{known: true, at: now, pace: 0.1, worked: time.Second, left: time.Second},
			}
			w.add(workload.RunID{Task: workload.TaskID{Job: j.spec.ID, Index: i}, Run: 1}, s.spec)
		}
		s.waiting = 0
	}
	t.cfg.Policies.Rebalancing.Enabled = true
	return t, v
}

// Load: on 1,000 workers with serving tasks of two images each, the runs of 300 jobs
// are paced down to a tenth, and no slot pays. A check is made each 0.3 s.
func BenchmarkRebalanceWithoutSlots(b *testing.B) {
	t, v := pacedDownTerm(1000, 300)
	b.ReportAllocs()
	for b.Loop() {
		t.lastRebalance = 0
		t.rebalance(v)
	}
}

// Guards against steps that are never looked at, since the steps before them find no
// slots and use up the searches of each check.
func TestEachHeldUpStepHasItsTurn(t *testing.T) {
	term, v := pacedDownTerm(20, 2*searchesPerCheck+10)
	for _, want := range []int{searchesPerCheck, 2 * searchesPerCheck, 0} {
		term.lastRebalance = 0
		if term.rebalance(v); term.rebalanced != want {
			t.Errorf("%d steps are passed after a check, want %d", term.rebalanced, want)
		}
	}
}
