package machines

import (
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/structs/workload"
)

// drainedWithin is how soon after a drain the last task begins there on a calm
// day.
const drainedWithin = time.Second

// drained is the data centre that the tests drain.
const drained = "dc-0"

// busy keeps jobs coming for a while.
func busy(t *testing.T, c *Client, first int, d time.Duration) {
	t.Helper()
	for n, end := first, time.Now().Add(d); time.Now().Before(end); n++ {
		if !c.Submit(job(n, 3), 10) {
			t.Errorf("job %d was not accepted", n)
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// runningIn counts the runs in a data centre.
func (w *World) runningIn(dataCentre string) int {
	n := 0
	for i, a := range w.Agents() {
		if w.DataCentre(i) == dataCentre {
			n += len(a.Worker().Running())
		}
	}
	return n
}

// Tasks go on starting in a drained data centre, or lasting ones stay there, or
// it stays empty after the drain is taken back.
func TestDrainedDataCentreGetsNothing(t *testing.T) {
	play(t, Options{Entries: 3, Machines: 9, DataCentres: 3}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, lastingJob(1, 9))
		busy(t, c, 10, 5*second)
		w.Drain(drained, true)
		busy(t, c, 100, 16*second)
		if last := w.Rules.LastStart(); last > drainedWithin {
			t.Errorf("a task began there %v after the drain", last)
		}
		if n := w.runningIn(drained); n > 0 {
			t.Errorf("%d runs are still there", n)
		}
		w.Drain(drained, false)
		busy(t, c, 200, second)
		if w.runningIn(drained) == 0 {
			t.Error("nothing runs there a second after the drain was taken back")
		}
		await(t, c, JobID(100), workload.Completed, 20*second)
	})
}

// The drain comes together with another disturbance, and tasks begin there for
// longer than the users' bound, which the rules check.
func TestDrainHoldsUnderFaults(t *testing.T) {
	heal := func(w *World) {
		w.Store.SetFault("", memstore.Healthy)
		w.Store.SetLost(0, false)
		w.Store.SetSlow(1)
		for _, e := range w.Entries() {
			w.Store.SetFault(e.Node, memstore.Healthy)
			w.Cut(e.Node, false)
		}
		w.StartAll()
	}
	cases := []struct {
		name    string
		disturb func(w *World, leader *Entry)
	}{
		{"the scheduler is killed", func(w *World, leader *Entry) { leader.Kill() }},
		{"the scheduler is stopped", func(w *World, leader *Entry) { leader.Stop() }},
		{"the scheduler is cut off", func(w *World, leader *Entry) { w.Cut(leader.Node, true) }},
		{"the store is silent towards the scheduler", func(w *World, leader *Entry) { w.Store.SetFault(leader.Node, memstore.Silent) }},
		{"the store refuses the scheduler", func(w *World, leader *Entry) { w.Store.SetFault(leader.Node, memstore.Refused) }},
		{"the store is down", func(w *World, _ *Entry) { w.Store.SetFault("", memstore.Silent) }},
		{"the store loses answers", func(w *World, _ *Entry) { w.Store.SetLost(0.35, true) }},
		{"the store is slow", func(w *World, _ *Entry) { w.Store.SetSlow(60) }},
		{"the store forgets its history", func(w *World, _ *Entry) { w.Store.Compact() }},
		{"all programs lose power", func(w *World, _ *Entry) { w.KillAll() }},
		{"the agents there are killed", func(w *World, _ *Entry) {
			for i, a := range w.Agents() {
				if w.DataCentre(i) == drained {
					a.Kill()
				}
			}
		}},
		{"the workers there begin new lives", func(w *World, _ *Entry) {
			for i, a := range w.Agents() {
				if w.DataCentre(i) == drained {
					a.NewWorker()
				}
			}
		}},
	}
	for _, before := range []time.Duration{0, second} {
		for _, c := range cases {
			t.Run(c.name+" "+before.String()+" before", func(t *testing.T) {
				play(t, Options{Entries: 4, Machines: 9, DataCentres: 3}, func(t *testing.T, w *World, client *Client) {
					submit(t, client, lastingJob(1, 9))
					busy(t, client, 10, 4*second)
					c.disturb(w, w.Leader())
					time.Sleep(before)
					w.Drain(drained, true)
					time.Sleep(2500 * time.Millisecond)
					heal(w)
					busy(t, client, 100, 12*second)
					w.Drain(drained, false)
					await(t, client, JobID(100), workload.Completed, 30*second)
				})
			})
		}
	}
}

// A drain is taken back while every entry is down. The agents have heard of it,
// and refuse all starts for ever, since the entries that come back know of none.
func TestDrainThatEndsWhileNobodyListens(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 4, DataCentres: 2}, func(t *testing.T, w *World, c *Client) {
		w.Drain(drained, true)
		busy(t, c, 1, second)
		for _, e := range w.Entries() {
			e.Kill()
		}
		w.Drain(drained, false)
		time.Sleep(second)
		w.StartAll()
		busy(t, c, 10, 4*second)
		if w.runningIn(drained) == 0 {
			t.Error("nothing starts there any more")
		}
	})
}

