package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"persimmonrock.example/cmd/sample"
	"persimmonrock.example/structs"
)

// busy counts what really runs on one backend server.
type busy struct {
	slots         int64
	now, greatest atomic.Int64
	overfull      atomic.Int64
	release       chan struct{}
}

func newBusy(slots int64) *busy { return &busy{slots: slots, release: make(chan struct{})} }

// ServeHTTP works until the test releases it, whoever still waits.
func (b *busy) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	n := b.now.Add(1)
	defer b.now.Add(-1)
	if n > b.slots {
		b.overfull.Add(1)
	}
	b.greatest.Store(max(b.greatest.Load(), n))
	<-b.release
	fmt.Fprint(w, "whole")
}

const slow structs.Service = "slow-check"

// Callers fill an instance and give up; its agent is killed and started again
// while the backend server still works for them; then more callers come. They
// are refused with proof, since all slots are taken; once the backend server
// has answered, they are served (G1). Cause: the new agent knows nothing of the
// old one's calls but what the backend server tells it.
func TestKilledAgentsWorkKeepsItsSlots(t *testing.T) {
	w := newWorld(t)
	w.startEntry("entry-1")
	a := w.startInstance("instance-1", object{"total": object{"slots": 4, "connections": 60}})
	b := newBusy(4)
	w.announce(a, slow, true, 4, b)
	key := w.contract("kowhai", 1)
	call := func(timeout string) response {
		r, err := w.try(w.entries[0], "POST", "/v1/services/slow-check/call", key, "{}", "Request-Timeout", timeout)
		if err != nil {
			t.Error(err)
		}
		return r
	}
	w.eventually("four calls work", func() bool { go call("300ms"); return b.now.Load() == 4 })
	a.signal(t, syscall.SIGKILL)
	a.wait(t)
	w.restartAgent(a)
	w.eventually("the new agent refuses: all slots are taken", func() bool {
		r := call("300ms")
		return r.status == 503 && strings.Contains(string(r.body), "no-capacity")
	})
	if n := b.overfull.Load(); n != 0 {
		t.Errorf("%d calls beyond the slots", n)
	}
	close(b.release)
	w.eventually("calls are served again", func() bool { return call("2s").status == 200 })
	if b.overfull.Load() != 0 || b.greatest.Load() != 4 {
		t.Errorf("greatest %d, beyond the slots %d", b.greatest.Load(), b.overfull.Load())
	}
}

// restartAgent starts a new agent at the same addresses on the same instance.
func (w *world) restartAgent(old *instance) *instance {
	w.t.Helper()
	config := object{}
	for k, v := range old.config {
		config[k] = v
	}
	config["http"] = object{"listen": old.http}
	config["rpc"] = object{"listen": old.rpc}
	return &instance{process: w.startAt(old.relay, "persimmonrock-agent", old.name, nil, config), control: old.control, worker: old.worker}
}

// A claim is lodged and its entry is killed after sending it; the treasurer
// repeats it under the same key through the other entry, again and again. The
// claim is never lodged twice, and no answer says that it was not run (G6, G5).
// Cause: the first entry's record says that the attempt began.
func TestClaimSurvivesAKilledEntryOnce(t *testing.T) {
	w := newWorld(t)
	w.startEntry("entry-1")
	w.startEntry("entry-2")
	a := w.startInstance("instance-1", nil)
	b := newBusy(8)
	var lodged atomic.Int64
	w.announce(a, sample.SubmitClaim, false, 8, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		lodged.Add(1)
		b.ServeHTTP(rw, r)
	}))
	key := w.contract("kowhai", 1)
	lodge := func(e *process) (response, error) {
		return w.try(e, "POST", "/v1/services/lodge-claim/call", key, `{"claim":"C-9"}`, "Idempotency-Key", "C-9", "Request-Timeout", "5s")
	}
	w.eventually("the claim is being lodged", func() bool {
		go func() { _, _ = lodge(w.entries[0]) }()
		time.Sleep(50 * time.Millisecond)
		return lodged.Load() > 0
	})
	w.entries[0].signal(t, syscall.SIGKILL)
	w.entries[0].wait(t)
	for range 5 {
		r, err := lodge(w.entries[1])
		if err != nil || r.status != 409 || !strings.Contains(string(r.body), `"unknown"`) {
			t.Errorf("repeat: %s (%v)", r, err)
		}
	}
	close(b.release)
	if n := lodged.Load(); n != 1 {
		t.Errorf("lodged %d times", n)
	}
}

