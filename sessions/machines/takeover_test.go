package machines

import (
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore/memstore"
)

// lastingGap is the users' bound on the time that a lasting task spends without a
// run while there is capacity for it.
const lastingGap = 9 * second

// calmGap is the users' bound on this time from the end of the last disturbance.
const calmGap = 7 * second

// awaitRunning returns the time until n tasks run on the workers of the agents.
func awaitRunning(t *testing.T, agents []*Agent, n int) time.Duration {
	t.Helper()
	for begun := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		running := 0
		for _, a := range agents {
			running += len(a.Worker().Running())
		}
		if took := time.Since(begun); running >= n || took > time.Minute {
			return took
		}
	}
}

// losePower ends the first machine with its agent and worker, and returns the
// agents of the other machines.
func losePower(t *testing.T, sim *Simulation) []*Agent {
	t.Helper()
	a := sim.Agents()[0]
	if len(a.Worker().Running()) == 0 {
		t.Fatal("nothing runs on the machine that loses power")
	}
	a.Kill()
	a.Worker().Kill()
	return sim.Agents()[1:]
}

// Guards against tasks of a lost machine that wait anew for the end of its last
// lease with each new scheduler.
func TestLastLeaseOfALostWorkerIsKnownToTheNextScheduler(t *testing.T) {
	simulate(t, Options{Entries: 3, Machines: 4}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, lastingJob(1, 6))
		time.Sleep(2 * second)
		left := losePower(t, sim)
		restarts := make(chan bool)
		go func() {
			defer close(restarts)
			for range 3 {
				time.Sleep(2 * second)
				if l := sim.Leader(); l != nil {
					l.Stop()
					time.Sleep(second / 2)
					l.Start()
				}
			}
		}()
		defer func() { <-restarts }()
		if took := awaitRunning(t, left, 6); took > lastingGap {
			t.Errorf("the tasks run %v after their machine was lost", took)
		}
	})
}

// Guards against a scheduler that assumes that the one before it has granted
// leases until the takeover, though it last stored a transaction long before.
func TestLeasesOfALostSchedulerEndWithItsValidity(t *testing.T) {
	// storeAway is the time for which the takeover is delayed.
	const storeAway = 6 * second
	simulate(t, Options{Entries: 3, Machines: 4}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, lastingJob(1, 6))
		time.Sleep(2 * second)
		left := losePower(t, sim)
		sim.Leader().Kill()
		sim.Store.SetFault("", memstore.Unresponsive)
		time.Sleep(storeAway)
		sim.Store.SetFault("", memstore.Healthy)
		if took := awaitRunning(t, left, 6); took > calmGap {
			t.Errorf("the tasks run %v after the store has answered again", took)
		}
	})
}
