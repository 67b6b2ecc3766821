package machines

import (
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

// Guards against a lasting task that finds no capacity because short tasks take
// all capacity that becomes free.
func TestLastingTaskIsNotStarvedByShortOnes(t *testing.T) {
	// restored is the users' bound on the time that a lasting task spends
	// without a run.
	const restored = 6 * second
	simulate(t, Options{Entries: 2, Machines: 2, Capacity: workload.Resources{CPU: 16000, Memory: 1 << 20}}, func(t *testing.T, sim *Simulation, c *Client) {
		last := lastingJob(1, 1)
		last.Steps[0].Need.CPU = 8000
		submit(t, c, last)
		time.Sleep(second)
		for n := range 24 {
			j := job(10+n, 1)
			j.Queue.Priority = 2
			j.Steps = j.Steps[:1]
			j.Steps[0].Count, j.Steps[0].Need.CPU = 60, 1000
			submit(t, c, j)
		}
		time.Sleep(2 * second)
		a := sim.agentRunning(last.ID)
		a.Kill()
		a.Worker().Crash()
		time.Sleep(grant + restored)
		if sim.agentRunning(last.ID) == nil {
			t.Error("the lasting task does not run")
		}
		if c.State(JobID(33)).Final() {
			t.Error("no more short tasks are waiting")
		}
	})
}
