// Package order decides which job's tasks are placed first.
package order

import (
	"cmp"
	"time"

	"persimmonrock.example/structs/workload"
)

// Class groups the jobs of one priority by the objective they can still meet.
type Class uint8

const (
	// InTime jobs can still meet their objective.
	InTime Class = iota
	// Late jobs can't, but can end within lateFactor times their objective.
	Late
	// Overdue jobs can't end even in that time. They use the capacity that the
	// other classes leave.
	Overdue
)

const (
	// lateFactor is the multiple of its objective within which a job is still of
	// some use to its client.
	lateFactor = 3
	// longestTaskFactor is the ratio of the longest to the median duration of a
	// step's tasks.
	longestTaskFactor = 1.15
)

// Key orders jobs; the lesser comes first.
type Key struct {
	Priority int
	Class    Class
	// Suspect is set for an overdue job that may crash its workers. Such jobs come
	// after the other overdue ones, which would lose their runs with a worker.
	Suspect bool
	// Work is the remaining filling work of the job, in core-seconds; 0 for
	// jobs without any.
	Work float64
	// By is the deadline of the job's class (the objective, or lateFactor times
	// it), since the start of the store's clock.
	By time.Duration
	// Weighed, Starved and Cost are set by Weigh. Cost orders the jobs with
	// filling work, of all classes; Starved jobs have had no run for longer than
	// their objective.
	Weighed, Starved bool
	Cost             float64
}

// Compare orders keys as cmp.Compare does; the lesser comes first.
//
// Within a class, the filling job with the least remaining work comes first.
// Often there is more filling work than the serving tasks can bear. In this order
// most jobs still end in time; in the order of deadlines nearly all end late.
func (a Key) Compare(b Key) int {
	if a.Weighed && b.Weighed {
		return a.compareWeighed(b)
	}
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Class, b.Class),
		compareBool(a.Suspect, b.Suspect),
		cmp.Compare(a.Work, b.Work),
		cmp.Compare(a.By, b.By),
	)
}

// compareBool compares two flags; false comes first.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// Work is the remaining filling work of a job, in core-seconds: step i has
// remaining(i) unfinished tasks, and each of them takes durations[i].
func Work(steps []workload.Step, durations []time.Duration, remaining func(i int) int) float64 {
	sum := 0.0
	for i := range steps {
		if s := &steps[i]; s.Fills {
			sum += float64(remaining(i)) * float64(s.Need.CPU) / 1000 * durations[i].Seconds()
		}
	}
	return sum
}

// Chain is the length of the critical path through the unfinished steps.
// durations[i] is the expected duration of a task of step i; the step takes
// longestTaskFactor times as long.
func Chain(steps []workload.Step, durations []time.Duration, done func(i int) bool) time.Duration {
	finish := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := range steps {
		for _, a := range steps[i].After {
			finish[i] = max(finish[i], finish[a])
		}
		if !done(i) {
			finish[i] += time.Duration(longestTaskFactor * float64(durations[i]))
		}
		longest = max(longest, finish[i])
	}
	return longest
}

// Objective is the time within which a client expects its job to end; total is
// the Chain of all its steps.
func Objective(q workload.Queue, total time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(total)) + q.TargetLatency
}

// Rank returns the key of a job accepted at the given time. total is the Chain
// of all its steps, remaining the Chain of the unfinished steps.
//
// Under high load the work exceeds the capacity for seconds at a time. In the
// order of acceptance every job would then end late. Rank puts jobs that can
// still end in time first; Compare orders them within the class.
func Rank(q workload.Queue, accepted, now, total, remaining time.Duration) Key {
	objective := Objective(q, total)
	k := Key{Priority: q.Priority, Class: InTime, By: accepted + objective}
	if now+remaining <= k.By {
		return k
	}
	k.Class, k.By = Late, accepted+lateFactor*objective
	if now+remaining > k.By {
		k.Class = Overdue
	}
	return k
}
