package machines

import (
	"bytes"
	"encoding/json"
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/ops/logs"
	"persimmonrock.example/structs/scheduling"
	"persimmonrock.example/structs/workload"
)

// forecastLines counts what the log says of the forecasts of some jobs.
type forecastLines struct {
	terms, first, compared int
	// farOff counts the jobs that took more than three times as long as predicted at
	// their acceptance, or less than a third.
	farOff int
	// latest is the longest time from the beginning of a term to its first forecast.
	latest time.Duration
}

func readForecasts(t *testing.T, text []byte, of map[workload.JobID]bool) forecastLines {
	t.Helper()
	var f forecastLines
	begins := map[string]time.Time{}
	err := logs.EachObject(bytes.NewReader(text), func(object []byte) {
		var l struct {
			Time             time.Time
			Process, Message string
			Job              workload.JobID
			Ratio            float64 `json:"accepted_ratio"`
		}
		if err := json.Unmarshal(object, &l); err != nil {
			t.Fatalf("%v: %s", err, object)
		}
		switch l.Message {
		case "term begins":
			f.terms++
			begins[l.Process] = l.Time
		case "first forecast of the term made":
			f.first++
			f.latest = max(f.latest, l.Time.Sub(begins[l.Process]))
		case "forecast compared with the end":
			if !of[l.Job] {
				return
			}
			f.compared++
			if l.Ratio > 3 || l.Ratio > 0 && l.Ratio < 1.0/3 {
				f.farOff++
			}
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// Failures guarded against: the scheduler is lost, frozen out or cut off, the store
// is slow, silent or loses answers, two schedulers follow each other; and the next
// one has no forecast with its first plan, or one that is far off.
func TestForecastsGoOnThroughFaults(t *testing.T) {
	// firstPlanWithin is the time from the beginning of a term to its first plan.
	const firstPlanWithin = second
	heal := func(sim *Simulation) {
		sim.Store.SetFault("", memstore.Healthy)
		sim.Store.SetLost(0, false)
		sim.Store.SetSlow(1)
		for _, e := range sim.Entries() {
			sim.Store.SetFault(e.Node, memstore.Healthy)
			sim.Cut(e.Node, false)
		}
		sim.StartAll()
	}
	cases := map[string]func(sim *Simulation, leader *Entry){
		"no fault":                          func(*Simulation, *Entry) {},
		"the scheduler is killed":           func(_ *Simulation, leader *Entry) { leader.Kill() },
		"the scheduler is cut off":          func(sim *Simulation, leader *Entry) { sim.Cut(leader.Node, true) },
		"the store is away for it":          func(sim *Simulation, leader *Entry) { sim.Store.SetFault(leader.Node, memstore.Unresponsive) },
		"the store is away":                 func(sim *Simulation, _ *Entry) { sim.Store.SetFault("", memstore.Unresponsive) },
		"the store is slow":                 func(sim *Simulation, _ *Entry) { sim.Store.SetSlow(30) },
		"the store loses answers":           func(sim *Simulation, _ *Entry) { sim.Store.SetLost(0.35, true) },
		"all machines lose their processes": func(sim *Simulation, _ *Entry) { sim.KillAll() },
		"an entry is cut from the scheduler": func(sim *Simulation, leader *Entry) {
			for _, e := range sim.Entries() {
				if e != leader {
					sim.Cut(e.Node, true)
					return
				}
			}
		},
		"two schedulers are lost in turn": func(sim *Simulation, leader *Entry) {
			leader.Kill()
			for sim.Leader() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			sim.Leader().Kill()
		},
	}
	for name, disturb := range cases {
		t.Run(name, func(t *testing.T) {
			log := &sharedBuffer{}
			opt := Options{Entries: 4, Machines: 6, Log: log, Policies: scheduling.Policies{Forecast: scheduling.Forecast{Enabled: true}}}
			simulate(t, opt, func(t *testing.T, sim *Simulation, c *Client) {
				submitFor(t, c, 10, 4*second)
				log.reset()
				disturb(sim, sim.Leader())
				time.Sleep(3 * second)
				heal(sim)
				// The jobs of before catch up.
				time.Sleep(8 * second)
				const after = 8
				submitted := map[workload.JobID]bool{}
				for n := range after {
					submit(t, c, job(200+n, 4))
					submitted[JobID(200+n)] = true
					time.Sleep(second / 2)
				}
				for n := range after {
					await(t, c, JobID(200+n), workload.Completed, 30*second)
				}
				time.Sleep(second)
				log.mu.Lock()
				f := readForecasts(t, log.buf.Bytes(), submitted)
				log.mu.Unlock()
				t.Logf("%d terms, the latest first forecast %v after its term began", f.terms, f.latest)
				if f.compared < after || f.farOff > 0 {
					t.Errorf("%d forecasts compared of %d jobs, %d of them far off", f.compared, after, f.farOff)
				}
				if f.first != f.terms || f.latest > firstPlanWithin {
					t.Errorf("%d terms, %d first forecasts, the latest %v after its term began", f.terms, f.first, f.latest)
				}
			})
		})
	}
}
