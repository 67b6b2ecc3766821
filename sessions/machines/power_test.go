package machines

import (
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

// awaitLeader waits until an entry of the given node schedules.
func awaitLeader(t *testing.T, w *World, node string, within time.Duration) {
	t.Helper()
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if l := w.Leader(); l != nil && l.Node == node {
			return
		}
		if time.Since(begun) > within {
			t.Fatalf("%s does not schedule after %v", node, within)
		}
	}
}

// The strongest machine's entry is away while the lease is taken, so one with a
// fifth of a core schedules, and all jobs wait for it. Once the strong one is
// back it asks for the lease; jobs under way go on, and no start is lost or
// made twice.
func TestStrongestMachineSchedules(t *testing.T) {
	play(t, Options{Entries: 3, Machines: 4, Power: []float64{0.2, 0.8, 0.2}}, func(t *testing.T, w *World, c *Client) {
		strong := w.Entries()[1]
		awaitLeader(t, w, strong.Node, 6*second)
		strong.Kill()
		time.Sleep(4 * second)
		if w.Leader() == nil {
			t.Fatal("nobody schedules")
		}
		strong.Start()
		for n := range 10 {
			submit(t, c, job(n, 3))
			time.Sleep(second / 2)
		}
		awaitLeader(t, w, strong.Node, 4*second)
		for n := range 10 {
			await(t, c, JobID(n), workload.Completed, 10*second)
		}
	})
}

// The machine that is to take the lease dies in the moment in which it is
// released for it. The others take it a second later.
func TestHeirThatDiesIsPassedOver(t *testing.T) {
	play(t, Options{Entries: 3, Machines: 2, Power: []float64{0.2, 0.2, 0.8}}, func(t *testing.T, w *World, c *Client) {
		strong := w.Entries()[2]
		awaitLeader(t, w, strong.Node, 6*second)
		strong.Kill()
		time.Sleep(4 * second)
		strong.Start()
		weak := w.Leader()
		for w.Leader() == weak {
			time.Sleep(time.Millisecond)
		}
		strong.Kill()
		submit(t, c, job(1, 2))
		await(t, c, JobID(1), workload.Completed, 8*second)
	})
}

// Machines of one size leave the lease where it is.
func TestLeaseStaysAmongEquals(t *testing.T) {
	play(t, Options{Entries: 3, Machines: 1, Power: []float64{0.4, 0.5, 0.4}}, func(t *testing.T, w *World, c *Client) {
		first := w.Leader()
		for range 100 {
			time.Sleep(second / 10)
			if w.Leader() != first {
				t.Fatal("the lease has moved")
			}
		}
	})
}
