package urgent

import (
	"context"
	"slices"
	"sync"
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/structs"
)

// Bounds of hedging: a second attempt, at another instance and parallel to the
// first, when the first takes longer than 95 of 100 calls of the service do.
const (
	// latencyWindow is the number of durations kept per service, and
	// latencyUpdateEvery the number of new ones per update of the percentile.
	latencyWindow      = 256
	latencyUpdateEvery = 32
	// minHedgeDelay is the least time before a second attempt: an earlier one
	// would save less time than its round trip to another data centre takes.
	minHedgeDelay = 2 * time.Millisecond
	// maxServices bounds the services whose durations are kept.
	maxServices = 1024
)

// latencies keeps the recent durations of attempts of each service.
type latencies struct {
	mu       sync.Mutex
	services map[structs.Service]*latencyRing
	// minSamples is the number of durations below which calls of the service
	// are not hedged.
	minSamples int
}

type latencyRing struct {
	durations         []time.Duration
	next, sinceUpdate int
	p95               time.Duration
}

func newLatencies() *latencies {
	return &latencies{services: make(map[structs.Service]*latencyRing), minSamples: latencyUpdateEvery}
}

// add records the duration of an answered attempt, also if another attempt
// answered the call first: without these, slow attempts would be missing.
func (l *latencies) add(service structs.Service, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.services[service]
	if r == nil {
		if len(l.services) >= maxServices {
			clear(l.services)
		}
		r = &latencyRing{}
		l.services[service] = r
	}
	if len(r.durations) < latencyWindow {
		r.durations = append(r.durations, d)
	} else {
		r.durations[r.next] = d
		r.next = (r.next + 1) % latencyWindow
	}
	if r.sinceUpdate++; r.sinceUpdate >= latencyUpdateEvery {
		r.sinceUpdate = 0
		sorted := slices.Clone(r.durations)
		slices.Sort(sorted)
		r.p95 = sorted[len(sorted)*95/100]
	}
}

// p95 returns a service's 95th percentile, at least minHedgeDelay, 0 if unknown.
func (l *latencies) p95(service structs.Service) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.services[service]
	if r == nil || len(r.durations) < l.minSamples {
		return 0
	}
	return max(r.p95, minHedgeDelay)
}

// hedgeTicker returns a ticker for the second attempt, or nil if the call is
// not to be hedged. The ticker repeats, since a tick may find no candidate or no
// retry in the budget.
func (s *Server) hedgeTicker(a *attempts) *time.Ticker {
	if !a.idempotent {
		return nil
	}
	a.hedgeDelay = s.latencies.p95(a.request.Service)
	if a.hedgeDelay == 0 || a.hedgeDelay >= time.Until(a.deadline) {
		return nil
	}
	return time.NewTicker(a.hedgeDelay)
}

// hedge makes a second attempt parallel to the first, if there is a candidate
// and the customer's retry budget allows it. The first complete answer wins; all
// results count for the outcome of a refusal (mayHaveRun).
func (s *Server) hedge(ctx context.Context, a *attempts) {
	if a.count != 1 || len(a.inFlight) != 1 || ctx.Err() != nil {
		return
	}
	waited := time.Since(a.inFlight[0].sent)
	allowed := func(c decide.Candidate) bool {
		return underHalfFull(c) && s.budget.Hedge(a.request.Contract.Customer, a.idempotent, waited, a.hedgeDelay, time.Until(a.deadline))
	}
	if s.startIf(ctx, a, allowed) == nil {
		s.Counters.Hedges.Add(1)
		a.inFlight[1].hedge = true
	}
}

// underHalfFull reports whether less than half of the slots at c are taken.
//
// Failure guarded against: all calls become slower under load, each is hedged,
// and second attempts take the slots of other calls, which are refused.
func underHalfFull(c decide.Candidate) bool { return 2*(c.InUse+c.Outstanding) < c.Slots }
