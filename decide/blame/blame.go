// Package blame judges whether a task crashes the workers that start it, or runs
// began by chance just before workers crashed for other reasons.
package blame

import (
	"math"
	"slices"
	"time"
)

const (
	// deadlyBefore is the assumed share of deadly tasks among those that are
	// suspected of a crash.
	deadlyBefore = 0.01
	// certainOdds are the odds of a deadly task from which it counts as one.
	certainOdds = 100
	// likelyOdds are the odds from which a task is likely to be deadly.
	likelyOdds = 10
	// minCrashes is the least number of confirmed crashes for that: two may come
	// from a fault of the fleet that begins with them.
	minCrashes = 3
	// minOwnCrashes is the least number of them under the task itself, if those under
	// the same task of other occurrences count, too.
	minOwnCrashes = 2
	// lastInnocent, soonInnocent and fellowInnocent are the assumed chances that a
	// crash was caused by a task of another job that began about the same time: if
	// the task alone was the last to begin, if the worker was silent within moments
	// of the task's start, and otherwise.
	lastInnocent   = 0.04
	soonInnocent   = 0.1
	fellowInnocent = 0.5
	// formerChance is the assumed chance of an unrelated crash at the time of an
	// earlier scheduler.
	formerChance = 0.05
)

// Crash is what is known of the loss of a worker under a fresh run of a task.
type Crash struct {
	// Confirmed says that the run was certainly on the worker.
	Confirmed bool
	// Alone says that no other job had a fresh run there, Last that the other jobs'
	// began earlier, Soon that the worker was silent within moments of the start.
	Alone, Last, Soon bool
}

// Weight returns the logarithm of how much likelier the crash is if the task is
// deadly. chance is that of an unrelated crash (Rate.Chance).
func (c Crash) Weight(chance float64) float64 {
	innocent := chance
	switch {
	case !c.Confirmed:
		return 0
	case c.Alone:
	case c.Last:
		innocent += lastInnocent
	case c.Soon:
		innocent += soonInnocent
	default:
		innocent += fellowInnocent
	}
	return -math.Log(min(1, innocent))
}

// Trial is a run of a task under which the worker was lost.
type Trial struct {
	// Worker is the incarnation that was lost.
	Worker string
	// Began is when the run was placed, Lost when the loss of the worker was known.
	// Began is zero for a run that an earlier scheduler placed.
	Began, Lost time.Time
	// Chance is that of an unrelated crash at the time (Rate.Chance).
	Chance float64
	Crash  Crash
}

// Evidence is what speaks against a task: the crashes since one of its runs was last
// harmless. The zero value is no evidence.
type Evidence struct {
	// former counts the crashes that an earlier scheduler saw.
	former int
	trials []Trial
}

// Former returns the evidence of crashes that an earlier scheduler saw, of which only
// the number is known for which the task's job alone could be the cause.
func Former(alone int) *Evidence { return &Evidence{former: alone} }

// Add adds a trial. A worker crashes once: what is already known of the loss of the
// same worker is replaced.
func (e *Evidence) Add(t Trial) {
	if i := e.find(t.Worker); i >= 0 {
		e.trials[i] = t
		return
	}
	e.trials = append(e.trials, t)
}

// Withdraw removes the trial on a worker that has not crashed, and reports whether
// there was one. A nil e has none.
func (e *Evidence) Withdraw(worker string) bool {
	if e == nil {
		return false
	}
	i := e.find(worker)
	if i < 0 {
		return false
	}
	e.trials = slices.Delete(e.trials, i, i+1)
	return true
}

func (e *Evidence) find(worker string) int {
	return slices.IndexFunc(e.trials, func(t Trial) bool { return t.Worker == worker })
}

// Deadly reports whether the task counts as the cause of its crashes. The latest one,
// of the given worker, must speak against it alone: the task was tried apart from
// others, or began last. others is the evidence against the same task in other
// occurrences of its job.
func (e *Evidence) Deadly(worker string, others ...*Evidence) bool {
	latest, ok := e.convicting(worker)
	if !ok {
		return false
	}
	own := e.weigh(latest, nil)
	if own.confirmed < minOwnCrashes {
		return false
	}
	return own.deadly() || e.weigh(latest, others).deadly()
}

// LikelyDeadly reports whether the task is likely to be the cause, but one more crash
// is needed for it to count as such. worker is the one that crashed last.
func (e *Evidence) LikelyDeadly(worker string) bool {
	latest, ok := e.convicting(worker)
	if !ok {
		return false
	}
	v := e.weigh(latest, nil)
	return v.confirmed == minCrashes-1 && v.odds >= math.Log(likelyOdds)
}

// convicting returns the trial on the given worker, and whether it can be the one by
// which a task counts as deadly.
func (e *Evidence) convicting(worker string) (Trial, bool) {
	i := e.find(worker)
	if i < 0 {
		return Trial{}, false
	}
	c := e.trials[i].Crash
	return e.trials[i], c.Confirmed && (c.Alone || c.Last)
}

// verdict sums up evidence: the number of independent confirmed crashes, and the
// logarithm of the odds that the task is deadly.
type verdict struct {
	confirmed int
	odds      float64
}

func (v verdict) deadly() bool {
	return v.confirmed >= minCrashes && v.odds >= math.Log(certainOdds)
}

// weigh sums up the evidence and that of others, up to the trial latest.
func (e *Evidence) weigh(latest Trial, others []*Evidence) verdict {
	all := slices.Clone(e.trials)
	for _, o := range others {
		all = append(all, o.trials...)
	}
	chain := independent(latest, all)
	former := e.former
	if !chain[len(chain)-1].Began.IsZero() {
		// Only the numbers are known of earlier schedulers' crashes, not which of them
		// several occurrences share.
		for _, o := range others {
			former = max(former, o.former)
		}
	}
	formerWeight := Crash{Confirmed: true, Alone: true}.Weight(formerChance)
	v := verdict{
		confirmed: former + len(chain),
		odds:      math.Log(deadlyBefore/(1-deadlyBefore)) + float64(former)*formerWeight,
	}
	for _, t := range chain {
		v.odds += t.Crash.Weight(t.Chance)
	}
	return v
}

// over is when the worker of the trial was lost at the latest: a run is suspected for
// suspectFor only, though the loss may be known later.
func (t *Trial) over() time.Time {
	if end := t.Began.Add(suspectFor); !t.Began.IsZero() && end.Before(t.Lost) {
		return end
	}
	return t.Lost
}

// independent returns a longest sequence of confirmed trials, from latest back, each
// of which was over before the one after it began. One crash ends the runs of several
// occurrences, and one failure may end several workers: trials that overlap may have
// one cause.
func independent(latest Trial, all []Trial) []Trial {
	slices.SortStableFunc(all, func(a, b Trial) int { return b.Began.Compare(a.Began) })
	chain, next := []Trial{latest}, latest
	for _, t := range all {
		counted := slices.ContainsFunc(chain, func(c Trial) bool { return c.Worker == t.Worker })
		if t.Crash.Confirmed && !counted && !t.over().After(next.Began) {
			chain, next = append(chain, t), t
		}
	}
	return chain
}
