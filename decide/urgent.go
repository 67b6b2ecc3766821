package decide

import (
	"time"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Candidate is one instance that offers the service, as seen by an entry.
type Candidate struct {
	Instance structs.InstanceID
	Zone     structs.DataCentre
	// Slots and InUse are those of the service, from the last load report. If the
	// instance has fewer free slots than the service, Slots is InUse plus the
	// instance's free slots, since calls and tasks share the instance.
	Slots, InUse int
	// ServiceTime is the recent median duration of a call here; 0 if unknown.
	ServiceTime time.Duration
	// Leaving, Draining and Suspect instances get no new calls.
	Leaving, Draining, Suspect bool
	// Age is the age of the load report.
	Age   time.Duration
	Batch []wire.BatchLoad
	// Outstanding counts this entry's own calls in flight to the instance, which
	// the report may not include yet.
	Outstanding int
}

// UrgentQuery describes one attempt to place a call.
type UrgentQuery struct {
	Service  structs.Service
	Customer structs.Customer
	// Zone is the entry's own data centre.
	Zone structs.DataCentre
	// Remaining is the time left until the caller's deadline.
	Remaining time.Duration
	// Exclude lists the instances that were already tried.
	Exclude []structs.InstanceID
	// Random seeds the random draws; each attempt passes a new value.
	Random uint64
}

const (
	// remoteDelay is the round trip to another data centre.
	remoteDelay = 2 * time.Millisecond
	// maxDraws bounds the random draws before a full scan.
	maxDraws = 24
	// comparedCandidates is the number of usable candidates to compare.
	comparedCandidates = 3
	// staleAge is the age that halves the weight of a report's service time.
	staleAge = 5 * time.Second
)

// ChooseUrgent returns the index of the candidate for the next attempt, or -1
// and the reason why there is none. It compares three random usable candidates of
// the entry's data centre by predicted duration. It considers other data centres
// only if no local candidate is usable, or the best has one free slot or would be late.
func ChooseUrgent(q UrgentQuery, cs []Candidate, m *Interference) (index int, hold Hold) {
	if len(cs) == 0 {
		return -1, Hold{Reason: ReasonNoBackend, Refusal: structs.RefusedUnknownService}
	}
	if q.Remaining <= 0 {
		return -1, Hold{Reason: ReasonDeadline, Refusal: structs.RefusedDeadline}
	}
	model := m.modelOf(q.Service)
	local := pick(&q, cs, &model, true)
	inTime := local.index >= 0 && local.time <= q.Remaining
	if inTime && !onLastSlot(&cs[local.index]) {
		return local.index, Hold{}
	}
	remote := pick(&q, cs, &model, false)
	remoteInTime := remote.index >= 0 && remote.time+remoteDelay <= q.Remaining
	switch {
	case remoteInTime && (!inTime || remote.score+remoteDelay < local.score):
		return remote.index, Hold{}
	case inTime:
		return local.index, Hold{}
	}
	return -1, noCandidateHold(&q, cs, local.index >= 0 || remote.index >= 0)
}

// choice is the best candidate so far; index is -1 for none. score ranks the
// candidate, and time determines whether the call would be late.
type choice struct {
	index       int
	score, time time.Duration
}

// consider chooses candidate i if there is no choice yet, if only i is in time, or
// if i has the lower score and both or neither are in time.
func (b *choice) consider(q *UrgentQuery, cs []Candidate, i int, m *serviceModel) {
	likely, confirmed := predictDuration(&cs[i], m)
	other := choice{i, penalizeOccupancy(likely, &cs[i]), confirmed}
	inTime, bestInTime := other.time <= q.Remaining, b.time <= q.Remaining
	if b.index < 0 || inTime && !bestInTime || inTime == bestInTime && other.score < b.score {
		*b = other
	}
}

// pick draws at random until it has compared enough usable candidates, of the local
// data centre if local is set, else of the others. If it finds too few, or the best
// would be late, it scans all from a random start. A single usable one is thus found.
func pick(q *UrgentQuery, cs []Candidate, m *serviceModel, local bool) choice {
	best, found := choice{index: -1}, 0
	r := q.Random
	for range min(maxDraws, len(cs)) {
		r = mix(r)
		i := below(r, len(cs))
		if i == best.index || (cs[i].Zone == q.Zone) != local || !usable(q, &cs[i]) {
			continue
		}
		best.consider(q, cs, i, m)
		if found++; found == comparedCandidates {
			break
		}
	}
	if found < comparedCandidates || best.time > q.Remaining {
		best.scan(q, cs, m, local, below(mix(r), len(cs)))
	}
	return best
}

// scan compares all usable candidates from start on. After maxDraws candidates it
// stops as soon as the choice is in time.
func (b *choice) scan(q *UrgentQuery, cs []Candidate, m *serviceModel, local bool, start int) {
	for n := range cs {
		i := start + n
		if i >= len(cs) {
			i -= len(cs)
		}
		if (cs[i].Zone == q.Zone) != local || !usable(q, &cs[i]) {
			continue
		}
		b.consider(q, cs, i, m)
		if n >= maxDraws && b.time <= q.Remaining {
			return
		}
	}
}

func usable(q *UrgentQuery, c *Candidate) bool {
	if c.Leaving || c.Draining || c.Suspect || busySlots(c) >= c.Slots {
		return false
	}
	return !excluded(q, c)
}

func busySlots(c *Candidate) int { return max(c.InUse, 0) + max(c.Outstanding, 0) }

func excluded(q *UrgentQuery, c *Candidate) bool {
	for _, id := range q.Exclude {
		if id == c.Instance {
			return true
		}
	}
	return false
}

// predictDuration predicts the duration of the call on c. likely is a weighted mean
// of the measured and the learnt service time. The measured time is delayed and
// counts less the older the report is; the learnt time ignores properties of the
// instance. confirmed is the smaller of likely and measured*inflation. A call is
// refused as late only if confirmed exceeds the time left.
//
// Guards against: all calls with a deadline of 2 s are refused with "no backend
// server would answer before the deadline", although the service is fast. It comes
// about when the first calls of the service took 4 s. No call is tried then, so no
// measurement corrects the learnt time. Therefore an agent lowers the measured time
// while its instance has no calls, and calls are sent to an instance without a
// measured time.
func predictDuration(c *Candidate, m *serviceModel) (likely, confirmed time.Duration) {
	measured := max(c.ServiceTime, 0)
	if m.st == nil {
		return measured, measured
	}
	band := BandOf(busySlots(c)+1, c.Slots)
	inflation := m.m.inflation(m.st, band, c.Batch)
	learnt := time.Duration(m.st.undisturbedTime(band) * inflation * float64(time.Second))
	confirmed = time.Duration(float64(measured) * inflation)
	switch {
	case learnt == 0:
		likely = measured
	case measured == 0:
		likely = learnt
	default:
		trust := 0.5
		if c.Age > 0 {
			trust = 0.5 / (1 + float64(c.Age)/float64(staleAge))
		}
		likely = time.Duration(trust*float64(measured) + (1-trust)*float64(learnt))
	}
	return likely, min(likely, confirmed)
}

// penalizeOccupancy adds up to an eighth of t for slots in use, so that the emptier of
// two equal candidates is chosen. For the last free slot it adds another half:
// another entry's call or a task often takes the slot before the call arrives,
// and the refusal costs an attempt.
func penalizeOccupancy(t time.Duration, c *Candidate) time.Duration {
	t += (t/8 + 1) * time.Duration(busySlots(c)) / time.Duration(max(c.Slots, 1))
	if onLastSlot(c) {
		t += t / 2
	}
	return t
}

func onLastSlot(c *Candidate) bool { return c.Slots-busySlots(c) <= 1 }

func noCandidateHold(q *UrgentQuery, cs []Candidate, late bool) Hold {
	if late {
		return Hold{Reason: ReasonDeadline, Refusal: structs.RefusedDeadline}
	}
	leaving, tried, shortest := 0, 0, time.Duration(0)
	for i := range cs {
		c := &cs[i]
		switch {
		case c.Leaving || c.Draining || c.Suspect:
			leaving++
		case excluded(q, c):
			tried++
		case shortest == 0 || c.ServiceTime < shortest:
			shortest = c.ServiceTime
		}
	}
	switch {
	case leaving == len(cs):
		return Hold{Reason: ReasonLeaving, Refusal: structs.RefusedDraining}
	case leaving+tried == len(cs):
		return Hold{Reason: ReasonExcluded, Refusal: structs.RefusedNoCapacity}
	}
	return Hold{
		Reason:     ReasonBusy,
		Refusal:    structs.RefusedNoCapacity,
		RetryAfter: RetryAfter(len(cs), len(cs), max(shortest, minRetryAfter), q.Random),
	}
}
