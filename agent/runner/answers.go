package runner

import (
	"time"

	"persimmonrock.example/infra/rtt"
)

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
)

// answerTimes tells how long the worker's answers take. The zero value waits
// for the most.
//
// A healthy worker answers within a few milliseconds, one on a slow machine
// later. Where answers are lost, a time-out that fits the worker finds that out
// sooner: ends that were told in a lost answer come with the next.
type answerTimes struct{ rtt.Estimator }

// timeout is how long the given try of a call waits for its answer.
func (a *answerTimes) timeout(try int) time.Duration {
	first := a.Timeout(leastAnswer, firstAnswer)
	doubled := min(max(0, try-firstTries), mostDoubled)
	return min(laterAnswer, first<<doubled)
}
