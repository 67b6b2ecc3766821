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

// A queue's policy permits only some workers, and the service that knows them
// takes its time. Tickets hold for three seconds, and workers refuse starts
// without one.
func TestQueueThatNeedsAdvice(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 5}, func(t *testing.T, w *World, c *Client) {
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

// Members of a gang work only together: all of them or none are placed, with
// one run number, and one end stands for all.
func TestGangIsPlacedWhole(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 2, Capacity: workload.Resources{CPU: 8000, Memory: 64000}}, func(t *testing.T, w *World, c *Client) {
		j := job(1, 6)
		j.Steps[0].Gang = true
		submit(t, c, job(2, 6))
		submit(t, c, j)
		await(t, c, JobID(1), workload.Completed, 20*second)
		await(t, c, JobID(2), workload.Completed, 20*second)
	})
}

// A job that is due at times runs once for each, and not before.
func TestRepeatedJob(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 2}, func(t *testing.T, w *World, c *Client) {
		j := job(1, 2)
		begun := time.Now()
		j.Repeat = workload.Repeat{Count: 3, First: begun.Add(2 * second).UnixMilli(), Interval: 4000}
		submit(t, c, j)
		if took := await(t, c, JobID(1), workload.Completed, 30*second); took < 10*second || took > 14*second {
			t.Errorf("three times with 4 s between took %v", took)
		}
		if w.Rules.Started != 12 {
			t.Errorf("%d starts for 12 tasks", w.Rules.Started)
		}
	})
}

// A worker is about to leave. Nothing more starts there, and its lasting
// tasks go on elsewhere before it ends.
func TestLeavingWorkerIsEvacuated(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, lastingJob(1, 6))
		time.Sleep(2 * second)
		leaving := w.Agents()[0].Worker()
		leaving.Drain()
		time.Sleep(3 * second)
		if runs := leaving.Running(); len(runs) > 0 {
			t.Errorf("still there: %v", runs)
		}
		running := 0
		for _, a := range w.Agents() {
			running += len(a.Worker().Running())
		}
		if running != 6 {
			t.Errorf("%d of 6 lasting tasks run", running)
		}
	})
}

// The store answers nobody, and does not say so. A client that hands a job in
// is refused at once, with a time to come back, and not kept until its
// deadline for an outcome that can't be known.
func TestStoreThatIsAwayRefusesAtOnce(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 1}, func(t *testing.T, w *World, c *Client) {
		w.Store.SetFault("", memstore.Silent)
		time.Sleep(3 * second)
		for _, e := range w.Entries() {
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
		w.Store.SetFault("", memstore.Healthy)
		time.Sleep(3 * second)
		submit(t, c, job(2, 1))
		await(t, c, JobID(2), workload.Completed, 10*second)
	})
}

// The store falls silent while a job is handed in. From 1.4 s on it is known to
// be away, and whoever comes then is told at once; the client of the job under
// way was kept waiting for its whole deadline, with nothing to gain.
func TestStoreThatFallsSilentKeepsNobodyWaiting(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 1}, func(t *testing.T, w *World, c *Client) {
		w.Store.SetFault("", memstore.Silent)
		ctx, cancel := context.WithTimeout(t.Context(), clientDeadline)
		defer cancel()
		begun := time.Now()
		w.Rules.handIn(job(1, 1))
		err := w.Entries()[0].Service().Submit(ctx, queue(), job(1, 1))
		w.Rules.answered(job(1, 1).ID, false, false)
		if !errors.Is(err, workload.ErrUndecided) {
			t.Errorf("answer %v, and the write may take effect yet", err)
		}
		if took := time.Since(begun); took > 1600*time.Millisecond {
			t.Errorf("told after %v", took)
		}
		w.Store.SetFault("", memstore.Healthy)
		time.Sleep(3 * second)
		submit(t, c, job(1, 1))
		await(t, c, JobID(1), workload.Completed, 10*second)
	})
}

