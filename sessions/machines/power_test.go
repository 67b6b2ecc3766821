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

// powers are those of a fleet: a few strong machines, many weak ones.
func powers(strong, weak int) []float64 {
	var all []float64
	for range weak {
		all = append(all, 0.2)
	}
	for range strong {
		all = append(all, 0.8)
	}
	return all
}

// The strong machine that schedules is gone for good, without a word. Jobs
// waited for 2.4 s until the lease had stood still for long enough, then for a
// weak machine that happened to look first, and again when that one handed the
// lease to a strong machine. With the holder's silence as evidence another
// strong machine has it within 1.5 s.
func TestSilentSchedulerIsOvertakenByAStrongMachine(t *testing.T) {
	opt := Options{Entries: 12, Machines: 4, Power: powers(3, 9)}
	play(t, opt, func(t *testing.T, w *World, c *Client) {
		for l := w.Leader(); l == nil || w.power(l) < 0.5; l = w.Leader() {
			time.Sleep(second / 10)
		}
		for n := range 20 {
			submit(t, c, job(n, 3))
		}
		gone := w.Leader()
		w.Cut(gone.Node, true)
		begun := time.Now()
		for l := gone; l == gone || l == nil; l = w.leaderBut(gone) {
			time.Sleep(time.Millisecond)
		}
		took := time.Since(begun)
		if next := w.leaderBut(gone); w.power(next) < 0.5 || took > 1500*time.Millisecond {
			t.Errorf("%s with %.1f of a core schedules after %v", next.Node, w.power(next), took)
		}
		w.Cut(gone.Node, false)
		for n := range 20 {
			await(t, c, JobID(n), workload.Completed, 15*second)
		}
	})
}

// The store answers 70 times slower than usual, so the lease stands still for
// a second at a time. Its holder answers, and keeps it: a takeover would only
// cost another pause.
func TestSlowStoreDoesNotCostTheLease(t *testing.T) {
	play(t, Options{Entries: 6, Machines: 4, Power: powers(2, 4)}, func(t *testing.T, w *World, c *Client) {
		for l := w.Leader(); l == nil || w.power(l) < 0.5; l = w.Leader() {
			time.Sleep(second / 10)
		}
		first := w.Leader()
		w.Store.SetSlow(70)
		for n := range 8 {
			submit(t, c, job(n, 2))
			time.Sleep(second)
			if w.Leader() != first {
				t.Fatal("the lease has moved")
			}
		}
		w.Store.SetSlow(1)
	})
}

// All machines lose their power at once, again and again, and come back
// together. Whichever looked at the lease first took it, mostly a weak machine,
// which took a second to read the jobs of a fleet and handed the lease over two
// seconds later. The weak ones leave it to the strong ones.
func TestStrongMachineSchedulesAfterAPowerLoss(t *testing.T) {
	opt := Options{Entries: 24, Machines: 4, Power: powers(2, 22)}
	play(t, opt, func(t *testing.T, w *World, c *Client) {
		for l := w.Leader(); l == nil || w.power(l) < 0.5; l = w.Leader() {
			time.Sleep(second / 10)
		}
		for range 4 {
			for _, e := range w.Entries() {
				e.Kill()
			}
			time.Sleep(second / 2)
			for _, e := range w.Entries() {
				e.Start()
			}
			begun := time.Now()
			for w.Leader() == nil {
				time.Sleep(time.Millisecond)
			}
			if l, took := w.Leader(), time.Since(begun); w.power(l) < 0.5 || took > second {
				t.Errorf("%s with %.1f of a core schedules after %v", l.Node, w.power(l), took)
			}
			time.Sleep(second)
		}
	})
}
