package batch

import (
	"maps"
	"slices"
	"time"

	"persimmonrock.example/structs"
)

// Bounds of the rate of placement.
const (
	// roundSize is the largest number of jobs of one customer that a round
	// considers for the first time in a sweep.
	roundSize = 64
	// headSize is the number of each customer's oldest jobs (heads) in every
	// round.
	headSize = 4
	// headEvery is the least time between rounds that consider the heads alone.
	headEvery = 500 * time.Millisecond
	// maxSweepPause is the longest pause after sweeps that placed nothing, while
	// free capacity still changes.
	maxSweepPause = 5 * time.Second
	// sweepEvery is the longest time between two sweeps of a queue. It bounds
	// the time for which capacity stays unused after an uncounted change.
	sweepEvery = 10 * time.Second
)

// sweep selects the queued jobs of a tenure for the next round. One sweep
// considers each queued job once, in rounds of a bounded size. The next sweep
// begins after a change that may have freed capacity, at the latest after
// sweepEvery.
//
// Failures guarded against: jobs that fit nowhere are planned again ten times a
// second, which keeps a core busy; jobs that would fit are never considered
// because the first jobs of the queue fit nowhere; a steady stream of new jobs
// keeps the old ones from being considered again. The guard: a sweep ends,
// since it covers only jobs that were queued when it began. New jobs join its
// rounds but don't prolong it, and the oldest jobs of each customer are part of
// every round.
type sweep struct {
	number uint64
	// active is set while the sweep has jobs left; upTo is the Submitted number
	// of the sweep's last job.
	active bool
	upTo   uint64
	// more is set while some queued jobs may still have to be considered.
	more bool
	// placed is set once the sweep has found a place for a job.
	placed bool
	// changes is the number of changes of capacity when the sweep began.
	changes uint64
	ended   time.Time
	pause   time.Duration
	// heads is the time at which the heads were last considered.
	heads time.Time
	// backoffEnd is the earliest end of a job's backoff, or zero.
	backoffEnd time.Time
}

// reconsiderAt makes the sweep consider a job again at the end of its backoff.
func (s *sweep) reconsiderAt(at time.Time) {
	if s.backoffEnd.IsZero() || at.Before(s.backoffEnd) {
		s.backoffEnd = at
	}
}

// due reports whether another sweep shall begin.
func (s *sweep) due(now time.Time, changes uint64) bool {
	waited := now.Sub(s.ended)
	return !s.active && (waited >= sweepEvery || changes != s.changes && waited >= s.pause)
}

func (s *sweep) begin(changes, upTo uint64) {
	s.number++
	s.active = true
	s.more = true
	s.placed = false
	s.changes = changes
	s.upTo = upTo
}

// end sets the pause until the next sweep: zero if this sweep placed a job,
// otherwise twice the last pause, bounded by parameter first and maxSweepPause.
func (s *sweep) end(now time.Time, first time.Duration) {
	s.active = false
	s.ended = now
	s.pause = min(maxSweepPause, max(first, 2*s.pause))
	if s.placed {
		s.pause = 0
	}
}

// roundDue reports whether a round of placement shall run now.
func (t *tenure) roundDue(now time.Time, changes uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := &t.sweep
	if len(t.queue) == 0 {
		return false
	}
	changes += t.claimEnds
	if s.due(now, changes) {
		s.begin(changes, t.submitted)
	}
	if !s.backoffEnd.IsZero() && !now.Before(s.backoffEnd) {
		s.backoffEnd = time.Time{}
		s.more = true
	}
	heads := changes != s.changes && now.Sub(s.heads) >= headEvery
	if s.more || heads {
		s.heads = now
		return true
	}
	return false
}

// candidates adds to s the jobs that the round considers, oldest first within a
// customer, and records whether the sweep leaves jobs for a later round.
func (t *tenure) candidates(s *Snapshot, slots int, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sweep.more = false
	olderLeft := false
	for _, c := range slices.Sorted(maps.Keys(t.queue)) {
		contract, known := t.m.deps.Contracts.Contract(c)
		if !known {
			continue
		}
		s.ShareSlots[c] = max(1, int(contract.Share*float64(slots)))
		s.HeldSlots[c] = t.tallies[c].heldSlots
		if next := t.pick(s, t.queue[c], now); next != nil {
			t.sweep.more = true
			olderLeft = olderLeft || next.job.Submitted <= t.sweep.upTo
		}
	}
	if t.sweep.active && !olderLeft {
		t.sweep.end(now, t.m.cfg.PlanEvery)
	}
}

// pick adds the jobs of one customer to a round and returns the first job that
// has to wait for a later round, or nil.
func (t *tenure) pick(s *Snapshot, queue []structs.JobID, now time.Time) *record {
	added := 0
	for i, id := range queue {
		r := t.jobs[id]
		considered := r.considered == t.sweep.number
		switch {
		case considered && i >= headSize:
			continue
		case now.Before(r.notBefore):
			t.sweep.reconsiderAt(r.notBefore)
			continue
		case t.m.reserved.has(t, id):
			continue
		case !considered && added == roundSize:
			return r
		}
		if !considered {
			added++
		}
		s.Queue = append(s.Queue, r.job)
	}
	return nil
}

func (t *tenure) markConsidered(id structs.JobID, reason string, placed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.jobs[id]
	if r == nil || r.job.State != structs.JobQueued {
		return
	}
	r.considered = t.sweep.number
	if placed {
		t.sweep.placed = true
		t.sweep.pause = 0
		return
	}
	r.waitReason = reason
}

// reconsider makes the next round consider a job again.
func (t *tenure) reconsider(id structs.JobID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.jobs[id]; r != nil {
		r.considered = 0
		t.sweep.more = true
	}
}
