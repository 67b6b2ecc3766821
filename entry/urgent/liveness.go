package urgent

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/entry/directory"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

const (
	// checkAfter is the time without any message after which an agent with an
	// unanswered call is checked.
	checkAfter = 250 * time.Millisecond
	// checkTimeout bounds a check. The agent answers from its own memory, whatever
	// its backend servers do, and an agent that answers late is excluded only until
	// its answer arrives.
	checkTimeout = 300 * time.Millisecond
	// checkOverrun is the delay after checkTimeout beyond which a failed check
	// shows a pause of this process rather than an unresponsive agent.
	checkOverrun = 100 * time.Millisecond
	// returnTimeout bounds one request to an unresponsive agent, and returnPause is
	// the time between two requests.
	returnTimeout = 30 * time.Second
	returnPause   = time.Second
)

// liveness finds agents that are unresponsive although their connections are
// open.
//
// Failure guarded against: an agent is paused, or its machine is cut off, and no
// connection breaks. Each call sent to the agent waits for its own deadline, and
// new calls follow until heartbeats are missed, which takes minutes with many
// agents. The guard: an agent that has not answered a call and sends nothing is
// asked for its load on the same connection. A working agent answers from memory
// at once, also during a long call at its backend server. An agent that doesn't
// answer in time is excluded until it answers or sends another message.
type liveness struct {
	dir      Directory
	peers    wire.Dialer
	events   structs.Recorder
	log      zerolog.Logger
	lifetime context.Context

	mu     sync.Mutex
	checks map[structs.InstanceID]*check

	// Checks counts the checks, Unresponsive those without an answer in time.
	Checks, Unresponsive atomic.Int64
}

// check is one check of an agent, shared by all calls that wait for it.
type check struct {
	done  chan struct{}
	alive bool
}

func newLiveness(lifetime context.Context, d Deps) *liveness {
	return &liveness{dir: d.Directory, peers: d.Peers, events: d.Events, log: d.Log, lifetime: lifetime, checks: make(map[structs.InstanceID]*check)}
}

// recentContact reports whether a has sent a message within the given time.
func (l *liveness) recentContact(a directory.Agent, within time.Duration) bool {
	age, known := l.dir.Age(a.Instance)
	return known && age < within
}

// checkAfterLoss checks an agent after an exchange without an answer, unless the
// agent has sent a message since the request and within checkAfter. No call waits
// for the result.
//
// Failure guarded against: calls at an unresponsive agent end early, by their own
// deadlines or by the answer of a second attempt, so that none lasts until
// checkAfter. Without this check the agent would cost each new call a retry.
func (l *liveness) checkAfterLoss(a directory.Agent, since time.Duration) {
	if !l.recentContact(a, min(since, checkAfter)) {
		l.check(a)
	}
}

// check starts a check of a, or returns the one in progress. The check of an
// unresponsive agent lasts until the agent returns.
func (l *liveness) check(a directory.Agent) *check {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.checks[a.Instance]; c != nil {
		return c
	}
	c := &check{done: make(chan struct{})}
	l.checks[a.Instance] = c
	go l.run(a, c)
	return c
}

func (l *liveness) run(a directory.Agent, c *check) {
	defer l.remove(a.Instance)
	l.Checks.Add(1)
	// When this process stops, a failed check proves nothing.
	c.alive = l.probe(a, checkTimeout) || l.lifetime.Err() != nil
	if !c.alive {
		l.Unresponsive.Add(1)
		l.dir.SetUnresponsive(a.Instance, true)
		l.recordStep(StepAgentSilent, a.Instance)
	}
	close(c.done)
	if c.alive {
		return
	}
	if l.awaitReturn(a) {
		l.recordStep(StepAgentReturned, a.Instance)
	}
	l.dir.SetUnresponsive(a.Instance, false)
}

func (l *liveness) recordStep(step structs.Step, id structs.InstanceID) {
	l.events.Record(structs.Event{Step: step, Peer: string(id)})
	l.log.Warn().Str("instance", string(id)).Msg(string(step))
}

func (l *liveness) remove(id structs.InstanceID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.checks, id)
}

// probe requests the load of a, and reports whether a answers within timeout.
//
// Failure guarded against: this process itself is paused, and when it resumes
// every check has timed out while the answers wait to be read; all instances
// would be excluded at once. A request that ends long after its time-out shows
// such a pause, and is repeated.
func (l *liveness) probe(a directory.Agent, timeout time.Duration) bool {
	for {
		began := time.Now()
		ctx, cancel := context.WithTimeout(l.lifetime, timeout)
		load, err := l.peers.Agent(a.Address).Load(ctx)
		cancel()
		if err == nil {
			l.dir.Update(load)
			return true
		}
		if time.Since(began) < timeout+checkOverrun || l.lifetime.Err() != nil {
			return false
		}
	}
}

// awaitReturn waits until the agent answers or sends another message, one
// request at a time, and reports false if the directory removes the agent or
// this process ends.
func (l *liveness) awaitReturn(a directory.Agent) bool {
	began := time.Now()
	for !l.probe(a, returnTimeout) {
		wait(l.lifetime, returnPause)
		age, known := l.dir.Age(a.Instance)
		if !known || l.lifetime.Err() != nil {
			return false
		}
		if age < time.Since(began) {
			return true
		}
	}
	return true
}
