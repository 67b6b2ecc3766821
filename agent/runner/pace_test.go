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

// addRun puts the first run of a job on the worker.
func (l *life) addRun(job workload.JobID, x run) {
	x.id = workload.RunID{Task: workload.TaskID{Job: job}, Run: 1}
	x.state = dispatch.RunPresent
	l.runs[x.id] = &x
}

// Runs of four jobs of one image press on a serving task that bears about one
// of them. They are paced by the scheduler's order and not alike: the first
// works on, the last stand still, and a job of which the scheduler has not
// told yet comes last. With another order it is another job that works.
func TestJobsArePacedInTheirOrder(t *testing.T) {
	now := time.Hour
	r := New(Config{}, Deps{Log: zerolog.Nop(), Now: func() time.Duration { return now }})
	r.weights = map[pressure.Pair]pressure.Weight{{Serving: "a", Filling: "f"}: {Value: 2, Known: true}}
	r.base = map[string]float64{"a": 4}
	l := &life{worker: workload.Worker{Capacity: workload.Resources{CPU: 64000}}, runs: map[workload.RunID]*run{}}
	l.addRun("serves", run{image: "a", tailTarget: 18 * time.Millisecond, progress: atWork, rough: 8, rate: 1.0 / 8})
	for _, job := range []workload.JobID{"one", "two", "three", "new"} {
		l.addRun(job, run{image: "f", fills: true, need: workload.Resources{CPU: 6400}})
	}
	pace := func(order ...workload.JobID) map[workload.JobID]float64 {
		r.learn(&dispatch.WatchArgs{Order: order})
		for range 4 {
			r.planPace(l)
		}
		paces := map[workload.JobID]float64{}
		for k, p := range l.paces {
			paces[k.job] = p
		}
		return paces
	}
	first := pace("two", "one", "three")
	if first["two"] != 1 || first["one"] > 0.5 || first["three"] != 0 || first["new"] != 0 {
		t.Errorf("paces %v, want two at work and three and new at rest", first)
	}
	second := pace("three", "one", "two")
	if second["three"] != 1 || second["two"] != 0 || second["new"] != 0 {
		t.Errorf("paces %v after another order, want three at work", second)
	}
}

// The scheduler learns from the ends of runs how long tasks take. A run that
// was paced down for most of its time must not count as a long task: what
// counts is the time that it would have taken at full pace.
func TestAnEndTellsHowLongTheRunWorked(t *testing.T) {
	now := time.Hour
	r := New(Config{}, Deps{Log: zerolog.Nop(), Now: func() time.Duration { return now }})
	l := &life{runs: map[workload.RunID]*run{}}
	paced := &run{id: workload.RunID{Task: workload.TaskID{Job: "paced"}, Run: 1}, fills: true, image: "f"}
	found := workload.RunID{Task: workload.TaskID{Job: "found"}, Run: 1}
	l.runs[paced.id] = paced
	r.confirm(l, paced, 0)
	// A run that was there before this process began has an unknown past.
	r.applyRunning(l, workerctl.RunStatus{Run: found})
	tell := func(pace float64) {
		l.paces = map[paceKey]float64{paced.paceKey(): pace}
		r.paceOrders(l)
	}
	now += time.Second
	tell(0.25)
	now += 4 * time.Second
	tell(0)
	now += 10 * time.Second
	tell(1)
	now += time.Second
	r.applyEnds(l, []workload.End{{Number: 1, Run: paced.id, Kind: workload.EndDone}, {Number: 2, Run: found, Kind: workload.EndDone}})
	if got, want := l.ends[0].end.Worked, 3*time.Second; got != want {
		t.Errorf("worked %v, want %v", got, want)
	}
	if got := l.ends[1].end.Worked; got != 0 {
		t.Errorf("a run with an unknown past worked %v", got)
	}
}
