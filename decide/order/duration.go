package order

import "time"

const (
	// estimateNoise is the standard deviation of the logarithm of a task's
	// duration relative to its client's estimate. stepNoise is the standard
	// deviation of the logarithm of the durations within one step.
	estimateNoise = 0.5
	stepNoise     = 0.2
)

// CombineDurations combines the expected duration of a step's tasks with the
// durations of its ended tasks: number is their count, measured the sum of
// their durations.
func CombineDurations(expected, measured time.Duration, number int) time.Duration {
	if number == 0 {
		return expected
	}
	// The expected duration weighs less than one measured duration, by the ratio
	// of their variances.
	const weight = (stepNoise * stepNoise) / (estimateNoise * estimateNoise)
	return time.Duration((weight*float64(expected) + float64(measured)) / (weight + float64(number)))
}
