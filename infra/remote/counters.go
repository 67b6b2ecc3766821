package remote

import (
	"errors"
	"sync/atomic"
	"time"

	"persimmonrock.example/infra"
)

// Counters count what one or more clients asked of the platform and how it
// went. The zero value is ready; it is safe for concurrent use.
type Counters struct {
	reads, writes, conflicts, unavailable, unknown atomic.Uint64
	// answered is when the service last answered in its own protocol, as time
	// since counting began.
	answered atomic.Int64
	began    time.Time
}

// NewCounters returns counters at zero.
func NewCounters() *Counters { return &Counters{began: time.Now()} }

// CounterVars are the values of Counters.
type CounterVars struct {
	// Reads and Writes count requests begun.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Conflicts count transactions refused by a condition.
	Conflicts uint64 `json:"conflicts"`
	// Unavailable counts requests that had no effect for want of the service,
	// Unknown writes whose effect isn't known.
	Unavailable uint64 `json:"unavailable"`
	Unknown     uint64 `json:"unknown"`
	// SilentMillis is how long the service has not answered; while nothing is
	// asked of it, it grows too.
	SilentMillis int64 `json:"silent_ms"`
}

// Vars returns the present values, for expvar.
func (c *Counters) Vars() any {
	silent := time.Since(c.began) - time.Duration(c.answered.Load())
	return CounterVars{
		Reads:        c.reads.Load(),
		Writes:       c.writes.Load(),
		Conflicts:    c.conflicts.Load(),
		Unavailable:  c.unavailable.Load(),
		Unknown:      c.unknown.Load(),
		SilentMillis: silent.Milliseconds(),
	}
}

// Option changes a client.
type Option func(*client)

// WithCounters makes a client count into c.
func WithCounters(c *Counters) Option { return func(client *client) { client.counters = c } }

func (c *Counters) begin(write bool) {
	if write {
		c.writes.Add(1)
		return
	}
	c.reads.Add(1)
}

// answer notes an answer in the service's own protocol.
func (c *Counters) answer() { c.answered.Store(int64(time.Since(c.began))) }

// failure counts the error of a request.
func (c *Counters) failure(cause error) {
	var conflict *infra.ConflictError
	switch {
	case errors.As(cause, &conflict):
		c.conflicts.Add(1)
	case cause == infra.ErrUnavailable:
		c.unavailable.Add(1)
	case cause == infra.ErrUnknown:
		c.unknown.Add(1)
	}
}
