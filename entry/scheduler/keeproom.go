package scheduler

import (
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

// keepRoom keeps room for a lasting task that has lost its run and fits nowhere:
// what ends by itself there makes way, and nothing else takes its place. Short
// tasks would take each bit of room as it becomes free.
func (t *Term) keepRoom(v *view, j *job, o *occurrence, si, i int, now time.Time) {
	s := o.steps[si]
	k := &s.tasks[i]
	if !s.spec.Lasting || s.spec.Gang || s.spec.Fills || k.run == 0 {
		return
	}
	n := v.soonestFree(s.spec, now)
	if n < 0 {
		return
	}
	w := v.workers[n]
	id := workload.TaskID{Job: j.spec.ID, Occurrence: o.number, Step: si, Index: i}
	k.pin, k.pinUntil = w.id, now.Add(pinFor)
	w.kept[id] = keptRoom{need: s.spec.Reserved(), until: k.pinUntil}
	v.candidates[n].Free = v.candidates[n].Free.Sub(s.spec.Reserved())
	t.deps.Log.Info().Stringer("run", workload.RunID{Task: id, Run: k.run}).Str("room", string(w.id)).Msg("room kept")
}

// soonestFree returns the candidate with the most free CPU among those that have
// room for a task of the step beside what lasts there, or -1.
func (v *view) soonestFree(s *workload.Step, now time.Time) int {
	best := -1
	for i := range v.candidates {
		c := &v.candidates[i]
		if c.Barred || !placement.CouldTake(s, c) || !v.workers[i].makesWay(s, now) {
			continue
		}
		if best < 0 || c.Free.CPU > v.candidates[best].Free.CPU {
			best = i
		}
	}
	return best
}

// makesWay reports whether the worker has room for a task of the step once all
// that ends by itself has ended there, keeps none for others, and is reached.
func (w *worker) makesWay(s *workload.Step, now time.Time) bool {
	reached := w.link != nil && !w.link.silent
	kept := w.keptFor(workload.TaskID{}, now) != (workload.Resources{})
	return reached && !kept && s.Reserved().Fits(w.info.Capacity.Sub(w.lasting))
}
