package machines

import (
	"testing"
	"time"
)

// A fleet of the size that the users run today.
const (
	fleetEntries = 55
	fleetWorkers = 240
)

// reachedWithin is how soon after a term begins nine of ten agents take
// orders, however many there are.
const reachedWithin = 500 * time.Millisecond

// busyWorkers counts the workers on which something runs.
func busyWorkers(w *World) int {
	n := 0
	for _, a := range w.Agents() {
		if len(a.Worker().Running()) > 0 {
			n++
		}
	}
	return n
}

// Power goes on a whole fleet at once, workers included, and comes back. Jobs
// that were accepted wait, entries schedule again within a tenth of a second,
// but tasks started only as agents came back one after the other over seconds:
// all of them wrote their rows to one part of the store, which takes one
// transaction at a time.
func TestAgentsOfAFleetComeBackTogether(t *testing.T) {
	opt := Options{Entries: fleetEntries, Machines: fleetWorkers}
	play(t, opt, func(t *testing.T, w *World, c *Client) {
		j := lastingJob(1, fleetWorkers)
		j.Steps[0].Need.CPU = capacity.CPU * 3 / 4
		submit(t, c, j)
		w.KillAll()
		for _, a := range w.Agents() {
			a.NewWorker()
		}
		time.Sleep(second)
		w.StartAll()
		for w.Leader() == nil {
			time.Sleep(time.Millisecond)
		}
		begun := time.Now()
		for busyWorkers(w) < fleetWorkers*9/10 {
			if time.Since(begun) > 10*second {
				break
			}
			time.Sleep(time.Millisecond)
		}
		took := time.Since(begun)
		t.Logf("%d of %d workers have work %v after the term began", busyWorkers(w), fleetWorkers, took)
		if took > reachedWithin {
			t.Errorf("%d of %d workers have work %v after the term began", busyWorkers(w), fleetWorkers, took)
		}
	})
}

// A machine gets its power back, and its worker begins together with the
// agent. The worker reports at once, and again 1.1 s later; the agent still
// writes its row when the first report comes. The report was lost, and nothing
// started on the worker until the next.
func TestReportIsTakenWhileTheAgentRegisters(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 1}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, lastingJob(1, 1))
		a := w.Agents()[0]
		a.Kill()
		a.Start()
		time.Sleep(time.Millisecond)
		begun := time.Now()
		a.NewWorker()
		for len(a.Worker().Running()) == 0 && time.Since(begun) < 10*second {
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(begun); took > reachedWithin {
			t.Errorf("the worker has work %v after it began", took)
		}
	})
}
