package batch

import (
	"cmp"
	"context"
	"crypto/rand"
	"encoding/json"
	"slices"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// rebalancePause is the time for which an entry releases no shard after
// acquiring a shard beyond targetShards. For the same time, an entry that let a
// shard lapse doesn't count as alive.
const rebalancePause = time.Minute

// observeShards reads the shard rows, stops replaced tenures, acquires free
// shards and releases a shard if this entry owns too many.
func (m *Manager) observeShards(ctx context.Context) {
	sent := time.Now()
	var rows [structs.ShardCount]infra.Row
	var leases [structs.ShardCount]structs.ShardLease
	err := m.scan(ctx, structs.ShardPrefix, func(r infra.Row) {
		var l structs.ShardLease
		if json.Unmarshal(r.Value, &l) != nil || l.Shard >= structs.ShardCount {
			m.reportViolation("shard row %s can't be decoded", r.Key)
			return
		}
		rows[l.Shard] = r
		leases[l.Shard] = l
	})
	if err != nil {
		return
	}
	m.mu.Lock()
	for s := range rows {
		if m.shards[s].observe(leases[s], rows[s].Version, leases[s].Counter, sent, m.cfg.ScanEvery) {
			m.count.observerBlind.Add(1)
		}
	}
	draining := m.draining
	m.mu.Unlock()
	m.stopReplaced()
	if !draining {
		m.acquireFreeShards(ctx)
		m.rebalance()
	}
}

// stopReplaced ends the tenures whose shard row names a later epoch.
func (m *Manager) stopReplaced() {
	for _, t := range m.tenures() {
		m.mu.Lock()
		seen := m.shards[t.shard].lease
		m.mu.Unlock()
		if seen.Epoch > t.epoch {
			t.stop(errReplaced)
		}
	}
}

// targetShards is the largest number of shards that this entry should own, an
// even share of all shards.
func (m *Manager) targetShards() int {
	live := map[structs.EntryID]bool{m.cfg.Entry: true}
	for _, e := range m.deps.Directory.Entries() {
		live[e] = true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.shards {
		if s := &m.shards[i]; s.lease.Owner != "" {
			live[s.lease.Owner] = true
		}
	}
	// An entry that let a shard lapse is not expected to acquire others.
	for i := range m.shards {
		if s := &m.shards[i]; m.lapsed(s) && s.lease.Owner != m.cfg.Entry {
			m.excludedUntil[s.lease.Owner] = time.Now().Add(rebalancePause)
		}
	}
	for e, until := range m.excludedUntil {
		if time.Now().Before(until) {
			delete(live, e)
		}
	}
	return (structs.ShardCount + len(live) - 1) / len(live)
}

// lapsed reports whether the holder of a shard row has lost its lease.
func (m *Manager) lapsed(s *observedLease[structs.ShardLease]) bool {
	return s.unchanged > s.lease.Length.Std()+m.cfg.LeaseMargin
}

// acquireFreeShards acquires shards without a valid owner, up to the target. A
// shard that has stayed free for ShardLease is acquired even above the target.
func (m *Manager) acquireFreeShards(ctx context.Context) {
	target := m.targetShards()
	type free struct {
		shard  structs.ShardID
		orphan bool
	}
	var list []free
	m.mu.Lock()
	for i := range m.shards {
		s := &m.shards[i]
		id := structs.ShardID(i)
		if m.owned[id] != nil {
			continue
		}
		// This entry has no tenure of the shard. A row that names this entry was left
		// by an ended tenure or a former process: no other entry serves the shard.
		unowned := s.lease.Owner == "" || s.lease.Owner == m.cfg.Entry
		if unowned || m.lapsed(s) {
			orphanAfter := m.cfg.ShardLease
			if !unowned {
				orphanAfter += s.lease.Length.Std() + m.cfg.LeaseMargin
			}
			list = append(list, free{id, s.unchanged > orphanAfter})
		}
	}
	m.mu.Unlock()
	for _, f := range list {
		if len(m.tenures()) < target {
			m.acquireShard(ctx, f.shard)
		} else if f.orphan {
			m.acquireShard(ctx, f.shard)
			m.mu.Lock()
			m.rebalanceAfter = time.Now().Add(rebalancePause)
			m.mu.Unlock()
		}
	}
}

// acquireShard makes this entry the shard's owner at the next epoch, by a
// conditional write. After an unknown outcome nothing is assumed: the next read
// of the row shows the owner, and this entry raises the epoch again before it
// serves the shard.
func (m *Manager) acquireShard(ctx context.Context, s structs.ShardID) {
	m.mu.Lock()
	seen := m.shards[s]
	m.mu.Unlock()
	lease := structs.ShardLease{
		Shard: s, Owner: m.cfg.Entry, Epoch: seen.lease.Epoch + 1, Address: m.cfg.Address,
		Counter: seen.lease.Counter + 1, Length: structs.Duration(m.cfg.ShardLease),
	}
	key := structs.ShardKey(s)
	attempt, cancel := context.WithTimeout(ctx, m.cfg.StoreTimeout)
	defer cancel()
	m.count.writes.Add(1)
	sent := time.Now()
	versions, err := m.deps.Table.Commit(attempt, infra.Txn{
		Op:    string(m.cfg.Entry) + "/" + rand.Text(),
		Conds: []infra.Cond{{Key: key, Version: seen.version}},
		Puts:  []infra.Put{{Key: key, Value: encode(lease)}},
	})
	if err != nil {
		return
	}
	t := newTenure(ctx, m, lease, versions[0], sent)
	m.mu.Lock()
	m.owned[s] = t
	m.shards[s].observe(lease, versions[0], lease.Counter, sent, m.cfg.ScanEvery)
	m.mu.Unlock()
	m.count.shardsTaken.Add(1)
	m.deps.Events.Record(structs.Event{Step: StepShardTaken, Peer: key, Epoch: lease.Epoch})
	m.deps.Log.Info().Str("shard", key).Uint64("epoch", uint64(lease.Epoch)).Msg("shard taken")
	m.running.Add(1)
	go func() {
		defer m.running.Done()
		t.run()
	}()
}

// run loads the shard and serves it until the tenure ends.
func (t *tenure) run() {
	go t.writeLoop()
	if t.load() {
		go t.expire()
		t.workLoop()
	}
	<-t.done
	t.m.drop(t)
}

// load reads all rows of the shard. The store refuses writes of earlier epochs,
// so that the rows can't change after they are read.
func (t *tenure) load() bool {
	for {
		rows := make(map[structs.JobID]structs.Job)
		versions := make(map[structs.JobID]uint64)
		err := t.m.scan(t.ctx, structs.JobShardPrefix(t.shard), func(r infra.Row) {
			var j structs.Job
			if json.Unmarshal(r.Value, &j) != nil {
				t.m.reportViolation("job row %s can't be decoded", r.Key)
				return
			}
			rows[j.ID] = j
			versions[j.ID] = r.Version
		})
		if err == nil {
			t.install(rows, versions)
			return true
		}
		if !t.pause(t.m.cfg.ScanEvery) {
			return false
		}
	}
}

func (t *tenure) install(rows map[structs.JobID]structs.Job, versions map[structs.JobID]uint64) {
	ids := make([]structs.JobID, 0, len(rows))
	for id := range rows {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b structs.JobID) int { return cmp.Compare(rows[a].Submitted, rows[b].Submitted) })
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, id := range ids {
		r := t.setConfirmed(rows[id], versions[id])
		r.mayHaveSent = r.job.State == structs.JobRunning
	}
	t.offloadFinals()
	t.loaded = true
	signal(t.wakeWork)
}

func (m *Manager) drop(t *tenure) {
	m.mu.Lock()
	if m.owned[t.shard] == t {
		delete(m.owned, t.shard)
	}
	m.mu.Unlock()
	key := structs.ShardKey(t.shard)
	m.reserved.removeTenure(t)
	if context.Cause(t.ctx) == errDrained {
		m.count.shardsReleased.Add(1)
		m.deps.Events.Record(structs.Event{Step: StepShardReleased, Peer: key, Epoch: t.epoch})
		return
	}
	m.count.shardsLost.Add(1)
	m.deps.Events.Record(structs.Event{Step: StepShardLost, Peer: key, Epoch: t.epoch})
	m.deps.Log.Info().Str("shard", key).Uint64("epoch", uint64(t.epoch)).Msg("shard lost")
}

// rebalance releases one shard if this entry owns more than its target and
// every shard has an owner.
//
// Failure guarded against: an entry that counts as alive acquires no shard, and
// shards released to it stay free and unserved. The guard: the next shard is
// released only after another entry has acquired the previous one. For
// rebalancePause after this entry has exceeded its target, it releases none.
func (m *Manager) rebalance() {
	target := m.targetShards()
	owned := m.tenures()
	if len(owned) <= target || !m.mayRebalance() {
		return
	}
	slices.SortFunc(owned, func(a, b *tenure) int { return cmp.Compare(a.shard, b.shard) })
	owned[len(owned)-1].release()
}

// mayRebalance reports whether all shards have owners and the time is past
// rebalanceAfter.
func (m *Manager) mayRebalance() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.shards {
		if s := &m.shards[i]; s.lease.Owner == "" || m.lapsed(s) {
			return false
		}
	}
	return time.Now().After(m.rebalanceAfter)
}

// release makes the writer commit pending changes and release the shard.
func (t *tenure) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	signal(t.wakeWriter)
}
