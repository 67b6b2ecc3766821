package runner

import "time"

const (
	// firstAnswer is the most that the first tries of a call wait for an
	// answer beside the call's own wait, leastAnswer the least. Each later try
	// waits twice as long as the one before, up to laterAnswer. Starts and
	// listings may be repeated safely.
	firstAnswer = 150 * time.Millisecond
	leastAnswer = 50 * time.Millisecond
	laterAnswer = 500 * time.Millisecond
	firstTries  = 3
	// mostDoubled bounds the doublings; more lead beyond laterAnswer.
	mostDoubled = 8
	// meanShare and spreadShare are how much a new answer counts in the mean
	// and in the spread, and spreads the number of spreads beyond the mean
	// that an answer is waited for: those of TCP's retransmission timer (RFC
	// 6298).
	meanShare   = 1.0 / 8
	spreadShare = 1.0 / 4
	spreads     = 4
)

// answerTimes tells how long the worker's answers take. The zero value waits
// for the most.
//
// A healthy worker answers within a few milliseconds, one on a slow machine
// later. Where answers are lost, a time-out that fits the worker finds that out
// sooner: ends that were told in a lost answer come with the next.
type answerTimes struct {
	known        bool
	mean, spread time.Duration
}

// observe takes the time of an answer to a call that did not wait by itself.
func (a *answerTimes) observe(took time.Duration) {
	if !a.known {
		a.known, a.mean, a.spread = true, took, took/2
		return
	}
	off := took - a.mean
	a.spread += time.Duration(spreadShare * float64(max(off, -off)-a.spread))
	a.mean += time.Duration(meanShare * float64(off))
}

// timeout is how long the given try of a call waits for its answer.
func (a *answerTimes) timeout(try int) time.Duration {
	first := firstAnswer
	if a.known {
		first = min(firstAnswer, max(leastAnswer, a.mean+spreads*a.spread))
	}
	doubled := min(max(0, try-firstTries), mostDoubled)
	return min(laterAnswer, first<<doubled)
}
