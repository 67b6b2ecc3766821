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
// verdict never changes; -rapid.seed and -rapid.checks give others.
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

// faultKind is one way to disturb a session.
type faultKind string

// The faults of a planned session.
const (
	noFault       faultKind = "none"
	killEntry     faultKind = "kill entry"
	killAgent     faultKind = "kill agent"
	stopAgent     faultKind = "stop agent"
	freezeEntry   faultKind = "freeze entry"
	freezeAgent   faultKind = "freeze agent"
	cutLink       faultKind = "cut link"
	entryStoreBad faultKind = "store bad for entry"
	agentStoreBad faultKind = "store bad for agent"
	storeDown     faultKind = "store down for all"
	messagesLost  faultKind = "messages lost"
	answersLost   faultKind = "answers lost"
	allHealed     faultKind = "all healed"
)

var faultKinds = []faultKind{
	noFault, allHealed, killEntry, killAgent, stopAgent, freezeEntry, freezeAgent, cutLink,
	entryStoreBad, agentStoreBad, storeDown, messagesLost, answersLost,
}

// move is one step of a planned session: a load, a fault and a pause. Entry
// and Instance say where the fault is, Span how long a freeze lasts.
type move struct {
	Checks, Jobs    int
	Keyed, Plain    []int
	Samples         int
	Work            time.Duration
	Fault           faultKind
	Entry, Instance int
	Span, Pause     time.Duration
}

// maxMoves bounds a planned session.
const maxMoves = 40

var moves = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) move {
	span := func(name string, most time.Duration) time.Duration {
		return time.Duration(rapid.IntRange(0, int(most/time.Millisecond)).Draw(t, name)) * time.Millisecond
	}
	return move{
		Checks: rapid.IntRange(0, 5).Draw(t, "checks"),
		Jobs:   rapid.IntRange(0, 3).Draw(t, "jobs"),
		// Claims with equal numbers are repeats under one key.
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
}), 1, maxMoves)

// notes keeps what is wrong until the session's bubble has ended.
type notes struct {
	mu    sync.Mutex
	wrong []string
	log   []string
}

func (n *notes) Errorf(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.wrong = append(n.wrong, fmt.Sprintf(format, args...))
}

func (n *notes) Logf(format string, args ...any) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.log = append(n.log, fmt.Sprintf(format, args...))
}

func (n *notes) Failed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return len(n.wrong) > 0
}

// The same session as in TestRandomisedFaults, with its loads, faults and
// times drawn by rapid before it starts; a plan that shows a fault shrinks.
// Rapid ends a failed check by a panic, which can't leave the bubble of fake
// time, so what is wrong is kept and told when the bubble has ended.
func TestPlannedFaults(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(rt *rapid.T) {
		plan, seed := moves.Draw(rt, "plan"), rapid.Uint64().Draw(rt, "seed")
		var n notes
		synctest.Test(t, func(t *testing.T) {
			c := newChaos(t, seed)
			c.t = &n
			for _, m := range plan {
				c.make(m)
			}
			c.end()
		})
		if n.Failed() {
			rt.Fatalf("%s\n%s", strings.Join(n.wrong, "\n"), strings.Join(n.log, "\n"))
		}
	})
}

// make carries one move out.
func (c *chaos) make(m move) {
	near, far := c.s.entries[m.Entry], c.s.entries[1-m.Entry]
	for i := range m.Checks {
		c.checkSample(near, fmt.Sprintf("GN-%d", i), m.Work+time.Second)
	}
	for _, id := range m.Keyed {
		c.lodgeClaim(far, true, id)
	}
	for range m.Plain {
		c.claims++
		c.lodgeClaim(near, false, c.claims)
	}
	for range m.Jobs {
		c.submit(far, m.Samples, m.Work)
	}
	c.disturb(m)
	time.Sleep(m.Pause)
}

func (c *chaos) disturb(m move) {
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
	case entryStoreBad:
		e.Store.Set(badStore)
	case agentStoreBad:
		i.Agent.Store.Set(badStore)
	case storeDown:
		for _, one := range c.s.entries {
			one.Store.Set(fault.Plan{Down: 1})
		}
		for _, one := range c.s.instances {
			one.Agent.Store.Set(fault.Plan{Down: 1})
		}
	case messagesLost:
		c.messages()
	case answersLost:
		c.answers()
	case allHealed:
		c.heal()
	}
}
