package scheduler

import (
	"slices"
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

const (
	// drainsMaxAge is the age up to which known drains may be used for
	// placements.
	drainsMaxAge = 2500 * time.Millisecond
	// evacuateEvery is the time between two checks for tasks to evacuate.
	evacuateEvery = 400 * time.Millisecond
	// settledAfter is the time after a lasting task's placement from which the
	// task counts as running.
	settledAfter = 3 * time.Second
	// reportedWithin is the age of an agent's last answer up to which its runs
	// count as running.
	reportedWithin = 2 * time.Second
)

// updateDrains reads which data centres are drained. If that has changed, it
// notifies the agents concerned and returns true, as a plan is needed.
//
// Guards against: an entry places tasks in a drained data centre. It does not
// know of the drain if it has just taken over, or its connection to the store
// is partly lost. So nothing is placed while the known drains are too old.
// Agents in a drained data centre also refuse to start runs placed earlier.
func (t *Term) updateDrains() bool {
	drains, age := t.deps.Drains()
	if drainsStale := age > drainsMaxAge; drainsStale != t.drainsStale {
		t.drainsStale = drainsStale
		message := "placing resumed"
		if drainsStale {
			message = "placing paused: the list of drained data centres is too old"
		}
		t.deps.Log.Warn().Dur("age", age).Msg(message)
	}
	changed := drains.Version > t.drains.Version
	if changed {
		t.drains = drains
		for _, w := range t.workers {
			t.drainWorker(w)
		}
		t.deps.Log.Info().Strs("data_centres", drains.Names()).Int("workers_left", t.schedulableWorkers()).Msg("drains in force")
	}
	return changed
}

// drainWorker sets whether w is in a drained data centre, and notifies the
// agent of a change.
func (t *Term) drainWorker(w *worker) {
	drained := t.drains.Covers(w.info.DataCentre)
	if drained == w.drained {
		return
	}
	w.drained = drained
	if w.link != nil {
		w.link.triggerClaim()
	}
}

// schedulableWorkers counts the workers on which tasks may begin.
func (t *Term) schedulableWorkers() int {
	n := 0
	for _, w := range t.workers {
		if w.alive && !w.draining() {
			n++
		}
	}
	return n
}

// countDrained publishes the work left in the drained data centres.
func (t *Term) countDrained() {
	var list []DrainedDataCentre
	for _, name := range t.drains.Names() {
		list = append(list, t.remainingIn(name))
	}
	t.deps.Counters.Drains.Store(&list)
}

func (t *Term) remainingIn(dataCentre string) DrainedDataCentre {
	d := DrainedDataCentre{DataCentre: dataCentre}
	for _, w := range t.workers {
		if w.info.DataCentre != dataCentre || !w.alive {
			continue
		}
		d.Workers++
		for r := range w.runs {
			if j := t.jobs[r.Task.Job]; j != nil && j.spec.Steps[r.Task.Step].Lasting {
				d.Lasting++
			} else {
				d.Ending++
			}
		}
	}
	return d
}

// evacuateDrained moves lasting tasks out of drained data centres, if another
// worker has capacity for them. Gangs and tasks that need tickets stay. So do
// tasks that end by themselves: a stop and a restore cost more time than most
// have left, and staying costs nothing.
func (t *Term) evacuateDrained() bool {
	now := t.deps.Now()
	if !t.loaded || t.drainsStale || len(t.drains.DataCentres) == 0 || now-t.lastEvacuation < evacuateEvery {
		return false
	}
	t.lastEvacuation = now
	v := t.newView()
	moved := false
	for _, j := range t.active {
		if j.state.Final() || j.queue.Advised {
			continue
		}
		for _, o := range j.occurrences {
			for si, s := range o.steps {
				if s.spec.Lasting && !s.spec.Gang {
					moved = t.evacuateStep(v, j, o, si) || moved
				}
			}
		}
	}
	return moved
}

// evacuateStep moves tasks of one step, at most max(1, MayMiss) at a time.
func (t *Term) evacuateStep(v *view, j *job, o *occurrence, si int) bool {
	s := o.steps[si]
	if !slices.ContainsFunc(s.tasks, func(k task) bool { return t.onDrained(&k) }) {
		return false
	}
	v.setService(j.queue.Service)
	v.countStep(s)
	if s.spec.TailTarget > 0 {
		t.setMix(v, s.spec)
	}
	left := max(1, s.spec.MayMiss) - t.unsettled(s)
	moved := false
	for i := range s.tasks {
		k := &s.tasks[i]
		if left <= 0 {
			break
		}
		if !t.onDrained(k) || !t.settled(k) {
			continue
		}
		to := placement.Choose(placement.Request{Step: s.spec, Avoid: -1}, v.candidates)
		if to < 0 {
			break
		}
		id := workload.TaskID{Job: j.spec.ID, Occurrence: o.number, Step: si, Index: i}
		t.deps.Counters.Drained.Add(1)
		t.moveTo(v, taskRef{id: id, job: j, step: s, task: k}, to, "drain")
		v.reserve(to, s.spec)
		left--
		moved = true
	}
	return moved
}

// onDrained reports whether a task is placed in a drained data centre and has
// not been stopped.
func (t *Term) onDrained(k *task) bool {
	w := t.workers[k.worker]
	return k.state == taskPlaced && !k.stopping && w != nil && w.drained
}

func (t *Term) unsettled(s *step) int {
	n := 0
	for i := range s.tasks {
		if !t.settled(&s.tasks[i]) {
			n++
		}
	}
	return n
}

// settled reports whether a lasting task is known to be running: it was placed
// some time ago, and its agent has answered lately.
func (t *Term) settled(k *task) bool {
	w := t.workers[k.worker]
	return k.state == taskPlaced && k.ordered && !k.stopping && time.Since(k.placedAt) >= settledAfter &&
		w != nil && w.alive && w.link != nil && t.deps.Now()-w.link.lastContact <= reportedWithin
}
