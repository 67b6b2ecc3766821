package e2e

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"persimmonrock.example/cmd/sample"
	"persimmonrock.example/structs"
)

// Reports run on nine instances when each agent loses links in its own way: to
// the entries, to the store, to both or to its worker, cut, held open, or with
// only the answers held. Reports whose agent can't renew its lease run again
// elsewhere; those whose agent only lost the entries go on. Once the links are whole, each report has one result, and
// none ran in two places (G2). Cause: an agent can't tell a cut from slowness,
// and what was held arrives long after its time.
func TestCutAgentsTasksRunOnce(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.net = newNetwork(t)
	w.startEntry("entry-1")
	w.startEntry("entry-2")
	key := w.contract("granite-notch", 1)
	store, entries := []string{toTable, toObjects}, []string{"entry-1", "entry-2"}
	cuts := []struct {
		state linkState
		lost  []string
	}{
		{linkCut, entries}, {linkHeld, entries},
		{linkCut, store}, {linkHeld, store}, {linkAnswersHeld, store},
		{linkCut, append(entries, store...)}, {linkHeld, append(entries, store...)},
		{linkCut, []string{toWorker}}, {linkAnswersHeld, []string{toWorker}},
	}
	leases := object{"lease": "6s", "worker_lease": "1200ms", "total": object{"slots": 1, "connections": 60}}
	for i := range cuts {
		w.startInstance(instanceName(i), leases)
	}
	jobs := make(map[string]string)
	for range cuts {
		id := w.submit(w.entries[0], key, `{"kind":"grade-report","payload":{"samples":60,"step":"200ms"}}`)
		w.eventually("the report runs", func() bool {
			runs := w.registry.Runs(structs.JobID(id))
			return len(runs) == 1 && !runs[0].Ended
		})
		jobs[string(w.registry.Runs(structs.JobID(id))[0].Worker)] = id
	}
	if len(jobs) != len(cuts) {
		t.Fatalf("reports on %d of %d instances", len(jobs), len(cuts))
	}
	leases["total"] = object{"slots": 8, "connections": 60}
	w.startInstance("elsewhere", leases)
	for i, c := range cuts {
		w.net.set(c.state, w.linksOf(instanceName(i), c.lost)...)
	}
	for i, c := range cuts {
		if !slices.Contains(c.lost, toTable) {
			continue
		}
		w.eventually("the report of "+instanceName(i)+" runs elsewhere", func() bool {
			runs := w.registry.Runs(structs.JobID(jobs[instanceName(i)]))
			return runs[len(runs)-1].Worker == "elsewhere"
		})
	}
	for i, c := range cuts {
		w.net.set(linkWhole, w.linksOf(instanceName(i), c.lost)...)
	}
	for i, c := range cuts {
		id := jobs[instanceName(i)]
		w.eventually("the report of "+instanceName(i)+" is done", func() bool { return w.state(w.entries[0], key, id) == "done" })
		if r := w.do(w.entries[1], "GET", "/v1/jobs/"+id+"/result", key, ""); r.status != 200 || !strings.Contains(string(r.body), id) {
			t.Errorf("result: %s", r)
		}
		runs := len(w.registry.Runs(structs.JobID(id)))
		if slices.Equal(c.lost, entries) && runs != 1 {
			t.Errorf("%s kept its lease and its report ran %d times", instanceName(i), runs)
		}
	}
	w.checkAll()
}

func instanceName(i int) string { return fmt.Sprintf("instance-%d", i+1) }

// linksOf returns the links between an agent and others, opened by either.
func (w *world) linksOf(agent string, others []string) []link {
	var links []link
	for _, other := range others {
		links = append(links, link{agent, other}, link{other, agent})
	}
	return links
}

// checkAll reads the counts of broken invariants of the workers and of every
// process that still runs.
func (w *world) checkAll() {
	w.t.Helper()
	if n := w.registry.Violations(); n != 0 {
		w.t.Errorf("%d runs of a task overlapped", n)
	}
	for _, p := range append(w.entries, w.agents...) {
		select {
		case <-p.ended:
		default:
			w.checkInvariants(p)
		}
	}
}

// claims counts what is really lodged, beside what callers were told.
type claims struct {
	*world
	key   string
	busy  *busy
	all   []*busy
	count *sample.Submissions
	mu    sync.Mutex
	told  map[string][]response
	// latest are the last answers, which a failed test prints.
	latest []string
	calls  sync.WaitGroup
}

// keptAnswers is how many of the last answers a failed test prints.
const keptAnswers = 12

// startClaims announces one instance's lodging of claims, which works until
// its busy server is released.
func (w *world) startClaims(i *instance, slots int64) *claims {
	c := &claims{world: w, busy: newBusy(slots), count: sample.NewSubmissions(), told: make(map[string][]response)}
	c.announceClaims(i, c.busy)
	c.key = w.contract("kowhai", 1)
	w.t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if w.t.Failed() {
			w.t.Logf("the last answers:\n%s", strings.Join(c.latest, "\n"))
		}
	})
	return c
}

