package batch

import (
	"fmt"
	"testing"
	"time"
)

// Guards against: an entry answers calls slowly after it has taken over another
// entry's queue shards. The agents of the running tasks can't be reached, and
// the entry spends half a core on sending all their starts again every 2 s.
// Guards also against: jobs wait out a long pause after the network works
// again.
func TestStartsBackOffWhileAnAgentIsUnreachable(t *testing.T) {
	runSlotCluster(t, func(y *slotCluster) {
		y.mu.Lock()
		y.down = true
		y.free["i0"] = instanceSlots
		y.mu.Unlock()
		for i := range instanceSlots {
			y.submitJob(fmt.Sprintf("j%d", i), event{Size: 1})
		}
		time.Sleep(10*time.Minute + 20*time.Second)
		if sent := y.m.count.startsSent.Load(); sent > 20*instanceSlots {
			t.Errorf("%d starts were sent for %d tasks in 10 min to an agent that answers none", sent, instanceSlots)
		}
		y.mu.Lock()
		y.down = false
		y.sequence++
		y.mu.Unlock()
		time.Sleep(500 * time.Millisecond)
		y.mu.Lock()
		defer y.mu.Unlock()
		if len(y.running) != instanceSlots {
			t.Errorf("%d of %d tasks run 500 ms after the agent reported again", len(y.running), instanceSlots)
		}
	})
}
