// Package fault wraps the platform's services to inject the faults of real
// services: outages, slow requests, time-outs, a process that is cut off,
// answers lost after a write took effect, and writes that take effect long
// after their caller timed out.
//
// Each process of a test has its own wrapper with its own Control around the
// same inner service, so that one process can be cut off while others aren't.
package fault

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Fault is a fault of one request.
type Fault string

// The faults of a request. For a read, LoseAnswer acts as Timeout and Delay as
// None, since a read has no effect.
const (
	// None passes the request unchanged.
	None Fault = ""
	// Down refuses the request; it has no effect.
	Down Fault = "down"
	// Timeout drops the request; its caller times out.
	Timeout Fault = "timeout"
	// LoseAnswer passes the request and drops the answer.
	LoseAnswer Fault = "lose-answer"
	// Delay makes the caller time out; the request takes effect later.
	Delay Fault = "delay"
)

// Range is a range of durations, both ends included.
type Range struct{ Min, Max time.Duration }

// Exactly returns the range that holds only d.
func Exactly(d time.Duration) Range { return Range{Min: d, Max: d} }

// Operation describes a request to Plan.Match.
type Operation struct {
	// Service is "table", "objects" or "worker", Method the interface's method.
	Service, Method string
	// Key is the first key, prefix or job in the request, if any.
	Key string
	// Write is set if the request may change something.
	Write bool
}

// Plan holds the probability of each fault, 0 to 1. The sum of Down, Timeout,
// LoseAnswer and Delay is at most 1; Slow is independent.
type Plan struct {
	Down, Timeout, LoseAnswer, Delay, Slow float64
	// Latency is the added duration of a slow request.
	Latency Range
	// AnswerTimeout is the time after which a caller without an answer times
	// out, unless its context ends sooner.
	AnswerTimeout Range
	// ApplyDelay is the time from the sending of a delayed write to its effect.
	ApplyDelay Range
	// Hold keeps delayed writes until Control.Release, whatever ApplyDelay is.
	Hold bool
	// Match limits the plan to some requests; nil means all.
	Match func(Operation) bool
}

// Counts counts the requests to a Control and the faults among them.
type Counts struct {
	Calls, Down, TimedOut, AnswersLost, Delayed, Applied, Slowed uint64
}

// Control decides on the faults of the requests of one process. It is safe for
// concurrent use.
type Control struct {
	mu       sync.Mutex
	rng      *rand.Rand
	plan     Plan
	cut      bool
	scripted []Fault
	frozen   chan struct{}
	held     []func()
	pending  int
	applied  *sync.Cond
	counts   Counts
}

// NewControl returns a control without faults, which draws its random values
// from a source seeded with seed.
func NewControl(seed uint64) *Control {
	c := &Control{rng: rand.New(rand.NewPCG(seed, seed))}
	c.applied = sync.NewCond(&c.mu)
	return c
}

// Set replaces the plan.
func (c *Control) Set(p Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan = p
}

// Next queues faults for the next writes that the plan matches, one each. The
// plan's probabilities apply again once the queue is empty.
func (c *Control) Next(faults ...Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scripted = append(c.scripted, faults...)
}

// Cut disconnects the process from the service or reconnects it, whatever the
// plan. Requests in flight continue.
func (c *Control) Cut(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = on
}

// Heal ends the cut and the freeze. It drops the faults set by Next and the
// plan, but keeps the plan's Hold. Delayed writes still take effect, held
// writes on Release.
func (c *Control) Heal() {
	c.mu.Lock()
	c.plan = Plan{Hold: c.plan.Hold}
	c.cut = false
	c.scripted = nil
	c.mu.Unlock()
	c.Unfreeze()
}

// Freeze stops the process as seen by the service: the process sends no
// requests and receives no answers until Unfreeze, even when its contexts end.
func (c *Control) Freeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen == nil {
		c.frozen = make(chan struct{})
	}
}

// Unfreeze ends Freeze.
func (c *Control) Unfreeze() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frozen != nil {
		close(c.frozen)
		c.frozen = nil
	}
}

func (c *Control) waitUnfrozen() {
	for {
		c.mu.Lock()
		frozen := c.frozen
		c.mu.Unlock()
		if frozen == nil {
			return
		}
		<-frozen
	}
}

// Release applies the held writes in the order in which they were sent and
// returns their number.
func (c *Control) Release() int {
	c.mu.Lock()
	held := c.held
	c.held = nil
	c.mu.Unlock()
	for _, apply := range held {
		apply()
	}
	return len(held)
}

// Pending returns the number of delayed writes that haven't taken effect yet.
func (c *Control) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending + len(c.held)
}

// Wait waits until every delayed write that isn't held has taken effect.
func (c *Control) Wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending > 0 {
		c.applied.Wait()
	}
}

// Counts returns the counts so far.
func (c *Control) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

type injection struct {
	fault                        Fault
	latency, timeout, applyDelay time.Duration
	hold                         bool
}

// decide draws the fault of one request. It draws the same number of random
// values for each request, so that one request's fault doesn't change those of
// later requests.
func (c *Control) decide(op Operation) injection {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Calls++
	p := c.plan
	draw, slow := c.rng.Float64(), c.rng.Float64()
	v := injection{
		latency:    c.drawDuration(p.Latency),
		timeout:    c.drawDuration(p.AnswerTimeout),
		applyDelay: c.drawDuration(p.ApplyDelay),
		hold:       p.Hold,
	}
	matched := p.Match == nil || p.Match(op)
	switch {
	case c.cut:
		v.fault = Down
	case !matched:
	case op.Write && len(c.scripted) > 0:
		v.fault = c.scripted[0]
		c.scripted = c.scripted[1:]
	default:
		v.fault = p.faultAt(draw)
	}
	if !matched || slow >= p.Slow {
		v.latency = 0
	}
	v.fault = effectiveFault(v.fault, op.Write)
	c.count(v)
	return v
}

// faultAt returns the fault that a uniform random value from 0 to 1 selects.
func (p Plan) faultAt(u float64) Fault {
	for _, f := range []struct {
		probability float64
		fault       Fault
	}{{p.Down, Down}, {p.Timeout, Timeout}, {p.LoseAnswer, LoseAnswer}, {p.Delay, Delay}} {
		if u < f.probability {
			return f.fault
		}
		u -= f.probability
	}
	return None
}

func effectiveFault(f Fault, write bool) Fault {
	switch {
	case write:
		return f
	case f == LoseAnswer:
		return Timeout
	case f == Delay:
		return None
	}
	return f
}

func (c *Control) count(v injection) {
	switch v.fault {
	case Down:
		c.counts.Down++
	case Timeout:
		c.counts.TimedOut++
	case LoseAnswer:
		c.counts.AnswersLost++
	case Delay:
		c.counts.Delayed++
	}
	if v.latency > 0 {
		c.counts.Slowed++
	}
}

// drawDuration draws a duration uniformly from r. The caller holds c.mu.
func (c *Control) drawDuration(r Range) time.Duration {
	u := c.rng.Float64()
	if r.Max <= r.Min {
		return r.Min
	}
	return r.Min + time.Duration(u*float64(r.Max-r.Min))
}
