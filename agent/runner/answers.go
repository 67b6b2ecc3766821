package runner

import (
	"time"

	"persimmonrock.example/infra/rtt"
)

const (
	// maxFirstTimeout and minTimeout bound the timeout of a call's first tries;
	// a listing's own wait is added to it. Each later try doubles the timeout,
	// up to maxTimeout. Starts and listings can be repeated safely.
	maxFirstTimeout = 150 * time.Millisecond
	minTimeout      = 50 * time.Millisecond
	maxTimeout      = 500 * time.Millisecond
	firstTries      = 3
	// maxDoublings bounds the doublings; more would exceed maxTimeout.
	maxDoublings = 8
)

// answerTimes estimates the worker's answer times. The zero value uses the
// longest timeouts.
//
// A healthy worker answers within a few milliseconds; a worker on a slow
// machine needs longer. With a timeout that fits the worker, a lost answer is
// detected sooner, and the ends of runs in it are reported again sooner.
type answerTimes struct{ rtt.Estimator }

// timeout returns the time that the given try of a call waits for its answer.
func (a *answerTimes) timeout(try int) time.Duration {
	first := a.Timeout(minTimeout, maxFirstTimeout)
	doublings := min(max(0, try-firstTries), maxDoublings)
	return min(maxTimeout, first<<doublings)
}
