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

const second = time.Second

var capacity = workload.Resources{CPU: 16000, Memory: 64000}

func queue() workload.Queue {
	return workload.Queue{Name: "q", Service: Service, MaxAttempts: 3, Stretch: 2, TargetLatency: second}
}

// job returns a job of two steps of n tasks each.
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

// oneSecondOutcome makes finite tasks take a second; lasting tasks run until
// stopped.
func oneSecondOutcome(r workload.RunID) Outcome { return Outcome{For: second} }

// simulate runs a scenario in fake time and then checks the rules.
func simulate(t *testing.T, opt Options, scenario func(t *testing.T, sim *Simulation, c *Client)) {
	t.Helper()
	if opt.Outcome == nil {
		opt.Outcome = oneSecondOutcome
	}
	if opt.Capacity == (workload.Resources{}) {
		opt.Capacity = capacity
	}
	if os.Getenv("MACHINES_LOG") != "" {
		opt.Log = os.Stderr
	}
	synctest.Test(t, func(t *testing.T) {
		sim := New(opt)
		time.Sleep(3 * second)
		scenario(t, sim, sim.NewClient())
		for _, b := range sim.Rules.Broken() {
			t.Error(b)
		}
		sim.Close()
	})
}

// await returns the time until a job ends. The test fails unless the job ends
// in the state want in time.
func await(t *testing.T, c *Client, id workload.JobID, want workload.State, within time.Duration) time.Duration {
	t.Helper()
	begun := time.Now()
	open := c.Await([]workload.JobID{id}, within)
	if s, ok := open[id]; ok {
		t.Fatalf("job %s is %s after %v", id, s, within)
	}
	if s := c.State(id); s != want {
		t.Fatalf("job %s ended as %s, not %s", id, s, want)
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
	simulate(t, Options{Entries: 3, Machines: 4}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, job(1, 6))
		if took := await(t, c, JobID(1), workload.Completed, 10*second); took > 2900*time.Millisecond {
			t.Errorf("two steps of a second took %v", took)
		}
	})
}

// All entries and agents are killed right after a job is accepted, and lose the
// state that is not in the store. The job must still run, and running tasks
// must continue.
func TestAllProcessesAreKilledRightAfterAnAcceptance(t *testing.T) {
	simulate(t, Options{Entries: 3, Machines: 4}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, job(1, 6))
		time.Sleep(300 * time.Millisecond)
		submit(t, c, job(2, 6))
		sim.KillAll()
		time.Sleep(second)
		sim.StartAll()
		await(t, c, JobID(1), workload.Completed, 12*second)
		await(t, c, JobID(2), workload.Completed, 12*second)
		if sim.Rules.Started != 24 {
			t.Errorf("%d starts for 24 tasks: the workers kept running, but their work was repeated", sim.Rules.Started)
		}
	})
}

// The scheduling entry is killed. Its address refuses connections, so another
// entry takes over within two seconds. No task runs twice.
func TestKilledSchedulerIsReplaced(t *testing.T) {
	simulate(t, Options{Entries: 3, Machines: 4}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, job(1, 6))
		time.Sleep(500 * time.Millisecond)
		sim.Leader().Kill()
		if took := await(t, c, JobID(1), workload.Completed, 12*second); took > 5*second {
			t.Errorf("the job took %v", took)
		}
	})
}

// Guards against a stopped scheduler that does not release its lease, so that
// clients wait until another entry takes over a lease that is unchanged for two
// seconds or more. It comes about when the stop aborts a transaction: the
// release then meets a newer version of the lease and is refused.
func TestStoppedSchedulerHandsOver(t *testing.T) {
	simulate(t, Options{Entries: 3, Machines: 4}, func(t *testing.T, sim *Simulation, c *Client) {
		for n := range 10 {
			submit(t, c, job(n, 2))
			sim.Leader().Stop()
			begun := time.Now()
			for sim.Leader() == nil {
				time.Sleep(10 * time.Millisecond)
			}
			if took := time.Since(begun); took > second {
				t.Errorf("round %d: %v without a scheduler", n, took)
			}
			for _, e := range sim.Entries() {
				e.Start()
			}
			time.Sleep(second)
		}
	})
}

// Guards against tasks of a dead worker that never start elsewhere. It comes
// about when the agent keeps renewing the lease of a worker that neither
// answers nor restarts.
func TestTasksOfDeadWorkerRestartElsewhere(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, sim *Simulation, c *Client) {
		j := lastingJob(1, 6)
		submit(t, c, j)
		time.Sleep(2 * second)
		lost := sim.Agents()[0].Worker()
		lost.Crash()
		time.Sleep(10 * second)
		running := 0
		for _, a := range sim.Agents()[1:] {
			running += len(a.Worker().Running())
		}
		if running != 6 {
			t.Errorf("%d of 6 lasting tasks run", running)
		}
	})
}

// A worker does not answer its agent but keeps running. Its tasks may start
// elsewhere only once the worker's last lease has expired by its slow clock.
func TestTasksOfAWorkerOutOfReachWaitForItsLease(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, lastingJob(1, 6))
		time.Sleep(2 * second)
		sim.Agents()[0].Worker().SetUnresponsive(true)
		time.Sleep(15 * second)
		sim.Agents()[0].Worker().SetUnresponsive(false)
		time.Sleep(5 * second)
	})
}

