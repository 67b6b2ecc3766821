package blame

import (
	"math"
	"time"
)

const (
	// memory is the time after which a crash counts a factor of e less.
	memory = time.Minute
	// assumedCrashes in assumedExposure, a time summed over workers, are assumed
	// besides what was seen.
	assumedCrashes  = 0.5
	assumedExposure = 250 * time.Second
	// suspectFor is the time after its start for which a run is suspected of its
	// worker's crash.
	suspectFor = 1500 * time.Millisecond
)

// Rate estimates how often workers crash without a task that causes it. The zero
// value is ready for use.
type Rate struct {
	crashes float64
	// exposure is the time for which crashes were counted, summed over workers, in
	// seconds.
	exposure float64
	at       time.Duration
}

// Advance records that so many workers were in use since the last call.
func (r *Rate) Advance(now time.Duration, workers int) {
	if r.at > 0 && now > r.at {
		d := now - r.at
		keep := math.Exp(-d.Seconds() / memory.Seconds())
		r.crashes *= keep
		r.exposure = r.exposure*keep + float64(workers)*memory.Seconds()*(1-keep)
	}
	r.at = now
}

// Add counts crashes that no task has caused.
func (r *Rate) Add(crashes float64) { r.crashes += crashes }

// Chance is the chance that a worker crashes for another reason while a run there is
// suspect.
func (r *Rate) Chance() float64 {
	perSecond := (r.crashes + assumedCrashes) / (r.exposure + assumedExposure.Seconds())
	return 1 - math.Exp(-perSecond*suspectFor.Seconds())
}
