package sessions

import (
	"flag"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"persimmonrock.example/infra/fault"
)

// TestMain fixes the seed and the number of the drawn sessions, so that the
// result is reproducible; -rapid.seed and -rapid.checks override them.
func TestMain(m *testing.M) {
	given := make(map[string]bool)
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "10", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

type faultKind string

// The faults of a planned session.
const (
	noFault          faultKind = "none"
	killEntry        faultKind = "kill entry"
	killAgent        faultKind = "kill agent"
	stopAgent        faultKind = "stop agent"
	freezeEntry      faultKind = "freeze entry"
	freezeAgent      faultKind = "freeze agent"
	cutLink          faultKind = "cut link"
	entryStoreFaulty faultKind = "store faulty for entry"
	agentStoreFaulty faultKind = "store faulty for agent"
	storeDown        faultKind = "store down for all"
	messagesLost     faultKind = "messages lost"
	answersLost      faultKind = "answers lost"
	allHealed        faultKind = "all healed"
)

var faultKinds = []faultKind{
	noFault, allHealed, killEntry, killAgent, stopAgent, freezeEntry, freezeAgent, cutLink,
	entryStoreFaulty, agentStoreFaulty, storeDown, messagesLost, answersLost,
}

// plannedStep is one step of a planned session: requests, a fault and a pause.
// Entry and Instance select the target of the fault, Entry also the entries of
// the requests; Span is the duration of a freeze.
type plannedStep struct {
	Checks, Jobs    int
	Keyed, Plain    []int
	Samples         int
	Work            time.Duration
	Fault           faultKind
	Entry, Instance int
	Span, Pause     time.Duration
}

const maxPlannedSteps = 40

var plannedSteps = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) plannedStep {
	span := func(name string, most time.Duration) time.Duration {
		return time.Duration(rapid.IntRange(0, int(most/time.Millisecond)).Draw(t, name)) * time.Millisecond
	}
	return plannedStep{
		Checks: rapid.IntRange(0, 5).Draw(t, "checks"),
		Jobs:   rapid.IntRange(0, 3).Draw(t, "jobs"),
		// Claims with equal numbers are repeats under the same idempotency key.
		Keyed:    rapid.SliceOfN(rapid.IntRange(0, 30), 0, 2).Draw(t, "keyed"),
		Plain:    rapid.SliceOfN(rapid.Just(0), 0, 2).Draw(t, "plain"),
		Samples:  rapid.IntRange(1, 20).Draw(t, "samples"),
		Work:     span("work", 800*time.Millisecond),
		Fault:    rapid.SampledFrom(faultKinds).Draw(t, "fault"),
		Entry:    rapid.IntRange(0, 1).Draw(t, "entry"),
		Instance: rapid.IntRange(0, 2).Draw(t, "instance"),
		Span:     span("span", 2*randomLease),
		Pause:    span("pause", randomMaxPause*time.Millisecond),
	}
}), 1, maxPlannedSteps)

// failureLog collects failures until the session's synctest bubble has ended.
type failureLog struct {
	mu     sync.Mutex
	errors []string
	logs   []string
}

func (n *failureLog) Errorf(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.errors = append(n.errors, fmt.Sprintf(format, args...))
}

func (n *failureLog) Logf(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.logs = append(n.logs, fmt.Sprintf(format, args...))
}

func (n *failureLog) Failed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.errors) > 0
}

// Runs sessions like those of TestRandomisedFaults. Rapid draws requests,
// faults and times beforehand, so that it can shrink a failing plan. Rapid ends
// a failed check by a panic, which can't leave a synctest bubble, so failures
// are collected and reported after the bubble has ended.
func TestPlannedFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		plan, seed := plannedSteps.Draw(rt, "plan"), rapid.Uint64().Draw(rt, "seed")
		var n failureLog
		synctest.Test(t, func(t *testing.T) {
			c := newChaos(t, seed)
			c.t = &n
			for _, m := range plan {
				c.perform(m)
			}
			c.finish()
		})
		if n.Failed() {
			rt.Fatalf("%s\n%s", strings.Join(n.errors, "\n"), strings.Join(n.logs, "\n"))
		}
	})
}

func (c *chaos) perform(m plannedStep) {
	entry, otherEntry := c.s.entries[m.Entry], c.s.entries[1-m.Entry]
	for i := range m.Checks {
		c.checkSample(entry, fmt.Sprintf("GN-%d", i), m.Work+time.Second)
	}
	for _, id := range m.Keyed {
		c.sendClaim(otherEntry, true, id)
	}
	for range m.Plain {
		c.claims++
		c.sendClaim(entry, false, c.claims)
	}
	for range m.Jobs {
		c.submit(otherEntry, m.Samples, m.Work)
	}
	c.injectFault(m)
	time.Sleep(m.Pause)
}

func (c *chaos) injectFault(m plannedStep) {
	e, i := c.s.entries[m.Entry], c.s.instances[m.Instance]
	switch m.Fault {
	case killEntry:
		c.killEntryAt(m.Entry)
	case killAgent:
		killAgentOf(i)
	case stopAgent:
		stopAgentOf(i)
	case freezeEntry:
		c.freezeFor(e, m.Span)
	case freezeAgent:
		c.freezeFor(i.Agent, m.Span)
	case cutLink:
		c.s.Net.Cut(e.Name, i.Agent.Name, true)
	case entryStoreFaulty:
		e.Store.Set(faultyStore)
	case agentStoreFaulty:
		i.Agent.Store.Set(faultyStore)
	case storeDown:
		for _, target := range c.s.entries {
			target.Store.Set(fault.Plan{Down: 1})
		}
		for _, target := range c.s.instances {
			target.Agent.Store.Set(fault.Plan{Down: 1})
		}
	case messagesLost:
		c.loseMessages()
	case answersLost:
		c.breakAnswers()
	case allHealed:
		c.heal()
	}
}
