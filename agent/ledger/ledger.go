// Package ledger records, under one lock, the slots and connections of an
// instance's backend servers and the slots, processors, memory and accelerators
// of the instance that are in use. It is the authority on free capacity; every
// other process has only an estimate.
//
// A call's slot is freed by exactly one of: the whole answer, a proof that the
// call did not run, a new incarnation of the backend server, or a list of the
// server's active requests without the call. The list is enough for a call that
// an earlier agent admitted. For a call of this agent, the server must have made
// the list after it was told to refuse the request (see Announce). A caller that
// disconnects frees nothing.
package ledger

import (
	"crypto/rand"
	"sync"
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Config bounds a ledger.
type Config struct {
	Instance structs.InstanceID
	// Total is the instance's capacity.
	Total structs.Resources
	// AnnounceTimeout is the age of a server's last announcement above which
	// the server gets no new calls.
	AnnounceTimeout time.Duration
	// Retention is the age of the last announcement above which an idle server
	// is removed.
	Retention time.Duration
	// With Survey the ledger admits nothing before its first survey. Settle is
	// the time after its start in which it admits nothing.
	Survey bool
	Settle time.Duration
	// OnBroken is called once for each kind of violated invariant, with the
	// ledger's recent steps. It must not call the ledger.
	OnBroken func(what string, recent []Step)
}

// phase is the state of a call.
type phase uint8

const (
	// exchanging: the agent waits for the answer.
	exchanging phase = iota
	// orphaned: the exchange has ended without a whole answer.
	orphaned
	// inherited: an earlier agent admitted the call.
	inherited
)

type call struct {
	id          structs.RequestID
	customer    structs.Customer
	server      *server
	incarnation uint64
	phase       phase
	// voided is the number of the first answer that declared the request void,
	// 0 if there is none.
	voided  uint64
	started time.Time
}

// Ledger is safe for use by many goroutines.
type Ledger struct {
	config Config

	mu       sync.Mutex
	used     structs.Resources
	servers  map[string]*server
	awaited  map[string]awaited
	services map[structs.Service][]*server
	calls    map[structs.RequestID]*call
	tasks    map[TaskKey]task
	// excess is the measured memory use above the tasks' declared sizes.
	excess     int64
	batchLoads []wire.BatchLoad
	// uses and accounts hold each customer's use, see quota.go.
	uses      []decide.SlotUse
	accounts  map[structs.Customer]*account
	revision  structs.Revision
	start     time.Time
	refreshed time.Time
	// incarnation is the highest incarnation that this agent has used towards a
	// backend server or in its lease row. It orders the agent's loads after
	// those of its predecessor.
	incarnation structs.Incarnation
	session     string
	// inherited are the sizes of tasks that run for earlier agents.
	inherited map[TaskKey]structs.Resources
	surveyed  bool
	sequence  uint64
	draining  bool
	counters  Counters
	trail     trail
}

// Counters are the ledger's counters.
type Counters struct {
	Admitted, Answered, NotRun, Cut  int64
	FreedByList, FreedByRestart      int64
	Inherited, Duplicates            int64
	StaleAnnouncements, Announcement int64
	InvariantBroken                  int64
}

// New returns a ledger without servers.
func New(c Config) *Ledger {
	return &Ledger{
		config:   c,
		servers:  make(map[string]*server),
		awaited:  make(map[string]awaited),
		services: make(map[structs.Service][]*server),
		calls:    make(map[structs.RequestID]*call),
		tasks:    make(map[TaskKey]task),
		accounts: make(map[structs.Customer]*account),
		start:    time.Now(),
		session:  rand.Text(),
		sequence: uint64(time.Now().UnixNano()),
	}
}

// Reason is the reason for which a request was not admitted, or Admitted.
type Reason uint8

// The reasons.
const (
	Admitted Reason = iota
	Draining
	UnknownService
	NotReady
	Leaving
	Full
	Share
	Duplicate
	Late
	TooLarge
	NoContract
)

// Request asks for the slot of one call.
type Request struct {
	ID       structs.RequestID
	Customer structs.Customer
	Service  structs.Service
	Budget   time.Duration
	// Revision is the revision of the sender's configuration.
	Revision structs.Revision
}

// Grant is an admitted call with its backend server.
type Grant struct {
	Server   string
	Address  string
	CallPath string
	Agent    structs.Incarnation
	Backend  uint64
}

// Admit takes a slot and a connection of a server of the service, or returns
// why not. An ID that is in the ledger is never admitted a second time.
func (l *Ledger) Admit(r Request, now time.Time) (Grant, Reason) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.calls[r.ID]; ok {
		l.counters.Duplicates++
		return Grant{}, Duplicate
	}
	if l.draining {
		return Grant{}, Draining
	}
	if l.unsettled(now) {
		return Grant{}, NotReady
	}
	s, why := l.chooseServer(r.Service, now)
	if why != Admitted {
		return Grant{}, why
	}
	if r.Budget <= 0 || (s.inUse > 0 && r.Budget < s.median) {
		return Grant{}, Late
	}
	if why := l.admitCall(r.Customer, r.Revision, now); why != Admitted {
		return Grant{}, why
	}
	s.window.recordTarget(l.accounts[r.Customer].contract.LatencyTarget.Std())
	c := &call{id: r.ID, customer: r.Customer, server: s, incarnation: s.incarnation, started: now}
	l.acquireSlot(c, now)
	l.counters.Admitted++
	if s.inUse > s.announced.Slots || s.inUse > s.announced.Connections || l.overSlots() {
		l.invariantBroken("in use above capacity")
	}
	return Grant{
		Server: s.name, Address: s.announced.Address, CallPath: s.announced.CallPath,
		Agent: s.agent, Backend: s.incarnation,
	}, Admitted
}

