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

// blockingServer is a backend server that counts its calls in progress.
type blockingServer struct {
	slots               int64
	running, maxRunning atomic.Int64
	overfull            atomic.Int64
	release             chan struct{}
}

func newBlockingServer(slots int64) *blockingServer {
	return &blockingServer{slots: slots, release: make(chan struct{})}
}

// ServeHTTP blocks until the test closes release, even if the caller has
// disconnected.
func (b *blockingServer) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	n := b.running.Add(1)
	defer b.running.Add(-1)
	if n > b.slots {
		b.overfull.Add(1)
	}
	b.maxRunning.Store(max(b.maxRunning.Load(), n))
	<-b.release
	fmt.Fprint(w, "whole")
}

const slowCheck structs.Service = "slow-check"

// Callers fill an instance and time out. Its agent is killed and restarted
// while the backend server still works on their calls. Further callers must be
// refused with proof that nothing ran, since all slots are in use; they are
// served after the backend server has answered (G1). The new agent knows a
// former call only if the backend server reports it.
func TestCallsOfKilledAgentKeepTheirSlots(t *testing.T) {
	w := newCluster(t)
	w.startEntry("entry-1")
	a := w.startInstance("instance-1", object{"total": object{"slots": 4, "connections": 60}})
	b := newBlockingServer(4)
	w.announce(a, slowCheck, true, 4, b)
	key := w.contract("kowhai", 1)
	call := func(timeout string) response {
		r, err := w.try(w.entries[0], "POST", "/v1/services/slow-check/call", key, "{}", "Request-Timeout", timeout)
		if err != nil {
			t.Error(err)
		}
		return r
	}
	w.eventually("four calls are in progress", func() bool { go call("300ms"); return b.running.Load() == 4 })
	a.signal(t, syscall.SIGKILL)
	a.wait(t)
	w.restartAgent(a)
	w.eventually("the new agent refuses: all slots are in use", func() bool {
		r := call("300ms")
		return r.status == 503 && strings.Contains(string(r.body), "no-capacity")
	})
	if n := b.overfull.Load(); n != 0 {
		t.Errorf("%d calls beyond the slots", n)
	}
	close(b.release)
	w.eventually("calls are served again", func() bool { return call("2s").status == 200 })
	if b.overfull.Load() != 0 || b.maxRunning.Load() != 4 {
		t.Errorf("greatest %d, beyond the slots %d", b.maxRunning.Load(), b.overfull.Load())
	}
}

// restartAgent starts a new agent at the same addresses on the same instance.
func (w *cluster) restartAgent(old *instance) *instance {
	w.t.Helper()
	config := object{}
	for k, v := range old.config {
		config[k] = v
	}
	config["http"] = object{"listen": old.http}
	config["rpc"] = object{"listen": old.rpc}
	return &instance{process: w.startAt(old.relay, "persimmonrock-agent", old.name, nil, config), control: old.control, worker: old.worker}
}

// An entry is killed after it has sent a claim. The client repeats the claim
// several times under the same key through the other entry. The claim must not
// be lodged twice, and no answer may say that it was not run (G6, G5): the
// first entry's record says that the attempt began.
func TestClaimOfKilledEntryIsLodgedOnce(t *testing.T) {
	w := newCluster(t)
	w.startEntry("entry-1")
	w.startEntry("entry-2")
	a := w.startInstance("instance-1", nil)
	b := newBlockingServer(8)
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

// A report's agent is frozen (SIGSTOP) for longer than its worker's lease and
// the queue owner's timeout, the report runs elsewhere, and then the agent is
// resumed (SIGCONT). The report must have one result and must never run in two
// places at once (G2). The resumed agent can't detect that it was frozen.
func TestFrozenAgentWakesAfterItsLease(t *testing.T) {
	w := newCluster(t)
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

// The owner of the queue and an agent are killed while jobs are submitted and
// run. Every job must be done once, through the entry that takes over the queue
// (G2, G3).
func TestKilledOwnerAndAgentLoseNoJob(t *testing.T) {
	w := newCluster(t)
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

// checkInvariants checks that a process counts no broken invariants.
func (w *cluster) checkInvariants(p *process) {
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
