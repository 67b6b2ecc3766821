package urgent

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/structs"
)

// maxStartDelay is the time within which urgent work has to start.
const maxStartDelay = 7100 * time.Millisecond

func constant(d time.Duration) func(int) time.Duration { return func(int) time.Duration { return d } }

// One of three instances stops answering while its connections stay open, as
// when its machine is paused. Without liveness checks only a broken connection
// makes an agent suspect, and each call sent there waits for its own deadline
// until two heartbeats are missed: 320 s with 1,000 agents.
func TestUnresponsiveInstanceIsExcluded(t *testing.T) {
	for _, idempotent := range []bool{true, false} {
		t.Run(fmt.Sprintf("idempotent %t", idempotent), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(3, idempotent, constant(20*time.Millisecond))
				defer f.server.Close()
				f.unmeasured = true
				for i := range 300 {
					f.call(fmt.Sprint("before-", i), time.Second)
				}
				unresponsive := f.agents["a:0"]
				before := unresponsive.received()
				unresponsive.impair("silent")
				var longest time.Duration
				unanswered := 0
				for i := range 60 {
					go func() {
						_, refused, took := f.call(fmt.Sprint(i), 30*time.Second)
						f.mu.Lock()
						defer f.mu.Unlock()
						longest = max(longest, took)
						if refused != nil {
							unanswered++
						}
						if refused != nil && refused.Outcome != structs.Unknown {
							t.Errorf("call %d: %+v, but it may have been sent", i, refused)
						}
					}()
					time.Sleep(100 * time.Millisecond)
				}
				received := unresponsive.received() - before
				time.Sleep(40 * time.Second)
				f.mu.Lock()
				defer f.mu.Unlock()
				t.Logf("%d of 60 calls were sent to the unresponsive instance, %d got no answer, longest %s", received, unanswered, longest)
				if received == 0 || received > 15 {
					t.Errorf("%d calls were sent to the unresponsive instance, want 1 to 15", received)
				}
				if idempotent && (unanswered > 0 || longest > maxStartDelay) {
					t.Errorf("%d calls without an answer, longest %s", unanswered, longest)
				}
				for id, n := range f.starts {
					if !idempotent && n > 1 {
						t.Errorf("call %s ran %d times", id, n)
					}
				}
				unresponsive.heal()
				time.Sleep(time.Second)
				if a, _ := f.dir.Agent("i0"); a.Suspect {
					t.Error("the instance answers again and is still suspect")
				}
			})
		})
	}
}

// A backend server is slow, but its agent answers. Excluding the instance would
// move its load to the others, which would be excluded in turn.
func TestSlowBackendServerIsNotSuspected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(2, true, constant(10*time.Second))
		defer f.server.Close()
		for i := range 4 {
			go f.call(fmt.Sprint(i), 20*time.Second)
		}
		time.Sleep(9 * time.Second)
		for _, a := range f.dir.Agents() {
			if a.Suspect {
				t.Errorf("%s is suspect", a.Instance)
			}
		}
		time.Sleep(20 * time.Second)
		f.mu.Lock()
		defer f.mu.Unlock()
		for id, n := range f.starts {
			if n != 1 {
				t.Errorf("call %s ran %d times", id, n)
			}
		}
	})
}

// Calls with short deadlines are sent to an unresponsive instance. Each deadline
// passes before checkAfter, so the passed deadline itself must start a liveness
// check.
func TestShortDeadlinesDetectUnresponsiveInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(3, false, constant(20*time.Millisecond))
		defer f.server.Close()
		time.Sleep(time.Second)
		f.agents["a:0"].impair("silent")
		refusals := 0
		for i := range 100 {
			if _, refused, _ := f.call(fmt.Sprint(i), 100*time.Millisecond); refused != nil {
				refusals++
			}
			time.Sleep(50 * time.Millisecond)
		}
		t.Logf("%d of 100 calls had no answer", refusals)
		if refusals == 0 || refusals > 15 {
			t.Errorf("%d of 100 calls had no answer, want 1 to 15", refusals)
		}
		f.agents["a:0"].heal()
	})
}
