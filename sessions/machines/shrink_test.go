package machines

import (
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

// small is what a worker offers after it shrank.
var small = workload.Resources{CPU: 4000, Memory: 16000}

// Failure guarded against: a worker that has shrunk is filled to what it offered before.
func TestShrunkWorkerIsNotOverfilled(t *testing.T) {
	restart := map[string]func(w *World){
		"nothing restarts":     func(*World) {},
		"its agent restarts":   func(w *World) { w.Agents()[0].Kill(); time.Sleep(second); w.Agents()[0].Start() },
		"all restart":          func(w *World) { w.KillAll(); time.Sleep(second); w.StartAll() },
		"its reports are late": func(w *World) { w.Agents()[0].HoldReports(true) },
	}
	for name, f := range restart {
		t.Run(name, func(t *testing.T) {
			play(t, Options{Entries: 2, Machines: 1}, func(t *testing.T, w *World, c *Client) {
				if name == "its reports are late" {
					f(w)
				}
				w.Agents()[0].Worker().SetCapacity(small)
				time.Sleep(6 * second)
				f(w)
				for n := range 4 {
					go w.NewClient().Submit(job(10+n, 2), 5)
				}
				time.Sleep(20 * second)
				w.Agents()[0].HoldReports(false)
				w.Agents()[0].Worker().SetCapacity(capacity)
				expect(t, c, workload.Completed, JobID(10), JobID(11), JobID(12), JobID(13))
			})
		})
	}
}
