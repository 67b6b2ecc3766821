package scheduler

import (
	"fmt"
	"testing"
	"time"

	"persimmonrock.example/decide/forecast"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
)

// forecastingTerm is a busy term whose policies include the forecast.
func forecastingTerm(workers, waiting int) *Term {
	t := busyTerm(workers, waiting)
	t.forecaster = newForecaster()
	for _, j := range t.active {
		t.forecastArrival(j)
	}
	return t
}

// followTerm is a term that reads the rows of another one and sees the same
// workers.
func followTerm(old *Term) *Term {
	t := newTerm(old.ctx, old.cfg, old.deps, earlierGrants{}, leaseRow{}, 2, 0, rowstore.Stamp{Now: old.deps.Now()})
	t.forecaster = newForecaster()
	t.learner = old.learner
	if put, due := old.runtimesPut(); due {
		t.restoreRuntimes(rowstore.Row{Key: put.Key, Value: put.Value})
	}
	for _, j := range old.active {
		t.addJob(j.spec)
		t.restoreProgress(rowstore.Row{Key: ProgressKey(j.spec.ID), Value: encode(j.row())}, time.Now())
	}
	t.loaded = true
	for id, w := range old.workers {
		w2 := t.workers[id]
		if w2 == nil {
			w2 = newWorker(id, w.agent)
			t.workers[id] = w2
		}
		w2.alive, w2.info = true, w.info
		for r, v := range w.runs {
			if _, known := w2.runs[r]; !known && t.jobs[r.Task.Job] == nil {
				w2.runs[r], w2.images, w2.fills = v, w.images, w.fills
				w2.used = w2.used.Add(v.counted)
			}
		}
		w2.fillLoad = w.fillLoad
	}
	return t
}

// Failure guarded against: the scheduler is lost, and its successor forecasts
// anew from the estimates, as if no run had begun.
func TestSuccessorMakesTheSameForecast(t *testing.T) {
	old := forecastingTerm(20, 30)
	now := time.Minute
	old.deps.Now = func() time.Duration { return now }
	old.plan()
	for range 3 {
		now += time.Second
		for _, j := range old.active[:4] {
			s := j.occurrences[0].steps[0]
			for i := range s.tasks {
				if k := &s.tasks[i]; k.state == taskPlaced {
					e := workload.End{Run: workload.RunID{Task: workload.TaskID{Job: j.spec.ID, Index: i}, Run: k.run}, Kind: workload.EndDone, Worked: 900 * time.Millisecond}
					w := old.workers[k.worker]
					w.remove(e.Run)
					old.resolveEnd(j, s, k, e, w)
					break
				}
			}
		}
		old.plan()
	}
	old.makeForecast()
	next := followTerm(old)
	next.deps.Now = old.deps.Now
	next.refresh()
	next.firstForecast()
	if len(next.forecaster.last.Ends) == 0 || len(next.forecaster.last.Ends) != len(old.forecaster.last.Ends) {
		t.Fatalf("%d ends, %d by the scheduler before", len(next.forecaster.last.Ends), len(old.forecaster.last.Ends))
	}
	for id, e := range old.forecaster.last.Ends {
		// The durations of the tasks that have ended in a step are not stored.
		before, after := (e.Half - now).Seconds(), (next.forecaster.last.Ends[id].Half - now).Seconds()
		if after < 0.85*before || after > 1.15*before {
			t.Errorf("job %s: in %.1f s, by the scheduler before in %.1f s", id, after, before)
		}
	}
}

