package placement

import "math/bits"

// Cause is a reason for which a worker does not take a task now.
type Cause uint8

// The causes, from the one that lasts longest to the one that passes by itself.
const (
	// NotReady workers accept no tasks of the service.
	NotReady Cause = iota
	// Unsuitable workers are too small or lack the step's label.
	Unsuitable
	// NotPermitted workers have no valid ticket for the step.
	NotPermitted
	// SpreadReached workers hold as many tasks of the step as it allows.
	SpreadReached
	// MemoryReserved workers lack memory or accelerators.
	MemoryReserved
	// CPUReserved workers lack CPU that no task has reserved.
	CPUReserved
	// FillingFull workers have no unused CPU for one more filling task.
	FillingFull
	// HeldForOthers workers would fit the task without the capacity that they
	// hold for other tasks.
	HeldForOthers
	// Pressing workers have a serving image on which the task is known to press.
	Pressing
	// OnTrial workers wait for a trial of an unknown pair on another worker.
	OnTrial
	// Quarantined workers are dedicated to one job or take no further suspects.
	Quarantined
	// SuspectWorker workers failed or lost tasks recently and take only lasting
	// tasks.
	SuspectWorker
	// FailedHere is the worker on which the task failed before.
	FailedHere
	// Causes is the number of causes.
	Causes
)

var causeNames = [Causes]string{
	"not_ready", "unsuitable", "not_permitted", "spread", "memory", "cpu", "filling_full", "held", "pressing", "trial", "quarantine", "suspect", "failed_here",
}

// String returns the name of the cause in log lines and counters.
func (c Cause) String() string { return causeNames[c] }

// CauseSet is a set of causes, one bit each.
type CauseSet uint16

func (s CauseSet) with(c Cause, holds bool) CauseSet {
	if holds {
		return s | 1<<c
	}
	return s
}

// First returns the cause of the set that lasts longest. The set isn't empty.
func (s CauseSet) First() Cause { return Cause(bits.TrailingZeros16(uint16(s))) }

// Sole reports whether the worker would take the task but for one cause.
func (s CauseSet) Sole() bool { return s != 0 && s&(s-1) == 0 }

// Exclusions returns all causes for which worker i does not take the task. It
// is empty if and only if Choose considers the worker.
func Exclusions(r Request, i int, w *Candidate) CauseSet {
	s := r.Step
	need := s.Reserved()
	var out CauseSet
	out = out.with(Unsuitable, !s.Need.Fits(w.Capacity) || s.Label != "" && !contains(w.Labels, s.Label))
	out = out.with(SpreadReached, s.Spread > 0 && w.OfStep >= s.Spread)
	if !need.Fits(w.Free) {
		without := w.Free.Add(w.Held)
		memory := need.Memory > without.Memory || need.GPU > without.GPU
		cpu := need.CPU > without.CPU
		out = out.with(MemoryReserved, memory).with(CPUReserved, cpu).with(HeldForOthers, !memory && !cpu)
	}
	out = out.with(FillingFull, s.Fills && w.FillLoad+s.Need.CPU > unused(w))
	if w.Barred {
		out |= 1 << w.BarredBy
	}
	out = out.with(SuspectWorker, w.LastingOnly && !s.Lasting)
	return out.with(FailedHere, r.ExcludeAvoid && i == r.Avoid)
}

// Exclusion sums up why no worker takes a task.
type Exclusion struct {
	// Workers counts the excluded workers by the first of their causes.
	Workers [Causes]int
	// Sole counts the workers that only this cause excludes.
	Sole [Causes]int
	// Open is the number of workers that would take the task.
	Open int
}

// Explain classifies all workers for a task.
func Explain(r Request, workers []Candidate) Exclusion {
	var e Exclusion
	for i := range workers {
		s := Exclusions(r, i, &workers[i])
		if s == 0 {
			e.Open++
			continue
		}
		e.Workers[s.First()]++
		if s.Sole() {
			e.Sole[s.First()]++
		}
	}
	return e
}

// Main returns the cause that alone excludes most workers; if there is none, the
// cause that is the first one of most workers. It is NotReady without workers.
func (e *Exclusion) Main() Cause {
	if c, n := most(&e.Sole); n > 0 {
		return c
	}
	c, _ := most(&e.Workers)
	return c
}

func most(counts *[Causes]int) (Cause, int) {
	best := NotReady
	for c, n := range counts {
		if n > counts[best] {
			best = Cause(c)
		}
	}
	return best, counts[best]
}
