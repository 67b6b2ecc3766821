package forecast

import (
	"math"
	"sort"
	"time"
)

const (
	// usualNoise is the standard deviation of the logarithm of the time from start
	// to end of the usual tasks of one step; noiseWeight is the number of tasks that
	// this assumption counts for.
	usualNoise  = 0.25
	noiseWeight = 100.0
	leastNoise  = 0.05
	maxNoise    = 0.8
	// slowFactor is the duration of a slow task, as a multiple of a usual one's.
	slowFactor = 7.0
	// leastLeft is the time left, in usual durations, of any running task.
	leastLeft = 0.05
	// usualSlowShare is the share of slow tasks before any has ended;
	// slowShareWeight is the number of tasks that this assumption counts for.
	usualSlowShare  = 0.03
	slowShareWeight = 200.0
	// maxSlowShare bounds the learnt share.
	maxSlowShare = 0.3
	// lateQuantile is the quantile of End.NineTenths.
	lateQuantile = 0.9
)

// Spread describes how the durations of one step's tasks differ. The zero value
// stands for what is usual.
type Spread struct {
	// Slow and Tasks count the ended tasks that were slow, and all of them.
	Slow  float64 `json:"s"`
	Tasks float64 `json:"n"`
	// Squares sums the square deviations of the logarithms of the usual tasks'
	// durations from the mean of their step, Deviations counts them.
	Squares    float64 `json:"q"`
	Deviations float64 `json:"d"`
}

// slowShare is the share of tasks that take slowFactor times as long as usual.
func (s Spread) slowShare() float64 {
	return min(maxSlowShare, (s.Slow+usualSlowShare*slowShareWeight)/(s.Tasks+slowShareWeight))
}

// noise is the standard deviation of the logarithm of usual durations.
func (s Spread) noise() float64 {
	variance := (s.Squares + usualNoise*usualNoise*noiseWeight) / (s.Deviations + noiseWeight)
	return max(leastNoise, min(maxNoise, math.Sqrt(variance)))
}

const (
	// The grid of a survival table, in multiples of the usual duration.
	gridPoints = 160
	gridFirst  = 0.05
	gridLast   = 60.0
	// maxCachedTasks bounds the sizes of steps whose longest task is cached.
	maxCachedTasks = 65
)

// survival is the distribution of durations, in usual ones, as a table.
type survival struct {
	points [gridPoints]float64
	// beyond is the probability of a longer duration than each point, rest the mean
	// of what is left at that point.
	beyond, rest [gridPoints]float64
	logStep      float64
	mean         float64
	half, late   [maxCachedTasks]float64
}

func newSurvival(s Spread) *survival {
	v := &survival{logStep: math.Log(gridLast/gridFirst) / (gridPoints - 1)}
	slow, noise := s.slowShare(), s.noise()
	for i := range v.points {
		x := gridFirst * math.Exp(v.logStep*float64(i))
		v.points[i] = x
		v.beyond[i] = (1-slow)*longer(math.Log(x)/noise) + slow*longer(math.Log(x/slowFactor)/noise)
	}
	sum := 0.0
	for i := gridPoints - 2; i >= 0; i-- {
		sum += (v.points[i+1] - v.points[i]) * (v.beyond[i] + v.beyond[i+1]) / 2
		if v.beyond[i] > 1e-9 {
			v.rest[i] = sum / v.beyond[i]
		}
	}
	v.mean = sum + gridFirst
	return v
}

// longer is the probability that a standard normal variable exceeds z.
func longer(z float64) float64 { return math.Erfc(z/math.Sqrt2) / 2 }

// index is the point of the grid at or before x.
func (v *survival) index(x float64) int {
	if x <= gridFirst {
		return 0
	}
	return min(gridPoints-1, int(math.Log(x/gridFirst)/v.logStep))
}

// exceededBy is the duration that is exceeded with probability p.
func (v *survival) exceededBy(p float64) float64 {
	i := sort.Search(gridPoints, func(i int) bool { return v.beyond[i] <= p })
	switch {
	case i == 0:
		return v.points[0]
	case i == gridPoints:
		return gridLast
	}
	part := (v.beyond[i-1] - p) / (v.beyond[i-1] - v.beyond[i])
	return v.points[i-1] + part*(v.points[i]-v.points[i-1])
}

// longest returns the quantiles of the longest of n durations.
func (v *survival) longest(n int) (half, late float64) {
	if n <= 0 {
		return 0, 0
	}
	if n >= maxCachedTasks {
		return v.exceededBy(1 - math.Pow(0.5, 1/float64(n))), v.exceededBy(1 - math.Pow(lateQuantile, 1/float64(n)))
	}
	if v.half[n] == 0 {
		v.half[n], v.late[n] = v.exceededBy(1-math.Pow(0.5, 1/float64(n))), v.exceededBy(1-math.Pow(lateQuantile, 1/float64(n)))
	}
	return v.half[n], v.late[n]
}

// leftOf returns the quantiles of the time until n running tasks have ended that
// have run for x usual durations.
func (v *survival) leftOf(x float64, n int) (half, late float64) {
	reached := v.beyond[v.index(x)]
	each := 1 / float64(n)
	half = v.exceededBy(reached*(1-math.Pow(0.5, each))) - x
	late = v.exceededBy(reached*(1-math.Pow(lateQuantile, each))) - x
	return max(leastLeft, half), max(leastLeft, late)
}

// meanLeft is the mean time left to a task that has run for x usual durations.
func (v *survival) meanLeft(x float64) float64 {
	if x < gridFirst {
		return v.mean - x
	}
	return max(leastLeft, v.rest[v.index(x)])
}

// multiple returns d in units of typical.
func multiple(d, typical time.Duration) float64 {
	return float64(d) / float64(max(time.Millisecond, typical))
}
