package machines

import (
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/structs/workload"
)

// second is the unit of the tests' stories.
const second = time.Second

var capacity = workload.Resources{CPU: 16000, Memory: 64000}

func queue() workload.Queue {
	return workload.Queue{Name: "q", Service: Service, MaxAttempts: 3, Stretch: 2, TargetLatency: second}
}

// job is a job of two steps of n tasks each.
func job(number, n int) workload.Job {
	s := workload.Step{Count: n, Need: workload.Resources{CPU: 2000, Memory: 1000}, Estimate: second}
	after := s
	after.After = []int{0}
	return workload.Job{ID: JobID(number), Queue: queue(), Payload: "p" + string(JobID(number)), Steps: []workload.Step{s, after}}
}

func lastingJob(number, n int) workload.Job {
	s := workload.Step{Count: n, Need: workload.Resources{CPU: 2000, Memory: 1000}, Lasting: true}
	return workload.Job{ID: JobID(number), Queue: queue(), Payload: "lasting", Steps: []workload.Step{s}}
}

// oneSecond lets finite tasks take a second and lasting ones go on.
func oneSecond(r workload.RunID) Outcome { return Outcome{For: second} }

// play runs a story in fake time and checks the rules after it.
func play(t *testing.T, opt Options, story func(t *testing.T, w *World, c *Client)) {
	t.Helper()
	if opt.Outcome == nil {
		opt.Outcome = oneSecond
	}
	if opt.Capacity == (workload.Resources{}) {
		opt.Capacity = capacity
	}
	if os.Getenv("MACHINES_LOG") != "" {
		opt.Log = os.Stderr
	}
	synctest.Test(t, func(t *testing.T) {
		w := New(opt)
		time.Sleep(3 * second)
		story(t, w, w.NewClient())
		for _, b := range w.Rules.Broken() {
			t.Error(b)
		}
		w.Close()
	})
}

// await fails the test if a job does not end as wanted in time.
func await(t *testing.T, c *Client, id workload.JobID, want workload.State, within time.Duration) time.Duration {
	t.Helper()
	begun := time.Now()
	open := c.Await([]workload.JobID{id}, within)
	if s, ok := open[id]; ok {
		t.Fatalf("job %s is %s after %v", id, s, within)
	}
	if s := c.State(id); s != want {
		t.Fatalf("job %s ended %s, not %s", id, s, want)
	}
	return time.Since(begun)
}

func submit(t *testing.T, c *Client, j workload.Job) {
	t.Helper()
	if !c.Submit(j, 5) {
		t.Fatalf("job %s was not accepted", j.ID)
	}
}

func TestJobOfStepsEndsInItsTime(t *testing.T) {
	play(t, Options{Entries: 3, Machines: 4}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, job(1, 6))
		if took := await(t, c, JobID(1), workload.Completed, 10*second); took > 2900*time.Millisecond {
			t.Errorf("two steps of a second took %v", took)
		}
	})
}

// Power goes on all machines of the system in the moment in which a client is
// told that its job was accepted. What only a process knew is gone; the job
// has to run all the same, and what ran goes on.
func TestAllProcessesAreKilledRightAfterAnAcceptance(t *testing.T) {
	play(t, Options{Entries: 3, Machines: 4}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, job(1, 6))
		time.Sleep(300 * time.Millisecond)
		submit(t, c, job(2, 6))
		w.KillAll()
		time.Sleep(second)
		w.StartAll()
		await(t, c, JobID(1), workload.Completed, 12*second)
		await(t, c, JobID(2), workload.Completed, 12*second)
		if w.Rules.Started != 24 {
			t.Errorf("%d starts for 24 tasks: the workers lived on, and their work was done again", w.Rules.Started)
		}
	})
}

// The entry that schedules is killed. The others see that nothing listens at
// its address any more and take over within two seconds; nothing runs twice.
func TestKilledSchedulerIsOvertaken(t *testing.T) {
	play(t, Options{Entries: 3, Machines: 4}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, job(1, 6))
		time.Sleep(500 * time.Millisecond)
		w.Leader().Kill()
		if took := await(t, c, JobID(1), workload.Completed, 12*second); took > 5*second {
			t.Errorf("the job took %v", took)
		}
	})
}

