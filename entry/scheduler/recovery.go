package scheduler

import (
	"time"

	"persimmonrock.example/decide/recovery"
)

// recordLoss records the loss of a worker with runs. The caller holds mu.
func (t *Term) recordLoss(w *worker) {
	if t.cfg.Policies.Recovery.Enabled && len(w.runs) > 0 {
		t.lostRuns[w.agent] = t.deps.Now()
	}
}

// recordLostRun records where a lasting task lost its run with its worker. The
// caller holds mu.
func (t *Term) recordLostRun(w *worker, s *step, k *task) {
	if t.cfg.Policies.Recovery.Enabled && s.spec.Lasting && !s.spec.Gang {
		k.lost = recovery.Lost{Machine: w.agent, At: t.deps.Now()}
	}
}

// recordReplaced records whether w, which is new, replaces a lost worker of its
// machine. The caller holds mu.
func (t *Term) recordReplaced(w *worker) {
	if at, lost := t.lostRuns[w.agent]; lost {
		delete(t.lostRuns, w.agent)
		w.replacedAt = at
	}
}

// judgeFleet judges, once per plan, whether most workers were lost at once.
func (t *Term) judgeFleet(v *view) {
	if !t.cfg.Policies.Recovery.Enabled {
		return
	}
	workers := make([]recovery.Worker, len(v.workers))
	for i, w := range v.workers {
		workers[i] = recovery.Worker{Machine: w.agent, ReplacedAt: w.replacedAt}
	}
	v.fleet = recovery.NewFleet(workers, v.now)
}

// placeReturning places the waiting lasting tasks of a step on the machines where
// they ran before most workers were lost, as far as they fit there.
func (t *Term) placeReturning(v *view, j *job, o *occurrence, si int, now time.Time) {
	s := o.steps[si]
	if !v.fleet.Mass() || !s.spec.Lasting {
		return
	}
	for i := range s.tasks {
		k := &s.tasks[i]
		n := v.fleet.Home(k.lost)
		if n < 0 || !k.mayStart(now) || k.waitsForMove(now) || k.prime {
			continue
		}
		c := &v.candidates[n]
		if c.Barred || c.Suspect || !s.spec.Reserved().Fits(c.Free) || s.spec.Spread > 0 && c.OfStep >= s.spec.Spread || !v.workers[n].info.HasLabel(s.spec.Label) {
			continue
		}
		t.place(v, j, o, si, i, n, k.run+1)
		k.lost = recovery.Lost{}
		c.SameImage = c.SameImage || s.spec.TailTarget > 0
		t.deps.Counters.Returned.Add(1)
		v.returned++
	}
}

// logReturned logs the number of lasting tasks that a plan has returned to their
// machines.
func (t *Term) logReturned(v *view) {
	if v.returned > 0 {
		t.deps.Log.Info().Int("tasks", v.returned).Int("workers", len(v.workers)).Msg("lasting tasks returned to their machines")
	}
}
