package decide

import (
	"math"
	"time"

	"persimmonrock.example/structs"
)

// Tuning of Health.
const (
	healthHalfLife    = 10 * time.Minute
	minFailures       = 3.0
	badWorkerRate     = 0.6
	badKindRate       = 0.8
	minKindWorkers    = 3
	excessFailures    = 2.5
	initialProbeDelay = 30 * time.Second
	maxProbeDelay     = 30 * time.Minute
	probesToRelease   = 2
	maxHealthCells    = 65_536
	// decayTolerance is subtracted from limits of failure counts, since decay makes
	// even a recent failure count slightly less than 1.
	decayTolerance = 0.05
)

type outcomes struct {
	successes, failures float64
	at                  time.Duration
}

func (o *outcomes) decay(now time.Duration) {
	if now <= o.at {
		return
	}
	f := math.Exp2(-float64(now-o.at) / float64(healthHalfLife))
	o.successes *= f
	o.failures *= f
	o.at = now
}

func (o *outcomes) total() float64 { return o.successes + o.failures }

type quarantine struct {
	probeAt   time.Duration
	backoff   time.Duration
	successes int
	// probeSent is set while the result of a probe is pending. While it is not
	// set, outcomes are ignored: tasks started before the worker broke may succeed.
	probeSent bool
}

// HealthCounters counts reports, probes, quarantines, releases and parked kinds.
type HealthCounters struct {
	Reports, Dropped, Quarantined, Released, Probes, KindsParked uint64
}

// Health distinguishes workers that fail all tasks from job kinds that fail on
// all workers. A single failure is consistent with both, so outcomes are counted
// per pair of worker and kind. A worker is quarantined only if tasks fail more often
// on it than tasks of the same kinds on other workers. The zero value is ready for use.
type Health struct {
	cells        map[structs.InstanceID]map[structs.Kind]*outcomes
	byKind       map[structs.Kind]map[structs.InstanceID]*outcomes
	quarantines  map[structs.InstanceID]*quarantine
	parked       map[structs.Kind]Hold
	cellCount    int
	newestReport time.Duration
	counters     HealthCounters
}

// Counters returns the counts so far.
func (h *Health) Counters() HealthCounters { return h.counters }

// Report records the outcome of one run of a task of kind k on instance. ok is
// false for a run that failed or was lost; stopped runs must not be reported.
// Report returns false if it drops the report: for an invalid argument, for a full
// table, or if now is more than healthHalfLife before the newest report.
func (h *Health) Report(now time.Duration, instance structs.InstanceID, k structs.Kind, ok bool) bool {
	if instance == "" || k == "" || now < 0 || now < h.newestReport-healthHalfLife {
		h.counters.Dropped++
		return false
	}
	c := h.cell(instance, k)
	if c == nil {
		h.counters.Dropped++
		return false
	}
	h.newestReport = max(h.newestReport, now)
	h.counters.Reports++
	c.decay(now)
	if ok {
		c.successes++
	} else {
		c.failures++
	}
	h.judgeWorker(now, instance, k, ok)
	h.judgeKind(now, k)
	return true
}

func (h *Health) cell(instance structs.InstanceID, k structs.Kind) *outcomes {
	if h.cells == nil {
		h.cells = make(map[structs.InstanceID]map[structs.Kind]*outcomes)
		h.byKind = make(map[structs.Kind]map[structs.InstanceID]*outcomes)
		h.quarantines = make(map[structs.InstanceID]*quarantine)
		h.parked = make(map[structs.Kind]Hold)
	}
	if c := h.cells[instance][k]; c != nil {
		return c
	}
	if h.cellCount >= maxHealthCells {
		return nil
	}
	h.cellCount++
	c := &outcomes{}
	if h.cells[instance] == nil {
		h.cells[instance] = make(map[structs.Kind]*outcomes)
	}
	if h.byKind[k] == nil {
		h.byKind[k] = make(map[structs.InstanceID]*outcomes)
	}
	h.cells[instance][k] = c
	h.byKind[k][instance] = c
	return c
}

// failureRateElsewhere returns the failure rate of k on all workers except
// instance and those in quarantine, shrunk towards one half for few outcomes.
func (h *Health) failureRateElsewhere(now time.Duration, k structs.Kind, instance structs.InstanceID) float64 {
	successes, failures := 0.5, 0.5
	for other, c := range h.byKind[k] {
		if other == instance || h.quarantines[other] != nil {
			continue
		}
		c.decay(now)
		successes += c.successes
		failures += c.failures
	}
	return failures / (successes + failures)
}