// The scheduler's process is told to stop while one of its transactions is
// under way. Were the transaction cut off, the release of the lease would meet
// a newer version and be refused, and clients would wait until the others take
// over a lease that stands still: two seconds and more.
func TestStoppedSchedulerHandsOver(t *testing.T) {
	play(t, Options{Entries: 3, Machines: 4}, func(t *testing.T, w *World, c *Client) {
		for n := range 10 {
			submit(t, c, job(n, 2))
			w.Leader().Stop()
			begun := time.Now()
			for w.Leader() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(begun); took > second {
				t.Errorf("round %d: %v without a scheduler", n, took)
			}
			for _, e := range w.Entries() {
				e.Start()
			}
			time.Sleep(second)
		}
	})
}

// A worker's machine stays up and its agent with it, but the worker is gone
// for good: it answers nothing and begins no new life. An agent that went on
// renewing the lease would keep its tasks from ever starting elsewhere.
func TestWorkerThatIsSilentForGoodLosesItsTasks(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, w *World, c *Client) {
		j := lastingJob(1, 6)
		submit(t, c, j)
		time.Sleep(2 * second)
		lost := w.Agents()[0].Worker()
		lost.Crash()
		time.Sleep(10 * second)
		running := 0
		for _, a := range w.Agents()[1:] {
			running += len(a.Worker().Running())
		}
		if running != 6 {
			t.Errorf("%d of 6 lasting tasks run", running)
		}
	})
}

// A worker is cut off from its agent and runs on. Its tasks may start
// elsewhere only once its last lease, on its slow clock, is over.
func TestTasksOfAWorkerOutOfReachWaitForItsLease(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, lastingJob(1, 6))
		time.Sleep(2 * second)
		w.Agents()[0].Worker().SetDark(true)
		time.Sleep(15 * second)
		w.Agents()[0].Worker().SetDark(false)
		time.Sleep(5 * second)
	})
}

// A machine with agent and worker is cut off from all others for longer than
// its grant, and comes back.
func TestMachineThatIsCutOffComesBack(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, lastingJob(1, 6))
		submit(t, c, job(2, 12))
		time.Sleep(500 * time.Millisecond)
		node := w.Agents()[0].Node
		w.Cut(node, true)
		time.Sleep(15 * second)
		w.Cut(node, false)
		await(t, c, JobID(2), workload.Completed, 10*second)
		time.Sleep(3 * second)
	})
}

// An agent is killed beside a living worker and started anew. It has to fence
// its predecessor, whose orders may still be on their way, and to learn what
// runs, without stopping it.
func TestNewAgentTakesOverWhatRuns(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 2}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, lastingJob(1, 4))
		submit(t, c, job(2, 6))
		for range 4 {
			time.Sleep(700 * time.Millisecond)
			w.Agents()[0].Kill()
			time.Sleep(2 * second)
			w.Agents()[0].Start()
		}
		await(t, c, JobID(2), workload.Completed, 12*second)
		if w.Rules.Started != 16 {
			t.Errorf("%d starts for 16 tasks", w.Rules.Started)
		}
	})
}

// Workers leave a third of their orders unanswered and carry them out up to
// 12 s later, after newer ones.
func TestOrdersThatAreCarriedOutLate(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 3, Seed: 5}, func(t *testing.T, w *World, c *Client) {
		for _, a := range w.Agents() {
			a.Worker().SetLate(0.33)
		}
		var ids []workload.JobID
		for n := range 12 {
			submit(t, c, job(n, 5))
			ids = append(ids, JobID(n))
			time.Sleep(300 * time.Millisecond)
		}
		c.Cancel(JobID(3))
		if open := c.Await(ids, 60*second); len(open) > 0 {
			t.Errorf("not ended: %v", open)
		}
		time.Sleep(15 * second)
	})
}

