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

// Reports (batch tasks) run on nine instances while each agent loses its links
// to the entries, to the store, to both or to its worker. The links are cut,
// held, or held for answers only. A report whose agent can't renew its lease
// must run again elsewhere; a report whose agent lost only the entries must
// continue. After the links are restored, each report must have one result, and
// none may have run in two places at once (G2). An agent can't distinguish a
// cut link from a slow one, and held messages arrive late.
func TestTasksOfDisconnectedAgentsRunOnce(t *testing.T) {
	t.Parallel()
	w := newCluster(t)
	w.net = newNetwork(t)
	w.startEntry("entry-1")
	w.startEntry("entry-2")
	key := w.contract("granite-notch", 1)
	store, entries := []string{toTable, toObjects}, []string{"entry-1", "entry-2"}
	failures := []struct {
		state linkState
		lost  []string
	}{
		{linkCut, entries}, {linkHeld, entries},
		{linkCut, store}, {linkHeld, store}, {linkAnswersHeld, store},
		{linkCut, append(entries, store...)}, {linkHeld, append(entries, store...)},
		{linkCut, []string{toWorker}}, {linkAnswersHeld, []string{toWorker}},
	}
	leases := object{"lease": "6s", "worker_lease": "1200ms", "total": object{"slots": 1, "connections": 60}}
	for i := range failures {
		w.startInstance(instanceName(i), leases)
	}
	jobs := make(map[string]string)
	for range failures {
		id := w.submit(w.entries[0], key, `{"kind":"grade-report","payload":{"samples":60,"step":"200ms"}}`)
		w.eventually("the report runs", func() bool {
			runs := w.registry.Runs(structs.JobID(id))
			return len(runs) == 1 && !runs[0].Ended
		})
		jobs[string(w.registry.Runs(structs.JobID(id))[0].Worker)] = id
	}
	if len(jobs) != len(failures) {
		t.Fatalf("reports on %d of %d instances", len(jobs), len(failures))
	}
	leases["total"] = object{"slots": 8, "connections": 60}
	w.startInstance("elsewhere", leases)
	for i, c := range failures {
		w.net.set(c.state, w.linksOf(instanceName(i), c.lost)...)
	}
	for i, c := range failures {
		if !slices.Contains(c.lost, toTable) {
			continue
		}
		w.eventually("the report of "+instanceName(i)+" runs elsewhere", func() bool {
			runs := w.registry.Runs(structs.JobID(jobs[instanceName(i)]))
			return runs[len(runs)-1].Worker == "elsewhere"
		})
	}
	for i, c := range failures {
		w.net.set(linkUp, w.linksOf(instanceName(i), c.lost)...)
	}
	for i, c := range failures {
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

// linksOf returns the links between an agent and others, in both directions.
func (w *cluster) linksOf(agent string, others []string) []link {
	var links []link
	for _, other := range others {
		links = append(links, link{agent, other}, link{other, agent})
	}
	return links
}

// checkAll checks that no runs overlapped and that the processes that still run
// count no broken invariants.
func (w *cluster) checkAll() {
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

// claims counts the lodged claims and records the answers that callers
// received.
type claims struct {
	*cluster
	key      string
	server   *blockingServer
	servers  []*blockingServer
	count    *sample.Submissions
	mu       sync.Mutex
	received map[string][]response
	// latestAnswers holds the last answers, which a failed test prints.
	latestAnswers []string
	calls         sync.WaitGroup
}

// keptAnswers is the maximum length of latestAnswers.
const keptAnswers = 12

// startClaims announces a service for lodging claims on one instance. Its calls
// block until the test closes the server's release channel.
func (w *cluster) startClaims(i *instance, slots int64) *claims {
	c := &claims{cluster: w, server: newBlockingServer(slots), count: sample.NewSubmissions(), received: make(map[string][]response)}
	c.announceClaims(i, c.server)
	c.key = w.contract("kowhai", 1)
	w.t.Cleanup(func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		if w.t.Failed() {
			w.t.Logf("last answers:\n%s", strings.Join(c.latestAnswers, "\n"))
		}
	})
	return c
}

// announceClaims announces the service for lodging claims on one instance.
func (c *claims) announceClaims(i *instance, b *blockingServer) {
	c.servers = append(c.servers, b)
	c.announce(i, sample.SubmitClaim, false, int(b.slots), http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		c.count.ServeHTTP(discardWriter{rw.Header()}, r)
		b.ServeHTTP(rw, r)
	}))
}

