package scheduler

import (
	"fmt"
	"testing"
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// trialTerm is a term of four workers that all serve image a, on a clock that
// the test advances, with one waiting job of eight filling tasks of image new.
func trialTerm(now *time.Duration) *Term {
	queue := workload.Queue{Name: "q", Service: "s", Stretch: 2}
	t := loadedTerm(now, queue)
	for i := range 4 {
		w := newWorker(workload.WorkerID(fmt.Sprintf("w-%d", i)), fmt.Sprintf("agent-%d", i))
		w.alive = true
		w.info = workload.Worker{ID: w.id, Service: "s", Capacity: workload.Resources{CPU: 64000, Memory: 256000}}
		serving := &workload.Step{Need: workload.Resources{CPU: 20000, Memory: 20000}, TailTarget: time.Millisecond, Image: "a"}
		w.add(workload.RunID{Task: workload.TaskID{Job: "serving", Index: i}, Run: 1}, serving)
		t.workers[w.id] = w
	}
	step := workload.Step{Count: 8, Need: workload.Resources{CPU: 15000, Memory: 1000}, Estimate: time.Second, Fills: true, Image: "new"}
	t.addJob(workload.Job{ID: "0000000000000001", Queue: queue, Steps: []workload.Step{step}, Accepted: now.Milliseconds()})
	return t
}

// filledWorkers is the number of workers on which filling tasks are placed.
func (t *Term) filledWorkers() int {
	n := 0
	for _, w := range t.workers {
		if w.fillLoad > 0 {
			n++
		}
	}
	return n
}

// The tasks of a new filling image, placed all at once, would take the serving
// tasks of all workers over their targets. So they are placed on one worker
// until its samples show the pressure. The other workers follow if the image is
// harmless, or after a second without a result. If it presses, its tasks avoid
// workers with the serving image.
func TestUnknownPairsRunOnOneWorkerFirst(t *testing.T) {
	learn := func(x *Term, weight float64) {
		for range 10 {
			x.learner.model.Observe(pressure.Sample{Serving: "a", Load: 0.2 * weight, Used: map[string]float64{"new": 0.2}, Count: 1})
		}
		x.learner.model.Solve(time.Millisecond)
	}
	cases := []struct {
		name  string
		then  func(x *Term, now *time.Duration)
		least int
		most  int
	}{
		{"at once", func(*Term, *time.Duration) {}, 1, 1},
		{"half a second later", func(_ *Term, now *time.Duration) { *now += 500 * time.Millisecond }, 1, 1},
		{"when nothing was learnt in time", func(_ *Term, now *time.Duration) { *now += trialWait + time.Millisecond }, 3, 4},
		{"when it is known to be harmless", func(x *Term, now *time.Duration) { *now += 500 * time.Millisecond; learn(x, 0) }, 3, 4},
	}
	for _, c := range cases {
		now := time.Minute
		x := trialTerm(&now)
		x.plan()
		c.then(x, &now)
		x.plan()
		if got := x.filledWorkers(); got < c.least || got > c.most {
			t.Errorf("%s: filling tasks on %d workers, want %d to %d", c.name, got, c.least, c.most)
		}
	}
	// The fifth worker has capacity and no serving task to press on.
	now := time.Minute
	x := trialTerm(&now)
	free := newWorker("w-9", "agent-9")
	free.alive = true
	free.info = workload.Worker{ID: free.id, Service: "s", Capacity: workload.Resources{CPU: 16000, Memory: 256000}}
	x.workers[free.id] = free
	x.plan()
	learn(x, 2)
	now += 500 * time.Millisecond
	x.plan()
	if got := x.filledWorkers(); got > 2 {
		t.Errorf("known to press: filling tasks on %d workers, want the first and the free one", got)
	}
}

// An agent is sent an update soon after an image is known to press, and not for
// each small change of a weight: updates to 1,000 agents would take the
// scheduler's whole bandwidth. Updates are repeated, since one may have been
// lost.
func TestPressureUpdatesAreSentOnChange(t *testing.T) {
	now := time.Minute
	x := trialTerm(&now)
	l := &agentLink{term: x, worker: x.workers["w-0"]}
	observe := func(weight float64, count int) {
		for range count {
			x.learner.model.Observe(pressure.Sample{Serving: "a", Load: 0.2 * weight, Used: map[string]float64{"new": 0.2}, Count: 1})
		}
		x.learner.model.Solve(time.Millisecond)
	}
	sent := func(after time.Duration) int {
		now += after
		var args dispatch.WatchArgs
		l.addPressureUpdate(&args)
		return len(args.Pressure)
	}
	observe(1.5, 5)
	if sent(pressureUpdateEvery) != 1 {
		t.Error("the first learnt weight is not sent")
	}
	observe(0, 40)
	if sent(pressureUpdateEvery/2) != 0 {
		t.Error("sent more often than is allowed")
	}
	if sent(pressureUpdateEvery/2) != 1 {
		t.Error("a change is not sent")
	}
	observe(0, 5)
	if sent(pressureUpdateEvery) != 0 {
		t.Error("sent again though nothing has changed")
	}
	if sent(pressureUpdateRepeat) != 1 {
		t.Error("not repeated")
	}
}
