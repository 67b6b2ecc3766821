package machines

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/structs/workload"
)

// A queue's policy permits only some workers, and the policy service answers
// slowly. Tickets are valid for three seconds, and workers refuse starts
// without a valid ticket.
func TestQueueThatNeedsAdvice(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 5}, func(t *testing.T, sim *Simulation, c *Client) {
		for n := range 6 {
			j := job(n, 4)
			j.Queue.Advised = true
			submit(t, c, j)
			time.Sleep(second)
		}
		for n := range 6 {
			await(t, c, JobID(n), workload.Completed, 20*second)
		}
	})
}

// Members of a gang work only together: all or none are placed, with one run
// number, and once one member is done, all are.
func TestGangIsPlacedWhole(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 2, Capacity: workload.Resources{CPU: 8000, Memory: 64000}}, func(t *testing.T, sim *Simulation, c *Client) {
		j := job(1, 6)
		j.Steps[0].Gang = true
		submit(t, c, job(2, 6))
		submit(t, c, j)
		await(t, c, JobID(1), workload.Completed, 20*second)
		await(t, c, JobID(2), workload.Completed, 20*second)
	})
}

// A repeated job runs once at each due time, and not before.
func TestRepeatedJob(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 2}, func(t *testing.T, sim *Simulation, c *Client) {
		j := job(1, 2)
		begun := time.Now()
		j.Repeat = workload.Repeat{Count: 3, First: begun.Add(2 * second).UnixMilli(), Interval: 4000}
		submit(t, c, j)
		if took := await(t, c, JobID(1), workload.Completed, 30*second); took < 10*second || took > 14*second {
			t.Errorf("three occurrences at an interval of 4 s took %v", took)
		}
		if sim.Rules.Started != 12 {
			t.Errorf("%d starts for 12 tasks", sim.Rules.Started)
		}
	})
}

// A worker is draining. No more tasks start there, and its lasting tasks are
// moved before it ends.
func TestDrainingWorkerIsEvacuated(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, lastingJob(1, 6))
		time.Sleep(2 * second)
		draining := sim.Agents()[0].Worker()
		draining.Drain()
		time.Sleep(3 * second)
		if runs := draining.Running(); len(runs) > 0 {
			t.Errorf("still running: %v", runs)
		}
		running := 0
		for _, a := range sim.Agents() {
			running += len(a.Worker().Running())
		}
		if running != 6 {
			t.Errorf("%d of 6 lasting tasks run", running)
		}
	})
}

// The store answers no call and returns no error. A submission must be refused
// at once with a retry delay, and must not wait until the client's time-out for
// an outcome that can't be known.
func TestUnavailableStoreRefusesAtOnce(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 1}, func(t *testing.T, sim *Simulation, c *Client) {
		sim.Store.SetFault("", memstore.Unresponsive)
		time.Sleep(3 * second)
		for _, e := range sim.Entries() {
			begun := time.Now()
			err := e.Service().Submit(t.Context(), queue(), job(1, 1))
			var unavailable *workload.UnavailableError
			if !errors.As(err, &unavailable) || unavailable.RetryAfter == 0 {
				t.Errorf("answer %v", err)
			}
			if took := time.Since(begun); took > 50*time.Millisecond {
				t.Errorf("refused after %v", took)
			}
		}
		sim.Store.SetFault("", memstore.Healthy)
		time.Sleep(3 * second)
		submit(t, c, job(2, 1))
		await(t, c, JobID(2), workload.Completed, 10*second)
	})
}

