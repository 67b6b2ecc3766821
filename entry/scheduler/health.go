package scheduler

import (
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

const (
	// suspectAfter is the number of jobs in a row of which a run failed.
	suspectAfter = 3
	// suspectFor is how long such a worker gets no tasks that end by
	// themselves.
	suspectFor = 5 * time.Second
	// awayFor is how long a task that failed on a worker stays away from it
	// unless one that began later has ended well there meanwhile. Where no
	// other worker has room the client still sees its job go on.
	awayFor = 2 * time.Second
	// suspectShare is the part of a service's workers up to which that holds.
	// Where more fail, the fault may be the jobs'; then suspects are
	// only used last.
	suspectShare = 1.0 / 3
)

// health tells a worker that fails what it starts from tasks that fail
// everywhere: failures count by job, and a success clears them.
//
// Failure guarded against: a worker fails all that it starts, within
// milliseconds, and so is always the emptiest. Tasks come back to it until
// their attempts are used up, and many jobs fail that could have been done.
// The guard: a task that failed there stays away while nothing has ended well,
// so it loses one attempt; from the third job on the worker gets no more of
// them. Runs that began before the first failure may still end well and prove
// nothing. Lasting tasks have no attempts to lose, and are only placed
// elsewhere first.
type health struct {
	failing map[workload.JobID]bool
	// since is the first of these failures, last the latest.
	since time.Time
	last  time.Duration
	until time.Duration
}

func (h *health) suspect(now time.Duration) bool { return now < h.until }

// doubted reports whether runs failed lately, and none ended well since.
func (h *health) doubted(now time.Duration) bool {
	return len(h.failing) > 0 && now < h.last+awayFor
}

func (h *health) failed(id workload.JobID, now time.Duration) {
	if len(h.failing) == 0 {
		h.failing, h.since = map[workload.JobID]bool{}, time.Now()
	}
	h.failing[id] = true
	h.last = now
	if len(h.failing) >= suspectAfter {
		h.until = now + suspectFor
	}
}

// judge takes the end of a run into account that began at placed. It reports
// whether that made the worker suspect.
func (w *worker) judge(e workload.End, placed time.Time, now time.Duration) bool {
	before := w.health.suspect(now)
	switch {
	case e.Kind == workload.EndDone && placed.After(w.health.since):
		w.health.failing = nil
	case e.Kind == workload.EndFailed:
		w.health.failed(e.Run.Task.Job, now)
	}
	return !before && w.health.suspect(now)
}

// suspected tells that a worker gets no tasks with attempts to lose for a
// while.
func (t *Term) suspected(w *worker) {
	t.deps.Counters.Suspected.Add(1)
	t.deps.Log.Warn().Str("worker", string(w.id)).Str("instance", w.agent).Int("jobs", len(w.health.failing)).Msg("worker fails what it starts")
}

// turnedAway notes that the worker turned a start away.
func (w *worker) turnedAway(now time.Duration) {
	w.health.until = max(w.health.until, now+suspectFor/2)
}

// shunSuspects keeps tasks off the candidates that are suspect, if they are
// few enough.
func (v *view) shunSuspects() {
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

// staysAway reports whether a task that failed on candidate avoid at failedAt
// must not run there: nothing shows that the worker does better now, and there
// are others that could take it, if not at once.
func (v *view) staysAway(s *workload.Step, avoid int, failedAt time.Duration) bool {
	if avoid < 0 || s.Lasting || v.now >= failedAt+awayFor || !v.workers[avoid].health.doubted(v.now) {
		return false
	}
	for i, w := range v.workers {
		if i != avoid && w.takes(v.service) && !w.health.doubted(v.now) && placement.CouldTake(s, &v.candidates[i]) {
			return true
		}
	}
	return false
}
