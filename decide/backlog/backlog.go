// Package backlog decides whether the scheduler has the memory for one more job.
// A job takes memory from its acceptance until it is deleted, long after its end,
// so requests that are small and short can use it up.
package backlog

import "persimmonrock.example/structs/workload"

const (
	// jobBytes, stepBytes and taskBytes are the memory in bytes that the scheduler
	// keeps for a job, for each of its steps and for each task.
	jobBytes  = 2048
	stepBytes = 1280
	taskBytes = 464
	// keepFree is the number of jobs of a size for which there must be memory before
	// one of them is accepted. As memory gets short, large jobs are refused long
	// before ordinary ones.
	keepFree = 24
)

// Cost returns the memory in bytes that the scheduler keeps for a job.
func Cost(j *workload.Job) int64 {
	text := len(j.Payload)
	for i := range j.Steps {
		s := &j.Steps[i]
		text += len(s.Label) + len(s.DataRack) + len(s.Image) + 8*len(s.After)
	}
	return jobBytes + int64(text) + stepBytes*int64(len(j.Steps)) + taskBytes*int64(j.Tasks())
}

// Fits reports whether a job of this cost is accepted with so many bytes free.
func Fits(cost, free int64) bool { return cost <= free/keepFree }