// The store falls silent towards the scheduler's machine, and serves all
// others. What the scheduler had under way at the store waited for a second and
// a half before it went through another entry; no task was placed meanwhile,
// and clients' short jobs ended late.
func TestSilentWayToTheStoreIsLeftSoon(t *testing.T) {
	play(t, Options{Entries: 5, Machines: 4}, func(t *testing.T, w *World, c *Client) {
		time.Sleep(6 * second) // the entries have learnt of each other
		leader := w.Leader()
		client := NewClient(w.Rules, func(n int) Jobs {
			for _, e := range w.Entries() {
				if e != leader {
					return e.Service()
				}
			}
			return nil
		})
		w.Store.SetFault(leader.Node, memstore.Silent)
		for n := range 5 {
			j := job(n, 4)
			submit(t, client, j)
			begun := time.Now()
			for client.State(j.ID) != workload.Completed {
				time.Sleep(10 * time.Millisecond)
			}
			// Two steps of a second each; the silence is noticed once.
			if took := time.Since(begun); took > 2900*time.Millisecond {
				t.Errorf("job %d took %v", n, took)
			}
		}
		w.Store.SetFault(leader.Node, memstore.Healthy)
	})
}

// The store carries transactions out and loses a third of its answers, for six
// seconds. The scheduler waited a second and a half for each lost one, and
// hardly anything was placed meanwhile: jobs took seconds longer than their work.
func TestStoreThatLosesAnswersHoldsUpLittle(t *testing.T) {
	play(t, Options{Entries: 5, Machines: 8}, func(t *testing.T, w *World, c *Client) {
		time.Sleep(6 * second) // the entries have learnt of each other
		w.Store.SetLost(0.35, false)
		const jobs = 30
		var group sync.WaitGroup
		var took [jobs]time.Duration
		for n := range jobs {
			group.Go(func() {
				client, j := w.NewClient(), job(n, 2)
				begun := time.Now()
				submit(t, client, j)
				for client.State(j.ID) != workload.Completed {
					time.Sleep(10 * time.Millisecond)
				}
				took[n] = time.Since(begun)
			})
			time.Sleep(second / 5)
		}
		w.Store.SetLost(0, false)
		group.Wait()
		slices.Sort(took[:])
		// Two steps of a second each.
		t.Logf("%v in the middle, %v at most", took[jobs/2], took[jobs-1])
		if middle, most := took[jobs/2], took[jobs-1]; middle > 3*second || most > 5*second {
			t.Errorf("jobs of 2 s took %v in the middle and %v at most", middle, most)
		}
	})
}

// The store turns the scheduler's machine away and serves the others. Clients
// that reach this entry are not to be refused, and work goes on.
func TestStoreThatTurnsOneMachineAway(t *testing.T) {
	for _, fault := range []memstore.Fault{memstore.Refused, memstore.Silent} {
		play(t, Options{Entries: 3, Machines: 3}, func(t *testing.T, w *World, c *Client) {
			time.Sleep(6 * second)
			leader := w.Leader()
			w.Store.SetFault(leader.Node, fault)
			for n := range 6 {
				submit(t, c, job(n, 2))
				await(t, c, JobID(n), workload.Completed, 12*second)
			}
		})
	}
}

// The scheduler's machine is cut off from the store for ten seconds, and does
// not hear so: its calls get no answer. Another entry makes them. Calls that
// tried the direct way now and then would wait for its time-out each time, and
// with them every start.
func TestSchedulerCutOffFromTheStoreGoesOn(t *testing.T) {
	play(t, Options{Entries: 3, Machines: 4}, func(t *testing.T, w *World, c *Client) {
		leader := w.Leader()
		w.Store.SetFault(leader.Node, memstore.Silent)
		time.Sleep(4 * second)
		slow := 0
		for n := range 8 {
			submit(t, c, job(n, 2))
			if took := await(t, c, JobID(n), workload.Completed, 10*second); took > 3*second {
				slow++
			}
		}
		if slow > 1 {
			t.Errorf("%d of 8 jobs of two seconds took more than three", slow)
		}
		w.Store.SetFault(leader.Node, memstore.Healthy)
		time.Sleep(2 * second)
	})
}

// The store answers nobody for a while. Nothing is accepted, nothing that was
// accepted is lost, and running tasks go on under their leases.
func TestStoreOutage(t *testing.T) {
	for _, fault := range []memstore.Fault{memstore.Refused, memstore.Silent} {
		play(t, Options{Entries: 3, Machines: 3}, func(t *testing.T, w *World, c *Client) {
			submit(t, c, lastingJob(1, 4))
			submit(t, c, job(2, 4))
			time.Sleep(second)
			w.Store.SetFault("", fault)
			go w.NewClient().Submit(job(3, 2), 2)
			time.Sleep(5 * second)
			w.Store.SetFault("", memstore.Healthy)
			await(t, c, JobID(2), workload.Completed, 12*second)
			for _, a := range w.Agents() {
				for _, r := range a.Worker().Running() {
					if r.Task.Job == JobID(1) && r.Run > 1 {
						t.Errorf("%s: a lasting task was lost in an outage of 5 s", r)
					}
				}
			}
		})
	}
}