// announceClaims announces the lodging of claims on one instance.
func (c *claims) announceClaims(i *instance, b *busy) {
	c.all = append(c.all, b)
	c.announce(i, sample.SubmitClaim, false, int(b.slots), http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		c.count.ServeHTTP(discard{rw.Header()}, r)
		b.ServeHTTP(rw, r)
	}))
}

// discard is an answer that nobody reads.
type discard struct{ header http.Header }

func (d discard) Header() http.Header         { return d.header }
func (d discard) Write(b []byte) (int, error) { return len(b), nil }
func (d discard) WriteHeader(int)             {}

// lodge lodges a claim and keeps what its caller was told.
func (c *claims) lodge(e *process, claim, timeout string) response {
	header := []string{"Request-Timeout", timeout}
	if strings.HasPrefix(claim, "keyed") {
		header = append(header, "Idempotency-Key", claim)
	}
	r, err := c.try(e, "POST", "/v1/services/lodge-claim/call", c.key, fmt.Sprintf(`{"claim":%q}`, claim), header...)
	if err != nil {
		r.body = []byte(`"unknown"`)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.told[claim] = append(c.told[claim], r)
	c.latest = append(c.latest, fmt.Sprintf("%s %s from %s: %s", time.Now().Format(time.StampMilli), claim, e.name, r))
	c.latest = c.latest[max(0, len(c.latest)-keptAnswers):]
	return r
}

func (c *claims) begin(e *process, claim, timeout string) {
	c.calls.Go(func() { c.lodge(e, claim, timeout) })
}

// judge compares what callers were told with what was lodged.
func (c *claims) judge() {
	c.t.Helper()
	c.calls.Wait()
	for claim, answers := range c.told {
		lodged, served, notRun := c.count.Count(claim), 0, 0
		for _, r := range answers {
			switch {
			case r.status == 200:
				served++
			case strings.Contains(string(r.body), `"not_run"`):
				notRun++
			case !strings.Contains(string(r.body), `"unknown"`):
				c.t.Errorf("%s: no outcome in %s", claim, r)
			}
		}
		if lodged > 1 || served > 0 && lodged != 1 || notRun == len(answers) && lodged != 0 {
			c.t.Errorf("%s lodged %d times; its callers were told %v", claim, lodged, answers)
		}
	}
	for _, b := range c.all {
		if n := b.overfull.Load(); n != 0 {
			c.t.Errorf("%d calls beyond the slots", n)
		}
	}
}

// Claims with and without a key are lodged through one entry while its link to
// the agent is cut or held: before they are sent, while they are worked on,
// and with only the answer held; each is repeated through another entry and
// once more through the first when the link is back. No claim is lodged twice,
// "not run" is true even of what was held and came late, and a slot whose
// caller has gone stays taken until the backend server answered (G6, G5, G1,
// G4). Cause: a sender can't see what a broken link has carried.
func TestCutCallsRunAtMostOnce(t *testing.T) {
	for name, state := range map[string]linkState{"cut": linkCut, "held": linkHeld, "requests held": linkRequestsHeld, "answers held": linkAnswersHeld} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t)
			w.net = newNetwork(t)
			w.startEntry("entry-1")
			w.startEntry("entry-2")
			c := w.startClaims(w.startInstance("instance-1", object{"total": object{"slots": 4, "connections": 60}}), 4)
			both := w.linksOf("instance-1", []string{"entry-1"})
			first, second := w.entries[0], w.entries[1]
			var warm atomic.Int64
			w.eventually("four calls work", func() bool {
				if c.busy.now.Load() < 4 {
					n := warm.Add(1)
					c.begin(first, fmt.Sprintf("%s-during-%d", []string{"plain", "keyed"}[n%2], n), "3s")
				}
				return c.busy.now.Load() == 4
			})
			w.net.set(state, both...)
			for _, kind := range []string{"plain", "keyed"} {
				c.begin(first, kind+"-before", "1s")
			}
			c.calls.Wait()
			w.eventually("the other entry is refused: all slots are taken", func() bool {
				r := c.lodge(second, "plain-refused", "1s")
				return r.status == 503 && strings.Contains(string(r.body), "no-capacity")
			})
			close(c.busy.release)
			w.eventually("the other entry is served", func() bool { return c.lodge(second, "keyed-after", "2s").status == 200 })
			c.repeat(second)
			w.net.set(linkWhole, both...)
			w.eventually("the first entry is served", func() bool {
				return c.lodge(first, fmt.Sprintf("plain-last-%d", warm.Add(1)), "2s").status == 200
			})
			c.repeat(first)
			c.judge()
			w.checkAll()
		})
	}
}

// repeat lodges every keyed claim again under its key, with time enough that no
// repeat is refused before its record is looked up.
func (c *claims) repeat(e *process) {
	c.mu.Lock()
	var keyed []string
	for claim := range c.told {
		if strings.HasPrefix(claim, "keyed") {
			keyed = append(keyed, claim)
		}
	}
	c.mu.Unlock()
	for _, claim := range keyed {
		c.lodge(e, claim, calmDeadline)
	}
}
