package order

import (
	"cmp"
	"math"
	"time"
)

const (
	// starvedAfter is the time without a run, in objectives, after which a job is
	// starved.
	starvedAfter = 1.25
	// sizeExponent sets how much a job's remaining work counts relative to the
	// whole job. With 0 the least remaining work comes first, and large jobs pay
	// for small ones; with 1 only the share of the job that remains would count,
	// and one large job would displace many small ones.
	sizeExponent = 0.25
	// lateUse and overdueUse are the use that a job's end has for its client,
	// relative to an end in time: after the objective, and after lateFactor times
	// the objective.
	lateUse    = 0.1
	overdueUse = 0.02
)

// Progress is what the order of the aging policy weighs of a job.
type Progress struct {
	// Objective is the time within which the client expects the job to end, Age
	// the time since the job was accepted, Idle the time for which no task of the
	// job has been placed.
	Objective, Age, Idle time.Duration
	// Remaining and Total are the unfinished and the whole filling work, in
	// core-seconds.
	Remaining, Total float64
}

// Weigh sets the fields of k by which the aging policy orders the job.
func (k Key) Weigh(p Progress) Key {
	k.Weighed = true
	k.Starved = !k.Suspect && p.Objective > 0 && share(p.Idle, p.Objective) > starvedAfter
	if p.Total <= 0 {
		return k
	}
	k.Cost = p.Remaining / math.Pow(p.Total, sizeExponent) / k.use(p)
	return k
}

// use is the use of the job's end for its client, relative to an end in time.
// That of an overdue job grows with its age, since its client's loss does.
func (k Key) use(p Progress) float64 {
	switch k.Class {
	case InTime:
		return 1
	case Late:
		return lateUse
	default:
		return min(lateUse, overdueUse*max(1, share(p.Age, lateFactor*p.Objective)))
	}
}

func share(part, whole time.Duration) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

const (
	// agedShare is the share of the placed work that aged jobs get before others:
	// enough that each of them ends, little enough that the others can be in time.
	agedShare = 0.1
	// shareWindow is the time constant with which placed work is forgotten.
	shareWindow = 10 * time.Second
)

// Share bounds the work that is placed for aged jobs before other jobs. The
// zero value has seen no work, and lets one task of an aged job go first.
type Share struct {
	// at is when the sums were last reduced, addedAt when work was last added.
	at, addedAt time.Duration
	// first and others are the work placed for aged jobs before others and all
	// other work, in core-seconds, of about the last shareWindow.
	first, others float64
}

// MayGoFirst reports whether the next task of an aged job may go first.
func (s *Share) MayGoFirst(now time.Duration) bool {
	s.fade(now)
	return s.first <= agedShare*(s.first+s.others)
}

// Add counts a placed task with its expected work in core-seconds. first says
// that it went before tasks of other jobs since its job is aged.
func (s *Share) Add(now time.Duration, work float64, first bool) {
	s.fade(now)
	s.addedAt = now
	if first {
		s.first += work
	} else {
		s.others += work
	}
}

func (s *Share) fade(now time.Duration) {
	if now <= s.at {
		return
	}
	if now-s.addedAt > shareWindow {
		*s = Share{at: now, addedAt: now}
		return
	}
	f := math.Exp(-share(now-s.at, shareWindow))
	s.first, s.others, s.at = s.first*f, s.others*f, now
}

// compareWeighed is Compare for weighed keys. Jobs without filling work use
// other capacity than filling ones and keep their order.
func (a Key) compareWeighed(b Key) int {
	if c := cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		compareBool(a.Suspect, b.Suspect),
		compareBool(a.Work > 0, b.Work > 0),
	); c != 0 {
		return c
	}
	if a.Work > 0 {
		return cmp.Or(cmp.Compare(a.Cost, b.Cost), cmp.Compare(a.By, b.By))
	}
	return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.By, b.By))
}

// Turn is a job's turn in a plan.
type Turn struct {
	// Job is the job's index.
	Job int
	// First says that the job is aged and goes before others, within Share. A
	// starved job places one task in such a turn.
	First bool
}

// Turns returns the turns of a plan for jobs with these sorted keys: in each
// priority first those of the aged jobs, the starved ones before the overdue
// ones, then all jobs in their order.
func Turns(keys []Key) []Turn {
	turns := make([]Turn, 0, len(keys)+8)
	for from := 0; from < len(keys); {
		to := from
		for to < len(keys) && keys[to].Priority == keys[from].Priority {
			to++
		}
		for i := from; i < to; i++ {
			if keys[i].Starved {
				turns = append(turns, Turn{Job: i, First: true})
			}
		}
		for i := from; i < to; i++ {
			if keys[i].Class == Overdue && !keys[i].Starved && !keys[i].Suspect {
				turns = append(turns, Turn{Job: i, First: true})
			}
		}
		for i := from; i < to; i++ {
			turns = append(turns, Turn{Job: i})
		}
		from = to
	}
	return turns
}