// A machine with agent and worker is cut off from all others until after the
// agent's grant has expired, and is then reconnected.
func TestMachineThatIsCutOffComesBack(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, lastingJob(1, 6))
		submit(t, c, job(2, 12))
		time.Sleep(500 * time.Millisecond)
		node := sim.Agents()[0].Node
		sim.Cut(node, true)
		time.Sleep(15 * second)
		sim.Cut(node, false)
		await(t, c, JobID(2), workload.Completed, 10*second)
		time.Sleep(3 * second)
	})
}

// An agent is killed and restarted while its worker keeps running. The new
// process must fence the old one, whose orders may still be in flight, and
// learn the current runs without stopping them.
func TestNewAgentTakesOverWhatRuns(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 2}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, lastingJob(1, 4))
		submit(t, c, job(2, 6))
		for range 4 {
			time.Sleep(700 * time.Millisecond)
			sim.Agents()[0].Kill()
			time.Sleep(2 * second)
			sim.Agents()[0].Start()
		}
		await(t, c, JobID(2), workload.Completed, 12*second)
		if sim.Rules.Started != 16 {
			t.Errorf("%d starts for 16 tasks", sim.Rules.Started)
		}
	})
}

// Workers leave a third of their orders unanswered and execute them up to 12 s
// later, after newer orders.
func TestOrdersThatAreCarriedOutLate(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 3, Seed: 5}, func(t *testing.T, sim *Simulation, c *Client) {
		for _, a := range sim.Agents() {
			a.Worker().SetLateOrders(0.33)
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

// The store stops answering the scheduler's machine and serves all others.
// Guards against store calls in flight that wait 1.5 s before they go through
// another entry. During this wait no task is placed, so short jobs end late.
func TestUnresponsiveStorePathIsAbandonedSoon(t *testing.T) {
	simulate(t, Options{Entries: 5, Machines: 4}, func(t *testing.T, sim *Simulation, c *Client) {
		time.Sleep(6 * second) // the entries have learnt of each other
		leader := sim.Leader()
		client := NewClient(sim.Rules, func(n int) Jobs {
			for _, e := range sim.Entries() {
				if e != leader {
					return e.Service()
				}
			}
			return nil
		})
		sim.Store.SetFault(leader.Node, memstore.Unresponsive)
		for n := range 5 {
			j := job(n, 4)
			submit(t, client, j)
			begun := time.Now()
			for client.State(j.ID) != workload.Completed {
				time.Sleep(10 * time.Millisecond)
			}
			// Two steps of a second each; the fault is noticed once.
			if took := time.Since(begun); took > 2900*time.Millisecond {
				t.Errorf("job %d took %v", n, took)
			}
		}
		sim.Store.SetFault(leader.Node, memstore.Healthy)
	})
}

// The store executes transactions and loses a third of its answers for six
// seconds. Guards against a scheduler that waits 1.5 s for each lost answer, so
// that hardly any task is placed and jobs take seconds longer than their work.
func TestLostStoreAnswersDelayJobsLittle(t *testing.T) {
	simulate(t, Options{Entries: 5, Machines: 8}, func(t *testing.T, sim *Simulation, c *Client) {
		time.Sleep(6 * second) // the entries have learnt of each other
		sim.Store.SetLost(0.35, false)
		const jobs = 30
		var group sync.WaitGroup
		var took [jobs]time.Duration
		for n := range jobs {
			group.Go(func() {
				client, j := sim.NewClient(), job(n, 2)
				begun := time.Now()
				submit(t, client, j)
				for client.State(j.ID) != workload.Completed {
					time.Sleep(10 * time.Millisecond)
				}
				took[n] = time.Since(begun)
			})
			time.Sleep(second / 5)
		}
		sim.Store.SetLost(0, false)
		group.Wait()
		slices.Sort(took[:])
		// Two steps of a second each.
		t.Logf("%v in the median, %v at most", took[jobs/2], took[jobs-1])
		if middle, most := took[jobs/2], took[jobs-1]; middle > 3*second || most > 5*second {
			t.Errorf("jobs of 2 s took %v in the median and %v at most", middle, most)
		}
	})
}

// The store refuses or does not answer the scheduler's machine but serves
// others. Clients of the scheduling entry must not be refused, and jobs must
// still run.
func TestStoreThatRefusesOneMachine(t *testing.T) {
	for _, fault := range []memstore.Fault{memstore.Refused, memstore.Unresponsive} {
		simulate(t, Options{Entries: 3, Machines: 3}, func(t *testing.T, sim *Simulation, c *Client) {
			time.Sleep(6 * second)
			leader := sim.Leader()
			sim.Store.SetFault(leader.Node, fault)
			for n := range 6 {
				submit(t, c, job(n, 2))
				await(t, c, JobID(n), workload.Completed, 12*second)
			}
		})
	}
}

// The scheduler's calls to the store get no answer, so they go through another
// entry. Guards against calls that still try the direct path now and then: each
// waits for a time-out and delays task starts.
func TestSchedulerCutOffFromTheStoreContinues(t *testing.T) {
	simulate(t, Options{Entries: 3, Machines: 4}, func(t *testing.T, sim *Simulation, c *Client) {
		leader := sim.Leader()
		sim.Store.SetFault(leader.Node, memstore.Unresponsive)
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
		sim.Store.SetFault(leader.Node, memstore.Healthy)
		time.Sleep(2 * second)
	})
}

// The store answers no machine for a while. No job is accepted, no accepted job
// is lost, and running tasks continue under their leases.
func TestStoreOutage(t *testing.T) {
	for _, fault := range []memstore.Fault{memstore.Refused, memstore.Unresponsive} {
		simulate(t, Options{Entries: 3, Machines: 3}, func(t *testing.T, sim *Simulation, c *Client) {
			submit(t, c, lastingJob(1, 4))
			submit(t, c, job(2, 4))
			time.Sleep(second)
			sim.Store.SetFault("", fault)
			go sim.NewClient().Submit(job(3, 2), 2)
			time.Sleep(5 * second)
			sim.Store.SetFault("", memstore.Healthy)
			await(t, c, JobID(2), workload.Completed, 12*second)
			for _, a := range sim.Agents() {
				for _, r := range a.Worker().Running() {
					if r.Task.Job == JobID(1) && r.Run > 1 {
						t.Errorf("%s: a lasting task was lost in an outage of 5 s", r)
					}
				}
			}
		})
	}
}

// The store's answers are lost, and its writes are applied seconds later. A job
// whose submission got no answer may run at most once. A job must not run if
// all attempts to submit it were refused.
func TestWritesThatAreAppliedLate(t *testing.T) {
	simulate(t, Options{Entries: 3, Machines: 3, Seed: 3}, func(t *testing.T, sim *Simulation, c *Client) {
		sim.Store.SetLost(0.4, true)
		var ids []workload.JobID
		for n := range 15 {
			if c.Submit(job(n, 3), 3) {
				ids = append(ids, JobID(n))
			}
		}
		sim.Store.SetLost(0, false)
		if open := c.Await(ids, 60*second); len(open) > 0 {
			t.Errorf("not ended: %v", open)
		}
		time.Sleep(10 * second)
	})
}

// The store drops its history, so every feed of changes must restart.
func TestJobsCompleteAfterStoreCompaction(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, sim *Simulation, c *Client) {
		for n := range 5 {
			submit(t, c, job(n, 3))
			sim.Store.Compact()
			time.Sleep(300 * time.Millisecond)
		}
		for n := range 5 {
			await(t, c, JobID(n), workload.Completed, 20*second)
		}
	})
}

