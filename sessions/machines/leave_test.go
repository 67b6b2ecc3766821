package machines

import (
	"testing"
	"time"
)

// Guards against tasks of a stopped worker that wait until the scheduler's
// grant to the worker's agent expires. The agent is down, too.
func TestTasksOfStoppedWorkerDoNotWaitForItsAgent(t *testing.T) {
	simulate(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, sim *Simulation, c *Client) {
		submit(t, c, lastingJob(1, 6))
		time.Sleep(2 * second)
		sim.Agents()[0].StopWorker()
		time.Sleep(4 * second)
		sim.Agents()[0].Kill()
		time.Sleep(2 * second)
		running := 0
		for _, a := range sim.Agents()[1:] {
			running += len(a.Worker().Running())
		}
		if running != 6 {
			t.Errorf("%d of 6 lasting tasks run six seconds after the stop of a worker", running)
		}
	})
}
