package order

import "time"

const (
	// estimateNoise is the standard deviation of the logarithm of a task's
	// duration relative to its client's estimate, stepNoise that of the
	// durations of one step's tasks.
	estimateNoise = 0.5
	stepNoise     = 0.2
)

// Known combines the expected duration of a step's tasks with the durations of
// those that have ended: measured is the sum over number of them.
func Known(expected, measured time.Duration, number int) time.Duration {
	if number == 0 {
		return expected
	}
	// The expected duration counts less than one measured one, by the ratio of
	// their variances.
	const weight = (stepNoise * stepNoise) / (estimateNoise * estimateNoise)
	return time.Duration((weight*float64(expected) + float64(measured)) / (weight + float64(number)))
}
