package order

import (
	"math"
	"time"
)

// A client's estimate may say little of how long a task takes: where estimates
// scatter more than the times themselves, the order of jobs by the estimates
// alone is mostly noise. How far a queue's estimates can be trusted is learnt
// from its tasks that end.

const (
	// firstSpread and slopeSpread say how far from the client's estimate times
	// are expected before any is known: by a factor of e, and with any slope
	// from none to twice the estimate's. Estimates are taken at their word
	// until a few tasks have ended.
	firstSpread = 1.0
	slopeSpread = 0.5
	// noise is the scatter of a logarithm about what is learnt.
	noise = 0.5
	// within is the scatter of the logarithm of the times of one step's tasks.
	within = 0.2
	// halfOf is the number of steps after which an observation counts half.
	halfOf = 100
	// shortest is the least time or estimate that is told apart.
	shortest = time.Millisecond
)

// Durations learns for each queue how long tasks take with a given estimate.
// The zero value is ready for use; it is not safe for concurrent use.
type Durations struct {
	queues map[string]*line
}

// line is a weighted sum of observations, of x, the logarithm of the estimate,
// and y, that of the time it took against the estimate.
type line struct {
	n, x, y, xx, xy float64
}

// Observe takes note that a task of a step with count tasks took as long
// without being slowed.
func (d *Durations) Observe(queue string, estimate, took time.Duration, count int) {
	if estimate <= 0 || took <= 0 || count <= 0 {
		return
	}
	if d.queues == nil {
		d.queues = map[string]*line{}
	}
	l := d.queues[queue]
	if l == nil {
		l = &line{}
		d.queues[queue] = l
	}
	l.add(logOf(estimate), logOf(took)-logOf(estimate), 1/float64(count))
}

func (l *line) add(x, y, weight float64) {
	left := math.Exp2(-weight / halfOf)
	l.n, l.x, l.y, l.xx, l.xy = l.n*left, l.x*left, l.y*left, l.xx*left, l.xy*left
	l.n += weight
	l.x += weight * x
	l.y += weight * y
	l.xx += weight * x * x
	l.xy += weight * x * y
}

// Expect returns how long a task of the queue with the estimate is expected to
// take.
func (d *Durations) Expect(queue string, estimate time.Duration) time.Duration {
	l := d.queues[queue]
	if l == nil || estimate <= 0 {
		return estimate
	}
	level, slope := l.fit()
	x := logOf(estimate)
	return time.Duration(math.Exp(x+level+slope*x) * float64(time.Second))
}

// fit returns the line level + slope·x that is most likely, where both are
// taken to be about 0 before anything is known.
func (l *line) fit() (level, slope float64) {
	const variance = noise * noise
	a := l.n/variance + 1/(firstSpread*firstSpread)
	b := l.x / variance
	c := l.xx/variance + 1/(slopeSpread*slopeSpread)
	p, q := l.y/variance, l.xy/variance
	det := a*c - b*b
	return (p*c - q*b) / det, (a*q - b*p) / det
}

// Known joins what is expected of a step's tasks with the times that some of
// them took: total over number of them.
func Known(expected, total time.Duration, number int) time.Duration {
	if number == 0 {
		return expected
	}
	// An observation of the step itself counts by how much less it scatters.
	const weight = (within * within) / (noise * noise)
	return time.Duration((weight*float64(expected) + float64(total)) / (weight + float64(number)))
}

func logOf(d time.Duration) float64 { return math.Log(max(d, shortest).Seconds()) }
