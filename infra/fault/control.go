// Package fault wraps the platform's services so that they fail in the ways
// that the real ones do: down, slow, timed out, cut off from one process, with
// answers lost after a write took effect, and with writes that take effect
// long after their caller was told that the outcome is unknown.
//
// Each process of a test gets its own wrapper with its own Control around the
// same inner service, so that one can be cut off while others aren't.
package fault

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Fault is what goes wrong with one request.
type Fault string

// The faults of a request. For a read, LoseAnswer is a time-out and Delay is
// nothing, since a read has no effect.
const (
	// None lets the request through.
	None Fault = ""
	// Down refuses the request; it has no effect.
	Down Fault = "down"
	// Timeout drops the request; the caller learns only that it timed out.
	Timeout Fault = "timeout"
	// LoseAnswer lets the request take effect and drops the answer.
	LoseAnswer Fault = "lose-answer"
	// Delay lets the caller time out; the request takes effect later.
	Delay Fault = "delay"
)

// Range is a span of durations, both ends included.
type Range struct{ Min, Max time.Duration }

// Exactly is the range that holds only d.
func Exactly(d time.Duration) Range { return Range{Min: d, Max: d} }

// Operation describes a request to Plan.Match.
type Operation struct {
	// Service is "table", "objects" or "worker", Method the interface's method.
	Service, Method string
	// Key is the key, prefix or job that the request names first, if any.
	Key string
	// Write says that the request may change something.
	Write bool
}

// Plan says how likely each fault is, 0 for never to 1 for always. The sum of
// Down, Timeout, LoseAnswer and Delay is at most 1; Slow is independent.
type Plan struct {
	Down, Timeout, LoseAnswer, Delay, Slow float64
	// Latency is how long a slow request takes.
	Latency Range
	// Patience is how long a caller waits for an answer that never comes,
	// unless its context ends sooner.
	Patience Range
	// Landing is how long after it was sent a delayed write takes effect.
	Landing Range
	// Hold keeps delayed writes until Control.Release instead.
	Hold bool
	// Match limits the plan to some requests; nil means all.
	Match func(Operation) bool
}

// Counts are the requests that a Control has seen and what it did to them.
type Counts struct {
	Calls, Down, TimedOut, AnswersLost, Delayed, Landed, Slowed uint64
}

// Control decides what happens to the requests of one process. It is safe for
// concurrent use.
type Control struct {
	mu      sync.Mutex
	rng     *rand.Rand
	plan    Plan
	cut     bool
	script  []Fault
	frozen  chan struct{}
	held    []func()
	landing int
	landed  *sync.Cond
	counts  Counts
}

// NewControl returns a control without faults, whose probabilities draw from
// a source seeded with seed.
func NewControl(seed uint64) *Control {
	c := &Control{rng: rand.New(rand.NewPCG(seed, seed))}
	c.landed = sync.NewCond(&c.mu)
	return c
}

// Set replaces the plan.
func (c *Control) Set(p Plan) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.plan = p
}

// Next sets the faults of the next writes that the plan matches, one each,
// before the plan's probabilities apply again.
func (c *Control) Next(faults ...Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.script = append(c.script, faults...)
}

// Cut cuts the process off from the service or joins it again, whatever the
// plan. Requests that are already under way go on.
func (c *Control) Cut(on bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cut = on
}

// Heal ends the cut, the plan, the script and a freeze. Held and delayed
// writes still take effect in their time.
func (c *Control) Heal() {
	c.mu.Lock()
	c.plan = Plan{Hold: c.plan.Hold}
	c.cut = false
	c.script = nil
	c.mu.Unlock()
	c.Unfreeze()
}

// Freeze stops the process as far as the service sees it: it sends nothing
// more and receives no answers until Unfreeze, even when its contexts end.
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

// thawed waits until the process isn't frozen.
func (c *Control) thawed() {
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

// Release lets the held writes take effect in the order in which they were
// sent, and returns how many there were.
func (c *Control) Release() int {
	c.mu.Lock()
	held := c.held
	c.held = nil
	c.mu.Unlock()
	for _, land := range held {
		land()
	}
	return len(held)
}

// Pending is the number of delayed writes that haven't taken effect yet.
func (c *Control) Pending() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.landing + len(c.held)
}

// Wait waits until every delayed write that isn't held has taken effect.
func (c *Control) Wait() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.landing > 0 {
		c.landed.Wait()
	}
}

// Counts returns what has happened so far.
func (c *Control) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

// verdict is what happens to one request.
type verdict struct {
	fault                      Fault
	latency, patience, landing time.Duration
	hold                       bool
}

// decide draws the verdict on one request. It draws the same number of random
// values for each, so that one request's faults don't shift the others'.
func (c *Control) decide(op Operation) verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts.Calls++
	p := c.plan
	draw, slow := c.rng.Float64(), c.rng.Float64()
	v := verdict{
		latency:  c.pick(p.Latency),
		patience: c.pick(p.Patience),
		landing:  c.pick(p.Landing),
		hold:     p.Hold,
	}
	matched := p.Match == nil || p.Match(op)
	switch {
	case c.cut:
		v.fault = Down
	case !matched:
	case op.Write && len(c.script) > 0:
		v.fault = c.script[0]
		c.script = c.script[1:]
	default:
		v.fault = p.draw(draw)
	}
	if !matched || slow >= p.Slow {
		v.latency = 0
	}
	v.fault = forReads(v.fault, op.Write)
	c.count(v)
	return v
}

// draw returns the fault that a uniform value from 0 to 1 stands for.
func (p Plan) draw(u float64) Fault {
	for _, f := range []struct {
		part  float64
		fault Fault
	}{{p.Down, Down}, {p.Timeout, Timeout}, {p.LoseAnswer, LoseAnswer}, {p.Delay, Delay}} {
		if u < f.part {
			return f.fault
		}
		u -= f.part
	}
	return None
}

func forReads(f Fault, write bool) Fault {
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

func (c *Control) count(v verdict) {
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

// pick returns a uniform duration of r. The caller holds c.mu.
func (c *Control) pick(r Range) time.Duration {
	u := c.rng.Float64()
	if r.Max <= r.Min {
		return r.Min
	}
	return r.Min + time.Duration(u*float64(r.Max-r.Min))
}
