package scheduler

import (
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

const (
	// suspectAfter is the number of jobs with failed runs on a worker, without a
	// success since, that makes the worker suspect.
	suspectAfter = 3
	// suspectFor is the time for which a worker is suspect. Suspects, if few, get
	// no tasks that end by themselves.
	suspectFor = 5 * time.Second
	// avoidFor is the time for which a task that failed on a worker avoids that
	// worker, unless a run that began later has succeeded there. It is short, so
	// that the job progresses even if no other worker has capacity.
	avoidFor = 2 * time.Second
	// suspectShare is the share of a service's workers up to which suspects are
	// excluded. With more suspects, the jobs may be at fault; then suspects are
	// only used last.
	suspectShare = 1.0 / 3
)

// health distinguishes a worker on which all tasks fail from jobs that fail
// everywhere: it counts the failing jobs, and a success clears the count.
//
// Failure guarded against: all tasks fail on a worker within milliseconds, so
// that it always has the most free capacity. Tasks return to it until their
// attempts are used up, and many jobs fail though other workers could run them.
// So a failed task loses one attempt, and avoids the worker until a run
// succeeds there, at most for avoidFor. After failures of three jobs, the
// worker gets no tasks with limited attempts for suspectFor. Successes of runs
// that began before the first failure prove nothing. Lasting tasks have no
// limit of attempts, and only prefer other workers.
type health struct {
	failedJobs map[workload.JobID]bool
	// firstFailure is when the first of these jobs failed, lastFailure the latest.
	firstFailure time.Time
	lastFailure  time.Duration
	suspectUntil time.Duration
}

func (h *health) suspect(now time.Duration) bool { return now < h.suspectUntil }

// recentlyFailed reports a failure within avoidFor without a success since.
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

// recordEnd records the end of a run that was placed at the given time. It
// reports whether the end made the worker suspect.
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

// logSuspect logs and counts that a worker has become suspect.
func (t *Term) logSuspect(w *worker) {
	t.deps.Counters.Suspected.Add(1)
	t.deps.Log.Warn().Str("worker", string(w.id)).Str("instance", w.agent).Int("jobs", len(w.health.failedJobs)).Msg("worker suspect: runs of several jobs failed")
}

// startRefused makes the worker suspect for suspectFor/2 after a refused start.
func (w *worker) startRefused(now time.Duration) {
	w.health.suspectUntil = max(w.health.suspectUntil, now+suspectFor/2)
}

// excludeSuspects excludes suspect candidates for tasks that end by themselves,
// if at most suspectShare of the candidates are suspect.
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
		v.candidates[i].LastingOnly = v.candidates[i].Suspect
	}
}

// mustAvoid reports whether a task that failed on candidate avoid at failedAt
// must not run there yet: avoidFor has not passed, no success shows that the
// worker has recovered, and another worker could take the task, now or later.
// A lasting task may always run there.
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
