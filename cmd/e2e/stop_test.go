package e2e

import (
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"persimmonrock.example/cmd/sample"
	"persimmonrock.example/structs"
)

const (
	// stopTime is the shutdown time in the settings of the processes that stop.
	stopTime = 8 * time.Second
	// stopSlack is the additional time for a busy machine.
	stopSlack = 5 * time.Second
)

// An entry that owns queues and an agent with running reports are stopped while
// the table service or the object store does not answer. No caller may get a
// truncated answer, and both processes must end within their shutdown time.
// After the store answers again, each report must be done once (G8, G2, G3). A
// stopping process hands over its work through the store, which may never
// answer.
func TestStopsDuringOutageLoseNoCall(t *testing.T) {
	for _, down := range []string{toTable, toObjects} {
		t.Run(down, func(t *testing.T) {
			t.Parallel()
			w := newCluster(t)
			w.net = newNetwork(t)
			w.entryOverrides = object{"shutdown": stopTime.String()}
			w.startEntry("entry-1")
			w.startEntry("entry-2")
			var ids []string
			key := w.contract("granite-notch", 1)
			for i := range 2 {
				a := w.startInstance(instanceName(i), object{"lease": "8s", "worker_lease": "1500ms", "shutdown": stopTime.String()})
				w.announce(a, sample.AssayCheck, true, 4, http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
					time.Sleep(100 * time.Millisecond)
					sample.Assay(rw, r)
				}))
			}
			w.eventually("both instances run reports", func() bool {
				ids = append(ids, w.submit(w.entries[0], key, `{"kind":"grade-report","payload":{"samples":50,"step":"100ms"}}`))
				return w.runningOn(ids)[instanceName(0)] && w.runningOn(ids)[instanceName(1)]
			})
			var served, lost atomic.Int64
			stop := make(chan struct{})
			var calls sync.WaitGroup
			for i := range 4 {
				calls.Go(func() { w.callUntilStopped(i, key, &served, &lost, stop) })
			}
			w.eventually("calls are served", func() bool { return served.Load() > 50 })
			for _, p := range append(w.entries, w.agents...) {
				w.net.set(linkHeld, link{p.name, down})
			}
			began := time.Now()
			for _, p := range []*process{w.agents[0], w.entries[0]} {
				p.signal(t, syscall.SIGTERM)
			}
			for _, p := range []*process{w.agents[0], w.entries[0]} {
				code := p.wait(t)
				took := time.Since(began)
				t.Logf("%s ended with status %d after %s", p.name, code, took.Round(10*time.Millisecond))
				if took > stopTime+stopSlack {
					t.Errorf("%s took %s, its shutdown time is %s", p.name, took, stopTime)
				}
			}
			for _, p := range append(w.entries, w.agents...) {
				w.net.set(linkUp, link{p.name, down})
			}
			before := served.Load()
			w.eventually("calls continue", func() bool { return served.Load() > before+50 })
			close(stop)
			calls.Wait()
			if lost.Load() != 0 {
				t.Errorf("%d calls were lost, %d served", lost.Load(), served.Load())
			}
			for _, id := range ids {
				w.eventually("report "+id+" is done", func() bool { return w.state(w.entries[1], key, id) == "done" })
			}
			w.checkAll()
		})
	}
}

// runningOn returns the instances on which the jobs run now.
func (w *cluster) runningOn(ids []string) map[string]bool {
	on := make(map[string]bool)
	for _, id := range ids {
		for _, run := range w.registry.Runs(structs.JobID(id)) {
			if !run.Ended {
				on[string(run.Worker)] = true
			}
		}
	}
	return on
}