// Guards against a submission that waits for the client's whole time-out
// because the store stops answering. After 1.4 s the store counts as
// unavailable, and later calls are refused at once; the submission in flight
// must fail then, too.
func TestSubmissionFailsSoonWhenStoreStopsAnswering(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 1}, func(t *testing.T, sim *Simulation, c *Client) {
		sim.Store.SetFault("", memstore.Unresponsive)
		ctx, cancel := context.WithTimeout(t.Context(), clientTimeout)
		defer cancel()
		begun := time.Now()
		sim.Rules.submitted(job(1, 1))
		err := sim.Entries()[0].Service().Submit(ctx, queue(), job(1, 1))
		sim.Rules.answered(job(1, 1).ID, false, false)
		if !errors.Is(err, workload.ErrUndecided) {
			t.Errorf("answer %v, but the write may still take effect", err)
		}
		if took := time.Since(begun); took > 1600*time.Millisecond {
			t.Errorf("answered after %v", took)
		}
		sim.Store.SetFault("", memstore.Healthy)
		time.Sleep(3 * second)
		submit(t, c, job(1, 1))
		await(t, c, JobID(1), workload.Completed, 10*second)
	})
}

// A quarter of the answers of every second worker are lost. Guards against
// short jobs that end late. A listing waits half a second for a run to end. If
// a listing with a lost answer is abandoned only after this wait, nearly every
// step of 13 tasks has an end that is reported half a second late. A client
// expects its job within 1.5 times the work of its successive steps plus 250
// ms.
func TestLostAnswersDoNotMakeShortJobsLate(t *testing.T) {
	const work, jobs = 640 * time.Millisecond, 150
	opt := Options{Entries: 2, Machines: 60, Outcome: func(workload.RunID) Outcome { return Outcome{For: work} }}
	simulate(t, opt, func(t *testing.T, sim *Simulation, c *Client) {
		for i, a := range sim.Agents() {
			if i%2 == 0 {
				a.Worker().SetLost(0.25)
			}
		}
		time.Sleep(second)
		var group sync.WaitGroup
		var late atomic.Int64
		for n := range jobs {
			group.Go(func() {
				j := job(n, 13)
				begun := time.Now()
				client := sim.NewClient()
				submit(t, client, j)
				for client.State(j.ID) != workload.Completed {
					time.Sleep(10 * time.Millisecond)
				}
				if time.Since(begun) > 2*work*3/2+250*time.Millisecond {
					late.Add(1)
				}
			})
			time.Sleep(second / 5)
		}
		group.Wait()
		if n := late.Load(); n > jobs/10 {
			t.Errorf("%d of %d jobs ended late", n, jobs)
		}
	})
}

// The store is 70 times slower than usual while ten jobs per second are
// submitted. A partition of the store executes one transaction at a time, in
// 560 ms. Guards against too few partitions: writes queue, time out and are
// repeated, and clients wait for their whole time-out.
func TestSlowStoreAcceptsAllSubmissions(t *testing.T) {
	simulate(t, Options{Entries: 4, Machines: 4}, func(t *testing.T, sim *Simulation, c *Client) {
		sim.Store.SetSlow(70)
		const jobs = 50
		var group sync.WaitGroup
		var accepted [jobs]bool
		for n := range jobs {
			group.Go(func() { accepted[n] = sim.NewClient().Submit(job(n, 1), 1) })
			time.Sleep(second / 10)
		}
		group.Wait()
		sim.Store.SetSlow(1)
		failed := 0
		for n := range jobs {
			if !accepted[n] {
				failed++
				continue
			}
			await(t, c, JobID(n), workload.Completed, 20*second)
		}
		if failed > 1 {
			t.Errorf("%d of %d jobs were not accepted at the first try", failed, jobs)
		}
	})
}

// Guards against entries that wait until the lease has been unchanged for two
// seconds. It comes about when all entries are killed and restarted: the lease
// names a process that no longer exists, and a new process answers at its
// address.
func TestRestartedEntriesTakeTheLeaseAtOnce(t *testing.T) {
	simulate(t, Options{Entries: 3, Machines: 1}, func(t *testing.T, sim *Simulation, c *Client) {
		for range 5 {
			for _, e := range sim.Entries() {
				e.Kill()
			}
			time.Sleep(second)
			for _, e := range sim.Entries() {
				e.Start()
			}
			begun := time.Now()
			for sim.Leader() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(begun); took > 700*time.Millisecond {
				t.Errorf("%v without a scheduler", took)
			}
			time.Sleep(second)
		}
	})
}

