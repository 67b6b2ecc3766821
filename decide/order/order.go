// Package order decides which job's tasks are placed first.
package order

import (
	"cmp"
	"time"

	"persimmonrock.example/structs/workload"
)

// Class groups the jobs of one priority by what is still to be gained.
type Class uint8

const (
	// InTime jobs can still meet their objective.
	InTime Class = iota
	// Late jobs can only end within lateFactor times their objective.
	Late
	// Overdue jobs can't; they wait for what the others leave.
	Overdue
)

const (
	// lateFactor is the multiple of its objective within which a job is of
	// some use to its client.
	lateFactor = 3
	// uneven is how much longer the longest task of a step takes than its
	// tasks in the middle.
	uneven = 1.15
)

// Key orders jobs; the lesser comes first.
type Key struct {
	Priority int
	Class    Class
	// Work is the filling work that is left of the job, in core-seconds; 0
	// for jobs without any.
	Work float64
	// By is the time until which the job has to end to stay in its class,
	// since the start of the store's clock.
	By time.Duration
}

// Compare orders keys as cmp.Compare does; the lesser comes first.
//
// Of filling jobs of one class the one with the least work left comes first:
// there is often more of it than the serving tasks bear, and then most jobs
// end in time in this order. By their deadlines nearly all would end late.
func (a Key) Compare(b Key) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		cmp.Compare(a.Class, b.Class),
		cmp.Compare(a.Work, b.Work),
		cmp.Compare(a.By, b.By),
	)
}

// Work is the filling work among tasks that are not done, in core-seconds;
// left is their number in step i, and each takes as long as took[i].
func Work(steps []workload.Step, took []time.Duration, left func(i int) int) float64 {
	sum := 0.0
	for i := range steps {
		if s := &steps[i]; s.Fills {
			sum += float64(left(i)) * float64(s.Need.CPU) / 1000 * took[i].Seconds()
		}
	}
	return sum
}

// Chain is the longest chain of work among the steps that are not done, where
// the tasks of step i take as long as took[i].
func Chain(steps []workload.Step, took []time.Duration, done func(i int) bool) time.Duration {
	finish := make([]time.Duration, len(steps))
	longest := time.Duration(0)
	for i := range steps {
		for _, a := range steps[i].After {
			finish[i] = max(finish[i], finish[a])
		}
		if !done(i) {
			finish[i] += time.Duration(uneven * float64(took[i]))
		}
		longest = max(longest, finish[i])
	}
	return longest
}

// Objective is the time within which a client expects its job to end.
func Objective(q workload.Queue, whole time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(whole)) + q.TargetLatency
}

// Rank returns the key of a job that was accepted at accepted, with whole the
// chain of all of its work and left the chain of what is not done.
//
// On heavy days there is more work than room for seconds on end. In the order
// of acceptance every job would then end late; this order serves those that
// can still end in time, and of them the most urgent first.
func Rank(q workload.Queue, accepted, now, whole, left time.Duration) Key {
	objective := Objective(q, whole)
	k := Key{Priority: q.Priority, Class: InTime, By: accepted + objective}
	if now+left <= k.By {
		return k
	}
	k.Class, k.By = Late, accepted+lateFactor*objective
	if now+left > k.By {
		k.Class = Overdue
	}
	return k
}