// Answers of the store are lost, and the writes land seconds later. A job
// whose submission got no answer may run, once, and only if its client was
// not told that it never will.
func TestWritesThatLandLate(t *testing.T) {
	play(t, Options{Entries: 3, Machines: 3, Seed: 3}, func(t *testing.T, w *World, c *Client) {
		w.Store.SetLost(0.4, true)
		var ids []workload.JobID
		for n := range 15 {
			if c.Submit(job(n, 3), 3) {
				ids = append(ids, JobID(n))
			}
		}
		w.Store.SetLost(0, false)
		if open := c.Await(ids, 60*second); len(open) > 0 {
			t.Errorf("not ended: %v", open)
		}
		time.Sleep(10 * second)
	})
}

// The store forgets its history: every feed has to begin anew.
func TestStoreThatForgetsItsHistory(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, w *World, c *Client) {
		for n := range 5 {
			submit(t, c, job(n, 3))
			w.Store.Compact()
			time.Sleep(300 * time.Millisecond)
		}
		for n := range 5 {
			await(t, c, JobID(n), workload.Completed, 20*second)
		}
	})
}

// A job whose tasks fail wherever they run fails after its attempts, and the
// workers that ran it go on taking the good jobs.
func TestHopelessJobFails(t *testing.T) {
	outcome := func(r workload.RunID) Outcome {
		return Outcome{For: 200 * time.Millisecond, Fails: r.Task.Job == JobID(1)}
	}
	play(t, Options{Entries: 2, Machines: 3, Outcome: outcome}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, job(1, 4))
		submit(t, c, job(2, 4))
		await(t, c, JobID(1), workload.Failed, 10*second)
		await(t, c, JobID(2), workload.Completed, 10*second)
	})
}

// A cancellation is acknowledged while no scheduler leads. The next one must
// not start the job's tasks, and stops those that run.
func TestCancelWhileNobodySchedules(t *testing.T) {
	play(t, Options{Entries: 3, Machines: 2}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, lastingJob(1, 4))
		time.Sleep(2 * second)
		w.Leader().Kill()
		if !c.Cancel(JobID(1)) {
			t.Fatal("not cancelled")
		}
		await(t, c, JobID(1), workload.Cancelled, second)
		time.Sleep(4 * second)
		for _, a := range w.Agents() {
			if runs := a.Worker().Running(); len(runs) > 0 {
				t.Errorf("still runs: %v", runs)
			}
		}
	})
}

// The same identifier arrives at all entries at once, as after answers that
// were lost. It is one job, and every entry accepts it.
func TestOneIdentifierIsOneJob(t *testing.T) {
	play(t, Options{Entries: 4, Machines: 3}, func(t *testing.T, w *World, c *Client) {
		done := make(chan bool)
		for range 8 {
			go func() { done <- w.NewClient().Submit(job(1, 3), 1) }()
		}
		for range 8 {
			if !<-done {
				t.Error("an entry did not accept a job that is stored")
			}
		}
		await(t, c, JobID(1), workload.Completed, 10*second)
		if w.Rules.Started != 6 {
			t.Errorf("%d starts for 6 tasks", w.Rules.Started)
		}
	})
}

// More work than room: what is accepted ends in time, and no worker is ever
// over its capacity, also with starts and stops on their way.
func TestWorkBeyondTheRoomWaits(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 2, Capacity: workload.Resources{CPU: 5000, Memory: 64000}}, func(t *testing.T, w *World, c *Client) {
		var ids []workload.JobID
		for n := range 8 {
			submit(t, c, job(n, 4))
			ids = append(ids, JobID(n))
		}
		c.Cancel(JobID(7))
		if open := c.Await(ids, 60*second); len(open) > 0 {
			t.Errorf("not ended: %v", open)
		}
	})
}
