package runner

import (
	"cmp"
	"time"
)

// A worker's capacity may shrink while the worker runs, and only its reports
// show this. A capacity from an old report, or recorded by an earlier process
// of the agent, may be more than the worker has.

// defaultReportAge replaces a Config.MaxReportAge of 0.
const defaultReportAge = 3 * time.Second

// reportedRecently reports whether the worker's latest report of its capacity
// is recent enough to start a run there. The caller holds mu.
func (r *Runner) reportedRecently(inc *incarnation) bool {
	return inc.reportedAt > 0 && r.deps.Now()-inc.reportedAt <= cmp.Or(r.cfg.MaxReportAge, defaultReportAge)
}

// checkReports records for the scheduler when the worker's reports cease or
// resume. The caller holds mu.
func (r *Runner) checkReports(inc *incarnation) {
	if stale := !r.reportedRecently(inc); stale != inc.stale {
		inc.stale = stale
		inc.changed = r.recordChange(true)
		r.deps.Log.Info().Str("worker", string(inc.id)).Bool("stale", stale).Msg("reports of the worker became stale or fresh again")
	}
}

// capacityRefusal returns "" if the worker's capacity is known to suffice for
// the runs that are or may be on it, else the reason. Runs that are ordered or
// being stopped count until they end or are void. The caller holds mu.
func (r *Runner) capacityRefusal(inc *incarnation) string {
	used, sized := inc.used()
	switch {
	case !r.reportedRecently(inc):
		return "the worker has not reported lately"
	case !sized:
		return "the size of a run is not known yet"
	case !used.Fits(inc.worker.Capacity):
		r.counters.RoomRefused++
		return "no room"
	}
	return ""
}
