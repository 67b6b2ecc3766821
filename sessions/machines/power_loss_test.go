package machines

import (
	"testing"
	"time"
)

// The size of the users' fleet.
const (
	fleetEntries = 55
	fleetWorkers = 240
)

// agentsReadyWithin is the time after the start of a term within which nine of
// ten agents accept orders, however many there are.
const agentsReadyWithin = 500 * time.Millisecond

func busyWorkers(sim *Simulation) int {
	n := 0
	for _, a := range sim.Agents() {
		if len(a.Worker().Running()) > 0 {
			n++
		}
	}
	return n
}

// A whole fleet loses power and gets it back. Accepted jobs wait, and entries
// schedule again within a tenth of a second. Guards against agents that become
// ready one after another over seconds. It comes about when all agents write
// their rows to one partition of the store, which executes one transaction at a
// time.
func TestAgentsOfAFleetRegisterTogether(t *testing.T) {
	opt := Options{Entries: fleetEntries, Machines: fleetWorkers}
	simulate(t, opt, func(t *testing.T, sim *Simulation, c *Client) {
		j := lastingJob(1, fleetWorkers)
		j.Steps[0].Need.CPU = capacity.CPU * 3 / 4
		submit(t, c, j)
		sim.KillAll()
		for _, a := range sim.Agents() {
			a.NewWorker()
		}
		time.Sleep(second)
		sim.StartAll()
		for sim.Leader() == nil {
			time.Sleep(time.Millisecond)
		}
		begun := time.Now()
		for busyWorkers(sim) < fleetWorkers*9/10 {
			if time.Since(begun) > 10*second {
				break
			}
			time.Sleep(time.Millisecond)
		}
		took := time.Since(begun)
		t.Logf("%d of %d workers have work %v after the term began", busyWorkers(sim), fleetWorkers, took)
		if took > agentsReadyWithin {
			t.Errorf("%d of %d workers have work %v after the term began", busyWorkers(sim), fleetWorkers, took)
		}
	})
}

// Guards against the loss of a worker's first report, so that no task starts
// there until the next report 1.1 s later. It comes about when worker and agent
// start together, as after a power loss: the report arrives while the agent
// still writes its row.
func TestReportDuringRegistrationIsKept(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 1}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, lastingJob(1, 1))
		a := sim.Agents()[0]
		a.Kill()
		a.Start()
		time.Sleep(time.Millisecond)
		begun := time.Now()
		a.NewWorker()
		for len(a.Worker().Running()) == 0 && time.Since(begun) < 10*second {
			time.Sleep(time.Millisecond)
		}
		if took := time.Since(begun); took > agentsReadyWithin {
			t.Errorf("the worker has work %v after it began", took)
		}
	})
}
