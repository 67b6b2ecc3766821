package scheduler

import (
	"testing"
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

// ended is the end of a run of a job.
func ended(id workload.JobID, kind workload.EndKind) workload.End {
	return workload.End{Run: workload.RunID{Task: workload.TaskID{Job: id}}, Kind: kind}
}

// A worker that fails what it starts is told from jobs that fail everywhere by
// the number of jobs. What began there before the first failure may still end
// well; taken for proof, it cleared the worker again and again, and twenty jobs
// used up their attempts there in three seconds.
func TestOnlyLaterSuccessesClearAWorker(t *testing.T) {
	now := time.Hour
	begun := time.Now()
	w := newWorker("w1", "node")
	fail := func(ids ...workload.JobID) {
		for _, id := range ids {
			w.judge(ended(id, workload.EndFailed), begun, now)
		}
	}
	fail("a", "a", "b", "b", "a")
	if !w.health.doubted(now) || w.health.suspect(now) {
		t.Error("failures of two jobs: want doubt, and no more")
	}
	w.judge(ended("c", workload.EndDone), begun.Add(-time.Second), now)
	if !w.health.doubted(now) {
		t.Error("cleared by a run that began before the first failure")
	}
	fail("c")
	if !w.health.suspect(now) {
		t.Error("failures of three jobs, and not suspect")
	}
	if w.health.suspect(now + suspectFor) {
		t.Error("suspect for good")
	}
	w.judge(ended("d", workload.EndDone), time.Now().Add(time.Second), now)
	if w.health.doubted(now) {
		t.Error("not cleared by a run that began later")
	}
}

// Where a task failed it does not run again while that is in doubt, as long as
// another worker could ever take it; a deployment's only worker takes it. A
// lasting task has no attempts to lose: kept away, it once stood still for 14 s
// beside the only free room, since other tasks went on failing there.
func TestFailedTaskStaysAwayWhileOthersCouldTakeIt(t *testing.T) {
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
		{"another worker without room now", step(500, ""), []workload.Resources{small}, func(ws []*worker) { ws[1].used = small }, true},
		{"the only worker", step(500, ""), nil, nil, false},
		{"all others too small", step(4000, ""), []workload.Resources{small, small}, nil, false},
		{"no other has the label", step(500, "gold"), []workload.Resources{large}, nil, false},
		{"the other leaves", step(500, ""), []workload.Resources{large}, func(ws []*worker) { ws[1].info.Draining = true }, false},
		{"the other is in doubt, too", step(500, ""), []workload.Resources{large}, func(ws []*worker) { ws[1].judge(ended("x", workload.EndFailed), time.Now(), time.Hour) }, false},
		{"a lasting task", &workload.Step{Need: workload.Resources{CPU: 500}, Lasting: true}, []workload.Resources{small}, nil, false},
		{"cleared since", step(500, ""), []workload.Resources{large}, func(ws []*worker) { ws[0].health.failing = nil }, false},
	}
	for _, c := range cases {
		v := &view{now: time.Hour, learner: &learner{}}
		for i, r := range append([]workload.Resources{large}, c.others...) {
			w := newWorker(workload.WorkerID(rune('a'+i)), "node")
			w.alive, w.info.Service, w.info.Capacity = true, "s", r
			v.workers = append(v.workers, w)
		}
		v.workers[0].judge(ended("x", workload.EndFailed), time.Now(), v.now)
		if c.change != nil {
			c.change(v.workers)
		}
		v.serve("s")
		if got := v.staysAway(c.step, 0, v.now); got != c.want {
			t.Errorf("%s: stays away %t, want %t", c.name, got, c.want)
		}
		if v.staysAway(c.step, 0, v.now-awayFor) {
			t.Errorf("%s: still away after %v, though others went on failing there", c.name, awayFor)
		}
		if v.staysAway(c.step, -1, v.now) {
			t.Errorf("%s: a task that never failed stays away", c.name)
		}
	}
}

// One suspect of four gets nothing that has attempts to lose, so that filling
// work that is barred from the others doesn't all end there; where half are
// suspect the fault may be the jobs', and nothing may stand still. Lasting
// tasks may go to suspects that alone have room.
func TestSuspectsGetNothingWhileTheyAreFew(t *testing.T) {
	for _, c := range []struct{ suspects, of, barred int }{{0, 4, 0}, {1, 4, 1}, {2, 4, 0}, {1, 1, 0}, {4, 4, 0}, {2, 6, 2}} {
		v := &view{now: time.Hour}
		for i := range c.of {
			w := newWorker(workload.WorkerID(rune('a'+i)), "node")
			w.alive, w.info.Service = true, "s"
			if i < c.suspects {
				w.health.until = v.now + time.Second
			}
			v.workers = append(v.workers, w)
		}
		v.serve("s")
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
