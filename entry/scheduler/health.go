package scheduler

import (
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

const (
	// suspectAfter is the number of jobs with failed runs, without a success
	// between them, that makes a worker suspect.
	suspectAfter = 3
	// suspectFor is the time for which a suspect worker gets no tasks that end by
	// themselves.
	suspectFor = 5 * time.Second
	// avoidFor is the time for which a task that failed on a worker avoids it,
	// unless one that began later has succeeded there. Where no other worker has
	// capacity, the client still sees its job progress.
	avoidFor = 2 * time.Second
	// suspectShare is the share of a service's workers up to which suspects are
	// excluded. If there are more, the jobs may be at fault; then suspects are
	// only used last.
	suspectShare = 1.0 / 3
)

// health distinguishes a worker on which all tasks fail from tasks that fail
// everywhere: failures count by job, and a success clears them.
//
// Failure guarded against: a worker fails all tasks within milliseconds, and so
// always has the most free capacity. Tasks return to it until their attempts
// are used up, and many jobs fail that could have been done. So a task that
// failed there avoids the worker until one succeeds there, and loses one
// attempt; from the third job on, the worker gets no more such tasks. Runs that
// began before the first failure may still succeed and prove nothing. Lasting
// tasks have no limit of attempts, and only prefer other workers.
type health struct {
	failedJobs map[workload.JobID]bool
	// firstFailure is the time of the first of these, lastFailure of the latest.
	firstFailure time.Time
	lastFailure  time.Duration
	suspectUntil time.Duration
}

func (h *health) suspect(now time.Duration) bool { return now < h.suspectUntil }

// recentlyFailed reports whether runs failed lately, without a success since.
func (h *health) recentlyFailed(now time.Duration) bool {
	return len(h.failedJobs) > 0 && now < h.lastFailure+avoidFor
}

func (h *health) recordFailure(id workload.JobID, now time.Duration) {
	if len(h.failedJobs) == 0 {
		h.failedJobs, h.firstFailure = map[workload.JobID]bool{}, time.Now()
	}
	h.failedJobs[id] = true
	h.lastFailure = now
	if len(h.failedJobs) >= suspectAfter {
		h.suspectUntil = now + suspectFor
	}
}

// recordEnd records the end of a run that began at placed. It reports whether
// the end made the worker suspect.
func (w *worker) recordEnd(e workload.End, placed time.Time, now time.Duration) bool {
	before := w.health.suspect(now)
	switch {
	case e.Kind == workload.EndDone && placed.After(w.health.firstFailure):
		w.health.failedJobs = nil
	case e.Kind == workload.EndFailed:
		w.health.recordFailure(e.Run.Task.Job, now)
	}
	return !before && w.health.suspect(now)
}

// logSuspect records that a worker gets no tasks with limited attempts now.
func (t *Term) logSuspect(w *worker) {
	t.deps.Counters.Suspected.Add(1)
	t.deps.Log.Warn().Str("worker", string(w.id)).Str("instance", w.agent).Int("jobs", len(w.health.failedJobs)).Msg("worker suspect: runs of several jobs failed")
}

// startRefused records that the worker refused a start.
func (w *worker) startRefused(now time.Duration) {
	w.health.suspectUntil = max(w.health.suspectUntil, now+suspectFor/2)
}

// excludeSuspects excludes suspect candidates, if they are few enough.
func (v *view) excludeSuspects() {
	suspects, all := 0, 0
	for i := range v.candidates {
		if c := &v.candidates[i]; !c.Barred {
			all++
			if c.Suspect {
				suspects++
			}
		}
	}
	if float64(suspects) > suspectShare*float64(all) {
		return
	}
	for i := range v.candidates {
		v.candidates[i].Shunned = v.candidates[i].Suspect
	}
}

// mustAvoid reports whether a task that failed on candidate avoid at failedAt
// must not run there: nothing shows that the worker has recovered, and others
// could take the task, if not at once.
func (v *view) mustAvoid(s *workload.Step, avoid int, failedAt time.Duration) bool {
	if avoid < 0 || s.Lasting || v.now >= failedAt+avoidFor || !v.workers[avoid].health.recentlyFailed(v.now) {
		return false
	}
	for i, w := range v.workers {
		if i != avoid && w.accepts(v.service) && !w.health.recentlyFailed(v.now) && placement.CouldTake(s, &v.candidates[i]) {
			return true
		}
	}
	return false
}