// A report's agent is stopped in the middle (SIGSTOP) for longer than its
// worker's lease and the queue owner's patience; the report runs elsewhere;
// then the agent wakes (SIGCONT) and goes on. The report has one result, and
// at no moment did it run in two places (G2). Cause: the woken agent does not
// know that it slept.
func TestFrozenAgentWakesAfterItsLease(t *testing.T) {
	w := newWorld(t)
	w.startEntry("entry-1")
	leases := object{"lease": "6s", "worker_lease": "1500ms"}
	frozen := w.startInstance("instance-1", leases)
	key := w.contract("granite-notch", 1)
	id := w.submit(w.entries[0], key, `{"kind":"grade-report","payload":{"samples":40,"step":"100ms"}}`)
	w.eventually("the report runs", func() bool { return len(w.registry.Running()) == 1 })
	other := w.startInstance("instance-2", leases)
	started := time.Now()
	frozen.signal(t, syscall.SIGSTOP)
	w.eventually("the report runs elsewhere", func() bool {
		runs := w.registry.Runs(structs.JobID(id))
		return len(runs) > 1 && runs[len(runs)-1].Worker == "instance-2"
	})
	t.Logf("running again %s after the freeze", time.Since(started).Round(10*time.Millisecond))
	frozen.signal(t, syscall.SIGCONT)
	w.eventually("the report is done", func() bool { return w.state(w.entries[0], key, id) == "done" })
	if n := w.registry.Violations(); n != 0 {
		t.Errorf("the report ran in two places %d times", n)
	}
	for _, a := range []*instance{frozen, other} {
		w.checkInvariants(a.process)
	}
	w.checkInvariants(w.entries[0])
}

// The owner of the queue is killed while a batch of jobs is claimed and run,
// and an agent is killed with them. Every job ends as done once, through the
// entry that takes the queue over (G2, G3).
func TestKilledOwnerAndAgentLoseNoJob(t *testing.T) {
	w := newWorld(t)
	w.startEntry("entry-1")
	w.startEntry("entry-2")
	var instances []*instance
	for i := range 2 {
		instances = append(instances, w.startInstance(fmt.Sprintf("instance-%d", i+1), object{"lease": "8s", "worker_lease": "2s"}))
	}
	key := w.contract("granite-notch", 1)
	var mu sync.Mutex
	var ids []string
	for range 30 {
		id := w.submit(w.entries[1], key, `{"kind":"grade-report","payload":{"samples":5,"step":"50ms"}}`)
		mu.Lock()
		ids = append(ids, id)
		mu.Unlock()
		if len(ids) == 15 {
			w.entries[0].signal(t, syscall.SIGKILL)
			instances[0].signal(t, syscall.SIGKILL)
			instances[0].wait(t)
			w.restartAgent(instances[0])
		}
	}
	for _, id := range ids {
		w.eventually("job "+id+" is done", func() bool { return w.state(w.entries[1], key, id) == "done" })
	}
	if n := w.registry.Violations(); n != 0 {
		t.Errorf("%d runs overlapped", n)
	}
	w.checkInvariants(w.entries[1])
}

// checkInvariants reads the process's own count of broken invariants.
func (w *world) checkInvariants(p *process) {
	w.t.Helper()
	r := w.do(p, "GET", "/debug/vars", w.operator, "")
	var vars map[string]json.RawMessage
	if err := json.Unmarshal(r.body, &vars); err != nil {
		w.t.Fatalf("%s: %v", p.name, err)
	}
	for name, value := range vars {
		if text := string(value); strings.Contains(text, `"invariant_broken"`) && !strings.Contains(strings.ReplaceAll(text, " ", ""), `"invariant_broken":0`) {
			w.t.Errorf("%s: %s counts broken invariants: %s", p.name, name, text)
		}
	}
}
