package scheduler

import (
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// Failure guarded against: jobs that were placed on a worker that is lost before they
// begin are left out of the count of waiting jobs, by this scheduler or the next.
func TestJobsWaitUntilARunIsKnownToHaveBegun(t *testing.T) {
	now := time.Hour
	newTerm := func() (*Term, *worker, *agentLink) {
		term := loadedTerm(&now, workload.Queue{Name: "q", Service: "s"})
		term.validUntil = 2 * time.Hour
		w := newWorker("w", "node")
		w.alive, w.info = true, workload.Worker{ID: "w", Service: "s", Capacity: workload.Resources{CPU: 1000}}
		w.link = &agentLink{term: term, node: "node", worker: w}
		term.addWorker(w)
		return term, w, w.link
	}
	spec := workload.Job{ID: "a", Queue: workload.Queue{Name: "q", Service: "s"}, Steps: []workload.Step{{Count: 2}}}
	run := workload.RunID{Task: workload.TaskID{Job: "a"}, Run: 1}
	for _, c := range []struct {
		name string
		then func(term *Term, w *worker, l *agentLink)
		want int
	}{
		{"placed", func(*Term, *worker, *agentLink) {}, 1},
		{"lost before the run began", func(term *Term, w *worker, _ *agentLink) { term.removeWorker(w.id, workerLoss{judged: true}) }, 1},
		{"void", func(_ *Term, w *worker, l *agentLink) {
			l.term.applyRun(l, w, dispatch.RunReport{Run: run, State: dispatch.RunVoid})
		}, 1},
		{"present", func(_ *Term, w *worker, l *agentLink) {
			l.term.applyRun(l, w, dispatch.RunReport{Run: run, State: dispatch.RunPresent})
		}, 0},
		{"ended", func(term *Term, w *worker, _ *agentLink) {
			term.applyEnd(w, workload.End{Number: 1, Run: run, Kind: workload.EndFailed})
		}, 0},
		{"lost after the run began", func(term *Term, w *worker, _ *agentLink) {
			term.removeWorker(w.id, workerLoss{judged: true, fresh: map[workload.RunID]dispatch.SuspectRun{run: {Run: run, Begun: true}}})
		}, 0},
	} {
		term, w, l := newTerm()
		term.addJob(spec)
		j := term.jobs["a"]
		term.plan()
		k := &j.occurrences[0].steps[0].tasks[0]
		if k.state != taskPlaced {
			t.Fatal("the job was not placed")
		}
		k.storedRun = k.run
		c.then(term, w, l)
		if got := term.Waiting(dispatch.WaitingArgs{Queue: "q"}).Waiting; got != c.want {
			t.Errorf("%s: %d jobs wait, want %d", c.name, got, c.want)
		}
		row := j.row()
		next, _, _ := newTerm()
		next.addJob(spec)
		restored := next.jobs["a"]
		restored.occurrences = nil
		restored.restore(row, time.Now())
		// A placed run that is present is reported again to the next scheduler.
		if got := next.Waiting(dispatch.WaitingArgs{Queue: "q"}).Waiting; got < c.want {
			t.Errorf("%s, then a takeover: %d jobs wait, want %d at least", c.name, got, c.want)
		}
	}
}
