package scheduler

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/structs/workload"
)

// holdTerm is a term with the given number of workers for one task each, all of
// them occupied by short tasks, and a lasting job whose tasks have run before.
func holdTerm(now *time.Duration, workers, tasks int) (*Term, *step) {
	queue := workload.Queue{Name: "q", Service: "s"}
	t := loadedTerm(now, queue)
	need := workload.Resources{CPU: 4000, Memory: 1000}
	for i := range workers {
		w := newWorker(workload.WorkerID(fmt.Sprintf("w-%d", i)), fmt.Sprintf("agent-%d", i))
		w.alive, w.link = true, &agentLink{}
		w.info = workload.Worker{ID: w.id, Service: "s", Capacity: need}
		w.add(shortRun(i), &workload.Step{Need: need})
		t.workers[w.id] = w
	}
	t.addJob(workload.Job{ID: "0000000000000001", Queue: queue, Steps: []workload.Step{{Count: tasks, Need: need, Lasting: true}}})
	s := t.jobs["0000000000000001"].occurrences[0].steps[0]
	for i := range s.tasks {
		s.tasks[i].run = 1
	}
	return t, s
}

// shortRun is the run that occupies worker i of a holdTerm.
func shortRun(i int) workload.RunID {
	return workload.RunID{Task: workload.TaskID{Job: "short", Index: i}, Run: 1}
}

// endShortRun frees the capacity of worker i.
func (t *Term) endShortRun(i int) {
	t.workers[workload.WorkerID(fmt.Sprintf("w-%d", i))].remove(shortRun(i))
}

// Guards against held capacity that stays free because an earlier task of the
// same step, for which there is no capacity, waits too.
func TestHeldCapacityIsUsedThoughAnEarlierTaskWaits(t *testing.T) {
	now := time.Minute
	x, s := holdTerm(&now, 1, 2)
	s.tasks[0].state = taskPlaced
	s.waiting--
	x.plan()
	if s.tasks[1].pin != "w-0" {
		t.Fatalf("capacity is held at %q, want w-0", s.tasks[1].pin)
	}
	s.tasks[0].state = taskWaiting
	s.waiting++
	x.plan()
	x.endShortRun(0)
	x.plan()
	if k := &s.tasks[1]; k.state != taskPlaced || k.worker != "w-0" {
		t.Errorf("task 1 is not placed on the worker that holds capacity for it: state %d, worker %q", k.state, k.worker)
	}
}

// Guards against capacity that is held for a lasting task and given to a short
// one, because no plan was made for seconds while the store was slow.
func TestHeldCapacityOutlastsAPauseBetweenPlans(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Minute
		x, s := holdTerm(&now, 1, 1)
		x.plan()
		time.Sleep(2 * pinFor)
		x.endShortRun(0)
		first := workload.Queue{Name: "first", Service: "s", Priority: -1}
		x.addJob(workload.Job{ID: "0000000000000002", Queue: first, Steps: []workload.Step{{Count: 1, Need: s.spec.Need}}})
		x.plan()
		if k := &s.tasks[0]; k.state != taskPlaced {
			t.Error("the lasting task still waits")
		}
	})
}

// Guards against a lasting task that waits for its held capacity though another
// worker has become free.
func TestTaskWithHeldCapacityTakesFreeCapacityElsewhere(t *testing.T) {
	now := time.Minute
	x, s := holdTerm(&now, 2, 1)
	x.plan()
	other := 0
	if s.tasks[0].pin == "w-0" {
		other = 1
	}
	x.endShortRun(other)
	x.plan()
	if s.tasks[0].state != taskPlaced {
		t.Error("the task still waits")
	}
	for id, w := range x.workers {
		if held := w.heldForOthers(workload.TaskID{}); held != (workload.Resources{}) {
			t.Errorf("%s still holds %+v", id, held)
		}
	}
}

// Guards against a lasting task that is starved by short ones after it was
// suspected of a crash.
func TestCapacityIsHeldForALastingSuspect(t *testing.T) {
	now := time.Minute
	x, s := holdTerm(&now, 1, 1)
	k := &s.tasks[0]
	k.crashes, k.prime, k.couldStart = 1, true, time.Now().Add(-quarantineWait)
	x.plan()
	if k.pin != "w-0" {
		t.Errorf("capacity is held at %q, want w-0", k.pin)
	}
}

// Guards against capacity that stays reserved for a job that has ended.
func TestHeldCapacityIsReleasedWithItsJob(t *testing.T) {
	now := time.Minute
	x, s := holdTerm(&now, 1, 1)
	x.plan()
	if s.tasks[0].pin == "" {
		t.Fatal("no capacity is held")
	}
	x.cancelJob("0000000000000001")
	if held := x.workers["w-0"].heldForOthers(workload.TaskID{}); held != (workload.Resources{}) {
		t.Errorf("%+v is still held", held)
	}
}
