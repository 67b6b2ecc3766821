// Package rtt tells from earlier answers of a peer how long the next one is
// worth waiting for, as TCP's retransmission timer does (RFC 6298).
package rtt

import "time"

const (
	// meanShare and spreadShare are how much a new answer counts in the mean
	// and in the spread, and spreads the number of spreads beyond the mean
	// that an answer is waited for.
	meanShare   = 1.0 / 8
	spreadShare = 1.0 / 4
	spreads     = 4
)

// Estimator follows the times of a peer's answers. The zero value is ready for
// use; it is not safe for concurrent use.
type Estimator struct {
	known        bool
	mean, spread time.Duration
}

// Observe takes the time of an answer to a call that did not wait by itself.
func (e *Estimator) Observe(took time.Duration) {
	if !e.known {
		e.known, e.mean, e.spread = true, took, took/2
		return
	}
	off := took - e.mean
	e.spread += time.Duration(spreadShare * float64(max(off, -off)-e.spread))
	e.mean += time.Duration(meanShare * float64(off))
}

// Timeout is how long the next answer is worth waiting for, within bounds; the
// most before any answer.
func (e *Estimator) Timeout(least, most time.Duration) time.Duration {
	if !e.known {
		return most
	}
	return min(most, max(least, e.mean+spreads*e.spread))
}
