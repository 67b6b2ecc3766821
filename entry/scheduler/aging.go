package scheduler

import (
	"time"

	"persimmonrock.example/decide/order"
	"persimmonrock.example/structs/workload"
)

// aging is the state of the aging policy within a term.
type aging struct {
	// reserved and filling bound what aged jobs get before others, of reserved
	// capacity and of the CPU that serving tasks leave unused.
	reserved, filling order.Share
	// first says that the turn of an aged job is being planned, starved that this
	// job places one task, and lifted that it may press on serving tasks.
	first, starved, lifted bool
	placed                 int
}

// liftAfter is the time without a run, in objectives, after which a starved job
// no longer waits for a worker on which it does not press.
const liftAfter = 2

// planTurns plans the active jobs in the turns of the aging policy.
func (t *Term) planTurns(v *view) {
	keys := make([]order.Key, len(t.active))
	for i, j := range t.active {
		keys[i] = j.key
	}
	for _, turn := range order.Turns(keys) {
		j := t.active[turn.Job]
		a := &t.aging
		if j.state.Final() || turn.First && !a.reserved.MayGoFirst(v.now) && !a.filling.MayGoFirst(v.now) {
			continue
		}
		a.first, a.placed = turn.First, 0
		a.starved = turn.First && j.key.Starved
		idle, objective := j.idleTime(t.storeNow()), j.objective()
		a.lifted = a.starved && idle > liftAfter*objective
		t.planJob(v, j)
		if a.starved && a.placed > 0 {
			t.deps.Log.Info().Str("job", string(j.spec.ID)).Dur("idle", idle).Dur("objective", objective).
				Bool("may_press", a.lifted).Msg("task of a starved job placed first")
		}
	}
	t.aging.first, t.aging.starved, t.aging.lifted = false, false, false
}

// turnOver reports whether the job that is being planned in the turn of an aged
// job places no more tasks of s in this turn.
func (t *Term) turnOver(s *workload.Step, now time.Duration) bool {
	a := &t.aging
	return a.first && (a.starved && a.placed > 0 || !a.share(s).MayGoFirst(now))
}

func (a *aging) share(s *workload.Step) *order.Share {
	if s.Fills {
		return &a.filling
	}
	return &a.reserved
}

// countTurn counts a placed task of s.
func (t *Term) countTurn(j *job, si int, now time.Duration) {
	s := &j.spec.Steps[si]
	if !t.cfg.Policies.Aging.Enabled || s.Lasting {
		return
	}
	j.noRunSince = 0
	a := &t.aging
	a.share(s).Add(now, float64(s.Need.CPU)/1000*j.expected()[si].Seconds(), a.first)
	if a.first {
		a.placed++
		t.deps.Counters.PlacedFirst.Add(1)
	}
}

// weigh sets the fields of a job's key by which the aging policy orders it.
func (t *Term) weigh(j *job, key order.Key, now time.Duration) order.Key {
	objective := j.objective()
	j.updateIdle(now.Milliseconds())
	p := order.Progress{
		Objective: objective, Age: now - time.Duration(j.spec.Accepted)*time.Millisecond,
		Idle: j.idleTime(now.Milliseconds()), Remaining: key.Work,
	}
	p.Total = order.Work(j.spec.Steps, j.expected(), func(i int) int { return j.spec.Steps[i].Count })
	key = key.Weigh(p)
	if key.Starved && !j.key.Starved {
		t.deps.Counters.Starved.Add(1)
		t.deps.Log.Info().Str("job", string(j.spec.ID)).Dur("idle", p.Idle).Dur("objective", objective).Msg("job starved")
	}
	return key
}

// updateIdle updates noRunSince to the tasks' states at now, in ms of the store's
// clock.
func (j *job) updateIdle(now int64) {
	switch {
	case j.hasPlaced():
		j.noRunSince = 0
	case j.noRunSince > 0:
	case !j.started:
		j.noRunSince = j.spec.Accepted
	default:
		j.noRunSince = now
	}
}

func (j *job) hasPlaced() bool {
	for _, o := range j.occurrences {
		if o.hasPlaced() {
			return true
		}
	}
	return false
}

func (o *occurrence) hasPlaced() bool {
	for _, s := range o.steps {
		if len(s.tasks) > s.done+s.waiting {
			return true
		}
	}
	return false
}

// idleTime is the time for which no task of the job has been placed, as of the
// last updateIdle.
func (j *job) idleTime(now int64) time.Duration {
	if j.noRunSince == 0 {
		return 0
	}
	return time.Duration(now-j.noRunSince) * time.Millisecond
}
