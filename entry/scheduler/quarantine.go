package scheduler

import (
	"cmp"
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

// A task is next started in quarantine if it was a prime suspect of a crash, or
// may have crashed two workers. In quarantine, no task of another job has begun on
// the worker lately, and none begins until the suspect task is proven (see
// crash.go). So a crash there shows its cause. Workers with few runs are preferred,
// as a crash ends all of them. In a job that lasts, the suspect tasks are also kept
// apart from each other, as only those of them that crash workers are contained.

const (
	// quarantineWait bounds a task's wait for a quarantine, from the first plan in
	// which a worker has capacity for the task. Then the task starts anywhere: its
	// client must not see a job that stands still beside free capacity.
	quarantineWait = 2 * time.Second
	// quarantineCrashes is the number of crashes from which a task is quarantined,
	// however long after its start they came. Most tasks suspected of one crash
	// are not its cause, and would wait without need.
	quarantineCrashes = 2
	// quarantineShare is the share of a service's workers, one at least, that may
	// be in quarantine at the same time. For a job that is planned after all others,
	// with capacity that they leave, it is spareQuarantineShare.
	quarantineShare      = 1.0 / 4
	spareQuarantineShare = 1.0 / 2
	// assumedProvenAfter is the age at which another job's run counts as harmless.
	assumedProvenAfter = 1300 * time.Millisecond
)

// quarantine is a worker's dedication to one job.
type quarantine struct {
	job   workload.JobID
	since time.Time
	// used says that tasks of the job were placed there.
	used bool
}

// awaitsQuarantine reports whether the task waits for a quarantine.
func (k *task) awaitsQuarantine(now time.Time) bool {
	suspicious := k.crashes >= quarantineCrashes || k.prime
	return k.state == taskWaiting && suspicious && !k.contained() && !k.notBefore.After(now) && (k.couldStart.IsZero() || now.Sub(k.couldStart) < quarantineWait)
}

// awaitsQuarantine reports whether any task of the step waits for a quarantine.
func (s *step) awaitsQuarantine(now time.Time) bool {
	for i := range s.tasks {
		if s.tasks[i].awaitsQuarantine(now) {
			return true
		}
	}
	return false
}

// recordCouldStart records that a worker has capacity for the tasks of the step
// that wait for a quarantine.
func (s *step) recordCouldStart(now time.Time) {
	for i := range s.tasks {
		if k := &s.tasks[i]; k.couldStart.IsZero() && k.awaitsQuarantine(now) {
			k.couldStart = now
		}
	}
}

// endQuarantines ends the quarantine of workers whose job has ended, has no
// suspect task left there, or was not placed there within quarantineWait. The
// caller holds mu.
func (t *Term) endQuarantines(now time.Time) {
	for _, w := range t.workers {
		q := w.quarantine
		if q == nil {
			continue
		}
		j := t.jobs[q.job]
		waits := !q.used && now.Sub(q.since) < quarantineWait
		if j == nil || j.state.Final() || !waits && !t.runsSuspect(w, q.job) {
			w.quarantine = nil
		}
	}
}

// runsSuspect reports whether a suspect task of the job is on w.
func (t *Term) runsSuspect(w *worker, id workload.JobID) bool {
	for r := range w.runs {
		if r.Task.Job != id {
			continue
		}
		if _, _, k := t.placedRun(w, r); k != nil && k.crashes > 0 {
			return true
		}
	}
	return false
}

// planQuarantine places the suspect tasks of a step in quarantine, or lets them
// wait for one. It returns false if no worker could take them in quarantine.
func (t *Term) planQuarantine(v *view, j *job, o *occurrence, si int, now time.Time) bool {
	s := o.steps[si]
	v.countStep(s)
	n, busy := t.quarantineWorker(v, j, s, now)
	if n >= 0 || v.bestQuarantine(s) >= 0 {
		s.recordCouldStart(now)
	}
	if n < 0 {
		return busy
	}
	w, c := v.workers[n], &v.candidates[n]
	if !t.othersProven(w, j, now) {
		return true
	}
	c.Barred = false
	defer func() { c.Barred, c.BarredBy = true, placement.Quarantined }()
	if s.spec.Gang {
		t.quarantineGang(v, j, o, si, n)
	} else {
		t.quarantineTasks(v, j, o, si, n, now)
	}
	return true
}

// quarantineTasks places the suspect tasks that fit on candidate n.
func (t *Term) quarantineTasks(v *view, j *job, o *occurrence, si, n int, now time.Time) {
	s := o.steps[si]
	for i := range s.tasks {
		k := &s.tasks[i]
		if !k.awaitsQuarantine(now) || !fitsAlone(s.spec, v.candidates[n]) {
			continue
		}
		t.enterQuarantine(v, j, o, si, i, n, k.run+1)
		if j.lasts() {
			return
		}
	}
}

// quarantineGang places a whole gang on candidate n.
func (t *Term) quarantineGang(v *view, j *job, o *occurrence, si, n int) {
	s := o.steps[si]
	if s.waiting < len(s.tasks)-s.done || !v.fitsStep(n, s) {
		return
	}
	run, checkpoint := s.nextGangRun()
	for i := range s.tasks {
		s.tasks[i].checkpoint = checkpoint
		t.enterQuarantine(v, j, o, si, i, n, run)
	}
}

func (t *Term) enterQuarantine(v *view, j *job, o *occurrence, si, i, n, run int) {
	v.workers[n].quarantine.used = true
	t.deps.Counters.Quarantined.Add(1)
	t.place(v, j, o, si, i, n, run)
}

// quarantineWorker returns the candidate that is in quarantine for the job, or
// puts a candidate in quarantine for the job. Failing both, n is -1, and busy
// says whether a candidate may become available.
func (t *Term) quarantineWorker(v *view, j *job, s *step, now time.Time) (n int, busy bool) {
	own, dedicated, all := t.quarantines(v, j, now)
	share := quarantineShare
	if j.key.Suspect {
		share = spareQuarantineShare
	}
	switch {
	case own >= 0 && s.permitted(v.workers[own].id, now):
		return own, true
	case own >= 0 || dedicated >= max(1, int(share*float64(all))):
		return -1, true
	}
	best := v.bestQuarantine(s)
	if best < 0 {
		return -1, false
	}
	w := v.workers[best]
	w.quarantine = &quarantine{job: j.spec.ID, since: now}
	v.bar(best, placement.Quarantined)
	t.deps.Log.Info().Str("job", string(j.spec.ID)).Str("worker", string(w.id)).Int("runs", len(w.runs)).Msg("quarantine")
	return best, true
}

// quarantines returns the worker of the service that is dedicated to the job and
// can take another of its suspect tasks, or -1, and the numbers of dedicated and of
// all workers.
func (t *Term) quarantines(v *view, j *job, now time.Time) (own, dedicated, all int) {
	own = -1
	for i, w := range v.workers {
		if !w.accepts(v.service) {
			continue
		}
		all++
		if w.quarantine == nil {
			continue
		}
		dedicated++
		if w.quarantine.job == j.spec.ID && !(j.lasts() && t.runsUnprovenSuspect(w, j, now)) {
			own = i
		}
	}
	return own, dedicated, all
}

// bestQuarantine returns the best candidate for the step's quarantine, or -1.
func (v *view) bestQuarantine(s *step) int {
	best := -1
	for i, w := range v.workers {
		if v.fitsStep(i, s) && (best < 0 || s.betterQuarantine(w, v.workers[best])) {
			best = i
		}
	}
	return best
}

// permitted reports whether the step needs no ticket for w, or has a valid one.
func (s *step) permitted(w workload.WorkerID, now time.Time) bool {
	if s.advice == nil {
		return true
	}
	_, ok := s.advice.ticket(w, now)
	return ok
}

// fitsStep reports whether candidate i has capacity for a task of the step, or
// for all tasks of a gang.
func (v *view) fitsStep(i int, s *step) bool {
	c := v.candidates[i]
	if !s.spec.Gang {
		return fitsAlone(s.spec, c)
	}
	for range s.tasks {
		if !fitsAlone(s.spec, c) {
			return false
		}
		c.Free = c.Free.Sub(s.spec.Reserved())
		c.OfStep++
	}
	return true
}

// fitsAlone reports whether a task of the step fits on a candidate.
func fitsAlone(s *workload.Step, c placement.Candidate) bool {
	return placement.Choose(placement.Request{Step: s, Avoid: -1}, []placement.Candidate{c}) == 0
}

// betterQuarantine reports whether a crash of a proves more, or ends fewer
// runs, than a crash of b. A crash on another machine than the last one proves
// that the machine is not the cause.
func (s *step) betterQuarantine(a, b *worker) bool {
	before := func(w *worker) int {
		for i := range s.tasks {
			if s.tasks[i].crashes > 0 && s.tasks[i].crashedOn == w.agent {
				return 1
			}
		}
		return 0
	}
	return cmp.Or(cmp.Compare(before(a), before(b)), cmp.Compare(len(a.runs), len(b.runs))) < 0
}

// barOtherSuspects bars the candidates on which a prime suspect of another job, or
// of a job that lasts, has begun lately: after a crash, nothing would tell the two apart. The returned
// function lifts the bars.
func (t *Term) barOtherSuspects(v *view, j *job, now time.Time) (lift func()) {
	var barred []int
	for i, w := range v.workers {
		if !v.candidates[i].Barred && t.runsUnprovenSuspect(w, j, now) {
			v.bar(i, placement.Quarantined)
			barred = append(barred, i)
		}
	}
	return func() {
		for _, i := range barred {
			v.candidates[i].Barred = false
		}
	}
}

// runsUnprovenSuspect reports whether a prime suspect of another job than j, or any
// suspect of j if it lasts, has begun on w lately.
func (t *Term) runsUnprovenSuspect(w *worker, j *job, now time.Time) bool {
	for r := range w.runs {
		own := r.Task.Job == j.spec.ID
		if own && !j.lasts() {
			continue
		}
		if _, _, k := t.placedRun(w, r); k != nil && (k.prime || own && k.crashes > 0) && now.Sub(k.placedAt) < assumedProvenAfter {
			return true
		}
	}
	return false
}

// othersProven reports whether all runs of other jobs on w count as proven.
func (t *Term) othersProven(w *worker, j *job, now time.Time) bool {
	for r := range w.runs {
		if r.Task.Job == j.spec.ID {
			continue
		}
		if _, _, k := t.placedRun(w, r); k != nil && now.Sub(k.placedAt) < assumedProvenAfter {
			return false
		}
	}
	return true
}