// chooseServer returns the server of the service with the most free slots.
func (l *Ledger) chooseServer(service structs.Service, now time.Time) (*server, Reason) {
	why := UnknownService
	var best *server
	for _, s := range l.services[service] {
		switch state := s.state(now, l.config.AnnounceTimeout); {
		case state != Admitted:
			why = max(why, state)
		case s.free() <= 0:
			why = Full
		case best == nil || s.free() > best.free():
			best = s
		}
	}
	if best == nil {
		return nil, why
	}
	return best, Admitted
}

func (l *Ledger) acquireSlot(c *call, now time.Time) {
	l.calls[c.id] = c
	c.server.inUse++
	l.used.Slots++
	l.used.Connections++
	l.addUse(c.customer, 1, 0)
	l.trail.add(now, "take", c.id, c.server.name, c.server.inUse)
}

func (l *Ledger) releaseSlot(c *call, step string, now time.Time) {
	if l.calls[c.id] != c {
		l.invariantBroken("slot freed twice")
		return
	}
	delete(l.calls, c.id)
	c.server.inUse--
	l.used.Slots--
	l.used.Connections--
	l.addUse(c.customer, -1, 0)
	l.trail.add(now, step, c.id, c.server.name, c.server.inUse)
	if c.server.inUse < 0 || l.used.Slots < 0 || l.used.Connections < 0 {
		l.invariantBroken("in use below zero")
	}
}

// inExchange returns the call whose exchange is about to end. If there is none,
// it returns nil and reports a violated invariant, since an exchange ends once.
// what names the kind of end.
func (l *Ledger) inExchange(id structs.RequestID, what string) *call {
	c := l.calls[id]
	if c == nil || c.phase != exchanging {
		l.invariantBroken(what + " a call that is not in exchange")
		return nil
	}
	return c
}

// Answered frees the call's slot: its whole answer has been read.
func (l *Ledger) Answered(id structs.RequestID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.inExchange(id, "answer to")
	if c == nil {
		return
	}
	c.server.observe(now.Sub(c.started), now)
	l.counters.Answered++
	l.releaseSlot(c, "answered", now)
}

// NotRun frees the call's slot: there is proof that the call did not run and
// never will.
func (l *Ledger) NotRun(id structs.RequestID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.inExchange(id, "not-run proof of")
	if c == nil {
		return
	}
	l.counters.NotRun++
	l.releaseSlot(c, "not_run", now)
}

// Cut records that the exchange ended without a whole answer. The slot stays
// taken, since the server may still work on the call, unless the process that
// got the request has been replaced.
func (l *Ledger) Cut(id structs.RequestID, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.inExchange(id, "cut of")
	if c == nil {
		return
	}
	l.counters.Cut++
	if c.incarnation != c.server.incarnation {
		l.counters.FreedByRestart++
		l.releaseSlot(c, "cut after restart", now)
		return
	}
	c.phase = orphaned
	l.trail.add(now, "cut", c.id, c.server.name, c.server.inUse)
}

// SetLease records the incarnation that the agent's lease row has now.
func (l *Ledger) SetLease(n structs.Incarnation) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.incarnation = max(l.incarnation, n)
}

// Incarnation returns the highest incarnation that the agent has had.
func (l *Ledger) Incarnation() structs.Incarnation {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.incarnation
}

// Drain makes the ledger refuse new work, or admit it again.
func (l *Ledger) Drain(on bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.draining = on
}

// Draining reports whether new work is refused.
func (l *Ledger) Draining() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.draining
}

// Exchanging returns the number of calls that wait for an answer.
func (l *Ledger) Exchanging() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, c := range l.calls {
		if c.phase == exchanging {
			n++
		}
	}
	return n
}

// Counters returns a copy of the counters.
func (l *Ledger) Counters() Counters {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counters
}

func (l *Ledger) freeSlots() int { return l.config.Total.Slots - l.used.Slots }

func (l *Ledger) overSlots() bool { return l.used.Slots > l.config.Total.Slots }
