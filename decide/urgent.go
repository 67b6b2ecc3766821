package decide

import (
	"time"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Candidate is one instance that offers the service, as an entry knows it.
type Candidate struct {
	Instance structs.InstanceID
	Zone     structs.DataCentre
	// Slots and InUse are of the service, from the last load report. Where the
	// instance has fewer free slots than the service, Slots is InUse plus
	// those, since calls and tasks share them.
	Slots, InUse int
	// ServiceTime is the recent median duration of a call there; 0 unknown.
	ServiceTime time.Duration
	// Leaving, Draining and Suspect instances get nothing new.
	Leaving, Draining, Suspect bool
	// Age is how old the load report is.
	Age   time.Duration
	Batch []wire.BatchLoad
	// Outstanding counts this entry's own calls in flight there that the
	// report may not show yet.
	Outstanding int
}

// UrgentQuery asks where one attempt of a call shall run.
type UrgentQuery struct {
	Service  structs.Service
	Customer structs.Customer
	// Zone is the entry's own data centre.
	Zone structs.DataCentre
	// Remaining is the time that the caller will still wait.
	Remaining time.Duration
	// Exclude lists instances that were tried.
	Exclude []structs.InstanceID
	// Random decides among equals; each attempt passes a fresh value.
	Random uint64
}

const (
	// remoteDelay is the round trip to another data centre.
	remoteDelay = 2 * time.Millisecond
	// probes bounds the random draws before a full scan.
	probes = 24
	// choices is how many usable candidates are compared.
	choices = 3
	// staleAge is from when on a report's service time counts for little.
	staleAge = 5 * time.Second
)

// ChooseUrgent returns the index of the candidate for the next attempt, or -1
// and why there is none. It compares three random usable candidates of the own
// data centre by predicted duration, and goes to another data centre only when
// the own one is full, on its last free slot, or would be late.
func ChooseUrgent(q UrgentQuery, cs []Candidate, m *Interference) (index int, hold Hold) {
	if len(cs) == 0 {
		return -1, Hold{Reason: ReasonNoBackend, Refusal: structs.RefusedUnknownService}
	}
	if q.Remaining <= 0 {
		return -1, Hold{Reason: ReasonLate, Refusal: structs.RefusedDeadline}
	}
	model := m.of(q.Service)
	local := pick(&q, cs, &model, true)
	inTime := local.index >= 0 && local.time <= q.Remaining
	if inTime && !lastSlot(&cs[local.index]) {
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
	return -1, whyNone(&q, cs, local.index >= 0 || remote.index >= 0)
}

// choice is the best candidate so far; index is -1 for none. score ranks it,
// time tells whether it is late.
type choice struct {
	index       int
	score, time time.Duration
}

// offer takes the candidate if it is the first, the only one in time, or the
// faster one of two that are alike in this.
func (b *choice) offer(q *UrgentQuery, cs []Candidate, i int, m *serviceModel) {
	likely, confirmed := predicted(&cs[i], m)
	offered := choice{i, crowded(likely, &cs[i]), confirmed}
	inTime, bestInTime := offered.time <= q.Remaining, b.time <= q.Remaining
	if b.index < 0 || inTime && !bestInTime || inTime == bestInTime && offered.score < b.score {
		*b = offered
	}
}

// pick draws at random until it has compared enough usable candidates of the
// own (or another) data centre. When few are usable it scans all of them from
// a random start, so that a single free one is always found.
func pick(q *UrgentQuery, cs []Candidate, m *serviceModel, local bool) choice {
	best, found := choice{index: -1}, 0
	r := q.Random
	for range min(probes, len(cs)) {
		r = mix(r)
		i := below(r, len(cs))
		if i == best.index || (cs[i].Zone == q.Zone) != local || !usable(q, &cs[i]) {
			continue
		}
		best.offer(q, cs, i, m)
		if found++; found == choices {
			break
		}
	}
	if found < choices || best.time > q.Remaining {
		best.scan(q, cs, m, local, below(mix(r), len(cs)))
	}
	return best
}

// scan compares all usable candidates from start on, and stops at one in time
// once it has looked at enough.
func (b *choice) scan(q *UrgentQuery, cs []Candidate, m *serviceModel, local bool, start int) {
	for n := range cs {
		i := start + n
		if i >= len(cs) {
			i -= len(cs)
		}
		if (cs[i].Zone == q.Zone) != local || !usable(q, &cs[i]) {
			continue
		}
		b.offer(q, cs, i, m)
		if n >= probes && b.time <= q.Remaining {
			return
		}
	}
}

func usable(q *UrgentQuery, c *Candidate) bool {
	if c.Leaving || c.Draining || c.Suspect || busy(c) >= c.Slots {
		return false
	}
	return !excluded(q, c)
}

func busy(c *Candidate) int { return max(c.InUse, 0) + max(c.Outstanding, 0) }

func excluded(q *UrgentQuery, c *Candidate) bool {
	for _, id := range q.Exclude {
		if id == c.Instance {
			return true
		}
	}
	return false
}

// predicted is how long the call would likely take on c. The measured service
// time lags, the learnt one does not know what is peculiar to the instance:
// each counts by the age of the report. confirmed is the part of that for which
// the instance's own calls speak; only by it is a call refused as late.
//
// Failure guarded against: the first calls of a service took 4 s, so all with
// a deadline of 2 s are refused from what was learnt of the service, and since
// none is tried nothing corrects it, however fast the service is by now. It
// shows as "no backend server would answer before the deadline" without end.
// The guard: the measured time of an instance without calls shrinks at its
// agent, and one that has none yet is tried.
func predicted(c *Candidate, m *serviceModel) (likely, confirmed time.Duration) {
	measured := max(c.ServiceTime, 0)
	if m.st == nil {
		return measured, measured
	}
	band := BandOf(busy(c)+1, c.Slots)
	inflation := m.m.inflation(m.st, band, c.Batch)
	learnt := time.Duration(m.st.aloneTime(band) * inflation * float64(time.Second))
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

// crowded adds up to an eighth for slots in use, so that among equals the
// emptier one wins, and half as much again for the last free slot: by the time
// the call arrives another entry, or a task, has often taken it, and the
// refusal costs an attempt.
func crowded(t time.Duration, c *Candidate) time.Duration {
	t += (t/8 + 1) * time.Duration(busy(c)) / time.Duration(max(c.Slots, 1))
	if lastSlot(c) {
		t += t / 2
	}
	return t
}

func lastSlot(c *Candidate) bool { return c.Slots-busy(c) <= 1 }

func whyNone(q *UrgentQuery, cs []Candidate, late bool) Hold {
	if late {
		return Hold{Reason: ReasonLate, Refusal: structs.RefusedDeadline}
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
