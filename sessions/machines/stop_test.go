package machines

import (
	"testing"
	"time"
)

const (
	// grace is the time from the stop signal to the exit of an agent. Its machine
	// is removed, with its worker, at removedAfter.
	grace        = 5300 * time.Millisecond
	removedAfter = 6500 * time.Millisecond
)

// Guards against a worker that stands empty for most of the grace period of its
// machine, because its agent has exited and its lease has expired.
func TestWorkerIsServedThroughTheGracePeriod(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 2}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, lastingJob(1, 6))
		time.Sleep(2 * second)
		a := sim.Agents()[0]
		before := len(a.Worker().Running())
		go a.Stop(grace)
		time.Sleep(grace + second)
		if running := len(a.Worker().Running()); before == 0 || running != before {
			t.Errorf("%d runs on the worker at the stop of its agent, %d a second after the grace period", before, running)
		}
	})
}

// Guards against tasks of a removed machine that wait until the scheduler's
// whole grant to the stopped agent has expired.
func TestTasksOfRemovedMachineDoNotWaitForTheGrant(t *testing.T) {
	// restored is half the users' bound on the time that a lasting task spends
	// without a run.
	const restored = 3 * second
	simulate(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, lastingJob(1, 6))
		time.Sleep(2 * second)
		a := sim.Agents()[0]
		go a.Stop(grace)
		time.Sleep(removedAfter)
		a.Worker().Crash()
		time.Sleep(restored)
		running := 0
		for _, other := range sim.Agents()[1:] {
			running += len(other.Worker().Running())
		}
		if running != 6 {
			t.Errorf("%d of 6 lasting tasks run %v after a machine was removed", running, restored)
		}
	})
}

// Guards against runs that are started anew because their agent was restarted.
func TestRunsOutlastARestartOfTheirAgent(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 2}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, lastingJob(1, 6))
		time.Sleep(2 * second)
		for _, a := range sim.Agents() {
			a.Stop(grace)
			time.Sleep(300 * time.Millisecond)
			a.Start()
		}
		time.Sleep(10 * second)
		if sim.Rules.Started != 6 {
			t.Errorf("%d starts for 6 lasting tasks", sim.Rules.Started)
		}
	})
}
