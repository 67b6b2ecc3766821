package agent

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// refusedAs reports whether the agent refuses a new call as not run, with type
// want.
func refusedAs(a *Agent, id structs.RequestID, want structs.RefusalType) bool {
	got := call(a, id, time.Second)
	return got.Refused != nil && got.Refused.Type == want && got.Refused.Outcome == structs.NotRun
}

// An operator retires a backend server while the store is down and a call is in
// progress. From then on new calls are refused, the entry is notified, and the
// call gets its answer. Only then does Leave return. In the second case the
// agent is killed meanwhile: its successor must send no calls to the server.
func TestLeavingServerGetsNoNewCalls(t *testing.T) {
	for _, killed := range []bool{false, true} {
		t.Run(fmt.Sprintf("agent killed %v", killed), func(t *testing.T) {
			r, a, s, guard := startServing(t)
			r.table.Cut(true)
			release := make(chan struct{})
			s.setAnswer(func(w http.ResponseWriter, id structs.RequestID) { <-release; plain(w, id) })
			answers := make(chan wire.CallReply, 1)
			go func() { answers <- call(a, "long", 10*time.Second) }()
			eventually(t, "the check runs", func() bool { return s.times("long") == 1 })
			left := make(chan error, 1)
			go func() { left <- guard.Leave(context.Background()) }()
			eventually(t, "new calls are refused", func() bool { return refusedAs(a, "new", structs.RefusedDraining) })
			eventually(t, "the entry is notified", func() bool {
				l := r.entry.lastHello().Load.Services
				return len(l) == 1 && l[0].Leaving
			})
			if killed {
				r.setAgent(nil)
				r.kill()
				a, r.kill = r.agent()
				r.setAgent(a)
				eventually(t, "the successor refuses new calls", func() bool { return refusedAs(a, "new", structs.RefusedDraining) })
			}
			select {
			case err := <-left:
				t.Fatalf("left with a check in progress: %v", err)
			default:
			}
			close(release)
			if got := <-answers; !killed && (got.Refused != nil || string(got.Body) != "grade of long") {
				t.Errorf("the check in progress: %v", got.Refused)
			}
			if err := <-left; err != nil || s.times("new") != 0 {
				t.Errorf("left with %v; new ran %d times", err, s.times("new"))
			}
		})
	}
}

// A backend server is cut off from its agent, which receives no more
// announcements. After AnnounceTimeout the server gets no new calls.
func TestUnresponsiveServerGetsNoNewCalls(t *testing.T) {
	r, a, _, _ := startServing(t)
	r.setAgent(nil)
	began := time.Now()
	n := 0
	eventually(t, "new calls are refused", func() bool {
		n++
		return refusedAs(a, structs.RequestID(fmt.Sprint("r", n)), structs.RefusedNotReady)
	})
	if took := time.Since(began); took > r.config.AnnounceTimeout+2*time.Second {
		t.Errorf("refused after %s, want about %s", took, r.config.AnnounceTimeout)
	}
}

// Two instances are stopped at once under load. At one the store is down and a
// long call is in progress; the entry is slow to answer the other. Every
// admitted call must be answered, and the others must be refused as not run.
// Each stop must end only after the entry has acknowledged it, so that no call
// is on its way to a closed socket. A failure to release the lease row must be
// returned.
func TestPlannedStopsUnderLoadCutNoCalls(t *testing.T) {
	var wait, stopping sync.WaitGroup
	var answered atomic.Int64
	stop := make(chan struct{})
	for _, outage := range []bool{true, false} {
		r, a, s, _ := startServing(t)
		eventually(t, "lease taken", func() bool { held, _ := a.lease.Held(time.Now()); return held > 0 })
		s.setAnswer(func(w http.ResponseWriter, id structs.RequestID) {
			time.Sleep(3 * time.Millisecond) // simulated work
			if id == "long" {
				time.Sleep(500 * time.Millisecond)
			}
			plain(w, id)
		})
		ask := func(id structs.RequestID) {
			got := call(a, id, 10*time.Second)
			switch {
			case got.Refused == nil:
				answered.Add(1)
			case got.Refused.Outcome != structs.NotRun:
				t.Errorf("%s cut: %v", id, got.Refused)
			default:
				time.Sleep(time.Millisecond)
			}
		}
		r.table.Cut(outage)
		for caller := range 6 {
			wait.Go(func() {
				for n := 0; !closed(stop); n++ {
					ask(structs.RequestID(fmt.Sprint(caller, "-", n)))
				}
			})
		}
		stopping.Go(func() {
			enough := answered.Load() + 200
			eventually(t, "load", func() bool { return answered.Load() > enough })
			if outage {
				wait.Go(func() {
					for s.times("long") == 0 {
						ask("long")
					}
				})
				eventually(t, "the long call runs", func() bool { return s.times("long") == 1 })
			} else {
				r.entry.setSlow(150 * time.Millisecond)
			}
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			err := a.Drain(ctx)
			if notified := r.entry.lastHello().Load.Draining; (err != nil) != outage || !notified || a.ledger.Exchanging() != 0 {
				t.Errorf("outage %v: drained with %v, entry notified %v", outage, err, notified)
			}
			r.kill() // the process ends; nothing may have been in progress
		})
	}
	stopping.Wait()
	close(stop)
	wait.Wait()
	t.Logf("%d answered", answered.Load())
}

func closed(stop chan struct{}) bool {
	select {
	case <-stop:
		return true
	default:
		return false
	}
}
