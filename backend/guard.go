package backend

import (
	"context"
	"sync"
	"sync/atomic"

	"persimmonrock.example/structs"
)

// maxVoid bounds the stored void requests, which are refused if they arrive
// later; the oldest are dropped.
const maxVoid = 16384

// GuardCounters are the counters of a guard: requests that ended, and refused
// requests by reason.
type GuardCounters struct {
	Served, Fenced, Void, Duplicate, Full, Leaving atomic.Int64
	// HighWater is the greatest number of requests that ran at once.
	HighWater atomic.Int64
}

// Guard decides which requests a backend server runs and lists those that run.
// Server uses a Guard; use Guard alone for a server that is not an
// http.Handler. It is safe for concurrent use.
//
// Failure guarded against: after an agent was killed or a connection was cut, a
// request remains in a socket's buffer; the server reads it seconds later and
// runs it beside the work that the new agent admitted. The guard prevents this:
// under one lock it compares both incarnations, looks up void requests and
// lists the active requests.
type Guard struct {
	// Counters may be read at any time.
	Counters GuardCounters
	slots    int

	mu          sync.Mutex
	incarnation uint64
	accepted    bool
	sequence    uint64
	agent       structs.Incarnation
	session     string
	peers       map[string]int
	answered    uint64
	active      map[structs.RequestID]struct{}
	void        map[structs.RequestID]struct{}
	voidOrder   []structs.RequestID
	leaving     bool
	idle        chan struct{}
}

// NewGuard returns a guard of a server process with the given incarnation and
// number of slots. The guard refuses all requests until an agent has answered.
func NewGuard(incarnation uint64, slots int) *Guard {
	return &Guard{
		slots: slots, incarnation: incarnation,
		active: make(map[structs.RequestID]struct{}),
		void:   make(map[structs.RequestID]struct{}),
		idle:   make(chan struct{}),
	}
}

// Begin admits a request that arrived whole, or returns the reason why it must
// not run. agent and server are the request's incarnations. Each admitted
// request needs a call of End.
func (g *Guard) Begin(id structs.RequestID, agent structs.Incarnation, server uint64) Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, void := g.void[id]
	_, active := g.active[id]
	switch {
	case id == "" || agent == 0 || agent != g.agent || server != g.incarnation:
		g.Counters.Fenced.Add(1)
		return RefusedFenced
	case void:
		g.Counters.Void.Add(1)
		return RefusedVoid
	case active:
		g.Counters.Duplicate.Add(1)
		return RefusedActive
	case g.leaving:
		g.Counters.Leaving.Add(1)
		return RefusedLeaving
	case len(g.active) >= g.slots:
		g.Counters.Full.Add(1)
		return RefusedFull
	}
	g.active[id] = struct{}{}
	if n := int64(len(g.active)); n > g.Counters.HighWater.Load() {
		g.Counters.HighWater.Store(n)
	}
	return ""
}

// End records that the request's work has ended.
func (g *Guard) End(id structs.RequestID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.active, id)
	g.Counters.Served.Add(1)
	if g.leaving && len(g.active) == 0 {
		g.closeIdle()
	}
}

// Fill returns a, the next announcement, with the guard's state.
func (g *Guard) Fill(a Announcement) Announcement {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sequence++
	a.Incarnation, a.Sequence = g.incarnation, g.sequence
	a.AgentIncarnation, a.AgentSession, a.Answered = g.agent, g.session, g.answered
	a.Leaving, a.Peers = g.leaving, g.peers
	a.Active = make([]structs.RequestID, 0, len(g.active))
	for id := range g.active {
		a.Active = append(a.Active, id)
	}
	return a
}

// CarryOut fences earlier agents and stores the void requests, atomically for
// Begin and Fill. It reports whether the agent's incarnation is new. If so, the
// next announcement is due at once, since a new agent admits no request before
// that announcement. CarryOut ignores the answer of an earlier agent, of
// another agent with the accepted incarnation, and an answer with a lower
// number than the last one carried out.
func (g *Guard) CarryOut(a Answer) (newAgent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.accepted = true
	newAgent = a.AgentIncarnation > g.agent
	same := a.AgentIncarnation == g.agent && a.AgentSession == g.session
	if !newAgent && (!same || a.Number < g.answered) {
		return false
	}
	g.agent, g.session = a.AgentIncarnation, a.AgentSession
	g.answered, g.peers = a.Number, a.Peers
	for _, id := range a.Void {
		g.addVoid(id)
	}
	return newAgent
}

// addVoid declares id void; the caller holds g.mu.
func (g *Guard) addVoid(id structs.RequestID) {
	if _, ok := g.void[id]; ok {
		return
	}
	if len(g.voidOrder) >= maxVoid {
		delete(g.void, g.voidOrder[0])
		g.voidOrder = g.voidOrder[1:]
	}
	g.void[id] = struct{}{}
	g.voidOrder = append(g.voidOrder, id)
}

// Supersede raises the server's incarnation above known, the highest one that
// the agent has observed. It does so only if known is not lower and the agent
// has accepted no announcement, since no request can then have been sent to
// this process. It reports whether the incarnation changed.
func (g *Guard) Supersede(known uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if known < g.incarnation || g.accepted {
		return false
	}
	g.incarnation = known + 1
	g.sequence = 0
	return true
}

// Leave makes the guard refuse all new requests.
func (g *Guard) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
	if len(g.active) == 0 {
		g.closeIdle()
	}
}

// AwaitIdle returns when the guard refuses new requests and none runs, or with
// ctx's error.
func (g *Guard) AwaitIdle(ctx context.Context) error {
	select {
	case <-g.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Idle reports whether AwaitIdle would return at once.
func (g *Guard) Idle() bool {
	select {
	case <-g.idle:
		return true
	default:
		return false
	}
}

// closeIdle lets AwaitIdle return; the caller holds g.mu.
func (g *Guard) closeIdle() {
	if !g.Idle() {
		close(g.idle)
	}
}
