package scheduler

import (
	"slices"
	"time"

	"persimmonrock.example/decide/order"
	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

// plan places waiting tasks where capacity is free: in the order of the jobs'
// priority, and within a priority first for jobs that can still end in time. A
// task that fits nowhere delays the rest of its step, but not later steps. The
// caller holds mu.
func (t *Term) plan() {
	if !t.loaded || len(t.workers) == 0 {
		return
	}
	t.refresh()
	t.updateDrains()
	if t.drainsStale {
		return
	}
	t.endQuarantines(time.Now())
	t.firstForecast()
	v := t.newView()
	t.judgeFleet(v)
	t.learner.trials.scan(v.workers, t.learner.weights(), v.now)
	if t.cfg.Policies.Aging.Enabled {
		t.planTurns(v)
	} else {
		t.planInOrder(v)
	}
	t.logReturned(v)
	t.relocate(v)
	t.rebalance(v)
}

// planInOrder plans the active jobs one after the other.
func (t *Term) planInOrder(v *view) {
	for _, j := range t.active {
		if !j.state.Final() {
			t.planJob(v, j)
		}
	}
}

// refresh updates the list of active jobs, their queues and their order.
func (t *Term) refresh() {
	kept := t.active[:0]
	for _, j := range t.active {
		if !j.stored.Final() {
			kept = append(kept, j)
		}
	}
	t.active = kept
	if c := t.deps.Config(); c != nil && c.Version != t.queuesVersion {
		t.queuesVersion = c.Version
		t.queues = make(map[string]workload.Queue, len(c.Queues))
		for _, q := range c.Queues {
			t.queues[q.Name] = q
		}
	}
	for _, j := range t.active {
		if q, ok := t.queues[j.spec.Queue.Name]; ok {
			j.queue = q
		}
	}
	now := time.Duration(t.storeNow()) * time.Millisecond
	for _, j := range t.active {
		j.key = t.rank(j, now)
	}
	slices.SortStableFunc(t.active, func(a, b *job) int { return a.key.Compare(b.key) })
}

func (t *Term) planJob(v *view, j *job) {
	v.setService(j.queue.Service)
	if j.deferred(v, time.Now()) {
		return
	}
	for _, o := range j.occurrences {
		for si, s := range o.steps {
			if s.waiting == 0 || !o.ready(si) {
				continue
			}
			lift := func() {}
			if j.queue.Advised {
				lift = t.barUnpermitted(v, j, o, si)
			}
			t.planReadyStep(v, j, o, si)
			t.logPlaced(v, j, o, si)
			lift()
		}
	}
}

// planReadyStep places the waiting tasks of a step that is ready.
func (t *Term) planReadyStep(v *view, j *job, o *occurrence, si int) {
	now := time.Now()
	s := o.steps[si]
	suspects := s.awaitsQuarantine(now)
	if s.spec.Gang {
		// A gang is placed whole. With suspect tasks it waits for a quarantine,
		// unless no worker fits it.
		if s.pausedByCrashes(now) {
			return
		}
		if !suspects || !t.planQuarantine(v, j, o, si, now) {
			t.planGang(v, j, o, si)
		}
		return
	}
	t.planStep(v, j, o, si)
	t.placePaced(v, j, o, si)
	if suspects {
		t.planQuarantine(v, j, o, si, now)
	}
}

func (t *Term) planStep(v *view, j *job, o *occurrence, si int) {
	s := o.steps[si]
	v.countStep(s)
	switch {
	case s.spec.Fills:
		t.setPressure(v, s.spec)
		defer v.liftBars()
		if !t.waitExpired(v, j) {
			v.barPressed(s.spec)
		}
	case s.spec.TailTarget > 0 && t.cfg.Policies.Layout.Enabled:
		t.setLayoutMix(v, j.queue.Service, s)
	case s.spec.TailTarget > 0:
		t.setMix(v, s.spec)
	}
	now := time.Now()
	defer t.diagnose(v, o, j, si, now)
	t.placeReturning(v, j, o, si, now)
	t.placePinned(v, j, o, si, now)
	// full says that the step fits nowhere; its further tasks can only hold capacity.
	full := false
	for i := range s.tasks {
		k := &s.tasks[i]
		if !k.mayStart(now) || k.waitsForMove(now) {
			continue
		}
		if t.turnOver(s.spec, v.now) {
			return
		}
		n := -1
		if !full {
			var taskOnly bool
			n, taskOnly = t.chooseWorker(v, j, s, k, now)
			full = n < 0 && !taskOnly
		}
		if n < 0 {
			if held := t.holdCapacity(v, j, o, si, i, now); full && !held {
				return
			}
			continue
		}
		t.place(v, j, o, si, i, n, k.run+1)
		switch {
		case s.spec.Fills:
			t.updatePressure(v, j, s.spec, n)
		case s.spec.TailTarget > 0:
			v.candidates[n].SameImage = true
			if x := v.mixers[j.queue.Service]; x != nil {
				x.join(v.workers[n], s.spec.Image)
			}
		}
	}
}

// chooseWorker returns the candidate on which a task of the step is to be placed, or
// -1. If it is -1 and taskOnly is set, other tasks of the step may fit.
func (t *Term) chooseWorker(v *view, j *job, s *step, k *task, now time.Time) (n int, taskOnly bool) {
	avoid := v.index(k.avoid)
	excluded := v.mustAvoid(s.spec, avoid, k.failedAt)
	apart := k.prime || k.crashes > 0 && j.lasts()
	if apart {
		defer t.barOtherSuspects(v, j, now)()
	}
	n = placement.Choose(placement.Request{Step: s.spec, Avoid: avoid, ExcludeAvoid: excluded, Rack: v.rackOfStep(s)}, v.candidates)
	return n, excluded || apart
}

// mayStart reports whether a task waits and may be placed now, outside a
// quarantine.
func (k *task) mayStart(now time.Time) bool {
	return k.state == taskWaiting && !k.contained() && !k.notBefore.After(now) && !k.awaitsQuarantine(now)
}

// waitsForMove reports whether the task waits for the worker to which it is moved.
func (k *task) waitsForMove(now time.Time) bool {
	return k.moving && k.pin != "" && now.Before(k.pinUntil)
}

const (
	// waitLimit is the time after the deadline of an overdue job (order.Key.By)
	// for which the job still waits for a worker on which it does not press. Then
	// it takes any free capacity, so that no job waits forever.
	waitLimit = 30 * time.Second
	// idleWaitLimit bounds this wait for any job without a placed task while most
	// of the service's capacity is free. Otherwise the client would see the job
	// stand still beside idle workers.
	idleWaitLimit = 2 * time.Second
	// mostlyFree is the used share below which a service's CPU is mostly free.
	mostlyFree = 0.52
)

// waitExpired reports whether a job no longer waits for a worker on which it
// does not press.
func (t *Term) waitExpired(v *view, j *job) bool {
	if t.aging.lifted {
		return true
	}
	now := time.Duration(t.storeNow()) * time.Millisecond
	if j.key.Class == order.Overdue && now > j.key.By+waitLimit {
		return true
	}
	return v.usedShare() < mostlyFree && j.idleFor(time.Now()) > idleWaitLimit
}

// idleFor is the time for which no task of the job has been placed, counted
// from the first call that finds none.
func (j *job) idleFor(now time.Time) time.Duration {
	idle := true
	j.each(func(_ workload.TaskID, _ *step, k *task) {
		idle = idle && k.state != taskPlaced
	})
	switch {
	case !idle:
		j.idleSince = time.Time{}
		return 0
	case j.idleSince.IsZero():
		j.idleSince = now
	}
	return now.Sub(j.idleSince)
}

// planGang places all tasks of a gang with one run number, or none of them.
func (t *Term) planGang(v *view, j *job, o *occurrence, si int) {
	s := o.steps[si]
	if s.waiting < len(s.tasks)-s.done {
		return
	}
	v.countStep(s)
	saved := append([]placement.Candidate(nil), v.candidates...)
	var chosen []int
	for range s.tasks {
		n := placement.Choose(placement.Request{Step: s.spec, Avoid: -1, Rack: v.rackOfChosen(chosen)}, v.candidates)
		if n < 0 {
			t.diagnose(v, o, j, si, time.Now())
			v.candidates = saved
			return
		}
		v.reserve(n, s.spec)
		chosen = append(chosen, n)
	}
	v.candidates = saved
	run, checkpoint := s.nextGangRun()
	for i, n := range chosen {
		s.tasks[i].checkpoint = checkpoint
		t.place(v, j, o, si, i, n, run)
	}
}

// nextGangRun returns the number of a gang's next run, and the checkpoint from
// which all members begin.
func (s *step) nextGangRun() (run int, checkpoint string) {
	for i := range s.tasks {
		run = max(run, s.tasks[i].run)
		if s.tasks[i].checkpoint != "" {
			checkpoint = s.tasks[i].checkpoint
		}
	}
	return run + 1, checkpoint
}

// place records the next run of a task at candidate n. The agent is sent the
// order once the record is stored.
func (t *Term) place(v *view, j *job, o *occurrence, si, i, n, run int) {
	s := o.steps[si]
	k := &s.tasks[i]
	w := v.workers[n]
	id := workload.TaskID{Job: j.spec.ID, Occurrence: o.number, Step: si, Index: i}
	v.unpin(id, k)
	k.state = taskPlaced
	k.run = run
	k.agent, k.worker = w.agent, w.id
	k.placedAt, k.fromEarlierTerm = time.Now(), false
	if t.forecaster != nil {
		k.placedStore = t.storeNow()
	}
	k.ordered, k.stopping = false, false
	k.presentAt = 0
	k.startPace = 0
	k.ticket = ""
	if s.advice != nil {
		k.ticket, _ = s.advice.ticket(w.id, k.placedAt)
	}
	s.waiting--
	w.add(workload.RunID{Task: id, Run: run}, s.spec)
	v.reserve(n, s.spec)
	t.countTurn(j, si, v.now)
	if j.state == workload.Queued {
		j.state = workload.Running
	}
	if !j.started {
		j.started = true
		t.deps.Counters.FirstStart.Observe(time.Duration(t.storeNow()-j.spec.Accepted) * time.Millisecond)
	}
	t.markDirty(j)
	t.deps.Counters.Placements.Add(1)
	v.placed.add(i, run, w.id, v.candidates[n].Free.CPU)
}
