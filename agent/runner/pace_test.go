package runner

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

func (inc *incarnation) addRun(job workload.JobID, x run) {
	x.id = workload.RunID{Task: workload.TaskID{Job: job}, Run: 1}
	x.state = dispatch.RunPresent
	inc.runs[x.id] = &x
}

// Runs of four jobs of one image press on a serving task that tolerates about
// one of them. Their paces follow the scheduler's order and are not equal: the
// first job works, the last ones stand still, and a job that is not in the
// order yet comes last. When the order changes, another job works.
func TestJobsArePacedInTheirOrder(t *testing.T) {
	now := time.Hour
	r := New(Config{}, Deps{Log: zerolog.Nop(), Now: func() time.Duration { return now }})
	r.weights = map[pressure.Pair]pressure.Weight{{Serving: "a", Filling: "f"}: {Value: 2, Known: true}}
	r.base = map[string]float64{"a": 4}
	inc := &incarnation{worker: workload.Worker{Capacity: workload.Resources{CPU: 64000}}, runs: map[workload.RunID]*run{}}
	inc.addRun("serves", run{image: "a", tailTarget: 18 * time.Millisecond, progress: startedProgress, rough: 8, rate: 1.0 / 8})
	for _, job := range []workload.JobID{"one", "two", "three", "new"} {
		inc.addRun(job, run{image: "f", fills: true, need: workload.Resources{CPU: 6400}})
	}
	pace := func(order ...workload.JobID) map[workload.JobID]float64 {
		r.applyUpdate(&dispatch.WatchArgs{Order: order})
		for range 4 {
			r.planPaces(inc)
		}
		paces := map[workload.JobID]float64{}
		for k, p := range inc.paces {
			paces[k.job] = p
		}
		return paces
	}
	first := pace("two", "one", "three")
	if first["two"] != 1 || first["one"] > 0.5 || first["three"] != 0 || first["new"] != 0 {
		t.Errorf("paces %v, want two at full pace and three and new at 0", first)
	}
	second := pace("three", "one", "two")
	if second["three"] != 1 || second["two"] != 0 || second["new"] != 0 {
		t.Errorf("paces %v after another order, want three at full pace", second)
	}
}

// The scheduler learns the run times of tasks from the ends of runs. A run that
// was slowed down for most of its time must not count as a long task: its end
// holds the time that it would have taken at full pace.
func TestEndHoldsWorkTimeAtFullPace(t *testing.T) {
	now := time.Hour
	r := New(Config{}, Deps{Log: zerolog.Nop(), Now: func() time.Duration { return now }})
	inc := &incarnation{runs: map[workload.RunID]*run{}}
	paced := &run{id: workload.RunID{Task: workload.TaskID{Job: "paced"}, Run: 1}, fills: true, image: "f"}
	found := workload.RunID{Task: workload.TaskID{Job: "found"}, Run: 1}
	inc.runs[paced.id] = paced
	r.confirmRun(inc, paced, 0)
	// The paces of a run from before this process began are unknown.
	r.applyRunning(inc, workerctl.RunStatus{Run: found})
	setPace := func(pace float64) {
		inc.paces = map[paceKey]float64{paced.paceKey(): pace}
		r.paceOrders(inc)
	}
	now += time.Second
	setPace(0.25)
	now += 4 * time.Second
	setPace(0)
	now += 10 * time.Second
	setPace(1)
	now += time.Second
	r.applyEnds(inc, []workload.End{{Number: 1, Run: paced.id, Kind: workload.EndDone}, {Number: 2, Run: found, Kind: workload.EndDone}})
	if got, want := inc.ends[0].end.Worked, 3*time.Second; got != want {
		t.Errorf("worked %v, want %v", got, want)
	}
	if got := inc.ends[1].end.Worked; got != 0 {
		t.Errorf("a run with an unknown past worked %v", got)
	}
}
