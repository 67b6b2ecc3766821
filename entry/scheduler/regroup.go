package scheduler

import (
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/structs/workload"
)

const (
	// regroupEvery is the time between two looks at how serving images mix.
	regroupEvery = 400 * time.Millisecond
	// regroupAfter is how long a serving task stays where it is at least, and
	// with it the others of its step.
	regroupAfter = 5 * time.Second
	// regroupAtOnce bounds the serving tasks that are on their way, for each
	// fewWorkers.
	regroupAtOnce = 4
	// pinFor is how long the room at the new place is kept: a stop takes up
	// to a second, and the next transaction.
	pinFor = 4 * time.Second
)

// fewWorkers is a number of workers for which one move of serving tasks at a
// look, and a few of filling ones, keep up with what is learnt. With a bound for
// the whole fleet its serving tasks would stay beside what presses on them the
// longer the larger it is.
const fewWorkers = 20

// shareOf is how many times fewWorkers n workers are, one at least.
func shareOf(n int) int { return max(1, (n+fewWorkers-1)/fewWorkers) }

// movable is one serving task that may be moved.
type movable struct {
	id   workload.TaskID
	task *task
	step *step
}

// regroup moves serving tasks so that images on which different filling work
// presses don't share workers. The caller holds mu.
func (t *Term) regroup() bool {
	now := t.deps.Now()
	if !t.loaded || now-t.regrouped < regroupEvery {
		return false
	}
	t.regrouped = now
	t.looks++
	v := t.newView()
	tasks, found, onTheWay := t.servingTasks(v)
	share := shareOf(len(v.workers))
	if onTheWay >= regroupAtOnce*share || len(tasks) == 0 {
		return false
	}
	free := make([]workload.Resources, len(v.workers))
	for i, w := range v.workers {
		free[i] = w.info.Capacity.Sub(w.used).Sub(w.keptFor(workload.TaskID{}, time.Now()))
	}
	moves := pressure.Regroup(tasks, free, t.difference, t.looks, share)
	for _, m := range moves {
		t.deps.Counters.Regrouped.Add(1)
		t.moveTo(v, found[m.One], m.To, "regroup")
		if m.Other >= 0 {
			t.deps.Counters.Regrouped.Add(1)
			t.moveTo(v, found[m.Other], tasks[m.One].Worker, "regroup")
		}
	}
	return len(moves) > 0
}

func (t *Term) difference(a, b string) float64 {
	d, _ := t.learner.model.Difference(a, b)
	return d
}

// servingTasks lists the serving tasks, and counts those that are on their
// way to another worker.
func (t *Term) servingTasks(v *view) (tasks []pressure.Task, found []movable, onTheWay int) {
	now := time.Now()
	steps := map[*step]int{}
	for _, j := range t.active {
		if j.state.Final() {
			continue
		}
		j.each(func(id workload.TaskID, s *step, k *task) {
			if s.spec.TailTarget == 0 {
				return
			}
			if k.pin != "" && now.Before(k.pinUntil) {
				onTheWay++
			}
			w := v.index(k.worker)
			if k.state != taskPlaced || w < 0 {
				return
			}
			if _, ok := steps[s]; !ok {
				steps[s] = len(steps)
			}
			tasks = append(tasks, pressure.Task{
				Image: s.spec.Image, Step: steps[s], Worker: w, Need: s.spec.Need, Fixed: !t.mayMove(j, s, k, now), Barred: v.barredFor(j, s, k),
			})
			found = append(found, movable{id: id, task: k, step: s})
		})
	}
	return tasks, found, onTheWay
}

// mayMove reports whether a task may be taken away for a moment: it has been
// at work for long enough, and so have the others of its step. Steps that
// bound how many may be away are left alone: others may be away for causes
// that the scheduler does not see yet.
func (t *Term) mayMove(j *job, s *step, k *task, now time.Time) bool {
	if !k.ordered || k.stopping || k.moves >= relocatePerTask || now.Sub(k.placedAt) < regroupAfter || j.queue.Advised || s.spec.Gang ||
		s.spec.MayMiss > 0 {
		return false
	}
	for i := range s.tasks {
		other := &s.tasks[i]
		if other != k && (other.state != taskPlaced || other.stopping || now.Sub(other.placedAt) < regroupAfter) {
			return false
		}
	}
	return true
}

// barredFor are the workers that may not take a task, whatever their room.
func (v *view) barredFor(j *job, s *step, k *task) map[int]bool {
	barred := map[int]bool{}
	on := map[workload.WorkerID]int{}
	for i := range s.tasks {
		if s.tasks[i].state == taskPlaced {
			on[s.tasks[i].worker]++
		}
	}
	for i, w := range v.workers {
		full := s.spec.Spread > 0 && on[w.id] >= s.spec.Spread && w.id != k.worker
		if full || w.leaving() || w.quarantine != nil || w.info.Service != j.queue.Service || !w.info.HasLabel(s.spec.Label) || w.health.suspect(v.now) {
			barred[i] = true
		}
	}
	return barred
}

// moveTo stops a task and keeps room for it at another worker; why is told in
// the log.
func (t *Term) moveTo(v *view, m movable, to int, why string) {
	w := v.workers[to]
	until := time.Now().Add(pinFor)
	m.task.pin, m.task.pinUntil = w.id, until
	m.task.moves++
	w.kept[m.id] = keptRoom{need: m.step.spec.Reserved(), until: until}
	t.deps.Log.Info().Stringer("run", workload.RunID{Task: m.id, Run: m.task.run}).Str("from", string(m.task.worker)).
		Str("room", string(w.id)).Str("image", m.step.spec.Image).Msg(why)
	t.stop(m.id, m.task)
}

// placePinned places a task that is on its way where room is kept for it. It
// returns true if the task is placed or waits for that room.
func (t *Term) placePinned(v *view, j *job, o *occurrence, si, i int, now time.Time) bool {
	s := o.steps[si]
	k := &s.tasks[i]
	if k.pin == "" {
		return false
	}
	n := v.index(k.pin)
	id := workload.TaskID{Job: j.spec.ID, Occurrence: o.number, Step: si, Index: i}
	if n < 0 || !now.Before(k.pinUntil) || v.candidates[n].Barred || s.spec.Spread > 0 && v.candidates[n].OfStep >= s.spec.Spread {
		t.unpin(k, id)
		return false
	}
	w := v.workers[n]
	if !s.spec.Reserved().Fits(w.info.Capacity.Sub(w.used).Sub(w.keptFor(id, now))) {
		return true
	}
	t.unpin(k, id)
	t.place(v, j, o, si, i, n, k.run+1)
	// The room was kept, and so was missing in the view already.
	v.candidates[n].Free = v.candidates[n].Free.Add(s.spec.Reserved())
	return true
}

func (t *Term) unpin(k *task, id workload.TaskID) {
	if w := t.workers[k.pin]; w != nil {
		delete(w.kept, id)
	}
	k.pin = ""
}