// A job whose tasks fail on every worker fails after its allowed attempts, and
// its workers still run other jobs.
func TestJobWhoseTasksAlwaysFailFails(t *testing.T) {
	outcome := func(r workload.RunID) Outcome {
		return Outcome{For: 200 * time.Millisecond, Fails: r.Task.Job == JobID(1)}
	}
	simulate(t, Options{Entries: 2, Machines: 3, Outcome: outcome}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, job(1, 4))
		submit(t, c, job(2, 4))
		await(t, c, JobID(1), workload.Failed, 10*second)
		await(t, c, JobID(2), workload.Completed, 10*second)
	})
}

// A cancellation is acknowledged while no scheduler leads. The next scheduler
// must not start the job's tasks, and must stop those that run.
func TestCancelWhileNobodySchedules(t *testing.T) {
	simulate(t, Options{Entries: 3, Machines: 2}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, lastingJob(1, 4))
		time.Sleep(2 * second)
		sim.Leader().Kill()
		if !c.Cancel(JobID(1)) {
			t.Fatal("not cancelled")
		}
		await(t, c, JobID(1), workload.Cancelled, second)
		time.Sleep(4 * second)
		for _, a := range sim.Agents() {
			if runs := a.Worker().Running(); len(runs) > 0 {
				t.Errorf("still running: %v", runs)
			}
		}
	})
}

// A job is submitted to all entries at once under one identifier, as after lost
// answers. Every entry must accept it, and it must run once.
func TestOneIdentifierIsOneJob(t *testing.T) {
	simulate(t, Options{Entries: 4, Machines: 3}, func(t *testing.T, sim *Simulation, c *Client) {
		done := make(chan bool)
		for range 8 {
			go func() { done <- sim.NewClient().Submit(job(1, 3), 1) }()
		}
		for range 8 {
			if !<-done {
				t.Error("an entry did not accept a job that is stored")
			}
		}
		await(t, c, JobID(1), workload.Completed, 10*second)
		if sim.Rules.Started != 6 {
			t.Errorf("%d starts for 6 tasks", sim.Rules.Started)
		}
	})
}

// More work is submitted than fits. Accepted jobs end in time, and no worker
// exceeds its capacity, even with starts and stops in flight.
func TestWorkBeyondCapacityWaits(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 2, Capacity: workload.Resources{CPU: 5000, Memory: 64000}}, func(t *testing.T, sim *Simulation, c *Client) {
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
