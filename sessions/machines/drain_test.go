package machines

import (
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/structs/workload"
)

// drainStartBound is the time after a drain within which the last task may
// start in the data centre if no fault occurs.
const drainStartBound = time.Second

// drained is the data centre that the tests drain.
const drained = "dc-0"

// submitFor submits five jobs per second for the time d.
func submitFor(t *testing.T, c *Client, first int, d time.Duration) {
	t.Helper()
	for n, end := first, time.Now().Add(d); time.Now().Before(end); n++ {
		if !c.Submit(job(n, 3), 10) {
			t.Errorf("job %d was not accepted", n)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

func (sim *Simulation) runningIn(dataCentre string) int {
	n := 0
	for i, a := range sim.Agents() {
		if sim.DataCentre(i) == dataCentre {
			n += len(a.Worker().Running())
		}
	}
	return n
}

// Guards against tasks that start in a data centre later than drainStartBound
// after its drain, lasting tasks that stay there, and a data centre that stays
// empty after its drain is revoked.
func TestNothingStartsInDrainedDataCentre(t *testing.T) {
	simulate(t, Options{Entries: 3, Machines: 9, DataCentres: 3}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, lastingJob(1, 9))
		submitFor(t, c, 10, 5*second)
		sim.Drain(drained, true)
		submitFor(t, c, 100, 16*second)
		if last := sim.Rules.LastStartAfterDrain(); last > drainStartBound {
			t.Errorf("a task began there %v after the drain", last)
		}
		if n := sim.runningIn(drained); n > 0 {
			t.Errorf("%d runs are still in the drained data centre", n)
		}
		sim.Drain(drained, false)
		submitFor(t, c, 200, second)
		if sim.runningIn(drained) == 0 {
			t.Error("nothing runs there a second after the drain was revoked")
		}
		await(t, c, JobID(100), workload.Completed, 20*second)
	})
}

// Guards against tasks that start in a drained data centre after the users'
// bound because a fault coincides with the drain. The rules check the bound.
func TestDrainHoldsUnderFaults(t *testing.T) {
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
	cases := []struct {
		name    string
		disturb func(sim *Simulation, leader *Entry)
	}{
		{"the scheduler is killed", func(sim *Simulation, leader *Entry) { leader.Kill() }},
		{"the scheduler is stopped", func(sim *Simulation, leader *Entry) { leader.Stop() }},
		{"the scheduler is cut off", func(sim *Simulation, leader *Entry) { sim.Cut(leader.Node, true) }},
		{"the store does not answer the scheduler", func(sim *Simulation, leader *Entry) { sim.Store.SetFault(leader.Node, memstore.Unresponsive) }},
		{"the store refuses the scheduler", func(sim *Simulation, leader *Entry) { sim.Store.SetFault(leader.Node, memstore.Refused) }},
		{"the store is down", func(sim *Simulation, _ *Entry) { sim.Store.SetFault("", memstore.Unresponsive) }},
		{"the store loses answers", func(sim *Simulation, _ *Entry) { sim.Store.SetLost(0.35, true) }},
		{"the store is slow", func(sim *Simulation, _ *Entry) { sim.Store.SetSlow(60) }},
		{"the store drops its history", func(sim *Simulation, _ *Entry) { sim.Store.Compact() }},
		{"all programs lose power", func(sim *Simulation, _ *Entry) { sim.KillAll() }},
		{"the agents there are killed", func(sim *Simulation, _ *Entry) {
			for i, a := range sim.Agents() {
				if sim.DataCentre(i) == drained {
					a.Kill()
				}
			}
		}},
		{"the workers there restart", func(sim *Simulation, _ *Entry) {
			for i, a := range sim.Agents() {
				if sim.DataCentre(i) == drained {
					a.NewWorker()
				}
			}
		}},
	}
	for _, before := range []time.Duration{0, second} {
		for _, c := range cases {
			t.Run(c.name+" "+before.String()+" before", func(t *testing.T) {
				simulate(t, Options{Entries: 4, Machines: 9, DataCentres: 3}, func(t *testing.T, sim *Simulation, client *Client) {
					submit(t, client, lastingJob(1, 9))
					submitFor(t, client, 10, 4*second)
					c.disturb(sim, sim.Leader())
					time.Sleep(before)
					sim.Drain(drained, true)
					time.Sleep(2500 * time.Millisecond)
					heal(sim)
					submitFor(t, client, 100, 12*second)
					sim.Drain(drained, false)
					await(t, client, JobID(100), workload.Completed, 30*second)
				})
			})
		}
	}
}

// Guards against agents that refuse all starts forever. It comes about when a
// drain is revoked while every entry is down: the agents know of the drain, the
// restarted entries don't.
func TestDrainRevokedWhileEntriesAreDown(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 4, DataCentres: 2}, func(t *testing.T, sim *Simulation, c *Client) {
		sim.Drain(drained, true)
		submitFor(t, c, 1, second)
		for _, e := range sim.Entries() {
			e.Kill()
		}
		sim.Drain(drained, false)
		time.Sleep(second)
		sim.StartAll()
		submitFor(t, c, 10, 4*second)
		if sim.runningIn(drained) == 0 {
			t.Error("nothing starts there any more")
		}
	})
}

