package ledger

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"persimmonrock.example/backend"
	"persimmonrock.example/structs"
	"pgregory.net/rapid"
)

// TestMain fixes seed and length of the runs, so that the result never changes;
// -rapid.seed, -rapid.checks and -rapid.steps override them.
func TestMain(m *testing.M) {
	given := make(map[string]bool)
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": "20261202", "rapid.checks": "8000", "rapid.steps": "100", "rapid.nofailfile": "true",
	} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

const modelSlots = 3

// message is a request on its way to the server, or running there.
type message struct {
	id     structs.RequestID
	ledger *Ledger
	grant  Grant
	// waiting: the agent still waits on the connection.
	waiting bool
}

// admittedInAll guards against runs in which nothing is admitted.
var admittedInAll int

type sentAnnouncement struct {
	announcement backend.Announcement
	guard        *backend.Guard
}

type sentAnswer struct {
	answer backend.Answer
	guard  *backend.Guard
}

// simulation is one backend server with a sequence of agents, and all messages
// in flight between them. Messages arrive in any order.
type simulation struct {
	now           time.Time
	agents        []*Ledger // the last one receives announcements
	guard         *backend.Guard
	incarnation   uint64
	inFlight      []*message
	running       []*message
	announcements []sentAnnouncement
	answers       []sentAnswer
	next          int
	refusedFull   int64
}

func newSimulation() *simulation {
	w := &simulation{now: time.Unix(0, 0)}
	w.newServer()
	w.newAgent()
	return w
}

func (w *simulation) newAgent() {
	l := New(Config{
		Instance: "i1", Total: structs.Resources{Slots: 8}, AnnounceTimeout: time.Hour, Retention: time.Hour,
		OnBroken: func(what string, recent []Step) { panic(fmt.Sprint("invariant broken: ", what, recent)) },
	})
	l.SetConfig(structs.Config{Revision: 1, Contracts: map[structs.Customer]structs.Contract{"a": {Share: 1}}})
	w.agents = append(w.agents, l)
}

func (w *simulation) newServer() {
	if w.guard != nil {
		w.refusedFull += w.guard.Counters.Full.Load()
	}
	w.incarnation++
	w.guard = backend.NewGuard(w.incarnation, modelSlots)
}

func (w *simulation) agent() *Ledger { return w.agents[len(w.agents)-1] }

func (w *simulation) admit(l *Ledger) {
	w.next++
	m := &message{id: structs.RequestID(fmt.Sprint("r", w.next)), ledger: l, waiting: true}
	g, why := l.Admit(Request{ID: m.id, Customer: "a", Service: "s", Budget: time.Hour, Revision: 1}, w.now)
	if why == Admitted {
		admittedInAll++
		m.grant = g
		w.inFlight = append(w.inFlight, m)
	}
}

// arrive lets the server read a request, perhaps long after its connection was
// cut or its agent was killed.
func (w *simulation) arrive(i int) {
	m := w.inFlight[i]
	w.inFlight = slices.Delete(w.inFlight, i, i+1)
	switch why := w.guard.Begin(m.id, m.grant.Agent, m.grant.Backend); {
	case why == "":
		w.running = append(w.running, m)
	case m.waiting && why != backend.RefusedActive:
		m.ledger.NotRun(m.id, w.now)
	case m.waiting:
		m.ledger.Cut(m.id, w.now)
	}
}

func (w *simulation) finish(i int) {
	m := w.running[i]
	w.running = slices.Delete(w.running, i, i+1)
	w.guard.End(m.id)
	if m.waiting {
		m.ledger.Answered(m.id, w.now)
	}
}

func (w *simulation) cut(m *message) {
	if m.waiting {
		m.waiting = false
		m.ledger.Cut(m.id, w.now)
	}
}

// killAgent ends the agent with its connections; its requests stay in flight.
// With zombie the agent stays, and may still admit calls beside its successor.
func (w *simulation) killAgent(zombie bool) {
	if !zombie {
		for _, m := range slices.Concat(w.inFlight, w.running) {
			m.waiting = m.waiting && m.ledger != w.agent()
		}
		w.agents = w.agents[:len(w.agents)-1]
	}
	w.newAgent()
}

