package scheduler

import "persimmonrock.example/structs/workload"

// endEffect is what the end of a run means for its task.
type endEffect uint8

const (
	// requeued: the task runs again, and with it the rest of its gang.
	requeued endEffect = iota
	// countedFailure: the task runs again unless it has failed too often.
	countedFailure
	// taskEnds: the task is done.
	taskEnds
	// gangEnds: the task and all members of its gang are done.
	gangEnds
)

// effectOf returns what an end of the kind means for a task of the step. Tasks that
// last run again however they end, also in gangs.
func effectOf(s *workload.Step, kind workload.EndKind) endEffect {
	switch {
	case kind == workload.EndFailed:
		return countedFailure
	case kind != workload.EndDone || s.Lasting:
		return requeued
	case s.Gang:
		return gangEnds
	default:
		return taskEnds
	}
}
