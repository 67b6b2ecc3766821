package machines

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/structs/scheduling"
	"persimmonrock.example/structs/workload"
)

var admissionOn = scheduling.Policies{Forecast: scheduling.Forecast{Enabled: true}, Admission: scheduling.Admission{Enabled: true}}

// overloadFor is the time for which the tests of admission submit more than twice
// the work that the workers do.
const overloadFor = 50 * second

// overload submits six jobs of 12 core-seconds a second. Clients whose jobs are
// refused come back up to tries times. It returns the accepted jobs and the
// number of jobs that were never accepted.
func overload(sim *Simulation, tries int) (accepted []workload.JobID, refused int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	n := 0
	for begun := time.Now(); time.Since(begun) < overloadFor; time.Sleep(second / 6) {
		n++
		j := job(1000+n, 3)
		group.Go(func() {
			ok := sim.NewClient().Submit(j, tries)
			mu.Lock()
			defer mu.Unlock()
			if ok {
				accepted = append(accepted, j.ID)
			} else {
				refused++
			}
		})
	}
	group.Wait()
	return accepted, refused
}

// Guards against accepted jobs that wait for minutes while callers are told
// nothing: the load is more than twice what two workers do for 50 s.
func TestOverloadIsRefusedEarly(t *testing.T) {
	played := func(t *testing.T, policies scheduling.Policies) (accepted, refused int, last time.Duration) {
		simulate(t, Options{Entries: 3, Machines: 2, Policies: policies}, func(t *testing.T, sim *Simulation, c *Client) {
			ids, n := overload(sim, 1)
			begun := time.Now()
			if open := c.Await(ids, 300*second); len(open) > 0 {
				t.Errorf("%d accepted jobs have not ended five minutes after the load", len(open))
			}
			accepted, refused, last = len(ids), n, time.Since(begun)
		})
		return accepted, refused, last
	}
	all, none, long := played(t, scheduling.Policies{})
	accepted, refused, last := played(t, admissionOn)
	t.Logf("without admission %d accepted, the last ends %v after the load; with it %d, %d refused, %v", all, long, accepted, refused, last)
	if none > 0 || refused == 0 || last > long*2/3 {
		t.Errorf("%d and %d refused, last ends %v and %v after the load", none, refused, long, last)
	}
}

// Guards against a refusal while there is room: the load is a third of what the
// workers do.
func TestNobodyIsRefusedWithRoomFree(t *testing.T) {
	simulate(t, Options{Entries: 3, Machines: 4, Policies: admissionOn}, func(t *testing.T, sim *Simulation, c *Client) {
		for n := range 60 {
			if ok, _, _ := c.Offer(job(10+n, 3), 1); !ok {
				t.Errorf("job %d was refused", n)
			}
			time.Sleep(second / 2)
		}
	})
}

// An overload with one failure each. Guards against a refused job that runs and
// an accepted one that is lost or does not end.
func TestOverloadWithFailures(t *testing.T) {
	for name, disturb := range map[string]func(sim *Simulation) (heal func()){
		"the scheduler is killed": func(sim *Simulation) func() { l := sim.Leader(); l.Kill(); return l.Start },
		"the scheduler is cut off": func(sim *Simulation) func() {
			l := sim.Leader()
			sim.Cut(l.Node, true)
			return func() { sim.Cut(l.Node, false) }
		},
		"the scheduler is cut from the store": func(sim *Simulation) func() {
			l := sim.Leader()
			sim.Store.SetFault(l.Node, memstore.Unresponsive)
			return func() { sim.Store.SetFault(l.Node, memstore.Healthy) }
		},
		"another entry is cut off": func(sim *Simulation) func() {
			e := sim.leaderExcept(nil)
			for _, other := range sim.Entries() {
				if other != sim.Leader() {
					e = other
				}
			}
			sim.Cut(e.Node, true)
			return func() { sim.Cut(e.Node, false) }
		},
		"the store is slow": func(sim *Simulation) func() {
			sim.Store.SetSlow(60)
			return func() { sim.Store.SetSlow(1) }
		},
		"the store is silent": func(sim *Simulation) func() {
			sim.Store.SetFault("", memstore.Unresponsive)
			return func() { sim.Store.SetFault("", memstore.Healthy) }
		},
		"the store loses answers": func(sim *Simulation) func() {
			sim.Store.SetLost(0.4, true)
			return func() { sim.Store.SetLost(0, false) }
		},
		"two schedulers in turn": func(sim *Simulation) func() {
			first := sim.Leader()
			sim.Cut(first.Node, true)
			time.Sleep(4 * second)
			sim.Cut(first.Node, false)
			if second := sim.Leader(); second != nil && second != first {
				second.Stop()
				return second.Start
			}
			return func() {}
		},
	} {
		t.Run(name, func(t *testing.T) {
			simulate(t, Options{Entries: 3, Machines: 2, Policies: admissionOn}, func(t *testing.T, sim *Simulation, c *Client) {
				go func() {
					time.Sleep(overloadFor * 3 / 5)
					heal := disturb(sim)
					time.Sleep(6 * second)
					heal()
				}()
				ids, refused := overload(sim, 4)
				if open := c.Await(ids, 300*second); len(open) > 0 {
					t.Errorf("%d accepted jobs have not ended", len(open))
				}
				t.Logf("%d accepted, %d refused", len(ids), refused)
			})
		})
	}
}

// TestRandomDaysOfAdmission simulates random days with admission.
func TestRandomDaysOfAdmission(t *testing.T) {
	for i := range max(1, *seeds/3) {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			randomDayWith(t, Options{Seed: seed, Policies: admissionOn}, 1.0/16, (*day).fault)
		})
	}
}
