package machines

import (
	"testing"
	"time"
)

// Guards against runs that are placed on a worker while nothing listens at its
// address: they start elsewhere only after their starts have failed.
func TestNothingIsPlacedOnAWorkerThatIsDown(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, job(1, 6))
		time.Sleep(2 * second)
		down := sim.Agents()[0]
		down.Worker().Kill()
		time.Sleep(200 * time.Millisecond)
		before := down.Counters()
		for n := range 10 {
			submit(t, c, job(10+n, 6))
			time.Sleep(100 * time.Millisecond)
		}
		after := down.Counters()
		if sent, refused := after.Starts-before.Starts, after.Refused-before.Refused; sent > 0 || refused > 0 {
			t.Errorf("%d starts were sent to a worker that is down, and %d were refused", sent, refused)
		}
		down.NewWorker()
		time.Sleep(second)
		submit(t, c, job(30, 60))
		time.Sleep(second / 2)
		if len(down.Worker().Running()) == 0 {
			t.Error("nothing runs at the next worker")
		}
	})
}
