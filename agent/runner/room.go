package runner

import (
	"cmp"
	"time"
)

// A worker's room may shrink while it runs, and only its reports tell. What an
// earlier process of the agent has recorded, or a report long ago has said, may
// be more than the worker has.

// usualReportsHold is Config.ReportsHold where that is 0.
const usualReportsHold = 3 * time.Second

// reported reports whether the worker's room is known well enough to start
// something there. The caller holds mu.
func (r *Runner) reported(l *life) bool {
	return l.reportedAt > 0 && r.deps.Now()-l.reportedAt <= cmp.Or(r.cfg.ReportsHold, usualReportsHold)
}

// checkReports tells the scheduler when the worker's reports cease or come back.
// The caller holds mu.
func (r *Runner) checkReports(l *life) {
	if stale := !r.reported(l); stale != l.stale {
		l.stale = stale
		l.changed = r.touch(true)
		r.deps.Log.Info().Str("worker", string(l.id)).Bool("stale", stale).Msg("reports of the worker")
	}
}

// lacksRoom says why the worker has no room for what is on it or may be, or is
// empty. What was ordered and what is being stopped counts until an end is
// listed. The caller holds mu.
func (r *Runner) lacksRoom(l *life) string {
	used, sized := l.used()
	switch {
	case !r.reported(l):
		return "the worker has not reported lately"
	case !sized:
		return "the size of a run is not known yet"
	case !used.Fits(l.worker.Capacity):
		r.counters.RoomRefused++
		return "no room"
	}
	return ""
}
