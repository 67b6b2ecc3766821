package forecast

import (
	"math"
	"time"
)

const (
	// stepNoise is the standard deviation of the logarithm of the durations of
	// usual tasks of one step.
	stepNoise = 0.2
	// slowFactor is the duration of a slow task, as a multiple of a usual one's.
	slowFactor = 7.0
	// slowAfter is the multiple of the usual duration after which a running task
	// is taken for a slow one.
	slowAfter = 1.7
	// leastLeft is the time left, in usual durations, of a task that has run
	// longer than expected.
	leastLeft = 0.15
	// usualSlowShare is the share of slow tasks before any has ended;
	// slowShareWeight is the number of tasks that this assumption counts for.
	usualSlowShare  = 0.03
	slowShareWeight = 200.0
	// maxSlowShare bounds the learnt share.
	maxSlowShare = 0.3
)

// Spread describes how the durations of one step's tasks differ. The zero value
// stands for what is usual.
type Spread struct {
	// Slow and Tasks count the ended tasks that were slow, and all of them.
	Slow, Tasks float64
}

// slowShare is the share of tasks that take slowFactor times as long as usual.
func (s Spread) slowShare() float64 {
	return min(maxSlowShare, (s.Slow+usualSlowShare*slowShareWeight)/(s.Tasks+slowShareWeight))
}

// mean is the mean duration, in usual durations.
func (s Spread) mean() float64 {
	return (1 + s.slowShare()*(slowFactor-1)) * math.Exp(stepNoise*stepNoise/2)
}

// longest is the q-quantile of the longest of n durations, in usual durations.
func (s Spread) longest(n int, q float64) float64 {
	if n <= 0 {
		return 0
	}
	slow := s.slowShare()
	u := math.Pow(q, 1/float64(n))
	if usual := 1 - slow; u < usual {
		return math.Exp(stepNoise * normalQuantile(u/usual))
	}
	return max(slowFactor*math.Exp(stepNoise*normalQuantile((u-1+slow)/slow)), 1)
}

// normalQuantile is the p-quantile of the standard normal distribution, within
// four standard deviations.
func normalQuantile(p float64) float64 {
	return max(-4, min(4, math.Sqrt2*math.Erfinv(2*p-1)))
}

// left is the time until a task ends that has run for elapsed.
func left(elapsed, typical time.Duration) time.Duration {
	whole := typical
	if float64(elapsed) > slowAfter*float64(typical) {
		whole = time.Duration(slowFactor * float64(typical))
	}
	return max(whole-elapsed, time.Duration(leastLeft*float64(typical)))
}

// longestTable caches longest for small n, at two quantiles.
type longestTable struct {
	spread Spread
	half   [maxCachedTasks]float64
	late   [maxCachedTasks]float64
}

const (
	maxCachedTasks = 65
	lateQuantile   = 0.9
)

func (t *longestTable) at(n int) (half, late float64) {
	if n >= maxCachedTasks {
		return t.spread.longest(n, 0.5), t.spread.longest(n, lateQuantile)
	}
	if t.half[n] == 0 {
		t.half[n], t.late[n] = t.spread.longest(n, 0.5), t.spread.longest(n, lateQuantile)
	}
	return t.half[n], t.late[n]
}
