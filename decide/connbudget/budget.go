// Package connbudget decides which clients' connections are kept when memory or
// descriptors are short. A budget counts what all connections hold together.
// When it is used up, the connections that show the least progress yield.
package connbudget

import (
	"container/list"
	"time"
)

// scarce is the share of a limit in use above which it is nearly used up.
const scarce = 0.9

// Limits bounds what all connections of a process use together.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// Memory is the memory in bytes that connections and requests hold.
	Memory int64
	// PerConnection is the memory in bytes that an open connection holds without
	// a request.
	PerConnection int64
	// Patience is the time after which a request that has not arrived whole, or a
	// response that has not been sent whole, counts as slow.
	Patience time.Duration
}

// State is what a connection waits for.
type State int

const (
	// Idle connections wait for the first byte of a request.
	Idle State = iota
	// Receiving connections have received a part of a request.
	Receiving
	// Serving connections wait for the process, so they never yield.
	Serving
	// Sending connections wait for the client to read the response.
	Sending
	// Closed connections hold nothing.
	Closed
)

// Conn is the account of one connection.
type Conn struct {
	// Owner is the caller's own value.
	Owner any
	state State
	// since is when the request's first byte arrived, the response began, or the
	// connection became idle.
	since time.Duration
	// deadline is when the state must have ended; 0 is never.
	deadline time.Duration
	held     int64
	requests int
	element  *list.Element
}

// State returns the connection's state.
func (c *Conn) State() State { return c.state }

// Budget is the account of all connections. It is not safe for concurrent use.
// Times are those of a steady clock.
type Budget struct {
	limits Limits
	held   int64
	open   int
	// idle and waiting list the connections that may yield, those in their state
	// for longest first: idle ones, and those that receive or send.
	idle, waiting list.List
}

// New returns an empty budget.
func New(l Limits) *Budget { return &Budget{limits: l} }

// Held returns the memory in bytes that is in use.
func (b *Budget) Held() int64 { return b.held }

// Open returns the number of open connections.
func (b *Budget) Open() int { return b.open }

// Accept adds an idle connection. The connections in yield are to be closed; ok
// is false if there is no room and none can yield, and c is then not added.
func (b *Budget) Accept(owner any, now, deadline time.Duration) (c *Conn, yield []*Conn, ok bool) {
	for b.open >= b.limits.Connections || b.held+b.limits.PerConnection > b.limits.Memory {
		v := b.slowest(now)
		if v == nil {
			return nil, yield, false
		}
		b.Close(v)
		yield = append(yield, v)
	}
	c = &Conn{Owner: owner, state: Closed}
	b.open++
	c.held = b.limits.PerConnection
	b.held += c.held
	b.enter(c, Idle, now, deadline)
	return c, yield, true
}

// Receive records that the first bytes of a request have arrived at c.
func (b *Budget) Receive(c *Conn, now, deadline time.Duration) {
	if c.state == Idle {
		b.enter(c, Receiving, now, deadline)
	}
}

// Extend sets the time by which c must have left its state.
func (b *Budget) Extend(c *Conn, deadline time.Duration) {
	if c.state != Closed {
		c.deadline = deadline
	}
}

// Serve records that the request at c has arrived whole.
func (b *Budget) Serve(c *Conn, now time.Duration) {
	if c.state != Closed {
		c.requests++
		b.enter(c, Serving, now, 0)
	}
}

// Last reports whether c should be closed after its response: descriptors or
// memory are nearly used up, and c has had a response before. Otherwise a client
// whose next request always follows at once would never yield.
func (b *Budget) Last(c *Conn) bool {
	short := float64(b.open) > scarce*float64(b.limits.Connections) || float64(b.held) > scarce*float64(b.limits.Memory)
	return short && c.requests > 0
}

// Send records that the response at c has begun. A response to a request that
// has not arrived whole leaves c as slow as it was.
func (b *Budget) Send(c *Conn, now, deadline time.Duration) {
	if c.state == Serving {
		b.enter(c, Sending, now, deadline)
	}
}

// Rest records that c waits for the next request, and releases what the last one
// held.
func (b *Budget) Rest(c *Conn, now, deadline time.Duration) {
	if c.state == Closed {
		return
	}
	b.held -= c.held - b.limits.PerConnection
	c.held = b.limits.PerConnection
	b.enter(c, Idle, now, deadline)
}

// Take adds n bytes to what c holds. The connections in yield are to be closed.
// If ok is false, c gets nothing: it is the one to yield, needs more than there
// is, or is closed.
func (b *Budget) Take(c *Conn, n int64, now time.Duration) (yield []*Conn, ok bool) {
	if c.state == Closed || c.held+n > b.limits.Memory {
		return nil, false
	}
	for b.held+n > b.limits.Memory {
		v := b.slowest(now)
		if v == nil || v == c {
			return yield, false
		}
		b.Close(v)
		yield = append(yield, v)
	}
	c.held += n
	b.held += n
	return yield, true
}

// Close removes c; closing it again has no effect.
func (b *Budget) Close(c *Conn) {
	if c.state == Closed {
		return
	}
	b.leave(c)
	c.state = Closed
	b.held -= c.held
	c.held = 0
	b.open--
}

// Expired closes the connections whose deadline has passed and returns them.
func (b *Budget) Expired(now time.Duration) []*Conn {
	var expired []*Conn
	for _, l := range []*list.List{&b.idle, &b.waiting} {
		for e := l.Front(); e != nil; e = e.Next() {
			if c := e.Value.(*Conn); c.deadline != 0 && c.deadline <= now {
				expired = append(expired, c)
			}
		}
	}
	for _, c := range expired {
		b.Close(c)
	}
	return expired
}

// slowest returns the connection that yields next, or nil. A request that an
// ordinary client sends is there whole within a few round trips, so one that
// isn't after Patience shows the least progress. Idle connections lose the
// least. A younger request yields last, the oldest first.
func (b *Budget) slowest(now time.Duration) *Conn {
	oldest := front(&b.waiting)
	if oldest != nil && now-oldest.since > b.limits.Patience {
		return oldest
	}
	if c := front(&b.idle); c != nil {
		return c
	}
	return oldest
}

func front(l *list.List) *Conn {
	if e := l.Front(); e != nil {
		return e.Value.(*Conn)
	}
	return nil
}

func (b *Budget) enter(c *Conn, s State, now, deadline time.Duration) {
	b.leave(c)
	c.state, c.since, c.deadline = s, now, deadline
	switch s {
	case Idle:
		c.element = b.idle.PushBack(c)
	case Receiving, Sending:
		c.element = b.waiting.PushBack(c)
	}
}

func (b *Budget) leave(c *Conn) {
	if c.element == nil {
		return
	}
	if c.state == Idle {
		b.idle.Remove(c.element)
	} else {
		b.waiting.Remove(c.element)
	}
	c.element = nil
}
