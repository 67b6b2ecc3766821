// Package rtt derives the time-out of a peer's next answer from the times of
// earlier answers, as TCP's retransmission timer does (RFC 6298).
package rtt

import "time"

const (
	// meanWeight and spreadWeight are the weights of a new answer in the mean
	// and in the spread. A time-out is the mean plus spreads times the spread.
	meanWeight   = 1.0 / 8
	spreadWeight = 1.0 / 4
	spreads      = 4
)

// Estimator estimates the answer times of a peer. The zero value is ready for
// use. An Estimator is not safe for concurrent use.
type Estimator struct {
	known        bool
	mean, spread time.Duration
}

// Observe records the answer time of a call that isn't a long poll.
func (e *Estimator) Observe(took time.Duration) {
	if !e.known {
		e.known, e.mean, e.spread = true, took, took/2
		return
	}
	deviation := took - e.mean
	e.spread += time.Duration(spreadWeight * float64(max(deviation, -deviation)-e.spread))
	e.mean += time.Duration(meanWeight * float64(deviation))
}

// Timeout returns the time-out of the next answer, bounded by least and most;
// before any answer it returns most.
func (e *Estimator) Timeout(least, most time.Duration) time.Duration {
	if !e.known {
		return most
	}
	return min(most, max(least, e.mean+spreads*e.spread))
}
