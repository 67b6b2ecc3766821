package machines

import (
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/structs/workload"
)

// Guards against store calls that grow with the number of entries: an entry that
// does not schedule asks the scheduler whether something has changed.
func TestIdleEntriesLeaveTheStoreAlone(t *testing.T) {
	const calm = 20 * second
	for _, entries := range []int{3, 24} {
		simulate(t, Options{Entries: entries, Machines: 2}, func(t *testing.T, sim *Simulation, c *Client) {
			sim.Configure(1, 100)
			time.Sleep(5 * second)
			sim.takeStoreCalls()
			time.Sleep(calm)
			leader := sim.Leader()
			calls := sim.takeStoreCalls()
			for _, e := range sim.entries {
				if e != leader && calls[e.Node] > 0 {
					t.Errorf("%d entries: %s has called the store %d times in %v", entries, e.Node, calls[e.Node], calm)
				}
			}
			begun := time.Now()
			sim.Configure(2, 100)
			if took, err := sim.awaitConfig(2, begun, 2*second); err != nil || took > 100*time.Millisecond {
				t.Errorf("%d entries: the configuration was in force after %v: %v", entries, took, err)
			}
		})
	}
}

// Guards against a scheduler that is replaced late because no entry reads its
// lease while it confirms it.
func TestTakeoverIsNotDelayedByConfirmations(t *testing.T) {
	for name, c := range map[string]struct {
		lose  func(sim *Simulation, leader *Entry)
		bound time.Duration
	}{
		"killed":               {func(_ *Simulation, leader *Entry) { leader.Kill() }, 1200 * time.Millisecond},
		"machine without path": {func(sim *Simulation, leader *Entry) { sim.Cut(leader.Node, true) }, 1700 * time.Millisecond},
		"cut from the store":   {func(sim *Simulation, leader *Entry) { sim.Store.SetFault(leader.Node, memstore.Unresponsive) }, 3 * second},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, Options{Entries: 8, Machines: 4}, func(t *testing.T, sim *Simulation, cl *Client) {
				submit(t, cl, job(1, 6))
				time.Sleep(5 * second)
				leader := sim.Leader()
				begun := time.Now()
				c.lose(sim, leader)
				for sim.leaderExcept(leader) == nil && time.Since(begun) < 10*second {
					time.Sleep(10 * time.Millisecond)
				}
				if took := time.Since(begun); took > c.bound && name != "cut from the store" {
					t.Errorf("another entry schedules after %v, want %v at most", took, c.bound)
				}
				submit(t, cl, job(2, 6))
				await(t, cl, JobID(2), workload.Completed, 12*second)
				sim.Cut(leader.Node, false)
				sim.Store.SetFault(leader.Node, memstore.Healthy)
				time.Sleep(second)
			})
		})
	}
}
