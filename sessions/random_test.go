package sessions

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/cmd/sample"
	"persimmonrock.example/infra/fault"
	"persimmonrock.example/sessions/inproc"
	"persimmonrock.example/structs"
)

// Sizes of a randomised session.
const (
	randomLease    = 20 * time.Second
	randomSettle   = 4 * time.Minute
	randomSteps    = 60
	randomMaxPause = 1500
	// sessionsAtOnce keeps cores for the other tests; a session uses about one.
	sessionsAtOnce = 2
)

// Callers check samples, lodge claims and submit and cancel jobs while every
// fault comes at any moment: entries and agents are killed, frozen, cut off
// and stopped as planned, the store is down, slow, loses answers and delays
// writes, messages and HTTP answers are lost or late. Afterwards each caller's
// answer is true, no claim was lodged twice, no instance ever ran more than it
// can hold, no task ran in two places, and each job has one final state.
//
// The seeds are fixed; -seed and -seeds give others. TestPlannedFaults draws
// sessions that shrink.
func TestRandomisedFaults(t *testing.T) {
	t.Parallel()
	lanes := make(chan struct{}, sessionsAtOnce)
	for seed := *firstSeed; seed < *firstSeed+*seedCount; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			lanes <- struct{}{}
			defer func() { <-lanes }()
			synctest.Test(t, func(t *testing.T) { newChaos(t, seed).run() })
		})
	}
}

// Seeds that once showed a fault are run every time. 5311: a start that never
// left was put back while its repeat arrived, and the task ran twice.
func TestSeedsThatShowedFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{5311} {
		synctest.Test(t, func(t *testing.T) { newChaos(t, seed).run() })
	}
}

var (
	firstSeed = flag.Uint64("seed", 1, "first seed of the randomised sessions")
	seedCount = flag.Uint64("seeds", 25, "number of randomised sessions")
)

// reporter is told what is wrong; *testing.T is one.
type reporter interface {
	Errorf(format string, args ...any)
	Logf(format string, args ...any)
	Failed() bool
}

// chaos is one randomised session.
type chaos struct {
	t    reporter
	seed uint64
	s    *session
	// plan draws the steps, random what happens inside handlers.
	plan   *rand.Rand
	random *rand.Rand
	mu     sync.Mutex
	wait   sync.WaitGroup
	record record
	jobs   []string
	claims int
	// told is set once a story has been printed.
	told bool
}

func (c *chaos) draw(n int) int { return c.plan.IntN(n) }

func newChaos(t *testing.T, seed uint64) *chaos {
	c := &chaos{t: t, seed: seed, plan: rand.New(rand.NewPCG(seed, 1)), random: rand.New(rand.NewPCG(seed, 2))}
	c.record.answers = make(map[string][]inproc.Response)
	c.s = newSession(t, options{entries: 2, instances: 3, slots: 3, lease: randomLease, seed: seed, work: c.work})
	return c
}

func (c *chaos) run() {
	for range randomSteps {
		c.step()
		time.Sleep(time.Duration(c.draw(randomMaxPause)) * time.Millisecond)
	}
	c.end()
}

// end ends all faults, judges the session and closes it.
func (c *chaos) end() {
	c.heal()
	c.wait.Wait()
	time.Sleep(randomSettle)
	c.check()
	c.s.Close()
	time.Sleep(time.Minute)
}

// work is how long one call works: mostly little, sometimes longer than its
// caller waits.
func (c *chaos) work() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.random.IntN(10) == 0 {
		return time.Duration(c.random.IntN(4000)) * time.Millisecond
	}
	return time.Duration(c.random.IntN(20)) * time.Millisecond
}

func (c *chaos) entry() *inproc.Entry {
	return c.s.entries[c.draw(len(c.s.entries))]
}

func (c *chaos) instance() *inproc.Instance {
	return c.s.instances[c.draw(len(c.s.instances))]
}

// step makes some requests and perhaps one fault.
func (c *chaos) step() {
	for range c.draw(6) {
		c.assay()
	}
	for range c.draw(4) {
		c.lodge()
	}
	for range c.draw(4) {
		e := c.entry()
		samples, step := 1+c.draw(20), time.Duration(c.draw(800))*time.Millisecond
		c.submit(e, samples, step)
	}
	faults := []func(){
		c.cancelJob, c.killEntry, c.killAgent, c.freeze, c.cut, c.stopAgent, c.stores, c.messages, c.answers, c.heal, func() {}, func() {},
	}
	faults[c.draw(len(faults))]()
}

func (c *chaos) submit(e *inproc.Entry, samples int, step time.Duration) {
	c.wait.Go(func() {
		if id := c.s.submit(e, samples, step); id != "" {
			c.mu.Lock()
			c.jobs = append(c.jobs, id)
			c.mu.Unlock()
		}
	})
}

func (c *chaos) assay() {
	e, sampleID := c.entry(), fmt.Sprintf("GN-%d", c.draw(1000))
	c.checkSample(e, sampleID, time.Duration(5+c.draw(3000))*time.Millisecond)
}

