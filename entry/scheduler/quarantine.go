package scheduler

import (
	"cmp"
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

// A task under which a worker has crashed within moments of its start, or two
// have, starts next in quarantine: on a worker where nothing else has begun of
// late, and nothing of another job begins until it has stood the test. A crash
// there shows the cause, and costs least where least runs.

const (
	// quarantinePatience is how long a task waits for a quarantine. Then it
	// starts anywhere: its client must not see a job that stands still beside
	// free room.
	quarantinePatience = 2 * time.Second
	// quarantineAfter is the number of workers lost under a task from which on it
	// is quarantined however long they outlived its start. Most of what is lost
	// once is not the cause, and would wait without need.
	quarantineAfter = 2
	// quarantineShare is the part of a service's workers, one at least, that is
	// in quarantine at the same time.
	quarantineShare = 1.0 / 4
	// quietAfter is how long after its placement a run is taken for proven by
	// its agent, if it goes on.
	quietAfter = 1300 * time.Millisecond
)

// quarantine is a worker's dedication to one job.
type quarantine struct {
	job   workload.JobID
	since time.Time
	// used says that tasks of the job were placed there.
	used bool
}

// quarantined reports whether the task waits for a quarantine.
func (k *task) quarantined(now time.Time) bool {
	suspicious := k.crashes >= quarantineAfter || k.soon > 0
	return k.state == taskWaiting && suspicious && now.Sub(k.crashedAt) < quarantinePatience
}

// quarantined reports whether a task of the step does.
func (s *step) quarantined(now time.Time) bool {
	for i := range s.tasks {
		if s.tasks[i].quarantined(now) {
			return true
		}
	}
	return false
}

// endQuarantines takes the workers back whose jobs have stood the test, have
// ended, or did not come. The caller holds mu.
func (t *Term) endQuarantines(now time.Time) {
	for _, w := range t.workers {
		q := w.quarantine
		if q == nil {
			continue
		}
		j := t.jobs[q.job]
		waits := !q.used && now.Sub(q.since) < quarantinePatience
		if j == nil || j.state.Final() || !waits && !t.tests(w, q.job) {
			w.quarantine = nil
		}
	}
}

// tests reports whether a suspect of the job is on w.
func (t *Term) tests(w *worker, id workload.JobID) bool {
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

// planQuarantine places the suspects of a step. It returns false if no worker
// could take them in quarantine.
func (t *Term) planQuarantine(v *view, j *job, o *occurrence, si int, now time.Time) bool {
	s := o.steps[si]
	v.countStep(s)
	n, busy := t.quarantineWorker(v, j, s, now)
	if n < 0 {
		return busy
	}
	w, c := v.workers[n], &v.candidates[n]
	if !t.quiet(w, j, now) {
		return true
	}
	c.Barred = false
	defer func() { c.Barred = true }()
	if s.spec.Gang {
		t.quarantineGang(v, j, o, si, n)
	} else {
		t.quarantineTasks(v, j, o, si, n, now)
	}
	return true
}

// quarantineTasks places the suspects that fit on candidate n.
func (t *Term) quarantineTasks(v *view, j *job, o *occurrence, si, n int, now time.Time) {
	s := o.steps[si]
	for i := range s.tasks {
		k := &s.tasks[i]
		if !k.quarantined(now) || k.notBefore.After(now) || !takesAlone(s.spec, v.candidates[n]) {
			continue
		}
		t.enterQuarantine(v, j, o, si, i, n, k.run+1)
	}
}

// quarantineGang places a whole gang on candidate n.
func (t *Term) quarantineGang(v *view, j *job, o *occurrence, si, n int) {
	s := o.steps[si]
	if s.waiting < len(s.tasks)-s.done || !v.takesStep(n, s) {
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
// dedicates one to it; else -1, and busy if one may become free.
func (t *Term) quarantineWorker(v *view, j *job, s *step, now time.Time) (n int, busy bool) {
	own, dedicated, all := v.quarantines(j.spec.ID)
	switch {
	case own >= 0 && s.advised(v.workers[own].id, now):
		return own, true
	case own >= 0 || dedicated >= max(1, int(quarantineShare*float64(all))):
		return -1, true
	}
	best := v.leastAtStake(s)
	if best < 0 {
		return -1, false
	}
	w := v.workers[best]
	w.quarantine = &quarantine{job: j.spec.ID, since: now}
	v.candidates[best].Barred = true
	t.deps.Log.Info().Str("job", string(j.spec.ID)).Str("worker", string(w.id)).Int("runs", len(w.runs)).Msg("quarantine")
	return best, true
}

// quarantines returns the worker of the service that is dedicated to the job, or
// -1, and how many of all are dedicated to any.
func (v *view) quarantines(id workload.JobID) (own, dedicated, all int) {
	own = -1
	for i, w := range v.workers {
		if !w.takes(v.service) {
			continue
		}
		all++
		if w.quarantine == nil {
			continue
		}
		dedicated++
		if w.quarantine.job == id {
			own = i
		}
	}
	return own, dedicated, all
}

// leastAtStake returns the candidate for a quarantine of the step, or -1.
func (v *view) leastAtStake(s *step) int {
	best := -1
	for i, w := range v.workers {
		if v.takesStep(i, s) && (best < 0 || s.lessAtStake(w, v.workers[best])) {
			best = i
		}
	}
	return best
}

// advised reports whether a step that needs permission has it for a worker.
func (s *step) advised(w workload.WorkerID, now time.Time) bool {
	if s.advice == nil {
		return true
	}
	_, ok := s.advice.ticket(w, now)
	return ok
}

// takesStep reports whether candidate i has room for a task of the step, or for
// all of a gang.
func (v *view) takesStep(i int, s *step) bool {
	c := v.candidates[i]
	if !s.spec.Gang {
		return takesAlone(s.spec, c)
	}
	for range s.tasks {
		if !takesAlone(s.spec, c) {
			return false
		}
		c.Free = c.Free.Sub(s.spec.Reserved())
		c.OfStep++
	}
	return true
}

// takesAlone reports whether a task of the step fits on a candidate.
func takesAlone(s *workload.Step, c placement.Candidate) bool {
	return placement.Choose(placement.Request{Step: s, Avoid: -1}, []placement.Candidate{c}) == 0
}

// lessAtStake reports whether a crash of a proves more, or costs less, than one
// of b. On another machine than before it proves that the machine is not the
// cause.
func (s *step) lessAtStake(a, b *worker) bool {
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

// quiet reports whether all runs of other jobs on w are proven by now.
func (t *Term) quiet(w *worker, j *job, now time.Time) bool {
	for r := range w.runs {
		if r.Task.Job == j.spec.ID {
			continue
		}
		if _, _, k := t.placedRun(w, r); k != nil && now.Sub(k.placedAt) < quietAfter {
			return false
		}
	}
	return true
}
