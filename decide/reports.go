package decide

import (
	"time"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// ReportVerdict is the result of the check of a load report.
type ReportVerdict string

// The verdicts. Only accepted reports may affect decisions.
const (
	ReportAccepted  ReportVerdict = "accepted"
	ReportDuplicate ReportVerdict = "twice"
	ReportOld       ReportVerdict = "old"
	ReportReplaced  ReportVerdict = "dead_incarnation"
	ReportFuture    ReportVerdict = "future"
	ReportAbsurd    ReportVerdict = "absurd"
)

// ReportCounters counts reports by verdict.
type ReportCounters struct {
	Accepted, Duplicate, Old, Replaced, Future, Absurd uint64
}

type lastReport struct {
	incarnation structs.Incarnation
	sequence    uint64
	taken       time.Duration
}

// Reports rejects load reports that must not be used: duplicate, older than the
// last accepted report, of a replaced incarnation, from the future, or with absurd
// values. The zero value is ready for use.
type Reports struct {
	last     map[structs.InstanceID]lastReport
	counters ReportCounters
}

// Limits of a report's values.
const (
	maxSlots       = 1 << 16
	maxServices    = 1024
	maxBatchGroups = 1 << 14
)

// Counters returns the counts so far.
func (r *Reports) Counters() ReportCounters { return r.counters }

// Accept checks the report l. taken is the time at which the sender measured l,
// and now is the receiver's time on the same clock. A receiver that doesn't know
// the time of measurement passes its own time for both.
func (r *Reports) Accept(now, taken time.Duration, l *wire.Load) ReportVerdict {
	v := r.judge(now, taken, l)
	switch v {
	case ReportAccepted:
		r.counters.Accepted++
		if r.last == nil {
			r.last = make(map[structs.InstanceID]lastReport)
		}
		r.last[l.Instance] = lastReport{l.Incarnation, l.Sequence, taken}
	case ReportDuplicate:
		r.counters.Duplicate++
	case ReportOld:
		r.counters.Old++
	case ReportReplaced:
		r.counters.Replaced++
	case ReportFuture:
		r.counters.Future++
	case ReportAbsurd:
		r.counters.Absurd++
	}
	return v
}

func (r *Reports) judge(now, taken time.Duration, l *wire.Load) ReportVerdict {
	if absurd(l) || taken < 0 {
		return ReportAbsurd
	}
	if taken > now {
		return ReportFuture
	}
	last, known := r.last[l.Instance]
	switch {
	case !known || l.Incarnation > last.incarnation:
		return ReportAccepted
	case l.Incarnation < last.incarnation:
		return ReportReplaced
	case l.Sequence == last.sequence:
		return ReportDuplicate
	case l.Sequence < last.sequence:
		return ReportOld
	}
	return ReportAccepted
}

// Forget deletes the state of an instance that was removed permanently.
func (r *Reports) Forget(i structs.InstanceID) { delete(r.last, i) }

// ForgetBefore deletes the state of instances whose last accepted report was
// taken before t, so that replaced instances don't accumulate.
func (r *Reports) ForgetBefore(t time.Duration) {
	for i, last := range r.last {
		if last.taken < t {
			delete(r.last, i)
		}
	}
}

func absurd(l *wire.Load) bool {
	if l.Instance == "" || !nonNegative(l.Total) || !nonNegative(l.Free) || !fits(l.Free, l.Total) || l.Total.Slots > maxSlots {
		return true
	}
	if len(l.Services) > maxServices || len(l.Batch) > maxBatchGroups {
		return true
	}
	for i := range l.Services {
		s := &l.Services[i]
		if s.Slots < 0 || s.InUse < 0 || s.Slots > maxSlots || s.InUse > maxSlots ||
			s.ServiceTime < 0 || s.ServiceTime > maxSampleDuration {
			return true
		}
	}
	for i := range l.Batch {
		if n := l.Batch[i].Running; n < 0 || n > maxSlots {
			return true
		}
	}
	return false
}
