package machines

import (
	"testing"
	"time"
)

// Failure guarded against: tasks of a worker that has left wait for the grant of its agent, which is gone, too.
func TestTasksOfAWorkerThatHasLeftDoNotWaitForItsAgent(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, lastingJob(1, 6))
		time.Sleep(2 * second)
		w.Agents()[0].Leave()
		time.Sleep(4 * second)
		w.Agents()[0].Kill()
		time.Sleep(2 * second)
		running := 0
		for _, a := range w.Agents()[1:] {
			running += len(a.Worker().Running())
		}
		if running != 6 {
			t.Errorf("%d of 6 lasting tasks run six seconds after a worker has left", running)
		}
	})
}
