package scheduler

import (
	"testing"
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// pacedTerm is trialTerm with a job that presses on the serving image of all four
// workers, as is known; the serving job's own load is as given. On a fifth worker
// the job would not press, but it is full.
func pacedTerm(now *time.Duration, enabled bool, own float64) *Term {
	t := trialTerm(now)
	t.cfg.Policies.PacedPlacement.Enabled = enabled
	full := newWorker("w-full", "agent-full")
	full.alive = true
	full.info = workload.Worker{ID: full.id, Service: "s", Capacity: workload.Resources{CPU: 64000, Memory: 256000}}
	full.add(workload.RunID{Task: workload.TaskID{Job: "other"}, Run: 1}, &workload.Step{Need: full.info.Capacity})
	t.workers[full.id] = full
	for range 10 {
		t.learner.model.Observe(pressure.Sample{Serving: "a", Load: 0.2 * 1.2, Used: map[string]float64{"new": 0.2}, Count: 1})
	}
	t.learner.model.Solve(time.Millisecond)
	t.learner.baseTails["a"] = 0.2
	t.learner.ownLoads["serving"] = ownLoad{load: own, at: *now}
	return t
}

// Load: a job of eight tasks, of which each presses on the serving tasks of every
// worker, waits longer than a run would take.
func TestPacedPlacementStartsOneRunPerWorker(t *testing.T) {
	cases := []struct {
		name    string
		enabled bool
		own     float64
		want    int
	}{
		{"off", false, 0.3, 0},
		{"serving tasks with little load", true, 0.3, 4},
		{"serving tasks near their targets", true, 0.6, 0},
	}
	for _, c := range cases {
		now := time.Hour
		x := pacedTerm(&now, c.enabled, c.own)
		x.plan()
		if got := x.filledWorkers(); got != 0 {
			t.Errorf("%s: %d workers have runs while the job can still wait", c.name, got)
		}
		now += 1900 * time.Millisecond
		x.learner.ownLoads["serving"] = ownLoad{load: c.own, at: now}
		x.plan()
		if got := x.filledWorkers(); got != c.want {
			t.Errorf("%s: runs on %d workers, want %d", c.name, got, c.want)
		}
		j := x.jobs["0000000000000001"]
		placed := 0
		j.each(func(_ workload.TaskID, _ *step, k *task) {
			if k.state != taskPlaced {
				return
			}
			placed++
			if k.startPace < 50 || k.startPace > 100 {
				t.Errorf("%s: starting pace %d %%", c.name, k.startPace)
			}
		})
		if placed != c.want {
			t.Errorf("%s: %d runs, want one a worker", c.name, placed)
		}
	}
}

// Guards against: the link is cut and samples stop, and runs are started beside
// serving tasks whose load was last seen seconds ago.
func TestPacedPlacementNeedsARecentLoad(t *testing.T) {
	now := time.Hour
	x := pacedTerm(&now, true, 0.3)
	x.plan()
	now += ownLoadMaxAge + time.Second
	x.plan()
	if got := x.filledWorkers(); got != 0 {
		t.Errorf("runs on %d workers beside serving tasks of unknown load", got)
	}
}

func TestStartOrderCarriesThePace(t *testing.T) {
	l := &agentLink{starts: map[workload.RunID]dispatch.StartOrder{}, outbox: make(chan struct{}, 1)}
	k := &task{run: 1, startPace: 60}
	l.addStart(nil, workload.TaskID{}, &step{spec: &workload.Step{Fills: true}}, k)
	for _, o := range l.starts {
		if o.Pace != 60 {
			t.Errorf("pace %d in the order, want 60", o.Pace)
		}
	}
}
