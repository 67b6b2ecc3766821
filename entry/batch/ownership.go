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

// levelPause is how long an entry levels out nothing after it took back a
// shard that no other entry wanted, and how long an entry that let a shard
// lapse is not counted on.
const levelPause = time.Minute

// observeShards reads the shard rows, drops tenures that were replaced, takes
// shards that are free and gives up what is beyond an even part.
func (m *Manager) observeShards(ctx context.Context) {
	sent := time.Now()
	var rows [structs.ShardCount]infra.Row
	var leases [structs.ShardCount]structs.ShardLease
	err := m.scan(ctx, structs.ShardPrefix, func(r infra.Row) {
		var l structs.ShardLease
		if json.Unmarshal(r.Value, &l) != nil || l.Shard >= structs.ShardCount {
			m.broken("shard row %s can't be read", r.Key)
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
		if m.shards[s].see(leases[s], rows[s].Version, leases[s].Counter, sent, m.cfg.ScanEvery) {
			m.count.observerBlind.Add(1)
		}
	}
	draining := m.draining
	m.mu.Unlock()
	m.dropReplaced()
	if !draining {
		m.takeFree(ctx)
		m.levelOut()
	}
}

// dropReplaced ends tenures whose row names a later epoch.
func (m *Manager) dropReplaced() {
	for _, t := range m.tenures() {
		m.mu.Lock()
		seen := m.shards[t.shard].lease
		m.mu.Unlock()
		if seen.Epoch > t.epoch {
			t.stop(errReplaced)
		}
	}
}

// evenPart is the number of shards that this entry should own at most.
func (m *Manager) evenPart() int {
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
	// An entry that let a shard lapse will not take others.
	for i := range m.shards {
		if s := &m.shards[i]; m.lapsed(s) && s.lease.Owner != m.cfg.Entry {
			m.distrusted[s.lease.Owner] = time.Now().Add(levelPause)
		}
	}
	for e, until := range m.distrusted {
		if time.Now().Before(until) {
			delete(live, e)
		}
	}
	return (structs.ShardCount + len(live) - 1) / len(live)
}

// lapsed reports whether the holder of a shard row has lost its lease.
func (m *Manager) lapsed(s *sighting[structs.ShardLease]) bool {
	return s.unchanged > s.lease.Length.Std()+m.cfg.LeaseMargin
}

// takeFree takes shards that nobody holds, up to the even part. A shard that
// stays free longer is taken in any case.
func (m *Manager) takeFree(ctx context.Context) {
	part := m.evenPart()
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
		// A row that names this entry without a tenure is left from a tenure
		// that ended or from this entry's former process: nobody else serves it.
		open := s.lease.Owner == "" || s.lease.Owner == m.cfg.Entry
		if open || m.lapsed(s) {
			patience := m.cfg.ShardLease
			if !open {
				patience += s.lease.Length.Std() + m.cfg.LeaseMargin
			}
			list = append(list, free{id, s.unchanged > patience})
		}
	}
	m.mu.Unlock()
	for _, f := range list {
		if len(m.tenures()) < part {
			m.take(ctx, f.shard)
		} else if f.orphan {
			m.take(ctx, f.shard)
			m.mu.Lock()
			m.levelAfter = time.Now().Add(levelPause)
			m.mu.Unlock()
		}
	}
}

// take raises the shard's epoch in this entry's name, by a conditional write.
// After an unknown outcome nothing is assumed: the next reading of the row
// shows this entry as owner or not, and in both cases the epoch is raised
// again before anything is served.
func (m *Manager) take(ctx context.Context, s structs.ShardID) {
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
	m.shards[s].see(lease, versions[0], lease.Counter, sent, m.cfg.ScanEvery)
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
	go t.write()
	if t.load() {
		go t.expire()
		t.work()
	}
	<-t.done
	t.m.drop(t)
}

// load reads all rows of the shard. Every older write of the shard is
// impossible since the epoch was raised, so what is read is final.
func (t *tenure) load() bool {
	for {
		rows := make(map[structs.JobID]structs.Job)
		versions := make(map[structs.JobID]uint64)
		err := t.m.scan(t.ctx, structs.JobShardPrefix(t.shard), func(r infra.Row) {
			var j structs.Job
			if json.Unmarshal(r.Value, &j) != nil {
				t.m.broken("job row %s can't be read", r.Key)
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
		r := t.store(rows[id], versions[id])
		r.mayHaveSent = r.job.State == structs.JobRunning
	}
	t.trim()
	t.loaded = true
	signal(t.plan)
}

// drop forgets an ended tenure.
func (m *Manager) drop(t *tenure) {
	m.mu.Lock()
	if m.owned[t.shard] == t {
		delete(m.owned, t.shard)
	}
	m.mu.Unlock()
	key := structs.ShardKey(t.shard)
	m.reserved.forget(t)
	if context.Cause(t.ctx) == errDrained {
		m.count.shardsReleased.Add(1)
		m.deps.Events.Record(structs.Event{Step: StepShardReleased, Peer: key, Epoch: t.epoch})
		return
	}
	m.count.shardsLost.Add(1)
	m.deps.Events.Record(structs.Event{Step: StepShardLost, Peer: key, Epoch: t.epoch})
	m.deps.Log.Info().Str("shard", key).Uint64("epoch", uint64(t.epoch)).Msg("shard lost")
}

// levelOut releases one shard while this entry owns more than its even part
// and every shard has an owner.
//
// Failure guarded against: an entry that is believed alive takes nothing, and
// shards are given up for it that nobody serves. It shows as a released shard
// that stays free. The guard: the next shard is released only after another
// entry took the last one, and not for a while after this entry had to take
// one back.
func (m *Manager) levelOut() {
	part := m.evenPart()
	owned := m.tenures()
	if len(owned) <= part || !m.allHeld() {
		return
	}
	slices.SortFunc(owned, func(a, b *tenure) int { return cmp.Compare(a.shard, b.shard) })
	owned[len(owned)-1].release()
}

// allHeld reports that every shard has an owner and levelling out may go on.
func (m *Manager) allHeld() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for i := range m.shards {
		if s := &m.shards[i]; s.lease.Owner == "" || m.lapsed(s) {
			return false
		}
	}
	return time.Now().After(m.levelAfter)
}

// release makes the writer finish what is pending and give the shard up.
func (t *tenure) release() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = true
	signal(t.wake)
}
