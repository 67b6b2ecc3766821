package scheduler

import (
	"slices"
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

const (
	// drainsFresh is the age up to which the drained data centres are known
	// well enough to place by.
	drainsFresh = 2500 * time.Millisecond
	// leaveEvery is the time between two looks at what is left there.
	leaveEvery = 400 * time.Millisecond
	// settledAfter is how long after its placement a lasting task is taken to
	// be at work.
	settledAfter = 3 * time.Second
	// heardWithin is how long ago an agent must have told of its runs for them
	// to count as being at work.
	heardWithin = 2 * time.Second
)

// followDrains takes what is known of the drained data centres and tells the
// agents there. It reports whether a plan is needed.
//
// Failure guarded against: an entry whose way to the store is partly lost, or
// that has just taken over, does not know of a drain and goes on placing. So
// nothing is placed by knowledge that is too old, and the agents there, which
// have the last word on what starts, refuse what was placed before.
func (t *Term) followDrains() bool {
	drains, age := t.deps.Drains()
	if blind := age > drainsFresh; blind != t.blind {
		t.blind = blind
		message := "placing goes on"
		if blind {
			message = "placing pauses: which data centres are drained is not known"
		}
		t.deps.Log.Warn().Dur("age", age).Msg(message)
	}
	changed := drains.Version > t.drains.Version
	if changed {
		t.drains = drains
		for _, w := range t.workers {
			t.drainWorker(w)
		}
		t.deps.Log.Info().Strs("data_centres", drains.Names()).Int("workers_left", t.openWorkers()).Msg("drains in force")
	}
	return changed
}

// drainWorker sets whether w is in a drained data centre.
func (t *Term) drainWorker(w *worker) {
	drained := t.drains.Covers(w.info.DataCentre)
	if drained == w.drained {
		return
	}
	w.drained = drained
	if w.link != nil {
		w.link.nudge()
	}
}

// openWorkers counts the workers on which tasks may begin.
func (t *Term) openWorkers() int {
	n := 0
	for _, w := range t.workers {
		if w.alive && !w.leaving() {
			n++
		}
	}
	return n
}

// countDrained shows what is left in the drained data centres.
func (t *Term) countDrained() {
	var list []DrainedDataCentre
	for _, name := range t.drains.Names() {
		list = append(list, t.leftIn(name))
	}
	t.deps.Counters.Drains.Store(&list)
}

func (t *Term) leftIn(dataCentre string) DrainedDataCentre {
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

// leaveDrained moves lasting tasks out of drained data centres, where another
// worker has room for them. Tasks that end by themselves stay: a stop and a
// restore cost them more time than most have left, and nothing is taken from
// them where they are.
func (t *Term) leaveDrained() bool {
	now := t.deps.Now()
	if !t.loaded || t.blind || len(t.drains.DataCentres) == 0 || now-t.leaving < leaveEvery {
		return false
	}
	t.leaving = now
	v := t.newView()
	moved := false
	for _, j := range t.active {
		if j.state.Final() || j.queue.Advised {
			continue
		}
		for _, o := range j.occurrences {
			for si, s := range o.steps {
				if s.spec.Lasting && !s.spec.Gang {
					moved = t.leaveStep(v, j, o, si) || moved
				}
			}
		}
	}
	return moved
}

// leaveStep moves tasks of one step, as many at a time as may be away.
func (t *Term) leaveStep(v *view, j *job, o *occurrence, si int) bool {
	s := o.steps[si]
	if !slices.ContainsFunc(s.tasks, func(k task) bool { return t.onDrained(&k) }) {
		return false
	}
	v.serve(j.queue.Service)
	v.countStep(s)
	if s.spec.TailTarget > 0 {
		t.mix(v, s.spec)
	}
	left := max(1, s.spec.MayMiss) - t.away(s)
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
		t.moveTo(v, movable{id: id, task: k, step: s}, to, "drain")
		v.take(to, s.spec)
		left--
		moved = true
	}
	return moved
}

// onDrained reports whether a task runs in a drained data centre.
func (t *Term) onDrained(k *task) bool {
	w := t.workers[k.worker]
	return k.state == taskPlaced && !k.stopping && w != nil && w.drained
}

// away counts the tasks of a lasting step that are not known to be at work.
func (t *Term) away(s *step) int {
	n := 0
	for i := range s.tasks {
		if !t.settled(&s.tasks[i]) {
			n++
		}
	}
	return n
}

// settled reports whether a lasting task is known to be at work: it has begun
// some time ago, and its agent has told of it lately.
func (t *Term) settled(k *task) bool {
	w := t.workers[k.worker]
	return k.state == taskPlaced && k.ordered && !k.stopping && time.Since(k.placedAt) >= settledAfter &&
		w != nil && w.alive && w.link != nil && t.deps.Now()-w.link.heard <= heardWithin
}
