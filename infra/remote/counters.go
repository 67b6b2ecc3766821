package remote

import (
	"errors"
	"sync/atomic"
	"time"

	"persimmonrock.example/infra"
)

// Counters counts the requests and failures of one or more clients. In the zero
// value, only SinceAnswerMillis is meaningless. Counters is safe for concurrent
// use.
type Counters struct {
	reads, writes, conflicts, unavailable, unknown atomic.Uint64
	// lastAnswer is the time of the service's last answer in its own protocol
	// other than "unavailable" or "unknown", in ns since began.
	lastAnswer atomic.Int64
	began      time.Time
}

// NewCounters returns counters at zero.
func NewCounters() *Counters { return &Counters{began: time.Now()} }

// CounterVars are the values of Counters.
type CounterVars struct {
	// Reads and Writes count started requests.
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Conflicts counts transactions refused by a condition.
	Conflicts uint64 `json:"conflicts"`
	// Unavailable counts requests that had no effect because the service was
	// unavailable. Unknown counts writes of unknown effect.
	Unavailable uint64 `json:"unavailable"`
	Unknown     uint64 `json:"unknown"`
	// SinceAnswerMillis is the time since the service's last answer other than
	// "unavailable" or "unknown", even while no requests are sent.
	SinceAnswerMillis int64 `json:"silent_ms"`
}

// Vars returns the present values, for expvar.
func (c *Counters) Vars() any {
	sinceAnswer := time.Since(c.began) - time.Duration(c.lastAnswer.Load())
	return CounterVars{
		Reads:             c.reads.Load(),
		Writes:            c.writes.Load(),
		Conflicts:         c.conflicts.Load(),
		Unavailable:       c.unavailable.Load(),
		Unknown:           c.unknown.Load(),
		SinceAnswerMillis: sinceAnswer.Milliseconds(),
	}
}

// Option configures a client.
type Option func(*client)

// WithCounters makes a client count into c.
func WithCounters(c *Counters) Option { return func(client *client) { client.counters = c } }

func (c *Counters) countRequest(write bool) {
	if write {
		c.writes.Add(1)
		return
	}
	c.reads.Add(1)
}

func (c *Counters) recordAnswer() { c.lastAnswer.Store(int64(time.Since(c.began))) }

func (c *Counters) countFailure(cause error) {
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
