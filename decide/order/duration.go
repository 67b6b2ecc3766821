package order

import "time"

const (
	// noise is the scatter of the logarithm of a task's time about its client's
	// estimate, within that of the times of one step's tasks.
	noise  = 0.5
	within = 0.2
)

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
