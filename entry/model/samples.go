package model

import (
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

const (
	// maxKinds bounds the kinds of one measurement.
	maxKinds = 256
	// forgetAfter is the age at which an instance's last heartbeat is deleted.
	// By then the instance's agent has sent newer ones or no longer exists.
	forgetAfter    = time.Hour
	forgetInterval = time.Minute
)

// Counters count what was learnt from heartbeats.
type Counters struct {
	// Taken and Dropped count measurements. RegimeChanges counts the detected
	// changes of regime (see decide.InterferenceCounters).
	Taken, Dropped, RegimeChanges uint64
}

// Counters returns the counters so far.
func (s *Shared) Counters() Counters {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c := s.m.Counters()
	return Counters{Taken: c.Samples, Dropped: c.Dropped + s.rejected, RegimeChanges: c.RegimeChanges}
}

// Hello learns from the measurements of a heartbeat that arrived at time now.
//
// Failure guarded against: calls and tasks are placed by false measurements. It
// came about when a heartbeat was delivered twice, was overtaken by a later
// one, or came from an agent process that was replaced or counts wrongly. The
// count of dropped measurements shows such cases. Hello uses only a heartbeat
// newer than all earlier ones of its instance, and only measurements of
// services that the heartbeat lists, each once and with plausible values.
func (s *Shared) Hello(now time.Duration, r *wire.HelloRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetReports(now)
	if s.reports.Accept(now, now, &r.Load) != decide.ReportAccepted {
		s.rejected += uint64(len(r.Samples))
		return
	}
	for i := range r.Samples {
		if sample := &r.Samples[i]; !offers(&r.Load, sample.Service) || measuredBefore(r.Samples[:i], sample.Service) || !valid(sample) {
			s.rejected++
			continue
		}
		s.m.Observe(sampleOf(&r.Samples[i]))
	}
}

func (s *Shared) forgetReports(now time.Duration) {
	if now-s.lastForget >= forgetInterval {
		s.lastForget = now
		s.reports.ForgetBefore(now - forgetAfter)
	}
}

func offers(l *wire.Load, name structs.Service) bool {
	for i := range l.Services {
		if l.Services[i].Service == name {
			return true
		}
	}
	return false
}

func measuredBefore(earlier []wire.Sample, name structs.Service) bool {
	for i := range earlier {
		if earlier[i].Service == name {
			return true
		}
	}
	return false
}

// valid reports whether a sample has at most maxKinds kinds, each only once.
// The learner checks the values.
func valid(sample *wire.Sample) bool {
	if len(sample.Together) > maxKinds {
		return false
	}
	seen := make(map[structs.Kind]bool, len(sample.Together))
	for _, t := range sample.Together {
		if seen[t.Kind] {
			return false
		}
		seen[t.Kind] = true
	}
	return true
}

func sampleOf(sample *wire.Sample) decide.Sample {
	out := decide.Sample{
		Service: sample.Service, Band: decide.LoadBand(sample.Band), ServiceTime: sample.ServiceTime, Calls: sample.Calls,
		Together: make([]decide.KindCount, 0, len(sample.Together)),
	}
	for _, t := range sample.Together {
		out.Together = append(out.Together, decide.KindCount{Kind: t.Kind, Count: t.Count})
	}
	return out
}
