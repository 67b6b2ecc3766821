package scheduler

import (
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

// A serving task is unavailable for a second or two when it is moved. Tasks of
// a step that bounds its missing tasks are not moved: other tasks of the step
// may be missing for reasons that the scheduler does not see yet.
func TestOnlySettledTasksMayMove(t *testing.T) {
	now := time.Now()
	settled := func() task {
		return task{state: taskPlaced, ordered: true, placedAt: now.Add(-time.Minute)}
	}
	cases := []struct {
		name   string
		change func(j *job, s *step)
		want   bool
	}{
		{"all at work", func(*job, *step) {}, true},
		{"a bound on missing tasks", func(_ *job, s *step) { s.spec.MayMiss = 2 }, false},
		{"another one waits", func(_ *job, s *step) { s.tasks[1].state = taskWaiting }, false},
		{"another one stops", func(_ *job, s *step) { s.tasks[1].stopping = true }, false},
		{"another one has just begun", func(_ *job, s *step) { s.tasks[1].placedAt = now }, false},
		{"it has just begun itself", func(_ *job, s *step) { s.tasks[0].placedAt = now }, false},
		{"moved often enough", func(_ *job, s *step) { s.tasks[0].moves = relocatePerTask }, false},
		{"needs a ticket", func(j *job, _ *step) { j.queue.Advised = true }, false},
		{"a gang", func(_ *job, s *step) { s.spec.Gang = true }, false},
	}
	for _, c := range cases {
		j := &job{}
		s := &step{spec: &workload.Step{Count: 2, Lasting: true, TailTarget: time.Millisecond}, tasks: []task{settled(), settled()}}
		c.change(j, s)
		var term Term
		if got := term.mayMove(j, s, &s.tasks[0], now); got != c.want {
			t.Errorf("%s: %t, want %t", c.name, got, c.want)
		}
	}
}

// A filling job waits for a worker on which it does not press, but not while
// none of its tasks runs and most of the capacity is free: its client would see
// a job that stands still beside idle workers.
func TestIdleJobDoesNotWaitBesideFreeCapacity(t *testing.T) {
	now := time.Now()
	j := newJob(workload.Job{Steps: []workload.Step{{Count: 1, Fills: true}}})
	j.addDue(now)
	if idle := j.idleFor(now); idle != 0 {
		t.Errorf("idle for %v at first sight", idle)
	}
	if idle := j.idleFor(now.Add(3 * time.Second)); idle != 3*time.Second {
		t.Errorf("idle for %v, not 3 s", idle)
	}
	k := &j.occurrences[0].steps[0].tasks[0]
	k.state = taskPlaced
	if idle := j.idleFor(now.Add(4 * time.Second)); idle != 0 {
		t.Errorf("idle for %v while a task runs", idle)
	}
	k.state = taskWaiting
	if idle := j.idleFor(now.Add(5 * time.Second)); idle != 0 {
		t.Errorf("idle for %v right after a task ran", idle)
	}
}

// The progress row of a job holds all that the next scheduler needs.
func TestProgressRowRoundTrip(t *testing.T) {
	now := time.Now()
	spec := workload.Job{ID: "5c0e7a21d94b36f8", Steps: []workload.Step{{Count: 20}, {Count: 3, After: []int{0}}}}
	j := newJob(spec)
	j.addDue(now)
	s := j.occurrences[0].steps[0]
	for i := range 9 {
		j.finish(s, &s.tasks[i])
		s.waiting--
	}
	s.tasks[9] = task{state: taskPlaced, run: 2, failures: 1, agent: "machine-1", worker: "w-7", checkpoint: "c"}
	s.waiting--
	s.tasks[10] = task{run: 1, failures: 1, checkpoint: "d"}
	j.state = workload.Running

	next := newJob(spec)
	next.restore(j.row(), now)
	r := next.occurrences[0].steps[0]
	if r.done != 9 || r.waiting != 10 || next.state != workload.Running {
		t.Errorf("done %d, waiting %d, state %s", r.done, r.waiting, next.state)
	}
	if k := r.tasks[9]; k.state != taskPlaced || k.run != 2 || k.failures != 1 || k.agent != "machine-1" || k.worker != "w-7" || k.checkpoint != "c" {
		t.Errorf("placed task %+v", k)
	}
	if k := r.tasks[10]; k.state != taskWaiting || k.run != 1 || k.failures != 1 || k.checkpoint != "d" {
		t.Errorf("waiting task %+v", k)
	}
	if next.occurrences[0].ready(1) {
		t.Error("the second step is open before the first is done")
	}
}