// checkSample checks one sample; the answer has to be about it.
func (c *chaos) checkSample(e *inproc.Entry, sampleID string, timeout time.Duration) {
	c.wait.Go(func() {
		r := c.s.call(e, sample.AssayCheck, fmt.Sprintf(`{"sample":%q}`, sampleID), timeout)
		if r.Status == http.StatusOK && !strings.Contains(r.Body, `"`+sampleID+`"`) {
			c.t.Errorf("asked for %s, was answered %s", sampleID, r.Body)
		}
	})
}

// lodge lodges a claim that is not idempotent: a new one, or an earlier one
// again under its key, perhaps through another entry.
func (c *chaos) lodge() {
	keyed := c.draw(2) == 0
	id := c.claims
	if keyed && id > 0 && c.draw(2) == 0 {
		id = c.draw(c.claims)
	} else {
		c.claims++
	}
	c.lodgeClaim(c.entry(), keyed, id)
}

func (c *chaos) lodgeClaim(e *inproc.Entry, keyed bool, id int) {
	claim := fmt.Sprintf("plain-%d", id)
	var header []string
	if keyed {
		claim = fmt.Sprintf("keyed-%d", id)
		header = []string{"Idempotency-Key", claim}
	}
	c.wait.Go(func() {
		c.record.add(claim, c.s.call(e, sample.LodgeClaim, fmt.Sprintf(`{"claim":%q}`, claim), 5*time.Second, header...))
	})
}

func (c *chaos) cancelJob() {
	e := c.entry()
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.jobs) == 0 {
		return
	}
	id := c.jobs[c.draw(len(c.jobs))]
	c.wait.Go(func() { c.s.ask(e, "DELETE", "/v1/jobs/"+id, "") })
}

func (c *chaos) killEntry() { c.killEntryAt(c.draw(len(c.s.entries))) }

func (c *chaos) killEntryAt(k int) {
	c.s.entries[k].Kill()
	c.s.entries[k] = c.s.StartEntry(fmt.Sprintf("entry-%d", k+1))
}

func (c *chaos) killAgent() { killAgentOf(c.instance()) }

func killAgentOf(i *inproc.Instance) {
	i.Agent.Kill()
	i.StartAgent()
}

// stopAgent carries out a planned stop, bounded, and starts a new agent.
func (c *chaos) stopAgent() { stopAgentOf(c.instance()) }

func stopAgentOf(i *inproc.Instance) {
	old := i.Agent
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	_ = old.Drain(ctx)
	old.Kill()
	i.StartAgent()
}

// freeze stops a process for up to twice the lease.
func (c *chaos) freeze() {
	span := time.Duration(c.draw(int(2*randomLease/time.Millisecond))) * time.Millisecond
	if c.draw(2) == 0 {
		c.freezeFor(c.entry(), span)
	} else {
		c.freezeFor(c.instance().Agent, span)
	}
}

func (c *chaos) freezeFor(p interface {
	Freeze()
	Thaw()
}, span time.Duration) {
	p.Freeze()
	c.wait.Go(func() {
		time.Sleep(span)
		p.Thaw()
	})
}

func (c *chaos) cut() {
	e, i := c.entry(), c.instance()
	c.s.Net.Cut(e.Name, i.Agent.Name, c.draw(2) == 0)
}

// badStore is a store that fails in all its ways.
var badStore = fault.Plan{
	Down: 0.1, Timeout: 0.1, LoseAnswer: 0.15, Delay: 0.15, Slow: 0.3,
	Latency: fault.Range{Max: 500 * time.Millisecond}, Patience: fault.Exactly(time.Second), Landing: fault.Range{Max: 10 * time.Second},
}

// stores makes the store bad for some processes, or down.
func (c *chaos) stores() {
	plan := badStore
	if c.draw(3) == 0 {
		plan = fault.Plan{Down: 1}
	}
	for _, e := range c.s.entries {
		if c.draw(2) == 0 {
			e.Store.Set(plan)
		}
	}
	for _, i := range c.s.instances {
		if c.draw(2) == 0 {
			i.Agent.Store.Set(plan)
		}
	}
}

func (c *chaos) messages() {
	c.s.Net.Chance(map[inproc.Fault]float64{inproc.Unsent: 0.05, inproc.LoseRequest: 0.05, inproc.LoseAnswer: 0.1, inproc.Late: 0.05})
}

func (c *chaos) answers() {
	c.s.Web.Script(func(r *http.Request) inproc.WebFault {
		c.mu.Lock()
		defer c.mu.Unlock()
		return []inproc.WebFault{inproc.WebDeliver, inproc.WebDeliver, inproc.WebDeliver, inproc.WebRefuse, inproc.WebLoseAnswer, inproc.WebCutBody}[c.random.IntN(6)]
	})
}

// heal ends all faults but freezes, which end by themselves.
func (c *chaos) heal() {
	c.s.Net.Chance(nil)
	c.s.Web.Script(nil)
	for _, e := range c.s.entries {
		e.Store.Set(fault.Plan{})
		for _, i := range c.s.instances {
			c.s.Net.Cut(e.Name, i.Agent.Name, false)
		}
	}
	for _, i := range c.s.instances {
		i.Agent.Store.Set(fault.Plan{})
	}
}

