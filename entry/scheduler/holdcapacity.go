package scheduler

import (
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

// holdCapacity holds capacity on one worker for a lasting task that has run
// before and fits nowhere now. Tasks there that end by themselves free the
// capacity. Without the hold, new short tasks would use up the freed capacity.
func (t *Term) holdCapacity(v *view, j *job, o *occurrence, si, i int, now time.Time) {
	s := o.steps[si]
	k := &s.tasks[i]
	if !s.spec.Lasting || s.spec.Gang || s.spec.Fills || k.run == 0 {
		return
	}
	n := v.bestToHold(s.spec, now)
	if n < 0 {
		return
	}
	w := v.workers[n]
	id := workload.TaskID{Job: j.spec.ID, Occurrence: o.number, Step: si, Index: i}
	k.pin, k.pinUntil = w.id, now.Add(pinFor)
	w.held[id] = heldCapacity{need: s.spec.Reserved(), until: k.pinUntil}
	v.candidates[n].Free = v.candidates[n].Free.Sub(s.spec.Reserved())
	t.deps.Log.Info().Stringer("run", workload.RunID{Task: id, Run: k.run}).Str("room", string(w.id)).Msg("capacity held for the task's next placement")
}

// bestToHold returns the candidate with the most free CPU among those that have
// capacity for a task of the step beside their lasting tasks, or -1.
func (v *view) bestToHold(s *workload.Step, now time.Time) int {
	best := -1
	for i := range v.candidates {
		c := &v.candidates[i]
		if c.Barred || !placement.CouldTake(s, c) || !v.workers[i].fitsBesideLasting(s, now) {
			continue
		}
		if best < 0 || c.Free.CPU > v.candidates[best].Free.CPU {
			best = i
		}
	}
	return best
}

// fitsBesideLasting reports whether the worker's agent is responsive, and the
// worker holds no capacity for other tasks and has capacity for a task of the
// step once all tasks that end by themselves have ended.
func (w *worker) fitsBesideLasting(s *workload.Step, now time.Time) bool {
	responsive := w.link != nil && !w.link.unresponsive
	kept := w.heldForOthers(workload.TaskID{}, now) != (workload.Resources{})
	return responsive && !kept && s.Reserved().Fits(w.info.Capacity.Sub(w.lasting))
}