// Guards against a scheduler that places tasks by the state from before a drain
// because no entry can read the operator's rows.
func TestSchedulerThatCanNotReadDrainsStopsPlacing(t *testing.T) {
	simulate(t, Options{Entries: 3, Machines: 6, DataCentres: 3}, func(t *testing.T, sim *Simulation, c *Client) {
		hide := func(hidden bool) {
			for _, e := range sim.Entries() {
				sim.HideOperatorRows(e.Node, hidden)
			}
		}
		submit(t, c, job(1, 400))
		time.Sleep(second)
		hide(true)
		time.Sleep(second) // answers in flight arrive
		sim.Drain(drained, true)
		time.Sleep(8 * second)
		hide(false)
		await(t, c, JobID(1), workload.Completed, 60*second)
	})
}

// Guards against a start in a drained data centre by an old order: a worker
// does not answer, its agent repeats the order, and the drain begins before the
// worker answers again.
func TestDrainCancelsOrdersInFlight(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 2, DataCentres: 2}, func(t *testing.T, sim *Simulation, c *Client) {
		sim.Agents()[0].Worker().SetUnresponsive(true)
		submit(t, c, job(1, 12))
		time.Sleep(100 * time.Millisecond)
		sim.Drain(drained, true)
		time.Sleep(600 * time.Millisecond)
		sim.Agents()[0].Worker().SetUnresponsive(false)
		await(t, c, JobID(1), workload.Completed, 20*second)
		if last := sim.Rules.LastStartAfterDrain(); last > 0 {
			t.Errorf("a task began there %v after the drain", last)
		}
	})
}

// Every data centre is drained. Lasting runs stay, and submitted jobs wait
// until one data centre is available again.
func TestAllDataCentresAreDrained(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 6, DataCentres: 2}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, lastingJob(1, 4))
		time.Sleep(2 * second)
		sim.Drain("dc-0", true)
		sim.Drain("dc-1", true)
		sim.Drain("dc-1", true) // repeated
		sim.Drain("dc-9", true) // unknown data centre
		time.Sleep(second)
		submit(t, c, job(2, 4))
		time.Sleep(8 * second)
		if s := c.State(JobID(2)); s != workload.Queued {
			t.Errorf("the job is %s", s)
		}
		if n := sim.runningIn("dc-0") + sim.runningIn("dc-1"); n != 4 {
			t.Errorf("%d runs, not the 4 lasting ones", n)
		}
		sim.Drain("dc-1", false)
		await(t, c, JobID(2), workload.Completed, 10*second)
	})
}

// Guards against lasting tasks that leave a drained data centre all at once, so
// that their step has more tasks missing than MayMiss (or 1, if that is 0).
func TestLastingTasksDrainAFewAtATime(t *testing.T) {
	for _, mayMiss := range []int{0, 1, 3} {
		simulate(t, Options{Entries: 2, Machines: 6, DataCentres: 2}, func(t *testing.T, sim *Simulation, c *Client) {
			j := lastingJob(1, 12)
			j.Steps[0].MayMiss = mayMiss
			submit(t, c, j)
			time.Sleep(5 * second)
			sim.Drain(drained, true)
			most := 0
			for range 3000 {
				time.Sleep(10 * time.Millisecond)
				most = max(most, 12-sim.runningIn("dc-0")-sim.runningIn("dc-1"))
			}
			if most > max(1, mayMiss) {
				t.Errorf("%d tasks were missing at once, %d may be", most, mayMiss)
			}
			if n := sim.runningIn(drained); n > 0 {
				t.Errorf("%d tasks still run there after 30 s", n)
			}
		})
	}
}

// Guards against a row of another kind that counts as a drain, and an
// unreadable row that stops the reading of the others.
func TestOtherRowsOfTheOperatorDrainNothing(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 2, DataCentres: 1}, func(t *testing.T, sim *Simulation, c *Client) {
		for _, key := range []string{"drain", "other/dc-0"} {
			must(sim.Store.ApplyNow(rowstore.Txn{Puts: []rowstore.Put{{Key: rowstore.Key{Table: "op", Key: key}, Value: []byte("\xff")}}}))
		}
		time.Sleep(second)
		submit(t, c, job(1, 4))
		await(t, c, JobID(1), workload.Completed, 10*second)
	})
}