func (h *Health) judgeWorker(now time.Duration, instance structs.InstanceID, k structs.Kind, ok bool) {
	if q := h.quarantines[instance]; q != nil {
		h.judgeProbe(now, instance, k, q, ok)
		return
	}
	if ok {
		return
	}
	failed, total, expected := 0.0, 0.0, 0.0
	for kind, c := range h.cells[instance] {
		c.decay(now)
		failed += c.failures
		total += c.total()
		expected += c.total() * h.failureRateElsewhere(now, kind, instance)
	}
	if failed < minFailures-decayTolerance || failed/total < badWorkerRate {
		return
	}
	// Requiring three standard deviations would take dozens of failures. Instead,
	// the failures must be at least twice the expected number and exceed this number
	// by almost excessFailures. Failures of kinds that also fail elsewhere are expected.
	if failed-expected < excessFailures*failed/(failed+1) || failed < 2*expected {
		return
	}
	h.quarantines[instance] = &quarantine{probeAt: now + initialProbeDelay, backoff: initialProbeDelay}
	h.counters.Quarantined++
}

func (h *Health) judgeProbe(now time.Duration, instance structs.InstanceID, k structs.Kind, q *quarantine, ok bool) {
	if !q.probeSent {
		return
	}
	q.probeSent = false
	if ok {
		q.successes++
		q.probeAt = now
		if q.successes >= probesToRelease {
			delete(h.quarantines, instance)
			for _, c := range h.cells[instance] {
				c.failures = 0
			}
			h.counters.Released++
		}
		return
	}
	if h.failureRateElsewhere(now, k, instance) >= badWorkerRate {
		q.probeAt = now
		return
	}
	q.successes = 0
	q.backoff = min(2*q.backoff, maxProbeDelay)
	q.probeAt = now + q.backoff
}

func (h *Health) judgeKind(now time.Duration, k structs.Kind) {
	workers, successes, failures := 0, 0.0, 0.0
	for instance, c := range h.byKind[k] {
		if h.quarantines[instance] != nil {
			continue
		}
		c.decay(now)
		successes += c.successes
		failures += c.failures
		if c.failures >= 1-decayTolerance {
			workers++
		}
	}
	fails := workers >= minKindWorkers && failures/(successes+failures) >= badKindRate
	_, wasParked := h.parked[k]
	switch {
	case fails && !wasParked:
		h.counters.KindsParked++
		h.parked[k] = Hold{
			Reason:  "parked: jobs of kind " + string(k) + " fail on every worker",
			Refusal: structs.RefusedUnsupportedKind,
		}
	case !fails && wasParked:
		delete(h.parked, k)
	}
}

// Worker reports whether instance is in quarantine and, if so, whether one task
// may be sent to it as a probe at time now.
func (h *Health) Worker(now time.Duration, instance structs.InstanceID) (quarantined, probe bool, hold Hold) {
	q := h.quarantines[instance]
	if q == nil {
		return false, false, Hold{}
	}
	hold = Hold{
		Reason:  "worker " + string(instance) + " is in quarantine: it fails jobs that succeed elsewhere",
		Refusal: structs.RefusedQuarantine,
	}
	return true, now >= q.probeAt, hold
}

// RecordProbe records that a probe was sent to instance. No other probe is due until
// the outcome of this probe is reported or the backoff has passed.
func (h *Health) RecordProbe(now time.Duration, instance structs.InstanceID) {
	q := h.quarantines[instance]
	if q == nil {
		return
	}
	h.counters.Probes++
	q.probeSent = true
	q.backoff = min(2*q.backoff, maxProbeDelay)
	q.probeAt = now + q.backoff
}

// Kind reports whether kind k is parked, so that its jobs must not be placed, and why.
func (h *Health) Kind(k structs.Kind) (parked bool, hold Hold) {
	hold, parked = h.parked[k]
	return parked, hold
}

// ReleaseKind clears the failures of k after an operator releases its jobs.
func (h *Health) ReleaseKind(k structs.Kind) {
	for _, c := range h.byKind[k] {
		c.failures = 0
	}
	delete(h.parked, k)
}
