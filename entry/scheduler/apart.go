package scheduler

import (
	"time"
)

// apartPause is the time after which the writes of a job that the store has refused
// for good are tried again: they may have changed since.
const apartPause = 2 * time.Second

// store stores a transaction. Writes that the store refuses for good are found by
// halves and set apart. It returns false if the term ends.
//
// Failure guarded against: the store refuses one row, the scheduler repeats the
// transaction until it loses the lease, and so does each scheduler after it.
func (t *Term) store(x txn) bool {
	if x = t.withoutApart(x); x == nil {
		return t.commit(nil) == committed
	}
	switch t.commit(x) {
	case committed:
		t.applyCommitted(x)
		return true
	case termEnds:
		return false
	}
	if half := len(x) / 2; half > 0 {
		return t.store(x[:half]) && t.store(x[half:])
	}
	t.setApart(x[0])
	// The refused transaction has not renewed the lease.
	return t.commit(nil) == committed
}

// withoutApart returns the groups of x except for those of jobs that are set apart in
// this round: the writes of a job are stored in their order or not at all.
func (t *Term) withoutApart(x txn) txn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var kept txn
	for _, g := range x {
		if g.job == nil || g.job.apartUntil <= t.deps.Now() {
			kept = append(kept, g)
			continue
		}
		t.keepApart(g)
	}
	return kept
}

// setApart records that the store has refused a group.
func (t *Term) setApart(g group) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.deps.Counters.SetApart.Add(1)
	line := t.deps.Log.Error().Uint64("epoch", t.epoch)
	for _, p := range g.puts {
		line = line.Int(p.Key.Table+"/"+p.Key.Key, len(p.Value))
	}
	if g.job == nil {
		line.Int("deletes", len(g.deletes)).Msg("rows set apart: the store refuses them")
		return
	}
	line.Str("job", string(g.job.spec.ID)).Int("tasks", g.job.spec.Tasks()).Int("limit", t.cfg.RowBytes).
		Dur("retry", apartPause).Msg("job set apart: the store refuses its rows")
	g.job.apartUntil = t.deps.Now() + apartPause
	t.keepApart(g)
}

// keepApart makes a job's writes due again. What the store has of them is unknown
// except for the division into parts.
func (t *Term) keepApart(g group) {
	j := g.job
	t.apart[j] = true
	j.span, j.head = j.storedSpan, 0
	for _, p := range g.puts {
		if _, k, ok := splitPartKey(p.Key.Key); ok {
			j.parts[k] = 0
		}
	}
	for _, key := range g.deletes {
		if _, k, ok := splitPartKey(key.Key); ok {
			j.parts[k] = 0
		}
	}
	if g.stored != nil {
		for w, n := range g.stored.ends {
			j.noteEnd(w, n)
		}
	}
	t.markDirty(j)
}

// rejoin ends the setting apart of a job whose writes are stored.
func (t *Term) rejoin(j *job) {
	j.apartUntil = 0
	delete(t.apart, j)
}

// noteEnd records an end on w whose effect on the job is not stored.
func (j *job) noteEnd(w *worker, number uint64) {
	if j.unstoredEnds == nil {
		j.unstoredEnds = map[*worker]uint64{}
	}
	if n, ok := j.unstoredEnds[w]; !ok || number < n {
		j.unstoredEnds[w] = number
	}
}

// acknowledgeable returns the highest number up to n of an end on w that may be
// acknowledged: ends of jobs that are set apart are not stored.
func (t *Term) acknowledgeable(w *worker, n uint64) uint64 {
	for j := range t.apart {
		if first, ok := j.unstoredEnds[w]; ok {
			n = min(n, first-1)
		}
	}
	return n
}
