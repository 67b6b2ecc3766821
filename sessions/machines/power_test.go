package machines

import (
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

// awaitLeader waits until the entry on the given node schedules.
func awaitLeader(t *testing.T, sim *Simulation, node string, within time.Duration) {
	t.Helper()
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		if l := sim.Leader(); l != nil && l.Node == node {
			return
		}
		if time.Since(begun) > within {
			t.Fatalf("%s does not schedule after %v", node, within)
		}
	}
}

// Guards against an entry with a fifth of a core that keeps the lease and
// delays all jobs. It comes about when the strongest machine is down while the
// lease is acquired. Once that machine is back, its entry requests the lease;
// running jobs continue, and no start is lost or duplicated.
func TestStrongestMachineSchedules(t *testing.T) {
	simulate(t, Options{Entries: 3, Machines: 4, Power: []float64{0.2, 0.8, 0.2}}, func(t *testing.T, sim *Simulation, c *Client) {
		strong := sim.Entries()[1]
		awaitLeader(t, sim, strong.Node, 6*second)
		strong.Kill()
		time.Sleep(4 * second)
		if sim.Leader() == nil {
			t.Fatal("no entry schedules")
		}
		strong.Start()
		for n := range 10 {
			submit(t, c, job(n, 3))
			time.Sleep(second / 2)
		}
		awaitLeader(t, sim, strong.Node, 4*second)
		for n := range 10 {
			await(t, c, JobID(n), workload.Completed, 10*second)
		}
	})
}

// The designated successor is killed when the lease is released to it. Another
// entry acquires the lease a second later.
func TestKilledSuccessorIsSkipped(t *testing.T) {
	simulate(t, Options{Entries: 3, Machines: 2, Power: []float64{0.2, 0.2, 0.8}}, func(t *testing.T, sim *Simulation, c *Client) {
		strong := sim.Entries()[2]
		awaitLeader(t, sim, strong.Node, 6*second)
		strong.Kill()
		time.Sleep(4 * second)
		strong.Start()
		weak := sim.Leader()
		for sim.Leader() == weak {
			time.Sleep(time.Millisecond)
		}
		strong.Kill()
		submit(t, c, job(1, 2))
		await(t, c, JobID(1), workload.Completed, 8*second)
	})
}

// The lease does not move between machines of similar power.
func TestLeaseStaysAmongEquals(t *testing.T) {
	simulate(t, Options{Entries: 3, Machines: 1, Power: []float64{0.4, 0.5, 0.4}}, func(t *testing.T, sim *Simulation, c *Client) {
		first := sim.Leader()
		for range 100 {
			time.Sleep(second / 10)
			if sim.Leader() != first {
				t.Fatal("the lease has moved")
			}
		}
	})
}

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

// The strong machine that schedules becomes unreachable. Guards against a slow
// takeover: jobs wait 2.4 s until the lease counts as expired, and then until
// the weak machine that read the lease first hands it to a strong one. As the
// holder does not answer, another strong machine must acquire the lease within
// 1.5 s.
func TestStrongMachineReplacesUnresponsiveScheduler(t *testing.T) {
	opt := Options{Entries: 12, Machines: 4, Power: powers(3, 9)}
	simulate(t, opt, func(t *testing.T, sim *Simulation, c *Client) {
		for l := sim.Leader(); l == nil || sim.power(l) < 0.5; l = sim.Leader() {
			time.Sleep(second / 10)
		}
		for n := range 20 {
			submit(t, c, job(n, 3))
		}
		unreachable := sim.Leader()
		sim.Cut(unreachable.Node, true)
		begun := time.Now()
		for l := unreachable; l == unreachable || l == nil; l = sim.leaderExcept(unreachable) {
			time.Sleep(time.Millisecond)
		}
		took := time.Since(begun)
		if next := sim.leaderExcept(unreachable); sim.power(next) < 0.5 || took > 1500*time.Millisecond {
			t.Errorf("%s with %.1f of a core schedules after %v", next.Node, sim.power(next), took)
		}
		sim.Cut(unreachable.Node, false)
		for n := range 20 {
			await(t, c, JobID(n), workload.Completed, 15*second)
		}
	})
}

// The store answers 70 times slower than usual, so the lease stays unchanged
// for a second at a time. The holder still answers and must keep the lease: a
// takeover would only add a pause.
func TestSlowStoreDoesNotCostTheLease(t *testing.T) {
	simulate(t, Options{Entries: 6, Machines: 4, Power: powers(2, 4)}, func(t *testing.T, sim *Simulation, c *Client) {
		for l := sim.Leader(); l == nil || sim.power(l) < 0.5; l = sim.Leader() {
			time.Sleep(second / 10)
		}
		first := sim.Leader()
		sim.Store.SetSlow(70)
		for n := range 8 {
			submit(t, c, job(n, 2))
			time.Sleep(second)
			if sim.Leader() != first {
				t.Fatal("the lease has moved")
			}
		}
		sim.Store.SetSlow(1)
	})
}

// All entries are killed repeatedly and restart together, as after a power
// loss. Guards against a lease that goes to its first reader, mostly a weak
// machine, which takes a second to read a fleet's jobs and hands the lease over
// two seconds later. Weak machines must leave the lease to strong ones.
func TestStrongMachineSchedulesAfterAPowerLoss(t *testing.T) {
	opt := Options{Entries: 24, Machines: 4, Power: powers(2, 22)}
	simulate(t, opt, func(t *testing.T, sim *Simulation, c *Client) {
		for l := sim.Leader(); l == nil || sim.power(l) < 0.5; l = sim.Leader() {
			time.Sleep(second / 10)
		}
		for range 4 {
			for _, e := range sim.Entries() {
				e.Kill()
			}
			time.Sleep(second / 2)
			for _, e := range sim.Entries() {
				e.Start()
			}
			begun := time.Now()
			for sim.Leader() == nil {
				time.Sleep(time.Millisecond)
			}
			if l, took := sim.Leader(), time.Since(begun); sim.power(l) < 0.5 || took > second {
				t.Errorf("%s with %.1f of a core schedules after %v", l.Node, sim.power(l), took)
			}
			time.Sleep(second)
		}
	})
}
