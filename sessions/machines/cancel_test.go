package machines

import (
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

// cancelBound is the users' bound on the time from a cancellation to the end of
// the job's last run.
const cancelBound = 4200 * time.Millisecond

// runningOf returns the runs of a job on all workers.
func (sim *Simulation) runningOf(id workload.JobID) int {
	n := 0
	for _, a := range sim.Agents() {
		for _, r := range a.Worker().Running() {
			if r.Task.Job == id {
				n++
			}
		}
	}
	return n
}

// Guards against a run that goes on after its job was cancelled, because the
// machine that started it is gone and nobody can stop it.
func TestCancelledRunEndsWithoutItsStarter(t *testing.T) {
	for _, cancelFirst := range []bool{true, false} {
		simulate(t, Options{Entries: 2, Machines: 2}, func(t *testing.T, sim *Simulation, c *Client) {
			submit(t, c, lastingJob(1, 4))
			time.Sleep(2 * second)
			if !cancelFirst {
				sim.Agents()[0].Kill()
			}
			c.Cancel(JobID(1))
			if cancelFirst {
				sim.Agents()[0].Kill()
			}
			time.Sleep(cancelBound)
			if n := sim.runningOf(JobID(1)); n > 0 {
				t.Errorf("%d runs of the job go on %v after it was cancelled", n, cancelBound)
			}
		})
	}
}

// Guards against a run that goes on after its job was cancelled, because its
// worker carried out the start seconds late.
func TestRunThatStartsAfterItsCancellationIsStopped(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 2}, func(t *testing.T, sim *Simulation, c *Client) {
		for _, a := range sim.Agents() {
			a.Worker().SetLateOrders(1)
		}
		submit(t, c, lastingJob(1, 4))
		time.Sleep(100 * time.Millisecond)
		c.Cancel(JobID(1))
		for _, a := range sim.Agents() {
			a.Worker().SetLateOrders(0)
		}
		var since time.Time
		for begun := time.Now(); time.Since(begun) < 20*second; time.Sleep(20 * time.Millisecond) {
			switch {
			case sim.runningOf(JobID(1)) == 0:
				since = time.Time{}
			case since.IsZero():
				since = time.Now()
			case time.Since(since) > cancelBound:
				t.Fatalf("a run of the cancelled job goes on for %v", time.Since(since))
			}
		}
	})
}
