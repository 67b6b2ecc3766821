// Package forecast predicts when accepted jobs end.
package forecast

import (
	"sort"
	"time"
)

// Outlook sums up a forecast for the entries, which admit jobs by it.
type Outlook struct {
	// At is the time of the forecast by the store's clock; 0 if there is none.
	At time.Duration
	// Loads holds the load of each queue by the queue's name.
	Loads map[string]Load
}

// Load is the work that is served before a new job of a queue. Filling jobs and
// jobs with reserved capacity use different room, and a queue may have both.
type Load struct {
	Filling  Backlog
	Reserved Backlog
}

// Backlog is the remaining work of accepted jobs and the room that serves it.
type Backlog struct {
	// Cores is the room, in cores, that jobs of the queue are expected to have.
	Cores float64
	// Steps lists the work ahead of a new job by the new job's own work, in
	// ascending order: a larger job comes after more work.
	Steps []BacklogStep
}

// BacklogStep is the work ahead of a job with at most UpTo core-seconds.
type BacklogStep struct {
	// UpTo is the own work of the job, in core-seconds.
	UpTo float64
	// Ahead is the work served before that job, in core-seconds.
	Ahead float64
}

// Wait is the time until a new job with the given work, in core-seconds, gets
// room. ok is false if the backlog has no room.
func (b Backlog) Wait(work float64) (wait time.Duration, ok bool) {
	if b.Cores <= 0 {
		return 0, false
	}
	ahead := 0.0
	i := sort.Search(len(b.Steps), func(i int) bool { return b.Steps[i].UpTo >= work })
	switch {
	case i < len(b.Steps):
		ahead = b.Steps[i].Ahead
	case len(b.Steps) > 0:
		ahead = b.Steps[len(b.Steps)-1].Ahead
	}
	return time.Duration(ahead / b.Cores * float64(time.Second)), true
}