// No entry can read the operator's rows, and the scheduler goes on placing by
// what it knew before the drain.
func TestSchedulerThatCanNotReadDrainsStopsPlacing(t *testing.T) {
	play(t, Options{Entries: 3, Machines: 6, DataCentres: 3}, func(t *testing.T, w *World, c *Client) {
		hide := func(hidden bool) {
			for _, e := range w.Entries() {
				w.HideOperator(e.Node, hidden)
			}
		}
		submit(t, c, job(1, 400))
		time.Sleep(second)
		hide(true)
		time.Sleep(second) // the answers that are under way arrive
		w.Drain(drained, true)
		time.Sleep(8 * second)
		hide(false)
		await(t, c, JobID(1), workload.Completed, 60*second)
	})
}

// A worker leaves the orders of its agent unanswered. The drain comes while
// they are repeated, and the worker carries one out as soon as it answers.
func TestOrdersUnderWayEndWithTheDrain(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 2, DataCentres: 2}, func(t *testing.T, w *World, c *Client) {
		w.Agents()[0].Worker().SetDark(true)
		submit(t, c, job(1, 12))
		time.Sleep(100 * time.Millisecond)
		w.Drain(drained, true)
		time.Sleep(600 * time.Millisecond)
		w.Agents()[0].Worker().SetDark(false)
		await(t, c, JobID(1), workload.Completed, 20*second)
		if last := w.Rules.LastStart(); last > 0 {
			t.Errorf("a task began there %v after the drain", last)
		}
	})
}

// Every data centre is drained. What runs goes on, and what is handed in waits
// until one of them is open again.
func TestAllDataCentresAreDrained(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 6, DataCentres: 2}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, lastingJob(1, 4))
		time.Sleep(2 * second)
		w.Drain("dc-0", true)
		w.Drain("dc-1", true)
		w.Drain("dc-1", true) // the same again
		w.Drain("dc-9", true) // nobody knows it
		time.Sleep(second)
		submit(t, c, job(2, 4))
		time.Sleep(8 * second)
		if s := c.State(JobID(2)); s != workload.Queued {
			t.Errorf("the job is %s", s)
		}
		if n := w.runningIn("dc-0") + w.runningIn("dc-1"); n != 4 {
			t.Errorf("%d runs, not the 4 lasting ones", n)
		}
		w.Drain("dc-1", false)
		await(t, c, JobID(2), workload.Completed, 10*second)
	})
}

// Lasting tasks leave a drained data centre all at once, and their step serves
// its users with fewer tasks than it may miss.
func TestLastingTasksLeaveAFewAtATime(t *testing.T) {
	for _, mayMiss := range []int{0, 1, 3} {
		play(t, Options{Entries: 2, Machines: 6, DataCentres: 2}, func(t *testing.T, w *World, c *Client) {
			j := lastingJob(1, 12)
			j.Steps[0].MayMiss = mayMiss
			submit(t, c, j)
			time.Sleep(5 * second)
			w.Drain(drained, true)
			most := 0
			for range 3000 {
				time.Sleep(10 * time.Millisecond)
				most = max(most, 12-w.runningIn("dc-0")-w.runningIn("dc-1"))
			}
			if most > max(1, mayMiss) {
				t.Errorf("%d tasks were away at once, %d may be", most, mayMiss)
			}
			if n := w.runningIn(drained); n > 0 {
				t.Errorf("%d tasks are still there after 30 s", n)
			}
		})
	}
}

// A row of another kind is taken for a drain, or one that can't be read stops
// the reading of the others.
func TestOtherRowsOfTheOperatorDrainNothing(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 2, DataCentres: 1}, func(t *testing.T, w *World, c *Client) {
		for _, key := range []string{"drain", "other/dc-0"} {
			must(w.Store.ApplyNow(rowstore.Txn{Puts: []rowstore.Put{{Key: rowstore.Key{Table: "op", Key: key}, Value: []byte("\xff")}}}))
		}
		time.Sleep(second)
		submit(t, c, job(1, 4))
		await(t, c, JobID(1), workload.Completed, 10*second)
	})
}
