// Package admission decides whether an entry accepts a new job. Under a load
// that lasts, the accepted work can exceed what the workers do while it is of
// use. A caller that is told so at once can go elsewhere or come back; one that
// is told nothing waits for an end that comes too late.
//
// Refusing a job that could have been served costs its caller most. So each
// doubt, about the forecast or the job, is a reason to accept.
package admission

import (
	"hash/fnv"
	"math"
	"time"

	"persimmonrock.example/decide/forecast"
	"persimmonrock.example/decide/order"
	"persimmonrock.example/structs/workload"
)

const (
	// usefulObjectives is the number of objectives after which the end of a job is
	// of no use to its caller.
	usefulObjectives = 3
	// estimateError is the factor by which the run times that the caller estimated
	// may be too low or too high. A longer job has a longer objective.
	estimateError = 1.25
	// waitError is the factor by which the forecast's wait may be too long.
	waitError = 1.5
	// MaxAge is the age up to which an outlook is a reason to refuse.
	MaxAge = 3 * time.Second
	// minReturn and maxReturn bound the time after which a refused client is asked
	// to come back.
	minReturn = time.Second
	maxReturn = time.Minute
	// minSpread is the least time over which the returns of refused clients are
	// spread.
	minSpread = time.Second
)

// Job is what admission takes into account of a new job.
type Job struct {
	ID workload.JobID
	// Work is the job's own work, in core-seconds, and Chain the length of its
	// longest chain of steps. Both follow from the caller's estimates.
	Work  float64
	Chain time.Duration
	// Fills says that Work is filling work.
	Fills bool
	// Exempt jobs are never refused: no wait is predicted for them.
	Exempt bool
}

// Describe returns what admission takes into account of j.
func Describe(j *workload.Job) Job {
	durations := make([]time.Duration, len(j.Steps))
	d := Job{ID: j.ID, Exempt: j.Repeat.Count > 0 || len(j.Steps) == 0}
	counted, filling := 0.0, 0.0
	for i := range j.Steps {
		s := &j.Steps[i]
		durations[i] = s.Estimate
		work := float64(s.Count) * float64(s.Need.CPU) / 1000 * s.Estimate.Seconds()
		counted += work
		if s.Fills {
			filling += work
		}
		// Gangs and accelerators wait for other things than cores, and a step
		// without an estimate has an unknown length.
		d.Exempt = d.Exempt || s.Lasting || s.Gang || s.Need.GPU > 0 || s.Estimate <= 0
	}
	d.Chain = order.Chain(j.Steps, durations, func(int) bool { return false })
	d.Work, d.Fills = counted, filling > 0
	if d.Fills {
		d.Work = filling
	}
	return d
}

// Reason says why a job is accepted or refused.
type Reason string

// The reasons of a verdict. All but TooLate accept the job.
const (
	// Exempt: jobs of this kind are never refused.
	Exempt Reason = "exempt"
	// NoOutlook: no outlook is known, or none of the job's queue.
	NoOutlook Reason = "no outlook"
	// OldOutlook: the outlook is older than MaxAge.
	OldOutlook Reason = "old outlook"
	// InUse: the job may end while it is of use.
	InUse Reason = "may end while it is of use"
	// TooLate: the job can't end while it is of use.
	TooLate Reason = "can't end while it is of use"
)

// Verdict is a decision about a new job.
type Verdict struct {
	Reason Reason
	// Wait is the predicted time until the job gets room.
	Wait time.Duration
	// Excess is the time by which Wait exceeds the longest wait that is accepted.
	Excess time.Duration
	// Cores is the room that the job would use, in cores.
	Cores float64
}

// Refused reports whether the job is refused.
func (v Verdict) Refused() bool { return v.Reason == TooLate }

// Decide decides about a new job of queue q by an outlook of the given age.
//
// The job with the longest wait for its own objective is refused first: in the
// order of the forecast this is the largest one, which would take the room of
// many others and end when it is of no use.
func Decide(q workload.Queue, j Job, o forecast.Outlook, age time.Duration) Verdict {
	load, ok := o.Loads[q.Name]
	switch {
	case j.Exempt:
		return Verdict{Reason: Exempt}
	case o.At <= 0 || !ok || q.Stretch <= 0:
		return Verdict{Reason: NoOutlook}
	case age > MaxAge:
		return Verdict{Reason: OldOutlook}
	}
	backlog := load.Reserved
	if j.Fills {
		backlog = load.Filling
	}
	wait, ok := backlog.Wait(j.Work)
	if !ok {
		// Without any room the forecast does not know when there will be some.
		return Verdict{Reason: NoOutlook}
	}
	v := Verdict{Reason: InUse, Wait: wait, Cores: backlog.Cores}
	v.Excess = wait - longestWait(q, j)
	if v.Excess > 0 {
		v.Reason = TooLate
	}
	return v
}

// longestWait is the longest predicted wait with which a job is accepted: even
// if the wait is shorter than predicted by waitError, and the job is longer than
// estimated, it ends too late after more than this.
func longestWait(q workload.Queue, j Job) time.Duration {
	objective := order.Objective(q, time.Duration(estimateError*float64(j.Chain)))
	latest := usefulObjectives*objective - time.Duration(float64(j.Chain)/estimateError)
	return time.Duration(waitError * float64(latest))
}

// Slot is the time that a refused job takes of the room when it comes back.
func Slot(work, cores float64) time.Duration {
	if cores <= 0 {
		return 0
	}
	return time.Duration(min(work/cores, maxReturn.Seconds()) * float64(time.Second))
}

// RetryAfter is the time after which the client of a refused job is to come
// back. The backlog is short enough again after Excess. Room until booked is
// promised to jobs that were refused before; this one follows, within its own
// slot at a place that its identifier draws.
func RetryAfter(v Verdict, j Job, booked time.Duration) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(j.ID)) // never fails
	share := float64(h.Sum64()) / math.MaxUint64
	spread := max(minSpread, Slot(j.Work, v.Cores))
	after := max(v.Excess, booked, minReturn) + time.Duration(share*float64(spread))
	return min(after, maxReturn)
}

// Book returns the time until which room is promised to refused jobs, after a
// job with the given excess and slot has been refused as well.
func Book(booked, excess, slot time.Duration) time.Duration {
	return min(max(booked, excess, minReturn)+slot, maxReturn)
}