// check judges the whole session.
func (c *chaos) check() {
	for claim, answers := range c.record.answers {
		c.checkClaim(claim, answers)
	}
	for _, id := range c.jobs {
		c.checkJob(id)
	}
	if n := c.s.overfull.Load(); n != 0 {
		c.t.Errorf("%d times an instance ran more than it can hold: %s", n, c.s.overfullNote)
		c.tellInstance()
	}
	if n := c.s.Registry.Broken(); n != 0 {
		c.t.Errorf("%d runs of a task overlapped: %s", n, c.s.overlap.String())
		var first struct{ Job structs.JobID }
		_ = json.Unmarshal(c.s.overlap.Bytes(), &first)
		c.tell(nil, first.Job)
	}
	for _, e := range c.s.entries {
		if n := broken(e.Vars()); n != 0 {
			c.t.Errorf("%s counts %d broken invariants", e.Name, n)
		}
	}
	for _, i := range c.s.instances {
		if n := broken(i.Agent.Vars()); n != 0 {
			c.t.Errorf("agent of %s counts %d broken invariants", i.ID, n)
		}
	}
	r := c.s.call(c.s.entries[0], sample.AssayCheck, `{"sample":"last"}`, 5*time.Second, "Request-Timeout", "5s")
	if r.Status != http.StatusOK {
		c.t.Errorf("after all faults a call gets %d %s", r.Status, r.Body)
		c.tell([]inproc.Response{r}, "")
	}
}

// checkJob looks for a job that is stuck or that ran in two places.
func (c *chaos) checkJob(id string) {
	if j := c.s.job(id); !j.State.Final() {
		c.t.Errorf("job %s is %q (%s) after all faults ended; its owner says %s", id, j.State, j.Reason, c.s.ask(c.s.entries[0], "GET", "/v1/jobs/"+id, "").Body)
		c.tell(nil, structs.JobID(id))
	}
	runs := c.s.Registry.Runs(structs.JobID(id))
	epochs := make(map[structs.Epoch]bool)
	for _, run := range runs {
		if epochs[run.Epoch] {
			c.t.Errorf("one claim of job %s ran twice: %+v", id, runs)
			c.tell(nil, structs.JobID(id))
		}
		epochs[run.Epoch] = true
	}
}

// checkClaim compares what callers were told with what was lodged.
func (c *chaos) checkClaim(claim string, answers []inproc.Response) {
	lodged := c.s.lodged.Count(claim)
	if lodged > 1 {
		c.t.Errorf("claim %s was lodged %d times", claim, lodged)
	}
	told, notRun := 0, 0
	for _, a := range answers {
		switch {
		case a.Status == http.StatusOK:
			told++
			if !strings.Contains(a.Body, `"`+claim+`"`) {
				c.t.Errorf("claim %s was answered %s", claim, a.Body)
			}
		case a.Outcome() == structs.NotRun:
			notRun++
		}
	}
	if told > 0 && lodged != 1 {
		c.t.Errorf("claim %s was reported lodged and is not", claim)
	}
	if notRun == len(answers) && lodged != 0 {
		c.t.Errorf("claim %s was refused as not run and was lodged", claim)
	}
	if c.t.Failed() && !c.told {
		c.tell(answers, "")
	}
}

// tell prints the story of the first claim or job that went wrong.
func (c *chaos) tell(answers []inproc.Response, job structs.JobID) {
	if c.told {
		return
	}
	c.told = true
	for _, a := range answers {
		c.t.Logf("%d %s", a.Status, a.Body)
		c.print(c.s.Timeline(structs.RequestID(a.Header.Get("Persimmonrock-Request")), ""))
	}
	if job != "" {
		c.print(c.s.Timeline("", job))
	}
	for _, i := range c.s.instances {
		text, _ := json.Marshal(i.Agent.Vars())
		c.t.Logf("agent of %s: %s", i.ID, text)
	}
	for _, e := range c.s.entries {
		text, _ := json.Marshal(e.Vars())
		c.t.Logf("%s: %s", e.Name, text)
	}
}

// beforeOverfull is how much of its agent's time line explains an instance that
// ran too much.
const beforeOverfull = 10 * time.Second

// tellInstance prints the time line of the agent whose instance ran too much.
func (c *chaos) tellInstance() {
	var line []structs.Event
	for _, e := range c.s.Timeline("", "") {
		before := c.s.overfullAt.Sub(e.Wall)
		if strings.HasPrefix(c.s.overfullNote, e.Process+" ") && before >= 0 && before < beforeOverfull {
			line = append(line, e)
		}
	}
	c.print(line)
}

func (c *chaos) print(line []structs.Event) {
	for _, e := range line {
		c.t.Logf("%6d %s %-12s %-14s %-12s %d %s", e.Logical, e.Wall.Format("04:05.000"), e.Process, e.Step, e.Peer, e.Epoch, e.Detail)
	}
}
