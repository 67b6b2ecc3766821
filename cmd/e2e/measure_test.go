package e2e

import (
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"persimmonrock.example/cmd/node"
	"persimmonrock.example/cmd/sample"
	"persimmonrock.example/structs"
	"persimmonrock.example/structs/api"
)

var measured = flag.Int("measure", 300, "calls of each caller and jobs of each batch in the measurements; pages quote runs with 5000")

// inForceLimit is the users' bound on the time until a change of configuration
// is in force in every process.
const inForceLimit = 13 * time.Second

// maxJobs bounds the batch of jobs, which runs on 24 slots.
const maxJobs = 600

// callers is the number of concurrent callers in the measurements.
const callers = 4

// Measures the cost of the path through an entry: in one run, each caller calls
// a backend server directly and through an entry in turn. The figures are
// printed; the test checks only that idempotent calls leave no record in the
// store.
func TestMeasurePath(t *testing.T) {
	w := newCluster(t)
	w.startEntry("entry-1")
	var direct []*node.Backend
	for i := range 3 {
		a := w.startInstance(fmt.Sprintf("instance-%d", i+1), nil)
		direct = append(direct, w.announce(a, sample.AssayCheck, true, 8, http.HandlerFunc(sample.Assay)))
		w.announce(a, sample.SubmitClaim, false, 8, w.lodged)
	}
	key := w.contract("granite-notch", 0.9)
	e := w.entries[0]
	w.eventually("assay checks are served", func() bool {
		return w.do(e, "POST", "/v1/services/assay-check/call", key, `{"sample":"GN-17"}`).status == 200
	})
	viaEntry, unproxied := newHistogram(), newHistogram()
	var mu sync.Mutex
	writes, reads := w.table.Writes(), w.table.Reads()
	started := time.Now()
	var wait sync.WaitGroup
	for i := range callers {
		wait.Go(func() {
			for range *measured {
				a := timed(func() { w.do(e, "POST", "/v1/services/assay-check/call", key, `{"sample":"GN-17"}`) })
				b := timed(func() { w.callDirect(direct[i%len(direct)].Address) })
				mu.Lock()
				viaEntry.RecordValue(a.Microseconds())
				unproxied.RecordValue(b.Microseconds())
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	elapsed := time.Since(started)
	calls := viaEntry.TotalCount()
	t.Logf("%d idempotent calls each way in %s; µs: direct p50 %d p99 %d; through p50 %d p99 %d; added p50 %d p99 %d", calls, elapsed.Round(time.Millisecond),
		unproxied.ValueAtQuantile(50), unproxied.ValueAtQuantile(99), viaEntry.ValueAtQuantile(50), viaEntry.ValueAtQuantile(99),
		viaEntry.ValueAtQuantile(50)-unproxied.ValueAtQuantile(50), viaEntry.ValueAtQuantile(99)-unproxied.ValueAtQuantile(99))
	t.Logf("store in that time: %.1f writes/s, %.1f reads/s (with leases, shards and polls)", perSecond(w.table.Writes()-writes, elapsed), perSecond(w.table.Reads()-reads, elapsed))
	rows, err := w.table.Scan(w.ctx, "call/", "", 10)
	if err != nil || len(rows) != 0 {
		t.Errorf("idempotent calls left %d records (%v)", len(rows), err)
	}
	w.measureKeyed(key)
	w.measureJobs(key)
}

// callsPerChange is the number of calls (-measure) for each timed change.
const callsPerChange = 100

// Measures the time from an operator's change until every process of a
// deployment of two entries and three agents has it, and checks the 13 s bound.
func TestMeasureConfiguration(t *testing.T) {
	w := newCluster(t)
	w.startEntry("entry-1")
	w.startEntry("entry-2")
	for i := range 3 {
		w.startInstance(fmt.Sprintf("instance-%d", i+1), nil)
	}
	w.contract("granite-notch", 0.5)
	var state api.Config
	inForce := func(r structs.Revision) bool {
		state = api.Config{}
		_ = json.Unmarshal(w.do(w.entries[0], "GET", "/v1/admin/config", w.operator, "").body, &state)
		for _, p := range state.Processes {
			if p.Revision < r {
				return false
			}
		}
		return len(state.Processes) == 5
	}
	w.eventually("the first contract is in force", func() bool { return inForce(state.Revision) && state.Revision > 0 })
	h := newHistogram()
	changes := *measured / callsPerChange
	for i := range changes {
		body := fmt.Sprintf(`{"latency_target":"1s","batch_queue":%d,"share":0.5,"key_hashes":[]}`, i)
		took := timed(func() {
			r := w.do(w.entries[i%2], "PUT", "/v1/admin/contracts/kowhai", w.operator, body)
			var accepted structs.Contract
			if err := json.Unmarshal(r.body, &accepted); err != nil || r.status != http.StatusOK {
				t.Fatalf("change: %s", r)
			}
			w.eventually("the change is in force", func() bool { return inForce(accepted.Revision) })
		})
		h.RecordValue(took.Milliseconds())
	}
	t.Logf("%d changes: in force in 5 processes, as the asked entry knows, after p50 %d, greatest %d ms", changes, h.ValueAtQuantile(50), h.Max())
	if h.Max() > inForceLimit.Milliseconds() {
		t.Errorf("a change was in force everywhere after %d ms only", h.Max())
	}
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

func timed(f func()) time.Duration {
	started := time.Now()
	f()
	return time.Since(started)
}

func perSecond(n uint64, d time.Duration) float64 { return float64(n) / d.Seconds() }

func (w *cluster) callDirect(address string) {
	answer, err := client.Post(address, "application/json", strings.NewReader(`{"sample":"GN-17"}`))
	if err != nil {
		w.t.Error(err)
		return
	}
	defer answer.Body.Close()
	_, _ = io.Copy(io.Discard, answer.Body)
}

// measureKeyed measures the time and the store operations of keyed calls that
// are not idempotent.
func (w *cluster) measureKeyed(key string) {
	n := *measured / 3
	h := newHistogram()
	before := w.storeOps()
	for i := range n {
		took := timed(func() {
			w.do(w.entries[0], "POST", "/v1/services/lodge-claim/call", key, fmt.Sprintf(`{"claim":"M-%d"}`, i), "Idempotency-Key", fmt.Sprint(i))
		})
		h.RecordValue(took.Microseconds())
	}
	w.eventually("every answer is recorded", func() bool {
		rows, _ := w.table.Scan(w.ctx, "call/", "", 100000)
		return len(rows) == n && !strings.Contains(string(rows[n-1].Value), `"started"`)
	})
	after := w.storeOps()
	w.t.Logf("%d keyed calls: p50 %d p99 %d µs; %.2f writes and %.2f reads of the store a call, background included",
		n, h.ValueAtQuantile(50), h.ValueAtQuantile(99), float64(after[0]-before[0])/float64(n), float64(after[1]-before[1])/float64(n))
}

func (w *cluster) storeOps() [2]uint64 { return [2]uint64{w.table.Writes(), w.table.Reads()} }

// measureJobs counts the store's writes for a batch of jobs, from submission to
// the final state.
func (w *cluster) measureJobs(key string) {
	n := min(*measured, maxJobs)
	idle := w.storeOps()
	pause := 2 * time.Second
	time.Sleep(pause)
	before := w.storeOps()
	background := float64(before[0]-idle[0]) / pause.Seconds()
	started := time.Now()
	ids := make([]string, n)
	var wait sync.WaitGroup
	for k := range callers {
		wait.Go(func() {
			for i := k; i < n; i += callers {
				r := w.do(w.entries[0], "POST", "/v1/jobs", key, `{"kind":"grade-report","payload":{"samples":1,"step":"1ms"}}`)
				var job struct{ ID string }
				if _ = json.Unmarshal(r.body, &job); r.status == http.StatusAccepted {
					ids[i] = job.ID
				}
			}
		})
	}
	wait.Wait()
	submitted := time.Since(started)
	for _, id := range ids {
		if id == "" {
			w.t.Error("a job was refused")
			continue
		}
		w.eventually("job "+id+" is done", func() bool { return w.state(w.entries[0], key, id) == "done" })
	}
	took := time.Since(started)
	after := w.storeOps()
	w.t.Logf("%d jobs submitted in %s and done in %s: %.2f writes a job, of them %.2f background", n, submitted.Round(time.Millisecond), took.Round(time.Millisecond),
		float64(after[0]-before[0])/float64(n), background*took.Seconds()/float64(n))
}