// Rows in the store don't expire by themselves. The scheduler must delete jobs
// that ended long ago, even if they ended before its term, and keep jobs that
// still run or can be queried.
func TestOldJobsAreDeleted(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 2}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, lastingJob(100, 1))
		for n := range 8 {
			submit(t, c, job(n, 2))
		}
		c.Cancel(JobID(3))
		await(t, c, JobID(7), workload.Completed, 20*second)
		time.Sleep(110 * second)
		if s := c.State(JobID(7)); s != workload.Completed {
			t.Errorf("after 110 s the job is %q", s)
		}
		sim.Leader().Kill()
		time.Sleep(5 * time.Minute)
		if left := sim.Store.Rows("jobs") + sim.Store.Rows("progress"); left != 2 {
			t.Errorf("%d rows remain, not the two of the lasting job", left)
		}
		if s := c.State(JobID(100)); s != workload.Running {
			t.Errorf("the lasting job is %q", s)
		}
	})
}

// All runs that start on one worker make no progress, while the worker's
// reports and answers stay normal. The tasks must move to other workers within
// two seconds, and no later tasks start there while the fault lasts.
func TestTasksMoveFromHangingWorker(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 4}, func(t *testing.T, sim *Simulation, c *Client) {
		sim.Agents()[1].Worker().SetHangs(true)
		for n := range 4 {
			submit(t, c, job(n, 8))
			if took := await(t, c, JobID(n), workload.Completed, 30*second); took > 7*second {
				t.Errorf("job %d of two seconds took %v", n, took)
			}
		}
	})
}

// One worker fails each new run within 30 ms and thus always has the most free
// capacity; its earlier runs continue and end done. Guards against tasks that
// use up their attempts there in a tenth of a second, so that their jobs fail.
// Each task may lose one attempt there, and no job fails.
func TestWorkerThatFailsAllRunsFailsNoJob(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, job(1, 24))
		time.Sleep(500 * time.Millisecond)
		sim.Agents()[1].Worker().SetFails(true)
		for n := range 8 {
			submit(t, c, job(10+n, 6))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(4 * second)
		sim.Agents()[1].Worker().SetFails(false)
		for n := range 8 {
			await(t, c, JobID(10+n), workload.Completed, 60*second)
		}
		await(t, c, JobID(1), workload.Completed, 60*second)
	})
}

// A deployment has only one worker. A failed task must run again on it.
func TestTaskThatFailedRunsAgainOnTheOnlyWorker(t *testing.T) {
	first := func(r workload.RunID) Outcome { return Outcome{For: second, Fails: r.Run == 1} }
	simulate(t, Options{Entries: 2, Machines: 1, Outcome: first}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, job(1, 4))
		if took := await(t, c, JobID(1), workload.Completed, 20*second); took > 6*second {
			t.Errorf("two steps of two runs of a second each took %v", took)
		}
	})
}

// On every worker a job takes far longer than its client's estimate. No task
// may be moved to another worker.
func TestWrongEstimatesMoveNothing(t *testing.T) {
	long := func(workload.RunID) Outcome { return Outcome{For: 9 * second} }
	simulate(t, Options{Entries: 2, Machines: 4, Outcome: long}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, job(1, 4))
		await(t, c, JobID(1), workload.Completed, 40*second)
		if sim.Rules.Started != 8 {
			t.Errorf("%d starts for 8 tasks", sim.Rules.Started)
		}
	})
}

// Half of all start orders get no answer and arrive 2 to 12 s late. Each must
// be repeated soon, so that jobs are hardly delayed. A late order has no
// effect: its run has started or ended, or its lease has expired.
func TestLostStartsAreRepeatedSoon(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 4}, func(t *testing.T, sim *Simulation, c *Client) {
		for _, a := range sim.Agents() {
			a.Worker().SetLateOrders(0.5)
		}
		var sum time.Duration
		const jobs = 12
		for n := range jobs {
			submit(t, c, job(n, 2))
			sum += await(t, c, JobID(n), workload.Completed, 30*second)
		}
		if mean := sum / jobs; mean > 3700*time.Millisecond {
			t.Errorf("jobs of two seconds took %v on average", mean)
		}
		time.Sleep(12 * second)
	})
}
