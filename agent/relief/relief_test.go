package relief

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"persimmonrock.example/agent/ledger"
	"persimmonrock.example/agent/tasks"
	"persimmonrock.example/decide"
	"persimmonrock.example/structs"
)

// Noisy tasks start beside a service, and its calls then take three times as long.
// A task must be throttled within 5 s. A task may be evicted only 10 s or more after
// the first throttling.
func TestThrottleFirstEvictLast(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := ledger.New(ledger.Config{Total: structs.Resources{Slots: 8}})
		c := New(l, tasks.New(tasks.Config{}, tasks.Deps{}), 0, structs.NoEvents{}, zerolog.Nop())
		began := time.Now()
		check := func(median time.Duration, running []decide.RunningTask) []decide.Action {
			time.Sleep(Every)
			return c.decide([]ledger.Window{{Service: "s", InUse: 2, Slots: 8, Calls: 50, Median: median}}, running, ledger.Owed{})
		}
		for range 60 {
			if a := check(10*time.Millisecond, nil); len(a) > 0 {
				t.Fatalf("actions without tasks: %+v", a)
			}
		}
		running := make([]decide.RunningTask, 4)
		for i := range running {
			running[i] = decide.RunningTask{Job: structs.JobID(rune('a' + i)), Epoch: 1, Kind: "noisy", Ran: time.Minute, Speed: 1, Slots: 1}
			c.recordSpeedChange("noisy", 1)
		}
		arrived := time.Since(began)
		var throttled, evicted time.Duration
		for range 40 {
			for _, a := range check(30*time.Millisecond, running) {
				at := time.Since(began) - arrived
				switch {
				case a.Kind == decide.ActionThrottle && throttled == 0:
					throttled = at
				case a.Kind == decide.ActionEvict && evicted == 0:
					evicted = at
				}
				for i := range running {
					if running[i].Job == a.Job && a.Kind == decide.ActionThrottle {
						running[i].Speed = a.Speed
					}
				}
			}
		}
		if throttled == 0 || throttled > 5*time.Second || (evicted > 0 && evicted < throttled+10*time.Second) {
			t.Errorf("throttled after %s, evicted after %s", throttled, evicted)
		}
		if n := c.Counters().Samples; n < 90 {
			t.Errorf("%d samples learnt", n)
		}
	})
}