// Workers carry calls out, and a quarter of the answers of every second worker
// are lost. A listing waits half a second for an end, and one whose answer is
// lost was only given up after that: of a step of 13 tasks one end was nearly
// always told that much later, and short jobs ended late. A client expects its
// job within 1.5 times its chain of work and 250 ms.
func TestLostAnswersDoNotMakeShortJobsLate(t *testing.T) {
	const work, jobs = 640 * time.Millisecond, 150
	opt := Options{Entries: 2, Machines: 60, Outcome: func(workload.RunID) Outcome { return Outcome{For: work} }}
	play(t, opt, func(t *testing.T, w *World, c *Client) {
		for i, a := range w.Agents() {
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
				client := w.NewClient()
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

// The store takes 70 times as long for everything, for seconds, while ten
// jobs a second are handed in. A part of its rows carries out one transaction
// at a time, 560 ms each: with few parts the writes queue behind each other,
// time out, are repeated, and clients wait for their whole deadline.
func TestSlowStoreTakesAllSubmissions(t *testing.T) {
	play(t, Options{Entries: 4, Machines: 4}, func(t *testing.T, w *World, c *Client) {
		w.Store.SetSlow(70)
		const jobs = 50
		var group sync.WaitGroup
		var accepted [jobs]bool
		for n := range jobs {
			group.Go(func() { accepted[n] = w.NewClient().Submit(job(n, 1), 1) })
			time.Sleep(second / 10)
		}
		group.Wait()
		w.Store.SetSlow(1)
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

// All entries are killed and back a second later. The lease names a process
// that is gone, at an address where another one answers: nobody is to wait
// until the lease has stood still for two seconds.
func TestRestartedEntriesTakeTheLeaseAtOnce(t *testing.T) {
	play(t, Options{Entries: 3, Machines: 1}, func(t *testing.T, w *World, c *Client) {
		for range 5 {
			for _, e := range w.Entries() {
				e.Kill()
			}
			time.Sleep(second)
			for _, e := range w.Entries() {
				e.Start()
			}
			begun := time.Now()
			for w.Leader() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(begun); took > 700*time.Millisecond {
				t.Errorf("%v without a scheduler", took)
			}
			time.Sleep(second)
		}
	})
}

// Nothing in the store expires by itself. Jobs that ended long ago are
// deleted, also by a scheduler that begins its term in between, and those that
// still run or can be asked for are kept.
func TestOldJobsAreRetired(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 2}, func(t *testing.T, w *World, c *Client) {
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
		w.Leader().Kill()
		time.Sleep(5 * time.Minute)
		if left := w.Store.Rows("jobs") + w.Store.Rows("progress"); left != 2 {
			t.Errorf("%d rows are left, not the two of the lasting job", left)
		}
		if s := c.State(JobID(100)); s != workload.Running {
			t.Errorf("the lasting job is %q", s)
		}
	})
}

// All that begins on one worker stands still, while its reports and answers
// are as good as ever. Its tasks are taken to other workers within two seconds,
// and later ones don't begin there as long as it goes on.
func TestTasksLeaveAWorkerThatHangs(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 4}, func(t *testing.T, w *World, c *Client) {
		w.Agents()[1].Worker().SetHangs(true)
		for n := range 4 {
			submit(t, c, job(n, 8))
			if took := await(t, c, JobID(n), workload.Completed, 30*second); took > 7*second {
				t.Errorf("job %d of two seconds took %v", n, took)
			}
		}
	})
}

// One worker fails all that it starts within moments, and so is the emptiest
// one all the time; what began there before goes on and ends well. Tasks used
// up their attempts there in a tenth of a second, and jobs were told to have
// failed. Each task may lose one attempt there, and no job fails.
func TestWorkerThatFailsAllCostsNoJob(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, job(1, 24))
		time.Sleep(500 * time.Millisecond)
		w.Agents()[1].Worker().SetFails(true)
		for n := range 8 {
			submit(t, c, job(10+n, 6))
			time.Sleep(300 * time.Millisecond)
		}
		time.Sleep(4 * second)
		w.Agents()[1].Worker().SetFails(false)
		for n := range 8 {
			await(t, c, JobID(10+n), workload.Completed, 60*second)
		}
		await(t, c, JobID(1), workload.Completed, 60*second)
	})
}

// On a deployment of one worker a failed task has nowhere else to go.
func TestTaskThatFailedRunsAgainOnTheOnlyWorker(t *testing.T) {
	first := func(r workload.RunID) Outcome { return Outcome{For: second, Fails: r.Run == 1} }
	play(t, Options{Entries: 2, Machines: 1, Outcome: first}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, job(1, 4))
		if took := await(t, c, JobID(1), workload.Completed, 20*second); took > 6*second {
			t.Errorf("two steps of two runs of a second each took %v", took)
		}
	})
}

// A job is far larger than its client thought, on every worker: nothing is
// taken from anywhere.
func TestWrongEstimatesMoveNothing(t *testing.T) {
	long := func(workload.RunID) Outcome { return Outcome{For: 9 * second} }
	play(t, Options{Entries: 2, Machines: 4, Outcome: long}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, job(1, 4))
		await(t, c, JobID(1), workload.Completed, 40*second)
		if w.Rules.Started != 8 {
			t.Errorf("%d starts for 8 tasks", w.Rules.Started)
		}
	})
}

// For a while half of all starts get no answer, and are carried out seconds
// later or not at all. Each is repeated soon, so that jobs hardly notice; what
// is carried out late finds its run there, or ended, and does nothing.
func TestLostStartsAreRepeatedSoon(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 4}, func(t *testing.T, w *World, c *Client) {
		for _, a := range w.Agents() {
			a.Worker().SetLate(0.5)
		}
		var sum time.Duration
		const jobs = 12
		for n := range jobs {
			submit(t, c, job(n, 2))
			sum += await(t, c, JobID(n), workload.Completed, 30*second)
		}
		if mean := sum / jobs; mean > 3700*time.Millisecond {
			t.Errorf("jobs of two seconds took %v in the mean", mean)
		}
		time.Sleep(12 * second)
	})
}