// Failure guarded against: workers are lost, and the next forecast promises ends
// as if they were there.
func TestForecastFollowsLostWorkers(t *testing.T) {
	term := forecastingTerm(40, 60)
	now := time.Minute
	term.deps.Now = func() time.Duration { return now }
	term.plan()
	now += settleAfter + time.Second
	term.makeForecast()
	last := term.active[len(term.active)-1]
	before, ok := term.forecastOf(last)
	if !ok {
		t.Fatal("no forecast of the last job")
	}
	lost := 0
	for _, w := range term.workers {
		if lost++; lost <= 20 {
			term.requeueRuns(w, workerLoss{reason: "test"})
		}
	}
	term.makeForecast()
	after, _ := term.forecastOf(last)
	if a, b := (after.Start - now).Seconds(), (before.Start - now).Seconds(); a < 1.6*b {
		t.Errorf("with half of the workers the last job gets room in %.1f s, before in %.1f s", a, b)
	}
	if o := term.outlook(); o.Loads["q"].Filling.Cores <= 0 || o.At != time.Duration(term.storeNow())*time.Millisecond {
		t.Errorf("outlook %+v", o)
	}
}

// Failure guarded against: the arrivals of a service are counted for another one,
// or end the process, once the jobs that named the services first have ended.
func TestArrivalsKeepTheirService(t *testing.T) {
	term := forecastingTerm(4, 2)
	now := time.Minute
	other := workload.Queue{Name: "r", Service: "another", Stretch: 2}
	step := workload.Step{Count: 2, Need: workload.Resources{CPU: 1000}, Estimate: time.Second, Fills: true}
	term.addJob(workload.Job{ID: "0000000000000099", Queue: other, Steps: []workload.Step{step}, Accepted: now.Milliseconds()})
	term.snapshot()
	term.queues = nil
	term.active = term.active[len(term.active)-1:]
	s := term.snapshot()
	services := map[string]int{}
	for _, a := range s.Arrivals {
		services[s.Rooms[a.Room].Service]++
	}
	if services["another"] != 1 || services["s"] != 2 {
		t.Errorf("arrivals by service: %v", services)
	}
	term.active = nil
	forecast.Compute(term.snapshot())
}

// The error of the forecast at acceptance is counted when the job has ended.
func TestForecastIsComparedWithTheEnd(t *testing.T) {
	term := forecastingTerm(20, 1)
	now := time.Minute
	term.deps.Now = func() time.Duration { return now }
	term.plan()
	j := term.active[0]
	e, _ := term.forecastOf(j)
	now += 2 * (e.Half - now)
	j.final = term.storeNow()
	term.checkForecast(j, workload.Completed)
	s := term.deps.Counters.ForecastErrors.ratios[1][atAcceptance].Summary()
	if s.Count != 1 || s.P50 < 1.9 || s.P50 > 2.1 {
		t.Errorf("a job that took twice the predicted time: %+v", s)
	}
	if len(term.forecaster.tracked) != 0 {
		t.Error("the job is tracked after its end")
	}
}

// Without the policy, nothing is forecast or stored.
func TestWithoutForecastNothingChanges(t *testing.T) {
	term := busyTerm(20, 5)
	term.plan()
	if _, ok := term.forecastOf(term.active[0]); ok || term.outlook().At != 0 {
		t.Error("there is a forecast")
	}
	if _, due := term.runtimesPut(); due {
		t.Error("run times are stored")
	}
	row := term.active[0].row()
	for _, s := range row.Occurrences[0].Steps {
		if s.Placed != 0 {
			t.Errorf("the row of a step has a time: %+v", s)
		}
		for _, k := range s.Tasks {
			if k.Worked != 0 {
				t.Errorf("the row of a task has a time: %+v", k)
			}
		}
	}
}

// A snapshot, made under the term's lock, and the computation are to take under
// 2 ms of processor time for 1,000 jobs on 1,000 workers.
func BenchmarkForecast(b *testing.B) {
	for _, size := range []struct{ workers, waiting int }{{74, 60}, {1000, 1000}} {
		t := forecastingTerm(size.workers, size.waiting)
		t.plan()
		b.Run(fmt.Sprintf("snapshot/workers:%d,jobs:%d", size.workers, size.waiting), func(b *testing.B) {
			for b.Loop() {
				t.snapshot()
			}
		})
		b.Run(fmt.Sprintf("whole/workers:%d,jobs:%d", size.workers, size.waiting), func(b *testing.B) {
			for b.Loop() {
				t.makeForecast()
			}
		})
	}
}
