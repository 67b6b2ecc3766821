package scheduler

import (
	"testing"
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

func ended(id workload.JobID, kind workload.EndKind) workload.End {
	return workload.End{Run: workload.RunID{Task: workload.TaskID{Job: id}}, Kind: kind}
}

// Failure guarded against: all new tasks fail on a worker, but runs that began
// there before the first failure succeed and reset the worker's failure count
// again and again. Twenty jobs use up their attempts there in three seconds.
// The number of failing jobs distinguishes such a worker from a job that fails
// everywhere.
func TestOnlyLaterSuccessesClearAWorker(t *testing.T) {
	now := time.Hour
	begun := time.Now()
	w := newWorker("w1", "node")
	fail := func(ids ...workload.JobID) {
		for _, id := range ids {
			w.recordEnd(ended(id, workload.EndFailed), begun, now)
		}
	}
	fail("a", "a", "b", "b", "a")
	if !w.health.recentlyFailed(now) || w.health.suspect(now) {
		t.Error("failures of two jobs: want doubt, and no more")
	}
	w.recordEnd(ended("c", workload.EndDone), begun.Add(-time.Second), now)
	if !w.health.recentlyFailed(now) {
		t.Error("cleared by a run that began before the first failure")
	}
	fail("c")
	if !w.health.suspect(now) {
		t.Error("failures of three jobs, and not suspect")
	}
	if w.health.suspect(now + suspectFor) {
		t.Error("suspect for good")
	}
	w.recordEnd(ended("d", workload.EndDone), time.Now().Add(time.Second), now)
	if w.health.recentlyFailed(now) {
		t.Error("not cleared by a run that began later")
	}
}

// A failed task avoids its worker until a success there, at most for avoidFor,
// if another worker could ever take the task. A deployment's only worker takes
// the task again. Lasting tasks, which have no limit of attempts, may return.
// Failure guarded against: a lasting task waits for 14 s beside the only free
// capacity, because other tasks continue to fail on that worker.
func TestFailedTaskAvoidsWorkerWhileOthersCouldTakeIt(t *testing.T) {
	small, large := workload.Resources{CPU: 1000}, workload.Resources{CPU: 8000}
	step := func(cpu int, label string) *workload.Step {
		return &workload.Step{Need: workload.Resources{CPU: cpu}, Label: label}
	}
	cases := []struct {
		name   string
		step   *workload.Step
		others []workload.Resources
		change func(workers []*worker)
		want   bool
	}{
		{"another worker", step(500, ""), []workload.Resources{small}, nil, true},
		{"another worker without free capacity now", step(500, ""), []workload.Resources{small}, func(ws []*worker) { ws[1].used = small }, true},
		{"the only worker", step(500, ""), nil, nil, false},
		{"all others too small", step(4000, ""), []workload.Resources{small, small}, nil, false},
		{"no other has the label", step(500, "gold"), []workload.Resources{large}, nil, false},
		{"the other leaves", step(500, ""), []workload.Resources{large}, func(ws []*worker) { ws[1].info.Draining = true }, false},
		{"the other is in doubt, too", step(500, ""), []workload.Resources{large}, func(ws []*worker) { ws[1].recordEnd(ended("x", workload.EndFailed), time.Now(), time.Hour) }, false},
		{"a lasting task", &workload.Step{Need: workload.Resources{CPU: 500}, Lasting: true}, []workload.Resources{small}, nil, false},
		{"cleared since", step(500, ""), []workload.Resources{large}, func(ws []*worker) { ws[0].health.failedJobs = nil }, false},
	}
	for _, c := range cases {
		v := &view{now: time.Hour, learner: &learner{}}
		for i, r := range append([]workload.Resources{large}, c.others...) {
			w := newWorker(workload.WorkerID(rune('a'+i)), "node")
			w.alive, w.info.Service, w.info.Capacity = true, "s", r
			v.workers = append(v.workers, w)
		}
		v.workers[0].recordEnd(ended("x", workload.EndFailed), time.Now(), v.now)
		if c.change != nil {
			c.change(v.workers)
		}
		v.setService("s")
		if got := v.mustAvoid(c.step, 0, v.now); got != c.want {
			t.Errorf("%s: excluded %t, want %t", c.name, got, c.want)
		}
		if v.mustAvoid(c.step, 0, v.now-avoidFor) {
			t.Errorf("%s: still excluded after %v, though others continued to fail there", c.name, avoidFor)
		}
		if v.mustAvoid(c.step, -1, v.now) {
			t.Errorf("%s: a task that never failed is excluded", c.name)
		}
	}
}

// One suspect of four workers gets no tasks with limited attempts. Otherwise
// all filling work that is barred from the other workers would be placed there.
// If half are suspect, the jobs may be at fault, and no job may stand still.
// Lasting tasks may be placed on suspects if only these have capacity.
func TestSuspectsAreExcludedWhileFew(t *testing.T) {
	for _, c := range []struct{ suspects, of, barred int }{{0, 4, 0}, {1, 4, 1}, {2, 4, 0}, {1, 1, 0}, {4, 4, 0}, {2, 6, 2}} {
		v := &view{now: time.Hour}
		for i := range c.of {
			w := newWorker(workload.WorkerID(rune('a'+i)), "node")
			w.alive, w.info.Service = true, "s"
			if i < c.suspects {
				w.health.suspectUntil = v.now + time.Second
			}
			v.workers = append(v.workers, w)
		}
		v.setService("s")
		barred, lasting := 0, 0
		for i := range v.candidates {
			if placement.Choose(placement.Request{Step: &workload.Step{}, Avoid: -1}, v.candidates[i:i+1]) < 0 {
				barred++
			}
			if placement.Choose(placement.Request{Step: &workload.Step{Lasting: true}, Avoid: -1}, v.candidates[i:i+1]) < 0 {
				lasting++
			}
		}
		if lasting != 0 {
			t.Errorf("%d suspects of %d: %d barred for lasting tasks", c.suspects, c.of, lasting)
		}
		if barred != c.barred {
			t.Errorf("%d suspects of %d: %d barred, want %d", c.suspects, c.of, barred, c.barred)
		}
	}
}
