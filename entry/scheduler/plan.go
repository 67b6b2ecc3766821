package scheduler

import (
	"slices"
	"sort"
	"time"

	"persimmonrock.example/decide/order"
	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

// plan places waiting tasks where there is room: by priority, then what can
// still end in time. A task that fits nowhere does not hold up those behind
// it. The caller holds mu.
func (t *Term) plan() {
	if !t.loaded || len(t.workers) == 0 {
		return
	}
	t.refresh()
	t.followDrains()
	if t.blind {
		return
	}
	v := t.newView()
	t.learner.trials.scan(v.workers, t.learner.weights(), v.now)
	for _, j := range t.active {
		if !j.state.Final() {
			t.planJob(v, j)
		}
	}
	t.relocate(v)
}

// view is the workers in a fixed order, as the placement sees them. It is
// kept up to date as a plan goes on.
type view struct {
	workers    []*worker
	service    string
	candidates []placement.Candidate
	now        time.Duration
	// learner tells what serving tasks leave unused.
	learner *learner
	// barred lists the candidates that are barred for the step that is planned.
	barred []int
	// pressure is worked out when the first filling step is planned.
	pressure []workerPressure
	// placed lists what was placed of the step that is planned.
	placed placements
}

func (t *Term) newView() *view {
	v := &view{now: t.deps.Now(), learner: &t.learner}
	for _, w := range t.workers {
		if w.alive {
			v.workers = append(v.workers, w)
		}
	}
	sort.Slice(v.workers, func(i, k int) bool { return v.workers[i].id < v.workers[k].id })
	return v
}

// serve prepares the candidates of a service.
func (v *view) serve(service string) {
	if v.service == service && v.candidates != nil {
		return
	}
	v.service = service
	if v.candidates == nil {
		v.candidates = make([]placement.Candidate, 0, len(v.workers))
	}
	v.candidates = v.candidates[:0]
	for _, w := range v.workers {
		c := w.candidate(service, v.now)
		c.Leftover = v.learner.leftover(w, v.now)
		v.candidates = append(v.candidates, c)
	}
	v.shunSuspects()
}

// refresh brings the list of active jobs and their queues up to date.
func (t *Term) refresh() {
	kept := t.active[:0]
	for _, j := range t.active {
		if !j.stored.Final() {
			kept = append(kept, j)
		}
	}
	t.active = kept
	if c := t.deps.Config(); c != nil && c.Version != t.queuesOf {
		t.queuesOf = c.Version
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

// objective is the time within which the client expects the job to end, by its
// own estimates; 0 for jobs that last or repeat, which have none.
func (j *job) objective() time.Duration {
	if j.spec.Steps[0].Lasting || j.spec.Repeat.Count > 0 {
		return 0
	}
	took := make([]time.Duration, len(j.spec.Steps))
	for i := range took {
		took[i] = j.spec.Steps[i].Estimate
	}
	return order.Objective(j.queue, order.Chain(j.spec.Steps, took, func(int) bool { return false }))
}

// rank is the job's place in the order now.
func (t *Term) rank(j *job, now time.Duration) order.Key {
	accepted := time.Duration(j.spec.Accepted) * time.Millisecond
	if j.spec.Steps[0].Lasting || j.spec.Repeat.Count > 0 {
		return order.Key{Priority: j.queue.Priority, By: accepted}
	}
	took := j.expected()
	whole := order.Chain(j.spec.Steps, took, func(int) bool { return false })
	left := whole
	if len(j.occurrences) > 0 {
		o := j.occurrences[0]
		left = order.Chain(j.spec.Steps, took, func(i int) bool { return o.steps[i].complete() })
	}
	key := order.Rank(j.queue, accepted, now, whole, left)
	if len(j.occurrences) > 0 {
		o := j.occurrences[0]
		key.Work = order.Work(j.spec.Steps, took, func(i int) int { return len(o.steps[i].tasks) - o.steps[i].done })
	}
	return key
}

// expected is how long the tasks of each step of the job are expected to take:
// as estimated, until some of the step's own have ended.
func (j *job) expected() []time.Duration {
	timed := j.timedTasks()
	if len(j.took) > 0 && timed == j.timed {
		return j.took
	}
	j.timed = timed
	j.took = j.took[:0]
	for i := range j.spec.Steps {
		d := j.spec.Steps[i].Estimate
		if len(j.occurrences) > 0 {
			s := j.occurrences[0].steps[i]
			d = order.Known(d, s.took, s.timed)
		}
		j.took = append(j.took, d)
	}
	return j.took
}

// timedTasks counts the tasks of the job's first occurrence of which it is
// known how long they took.
func (j *job) timedTasks() int {
	if len(j.occurrences) == 0 {
		return 0
	}
	timed := 0
	for _, s := range j.occurrences[0].steps {
		timed += s.timed
	}
	return timed
}

func (t *Term) planJob(v *view, j *job) {
	v.serve(j.queue.Service)
	for _, o := range j.occurrences {
		for si, s := range o.steps {
			if s.waiting == 0 || !o.open(si) {
				continue
			}
			lift := func() {}
			if j.queue.Advised {
				lift = t.advised(v, j, o, si)
			}
			if s.spec.Gang {
				t.planGang(v, j, o, si)
			} else {
				t.planStep(v, j, o, si)
			}
			t.logPlaced(v, j, o, si)
			lift()
		}
	}
}

func (t *Term) planStep(v *view, j *job, o *occurrence, si int) {
	s := o.steps[si]
	v.countStep(s)
	switch {
	case s.spec.Fills:
		t.press(v, s.spec)
		defer v.liftBars()
		if !t.waitedOut(v, j) {
			v.barPressed(s.spec)
		}
	case s.spec.TailTarget > 0:
		t.mix(v, s.spec)
	}
	now := time.Now()
	for i := range s.tasks {
		k := &s.tasks[i]
		if k.state != taskWaiting || k.notBefore.After(now) {
			continue
		}
		if t.placePinned(v, j, o, si, i, now) {
			continue
		}
		avoid := v.index(k.avoid)
		away := v.staysAway(s.spec, avoid, k.failedAt)
		n := placement.Choose(placement.Request{Step: s.spec, Avoid: avoid, Never: away, Rack: v.rackOfStep(s)}, v.candidates)
		switch {
		case n < 0 && away:
			continue
		case n < 0:
			return
		}
		t.place(v, j, o, si, i, n, k.run+1)
		switch {
		case s.spec.Fills:
			t.pressMore(v, j, s.spec, n)
		case s.spec.TailTarget > 0:
			v.candidates[n].SameImage = true
		}
	}
}

const (
	// patience is how long after it was of any use to its client a job still
	// waits for a worker on which it does not press. Then it goes wherever
	// there is room, so that no job waits for ever.
	patience = 30 * time.Second
	// idlePatience is the same for a job of which nothing runs while most of
	// the service's room is free: its client sees a job that stands still
	// beside idle workers.
	idlePatience = 2 * time.Second
	// mostlyFree is the part of a service's counted CPU below which that
	// holds.
	mostlyFree = 0.52
)

// waitedOut reports whether a job no longer waits for a worker on which it
// does not press.
func (t *Term) waitedOut(v *view, j *job) bool {
	now := time.Duration(t.storeNow()) * time.Millisecond
	if j.key.Class == order.Overdue && now > j.key.By+patience {
		return true
	}
	return v.busy() < mostlyFree && j.idleFor(time.Now()) > idlePatience
}

// busy is the part of the candidates' CPU that is counted as taken.
func (v *view) busy() float64 {
	taken, whole := 0, 0
	for i := range v.candidates {
		if c := &v.candidates[i]; !c.Barred {
			taken += c.Capacity.CPU - c.Free.CPU
			whole += c.Capacity.CPU
		}
	}
	if whole == 0 {
		return 1
	}
	return float64(taken) / float64(whole)
}

// idleFor is how long nothing of the job has run.
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

// pressMore takes into account that a task of s was placed on candidate n.
func (t *Term) pressMore(v *view, j *job, s *workload.Step, n int) {
	w := v.workers[n]
	table := t.learner.weights()
	v.pressure[n] = t.learner.pressureOn(w)
	v.candidates[n].Pressed, _ = table.pressedBy(w, &v.pressure[n], s, table.column(s.Image))
	t.learner.trials.note(w, s.Image, table, v.now)
	if !t.waitedOut(v, j) {
		v.barTrials(&t.learner, s)
	}
}

// barPressed bars the workers on whose serving tasks one more task of s would
// press, if there are others that could hold it. A task does better to wait
// for room where it may work at full speed than to creep, and to take serving
// tasks over their targets.
func (v *view) barPressed(s *workload.Step) {
	first := len(v.barred)
	others := false
	for i := range v.candidates {
		switch {
		case v.candidates[i].Barred || v.candidates[i].Shunned:
		case v.candidates[i].Presses:
			v.barred = append(v.barred, i)
		case s.Need.Fits(v.candidates[i].Capacity):
			others = true
		}
	}
	if !others {
		v.barred = v.barred[:first]
		return
	}
	for _, i := range v.barred[first:] {
		v.candidates[i].Barred = true
	}
}

// liftBars ends the bars of a step.
func (v *view) liftBars() {
	for _, i := range v.barred {
		v.candidates[i].Barred = false
	}
	v.barred = v.barred[:0]
}

// press sets what one more task of s would put on the serving tasks of each
// candidate.
func (t *Term) press(v *view, s *workload.Step) {
	if v.pressure == nil {
		v.pressure = make([]workerPressure, len(v.workers))
		for i, w := range v.workers {
			v.pressure[i] = t.learner.pressureOn(w)
		}
	}
	table := t.learner.weights()
	column := table.column(s.Image)
	tried := t.learner.trials.any(s.Image)
	for i, w := range v.workers {
		c := &v.candidates[i]
		c.Pressed, c.Presses = table.pressedBy(w, &v.pressure[i], s, column)
		c.Presses = c.Presses || tried && t.learner.trials.elsewhere(w, s.Image, table, v.now)
	}
}

// unlike is the difference of two serving images of which too little is known
// to tell: about half of all pairs differ.
const unlike = 0.6

// mix sets how the serving images on each candidate mix with s's.
func (t *Term) mix(v *view, s *workload.Step) {
	for i, w := range v.workers {
		c := &v.candidates[i]
		c.Mix, c.SameImage = 0, false
		for image := range w.images {
			if image == s.Image {
				c.SameImage = true
				continue
			}
			d, known := t.learner.model.Difference(image, s.Image)
			if !known {
				d = unlike
			}
			c.Mix += d
		}
	}
}

// planGang places all tasks of a step with one run number, or none.
func (t *Term) planGang(v *view, j *job, o *occurrence, si int) {
	s := o.steps[si]
	if s.waiting < len(s.tasks)-s.done {
		return
	}
	v.countStep(s)
	saved := append([]placement.Candidate(nil), v.candidates...)
	var chosen []int
	run := 0
	checkpoint := ""
	for i := range s.tasks {
		run = max(run, s.tasks[i].run)
		if s.tasks[i].checkpoint != "" {
			checkpoint = s.tasks[i].checkpoint
		}
		n := placement.Choose(placement.Request{Step: s.spec, Avoid: -1, Rack: v.rackOfChosen(chosen)}, v.candidates)
		if n < 0 {
			v.candidates = saved
			return
		}
		v.take(n, s.spec)
		chosen = append(chosen, n)
	}
	v.candidates = saved
	for i, n := range chosen {
		s.tasks[i].checkpoint = checkpoint
		t.place(v, j, o, si, i, n, run+1)
	}
}

// countStep sets how many tasks of s each candidate has.
func (v *view) countStep(s *step) {
	for i := range v.candidates {
		v.candidates[i].OfStep = 0
	}
	if s.spec.Spread == 0 && !s.spec.Coupled {
		return
	}
	for i := range s.tasks {
		if s.tasks[i].state != taskPlaced {
			continue
		}
		if n := v.index(s.tasks[i].worker); n >= 0 {
			v.candidates[n].OfStep++
		}
	}
}

func (v *view) index(id workload.WorkerID) int {
	if id == "" {
		return -1
	}
	n := sort.Search(len(v.workers), func(i int) bool { return v.workers[i].id >= id })
	if n < len(v.workers) && v.workers[n].id == id {
		return n
	}
	return -1
}

func (v *view) rackOfStep(s *step) string {
	if !s.spec.Coupled {
		return ""
	}
	for i := range v.candidates {
		if v.candidates[i].OfStep > 0 {
			return v.candidates[i].Rack
		}
	}
	return ""
}

func (v *view) rackOfChosen(chosen []int) string {
	if len(chosen) == 0 {
		return ""
	}
	return v.candidates[chosen[0]].Rack
}

// take reserves room on candidate n.
func (v *view) take(n int, s *workload.Step) {
	c := &v.candidates[n]
	c.Free = c.Free.Sub(s.Reserved())
	c.OfStep++
	if s.Fills {
		c.FillLoad += s.Need.CPU
	}
	if s.TailTarget > 0 {
		c.Serving++
	}
}

// place puts the next run of a task on record at candidate n. The agent hears
// of it when the record is stored.
func (t *Term) place(v *view, j *job, o *occurrence, si, i, n, run int) {
	s := o.steps[si]
	k := &s.tasks[i]
	w := v.workers[n]
	k.state = taskPlaced
	k.run = run
	k.agent, k.worker = w.agent, w.id
	k.placedAt = time.Now()
	k.ordered, k.stopping = false, false
	k.ticket = ""
	if s.advice != nil {
		k.ticket, _ = s.advice.ticket(w.id, k.placedAt)
	}
	s.waiting--
	id := workload.TaskID{Job: j.spec.ID, Occurrence: o.number, Step: si, Index: i}
	w.add(workload.RunID{Task: id, Run: run}, s.spec)
	v.take(n, s.spec)
	if j.state == workload.Queued {
		j.state = workload.Running
	}
	if !j.started {
		j.started = true
		t.deps.Counters.FirstStart.Observe(time.Duration(t.storeNow()-j.spec.Accepted) * time.Millisecond)
	}
	t.mark(j)
	t.deps.Counters.Placements.Add(1)
	v.placed.add(i, run, w.id, v.candidates[n].Free.CPU)
}
