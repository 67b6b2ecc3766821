package scheduler

import (
	"time"

	"persimmonrock.example/structs/workload"
)

// A worker may stall its tasks, or run them at a sixth of its speed, and still
// look healthy. Its agent reports runs that progress far slower than estimated.
// Other runs show whether the estimate is wrong or the worker is slow.

// maxRescues bounds how often one task is moved off a slow worker.
const maxRescues = 2

// comparableEstimate is the estimate of a step, or 0 for lasting steps, gangs,
// and filling work, whose pace says nothing about its worker.
func comparableEstimate(s *workload.Step) time.Duration {
	if s.Lasting || s.Fills || s.Gang {
		return 0
	}
	return s.Estimate
}

// handleSlowRun records that a run is reported as slow. If the worker seems to
// be the cause, handleSlowRun stops all slow runs there whose tasks may still
// be rescued. It reports whether it stopped any.
func (t *Term) handleSlowRun(w *worker, s *step, k *task, r workload.RunID) bool {
	if k.slow || k.stopping {
		return false
	}
	k.slow = true
	if !t.workerIsSlow(w, s, r) {
		return false
	}
	w.slowUntil = t.deps.Now() + suspectFor
	rescued := false
	for run := range w.runs {
		if k := t.slowRun(run); k != nil && !k.stopping && k.rescues < maxRescues {
			t.rescue(w, k, run)
			rescued = true
		}
	}
	return rescued
}

// rescue stops a run, so that its task starts elsewhere.
func (t *Term) rescue(w *worker, k *task, r workload.RunID) {
	t.deps.Counters.Rescued.Add(1)
	t.deps.Log.Info().Stringer("run", r).Str("worker", string(w.id)).Int("rescues", k.rescues).Msg("run too slow; its task starts elsewhere")
	k.rescues++
	k.avoid = w.id
	t.stop(r.Task, k)
}

// slowRun returns the task of a run on record if the run is reported as slow.
func (t *Term) slowRun(r workload.RunID) *task {
	j := t.jobs[r.Task.Job]
	if j == nil {
		return nil
	}
	if _, k := j.find(r.Task); k != nil && k.state == taskPlaced && k.run == r.Run && k.slow {
		return k
	}
	return nil
}

// workerIsSlow reports whether the worker seems to cause the slow run r of s:
// tasks of s are done already, or runs of another job on w are slow, too.
func (t *Term) workerIsSlow(w *worker, s *step, r workload.RunID) bool {
	if s.done > 0 {
		return true
	}
	for other := range w.runs {
		if other.Task.Job != r.Task.Job && t.slowRun(other) != nil {
			return true
		}
	}
	return false
}