// discardWriter drops the answer.
type discardWriter struct{ header http.Header }

func (d discardWriter) Header() http.Header         { return d.header }
func (d discardWriter) Write(b []byte) (int, error) { return len(b), nil }
func (d discardWriter) WriteHeader(int)             {}

// lodge lodges a claim and records the answer that its caller received.
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
	c.received[claim] = append(c.received[claim], r)
	c.latestAnswers = append(c.latestAnswers, fmt.Sprintf("%s %s from %s: %s", time.Now().Format(time.StampMilli), claim, e.name, r))
	c.latestAnswers = c.latestAnswers[max(0, len(c.latestAnswers)-keptAnswers):]
	return r
}

func (c *claims) lodgeAsync(e *process, claim, timeout string) {
	c.calls.Go(func() { c.lodge(e, claim, timeout) })
}

// verify compares the answers that callers received with the count of lodged
// claims.
func (c *claims) verify() {
	c.t.Helper()
	c.calls.Wait()
	for claim, answers := range c.received {
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
			c.t.Errorf("%s lodged %d times; its callers received %v", claim, lodged, answers)
		}
	}
	for _, b := range c.servers {
		if n := b.overfull.Load(); n != 0 {
			c.t.Errorf("%d calls beyond the slots", n)
		}
	}
}

// Claims with and without a key are lodged through one entry, and its link to
// the agent is cut or held: after some calls have begun and before others are
// sent. Keyed claims are repeated through another entry, and through the first
// once its link is restored. No claim may be lodged twice, and "not run" must
// hold even for held requests that arrive late. The slot of a disconnected
// caller must stay occupied until the backend server answers (G6, G5, G1, G4).
// A sender can't see which messages a broken link has delivered.
func TestCallsOverBrokenLinksRunAtMostOnce(t *testing.T) {
	for name, state := range map[string]linkState{"cut": linkCut, "held": linkHeld, "requests held": linkRequestsHeld, "answers held": linkAnswersHeld} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newCluster(t)
			w.net = newNetwork(t)
			w.startEntry("entry-1")
			w.startEntry("entry-2")
			c := w.startClaims(w.startInstance("instance-1", object{"total": object{"slots": 4, "connections": 60}}), 4)
			both := w.linksOf("instance-1", []string{"entry-1"})
			first, second := w.entries[0], w.entries[1]
			var warm atomic.Int64
			w.eventually("four calls are in progress", func() bool {
				if c.server.running.Load() < 4 {
					n := warm.Add(1)
					c.lodgeAsync(first, fmt.Sprintf("%s-during-%d", []string{"plain", "keyed"}[n%2], n), "3s")
				}
				return c.server.running.Load() == 4
			})
			w.net.set(state, both...)
			for _, kind := range []string{"plain", "keyed"} {
				c.lodgeAsync(first, kind+"-before", "1s")
			}
			c.calls.Wait()
			w.eventually("the other entry is refused: all slots are in use", func() bool {
				r := c.lodge(second, "plain-refused", "1s")
				return r.status == 503 && strings.Contains(string(r.body), "no-capacity")
			})
			close(c.server.release)
			w.eventually("the other entry is served", func() bool { return c.lodge(second, "keyed-after", "2s").status == 200 })
			c.repeatKeyed(second)
			w.net.set(linkUp, both...)
			w.eventually("the first entry is served", func() bool {
				return c.lodge(first, fmt.Sprintf("plain-last-%d", warm.Add(1)), "2s").status == 200
			})
			c.repeatKeyed(first)
			c.verify()
			w.checkAll()
		})
	}
}

// repeatKeyed lodges every keyed claim again under its Idempotency-Key. The
// call's timeout is long enough that the entry refuses no repeat before it has
// read the record of the key.
func (c *claims) repeatKeyed(e *process) {
	c.mu.Lock()
	var keyed []string
	for claim := range c.received {
		if strings.HasPrefix(claim, "keyed") {
			keyed = append(keyed, claim)
		}
	}
	c.mu.Unlock()
	for _, claim := range keyed {
		c.lodge(e, claim, recoveryDeadline)
	}
}
