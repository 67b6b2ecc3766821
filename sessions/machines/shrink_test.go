package machines

import (
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

var shrunkCapacity = workload.Resources{CPU: 4000, Memory: 16000}

// Guards against a worker that is filled to its former capacity after its
// capacity has shrunk.
func TestShrunkWorkerIsNotOverfilled(t *testing.T) {
	restart := map[string]func(sim *Simulation){
		"nothing restarts":     func(*Simulation) {},
		"its agent restarts":   func(sim *Simulation) { sim.Agents()[0].Kill(); time.Sleep(second); sim.Agents()[0].Start() },
		"all restart":          func(sim *Simulation) { sim.KillAll(); time.Sleep(second); sim.StartAll() },
		"its reports are late": func(sim *Simulation) { sim.Agents()[0].SetReportsLost(true) },
	}
	for name, f := range restart {
		t.Run(name, func(t *testing.T) {
			simulate(t, Options{Entries: 2, Machines: 1}, func(t *testing.T, sim *Simulation, c *Client) {
				if name == "its reports are late" {
					f(sim)
				}
				sim.Agents()[0].Worker().SetCapacity(shrunkCapacity)
				time.Sleep(6 * second)
				f(sim)
				for n := range 4 {
					go sim.NewClient().Submit(job(10+n, 2), 5)
				}
				time.Sleep(20 * second)
				sim.Agents()[0].SetReportsLost(false)
				sim.Agents()[0].Worker().SetCapacity(capacity)
				expectAll(t, c, workload.Completed, JobID(10), JobID(11), JobID(12), JobID(13))
			})
		})
	}
}
