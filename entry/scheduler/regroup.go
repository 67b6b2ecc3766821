package scheduler

import (
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/structs/workload"
)

const (
	// regroupEvery is the time between two checks of the mix of serving images.
	regroupEvery = 400 * time.Millisecond
	// regroupAfter is the least time for which all tasks of a serving step stay
	// where they are before one of them is moved.
	regroupAfter = 5 * time.Second
	// regroupAtOnce bounds the serving tasks that are moving at the same time,
	// per scaleUnit workers.
	regroupAtOnce = 4
	// pinFor is the time for which a moved task waits for its new worker alone: the
	// stop of the old run takes up to a second, and the placement needs a
	// transaction.
	pinFor = 4 * time.Second
)

// scaleUnit is the number of workers in a fleet for which moving one serving task
// and a few filling tasks per check keeps up with learning. If one bound held
// for a fleet of any size, serving tasks of a larger fleet would stay longer
// beside work that presses on them.
const scaleUnit = 20

// fleetScale is the number of scaleUnits in n workers, rounded up, at least 1.
func fleetScale(n int) int { return max(1, (n+scaleUnit-1)/scaleUnit) }

// taskRef is a task with its job and step.
type taskRef struct {
	id   workload.TaskID
	job  *job
	step *step
	task *task
}

// regroup moves serving tasks so that images on which different filling images
// press don't share a worker. The caller holds mu.
func (t *Term) regroup() bool {
	now := t.deps.Now()
	if !t.loaded || now-t.lastRegroup < regroupEvery {
		return false
	}
	t.lastRegroup = now
	t.regroupRounds++
	v := t.newView()
	tasks, found, moving := t.servingTasks(v)
	for i, r := range found {
		tasks[i].Barred = v.barredFor(r.job, r.step, r.task)
	}
	share := fleetScale(len(v.workers))
	if moving >= regroupAtOnce*share || len(tasks) == 0 {
		return false
	}
	free := make([]workload.Resources, len(v.workers))
	for i, w := range v.workers {
		free[i] = w.info.Capacity.Sub(w.used).Sub(w.heldForOthers(workload.TaskID{}))
	}
	moves := pressure.Regroup(tasks, free, t.difference, t.regroupRounds, share)
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

// servingTasks lists the placed serving tasks, without their Barred, and counts the
// tasks for which capacity is held. tasks and found have the same order.
func (t *Term) servingTasks(v *view) (tasks []pressure.Task, found []taskRef, moving int) {
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
				moving++
			}
			w := v.index(k.worker)
			if k.state != taskPlaced || w < 0 {
				return
			}
			if _, ok := steps[s]; !ok {
				steps[s] = len(steps)
			}
			tasks = append(tasks, pressure.Task{
				Image: s.spec.Image, Step: steps[s], Worker: w, Need: s.spec.Need, Fixed: !t.mayMove(j, s, k, now),
			})
			found = append(found, taskRef{id: id, job: j, step: s, task: k})
		})
	}
	return tasks, found, moving
}

// mayMove reports whether a task may be stopped for a move: it was not moved
// too often, and all tasks of its step were placed at least restAfterMove ago.
// Gangs and tasks that need tickets are not moved, nor tasks of steps that
// bound their missing tasks: other tasks may be missing for reasons that the
// scheduler does not see yet.
func (t *Term) mayMove(j *job, s *step, k *task, now time.Time) bool {
	if !k.ordered || k.stopping || k.moves >= relocatePerTask || now.Sub(k.placedAt) < t.restAfterMove() || j.queue.Advised || s.spec.Gang ||
		s.spec.MayMiss > 0 {
		return false
	}
	for i := range s.tasks {
		other := &s.tasks[i]
		if other != k && (other.state != taskPlaced || other.stopping || now.Sub(other.placedAt) < t.restAfterMove()) {
			return false
		}
	}
	return true
}

// restAfterMove is the least time for which all tasks of a serving step stay where
// they are before one of them is moved.
func (t *Term) restAfterMove() time.Duration {
	if t.cfg.Policies.Layout.Enabled {
		return layoutAfter
	}
	return regroupAfter
}

// barredFor returns the workers that may not take a task even if it fits there.
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
		if full || w.draining() || w.agentStopping() || w.quarantine != nil || w.info.Service != j.queue.Service || !w.info.HasLabel(s.spec.Label) || w.health.suspect(v.now) {
			barred[i] = true
		}
	}
	return barred
}

// moveTo stops a task and holds capacity for it at another worker.
func (t *Term) moveTo(v *view, m taskRef, to int, msg string) {
	w := v.workers[to]
	m.task.moves++
	w.hold(m, time.Now())
	m.task.moving = true
	t.deps.Log.Info().Stringer("run", workload.RunID{Task: m.id, Run: m.task.run}).Str("from", string(m.task.worker)).
		Str("room", string(w.id)).Str("image", m.step.spec.Image).Msg(msg)
	t.stop(m.id, m.task)
}
