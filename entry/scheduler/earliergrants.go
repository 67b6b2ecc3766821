package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
)

// earlierGrants bounds the leases that earlier schedulers may have granted to
// workers, on the clock of this process.
type earlierGrants struct {
	// end is when the last of these leases expires; ends holds earlier ends of some
	// workers.
	end  time.Duration
	ends map[workload.WorkerID]time.Duration
	// releasedBy is the epoch of the scheduler whose release of the lease was first
	// read at releasedAt; 0 if the lease was not released.
	releasedBy uint64
	releasedAt time.Duration
}

// boundSending bounds when the write of the lease row was sent, from an answer with
// the row that arrived at now: the store's clock has gone on by at least the
// difference since. Unlike a refused connection, which something on the way may have
// sent in place of a process that runs on, this holds whatever became of the holder.
// A clock that has jumped ahead does no more harm than to exclude the time since the
// version before was seen.
func (o *observations) boundSending(lease leaseRow, at rowstore.Stamp, now time.Duration) {
	ago := at.Now - time.Duration(lease.SentBy)*time.Millisecond
	if o.sentAfter == 0 || lease.SentBy <= 0 || at.Now <= 0 || ago <= 0 {
		return
	}
	bound := max(o.sentAfter, now-time.Duration((1-clockDrift)*float64(ago)))
	if o.sentBefore == 0 || bound < o.sentBefore {
		o.sentBefore = bound
	}
}

// earlierGrants returns the bound for a term that replaces the lease row last read.
// Its holder sent the transaction that wrote the row before firstRead and sentBefore,
// and no later one was stored.
func (e *Elector) earlierGrants(o *observations, lease leaseRow) earlierGrants {
	sentBefore := o.firstRead
	if o.sentBefore != 0 {
		sentBefore = min(sentBefore, o.sentBefore)
	}
	g := earlierGrants{end: sentBefore + validFor + time.Duration(clockDrift*float64(validFor)) + e.cfg.leaseLength()}
	if lease.Released {
		g.releasedBy, g.releasedAt = lease.Epoch, o.firstRead
	}
	return g
}

// endOf is when the last lease expires that earlier schedulers may have granted to
// the worker.
func (g *earlierGrants) endOf(id workload.WorkerID) time.Duration {
	if end, ok := g.ends[id]; ok {
		return min(end, g.end)
	}
	return g.end
}

// restore adopts what the earlier scheduler knew, if it wrote the row with its
// release.
func (g *earlierGrants) restore(row leaseEndsRow) {
	if g.releasedBy == 0 || row.Epoch != g.releasedBy {
		return
	}
	at := func(left int64) time.Duration { return g.releasedAt + time.Duration(left)*time.Millisecond }
	g.end = min(g.end, at(row.Others))
	g.ends = make(map[workload.WorkerID]time.Duration, len(row.Silent))
	for id, left := range row.Silent {
		g.ends[id] = at(left)
	}
}

// loadLeaseEnds reads the row that the earlier scheduler wrote with the release of
// its lease.
func (t *Term) loadLeaseEnds() error {
	if t.earlier.releasedBy == 0 {
		return nil
	}
	rows, err := t.listAll(leaseTable, schedulerPart)
	if err != nil {
		return err
	}
	for _, row := range rows {
		if row.Key != leaseEndsKey {
			continue
		}
		var ends leaseEndsRow
		err := decode(row, &ends)
		if err == nil {
			err = ends.check()
		}
		if err != nil {
			t.rejectRow(row, err)
			continue
		}
		t.earlier.restore(ends)
	}
	return nil
}

// leaseEndsKept is the time for which the end of a lost worker's last lease is
// still left to the next scheduler. By then, its loss is stored.
const leaseEndsKept = time.Minute

// leaseEndsValue encodes leaseEnds. Workers that don't fit into the row are left to its
// bound for all others, which is later; those whose leases end first are listed.
func (t *Term) leaseEndsValue() []byte {
	row := t.leaseEnds()
	ids := slices.SortedFunc(maps.Keys(row.Silent), func(a, b workload.WorkerID) int {
		return cmp.Or(cmp.Compare(row.Silent[a], row.Silent[b]), cmp.Compare(a, b))
	})
	value, _ := encodeMost(t.cfg.rowBytes(), len(ids), func(n int) any {
		listed := leaseEndsRow{Epoch: row.Epoch, Others: row.Others, Silent: map[workload.WorkerID]int64{}}
		for _, id := range ids[:n] {
			listed.Silent[id] = row.Silent[id]
		}
		return listed
	})
	return value
}

// leaseEnds returns what the next scheduler needs to know of the leases that may
// have been granted so far. It lists workers whose agents have not answered for a
// whole Watch call.
func (t *Term) leaseEnds() leaseEndsRow {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.deps.Now()
	left := func(end time.Duration) int64 { return max(0, end-now).Milliseconds() + 1 }
	row := leaseEndsRow{
		Epoch: t.epoch, Silent: map[workload.WorkerID]int64{},
		Others: left(max(now+t.cfg.leaseLength(), t.earlier.end)),
	}
	// The last lease of a worker that is in contact ends after renewed.
	renewed := now + t.cfg.leaseLength() - watchWait - watchSlack
	for id, w := range t.workers {
		if w.leaseEnd > 0 && w.leaseEnd < renewed && w.leaseEnd > now-leaseEndsKept {
			row.Silent[id] = left(w.leaseEnd)
		}
	}
	return row
}
