package scheduler

import (
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

// holdCapacity holds capacity on one worker for a lasting task that has run
// before and fits nowhere now. Tasks there that end by themselves free the
// capacity. Without the hold, new short tasks would use up the freed capacity.
// It returns false if no worker could hold capacity for a task of the step.
func (t *Term) holdCapacity(v *view, j *job, o *occurrence, si, i int, now time.Time) bool {
	s := o.steps[si]
	k := &s.tasks[i]
	if !s.spec.Lasting || s.spec.Gang || s.spec.Fills {
		return false
	}
	if k.run == 0 || k.pin != "" && now.Before(k.pinUntil) {
		return true
	}
	id := workload.TaskID{Job: j.spec.ID, Occurrence: o.number, Step: si, Index: i}
	before := k.pin
	v.unpin(id, k)
	n, refused := v.bestToHold(s.spec)
	if n < 0 {
		if now.Sub(s.refusalsLogged) >= refusalsEvery {
			s.refusalsLogged = now
			t.deps.Log.Info().Stringer("run", workload.RunID{Task: id, Run: k.run}).Int("need_cpu", s.spec.Reserved().CPU).Int("workers", len(v.workers)).EmbedObject(refused).
				Msg("no worker can hold capacity for a lasting task")
		}
		return false
	}
	w := v.workers[n]
	w.hold(taskRef{id: id, job: j, step: s, task: k}, now)
	v.candidates[n].Free = v.candidates[n].Free.Sub(s.spec.Reserved())
	v.candidates[n].Held = v.candidates[n].Held.Add(s.spec.Reserved())
	if w.id != before {
		t.deps.Log.Info().Stringer("run", workload.RunID{Task: id, Run: k.run}).Str("room", string(w.id)).Msg("capacity held for the task's next placement")
	}
	return true
}

// hold holds capacity on w for the next run of a task.
func (w *worker) hold(r taskRef, now time.Time) {
	r.task.pin, r.task.pinUntil, r.task.moving = w.id, now.Add(pinFor), false
	h := heldCapacity{need: r.step.spec.Reserved(), job: r.job, task: r.task}
	if r.step.spec.Fills {
		h.fill = r.step.spec.Need.CPU
	}
	w.held[r.id] = h
}

// unpin releases the capacity that is held for a task, if any.
func (v *view) unpin(id workload.TaskID, k *task) {
	if n := v.index(k.pin); n >= 0 {
		if h, ok := v.workers[n].held[id]; ok {
			delete(v.workers[n].held, id)
			v.candidates[n].Free = v.candidates[n].Free.Add(h.need)
			v.candidates[n].Held = v.candidates[n].Held.Sub(h.need)
			if h.fill > 0 && h.holdsFill(time.Now()) {
				v.candidates[n].FillLoad -= h.fill
			}
		}
	}
	k.pin = ""
}

// placePinned places the waiting tasks of a step for which capacity is held, if
// that capacity is free. They depend on no other task of the step.
func (t *Term) placePinned(v *view, j *job, o *occurrence, si int, now time.Time) {
	s := o.steps[si]
	for i := range s.tasks {
		k := &s.tasks[i]
		if k.pin == "" || !k.mayStart(now) {
			continue
		}
		id := workload.TaskID{Job: j.spec.ID, Occurrence: o.number, Step: si, Index: i}
		n := v.index(k.pin)
		if n < 0 || v.barsPinned(n, s.spec) || s.spec.Spread > 0 && v.candidates[n].OfStep >= s.spec.Spread {
			v.unpin(id, k)
			continue
		}
		w := v.workers[n]
		if s.spec.Reserved().Fits(w.info.Capacity.Sub(w.used).Sub(w.heldForOthers(id))) {
			t.place(v, j, o, si, i, n, k.run+1)
		}
	}
}

// refusalsEvery is the least time between two log lines about one step for whose
// task no worker can hold capacity.
const refusalsEvery = 500 * time.Millisecond

// holdRefusals counts the workers that can't hold capacity for a task, each by
// the first reason that applies.
type holdRefusals struct {
	// barred workers accept no tasks of the service; unsuitable ones are too small,
	// lack the step's label, or have enough of its tasks; unresponsive ones have an
	// agent that does not answer; held ones hold capacity for other tasks; full
	// ones have too much capacity reserved by lasting tasks.
	barred, unsuitable, unresponsive, held, full int
	// left is the CPU that lasting tasks leave on the full workers, leftOnOne the most
	// on one of them.
	left, leftOnOne int
}

func (r *holdRefusals) addFull(w *worker) {
	left := w.info.Capacity.CPU - w.lasting.CPU
	r.full++
	r.left += left
	r.leftOnOne = max(r.leftOnOne, left)
}

// MarshalZerologObject adds the counts to a log line.
func (r holdRefusals) MarshalZerologObject(e *zerolog.Event) {
	e.Int("barred", r.barred).Int("unsuitable", r.unsuitable).Int("unresponsive", r.unresponsive).Int("held", r.held).Int("full", r.full).
		Int("left_cpu", r.left).Int("left_on_one_cpu", r.leftOnOne)
}

// bestToHold returns the candidate with the most free CPU among those that have
// capacity for a task of the step beside their lasting tasks, or -1 and why there
// is none.
func (v *view) bestToHold(s *workload.Step) (int, holdRefusals) {
	best := -1
	var refused holdRefusals
	for i := range v.candidates {
		c, w := &v.candidates[i], v.workers[i]
		switch {
		case c.Barred:
			refused.barred++
		case !placement.CouldTake(s, c):
			refused.unsuitable++
		case w.link == nil || w.link.unresponsive:
			refused.unresponsive++
		case w.heldForOthers(workload.TaskID{}) != (workload.Resources{}):
			refused.held++
		case !s.Reserved().Fits(w.info.Capacity.Sub(w.lasting)):
			refused.addFull(w)
		case best < 0 || c.Free.CPU > v.candidates[best].Free.CPU:
			best = i
		}
	}
	return best, refused
}