func (w *simulation) restartServer() {
	for _, m := range w.running {
		w.cut(m)
	}
	w.running = nil
	w.newServer()
}

func (w *simulation) announce() {
	a := w.guard.Fill(backend.Announcement{Service: "s", Address: "x", Slots: modelSlots, Connections: modelSlots})
	w.announcements = append(w.announcements, sentAnnouncement{a, w.guard})
}

func (w *simulation) deliver(i int) {
	sent := w.announcements[i]
	w.announcements = slices.Delete(w.announcements, i, i+1)
	if answer, err := w.agent().Announce("b", sent.announcement, w.now); err == nil {
		w.answers = append(w.answers, sentAnswer{answer, sent.guard})
	}
}

func (w *simulation) carryOut(i int) {
	sent := w.answers[i]
	w.answers = slices.Delete(w.answers, i, i+1)
	if sent.guard == w.guard {
		w.guard.CarryOut(sent.answer)
	}
}

// check fails if the server ever got more calls than it has slots; its guard
// refuses such a call as full.
func (w *simulation) check(t *rapid.T) {
	if n := w.refusedFull + w.guard.Counters.Full.Load(); n > 0 {
		t.Fatalf("the server got more calls than its %d slots, %d times", modelSlots, n)
	}
}

// finishAll drops requests that no agent waits for and ends all other calls;
// then no slot may be taken.
func (w *simulation) finishAll(t *rapid.T) {
	w.inFlight = slices.DeleteFunc(w.inFlight, func(m *message) bool { return !m.waiting })
	for len(w.inFlight) > 0 {
		w.arrive(0)
	}
	for len(w.running) > 0 {
		w.finish(0)
	}
	for range 4 {
		w.announce()
		w.deliver(len(w.announcements) - 1)
		if n := len(w.answers); n > 0 {
			w.carryOut(n - 1)
		}
	}
	if s, ok := w.agent().Status("b"); ok && s.InUse != 0 {
		t.Fatalf("%d slots are never freed", s.InUse)
	}
}

// Calls come faster than the server can answer them. Callers disconnect,
// connections are cut, the agent is killed or frozen, the server is restarted,
// and announcements arrive late, out of order or never. The server must never
// hold more calls than it has slots, and each slot must be freed in the end.
func TestRandomFailuresAtOneServer(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation()
		index := func(n int) int {
			if n == 0 {
				t.Skip()
			}
			return rapid.IntRange(0, n-1).Draw(t, "which")
		}
		admit := func(*rapid.T) { w.admit(w.agents[index(len(w.agents))]) }
		arrive := func(*rapid.T) { w.arrive(index(len(w.inFlight))) }
		deliver := func(*rapid.T) { w.deliver(index(len(w.announcements))) }
		carryOut := func(*rapid.T) { w.carryOut(index(len(w.answers))) }
		t.Repeat(map[string]func(*rapid.T){
			"":  w.check,
			"a": admit, "a2": admit, "a3": admit, "b": arrive, "b2": arrive, "c": deliver, "c2": deliver, "d": carryOut, "d2": carryOut,
			"announce": func(*rapid.T) { w.announce() },
			"finish":   func(*rapid.T) { w.finish(index(len(w.running))) },
			"cut":      func(*rapid.T) { w.cut(w.inFlight[index(len(w.inFlight))]) },
			"cut2":     func(*rapid.T) { w.cut(w.running[index(len(w.running))]) },
			"kill":     func(*rapid.T) { w.killAgent(false) },
			"zombie":   func(*rapid.T) { w.killAgent(true) },
			"restart":  func(*rapid.T) { w.restartServer() },
			"prompt": func(*rapid.T) {
				w.announce()
				w.deliver(len(w.announcements) - 1)
				if n := len(w.answers); n > 0 {
					w.carryOut(n - 1)
				}
			},
		})
		w.finishAll(t)
	})
	if admittedInAll == 0 {
		t.Error("nothing was admitted in any run")
	}
}
