package batch

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// agentLeases holds the latest state of the agents' lease rows that this entry
// has read. A row's incarnation only rises, and the states fenced and released
// are final within one incarnation: a lease that has ended stays ended.
type agentLeases struct {
	mu     sync.Mutex
	agents map[structs.InstanceID]*observedLease[structs.AgentLease]
}

// proof is the reason why a claim is known to have ended.
type proof int

// The proofs that a claim's task no longer runs.
const (
	noProof proof = iota
	// proofIncarnation: the row names a newer agent process, which fenced the
	// worker before writing the row.
	proofIncarnation
	// proofReleased: the agent stopped all tasks before it released the lease.
	proofReleased
	// proofFenced: an entry saw the row unchanged for the lease's full length.
	proofFenced
)

// proofOf returns the proof that no task of an instance's lease runs any more,
// or noProof.
func (f *agentLeases) proofOf(id structs.InstanceID, incarnation structs.Incarnation) proof {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.agents[id]
	switch {
	case s == nil || s.lease.Incarnation < incarnation:
		return noProof
	case s.lease.Incarnation > incarnation:
		return proofIncarnation
	case s.lease.State == structs.LeaseReleased:
		return proofReleased
	case s.lease.State == structs.LeaseFenced:
		return proofFenced
	}
	return noProof
}

func (f *agentLeases) leaseEnded(id structs.InstanceID, incarnation structs.Incarnation) bool {
	return f.proofOf(id, incarnation) != noProof
}

// observe records one reading of a row, unless a newer version is known.
func (f *agentLeases) observe(row infra.Row, l structs.AgentLease, now time.Time, interval time.Duration) (s observedLease[structs.AgentLease], late bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.agents == nil {
		f.agents = make(map[structs.InstanceID]*observedLease[structs.AgentLease])
	}
	known := f.agents[l.Instance]
	if known == nil {
		known = &observedLease[structs.AgentLease]{}
		f.agents[l.Instance] = known
	}
	if row.Version >= known.version {
		late = known.observe(l, row.Version, l.Counter, now, interval)
	}
	return *known, late
}

// observeAgents reads all lease rows and fences the lapsed leases.
func (m *Manager) observeAgents(ctx context.Context) {
	sent := time.Now()
	interval := m.agentScanInterval()
	rows := int64(0)
	var lapsed []observedLease[structs.AgentLease]
	err := m.scan(ctx, structs.AgentLeasePrefix, func(r infra.Row) {
		rows++
		var l structs.AgentLease
		if json.Unmarshal(r.Value, &l) != nil || structs.AgentLeaseKey(l.Instance) != r.Key {
			m.reportViolation("lease row %s can't be decoded", r.Key)
			return
		}
		s, late := m.agentLeases.observe(r, l, sent, interval)
		if late {
			m.count.observerBlind.Add(1)
		}
		if l.State == structs.LeaseActive && s.unchanged > l.Length.Std()+m.cfg.LeaseMargin {
			lapsed = append(lapsed, s)
		}
	})
	if err == nil {
		m.leaseRows.Store(rows)
	}
	for _, s := range lapsed {
		m.fence(ctx, s)
	}
	m.wakeAllTenures()
}

// fence marks a lapsed lease as fenced. The write is conditional on the version
// that was seen unchanged, so it fails if the holder has renewed in time or a
// new incarnation has written the row. If the outcome is unknown, the next scan
// shows whether the lease is fenced.
func (m *Manager) fence(ctx context.Context, s observedLease[structs.AgentLease]) {
	key := structs.AgentLeaseKey(s.lease.Instance)
	fenced := s.lease
	fenced.State = structs.LeaseFenced
	attempt, cancel := context.WithTimeout(ctx, m.cfg.StoreTimeout)
	defer cancel()
	m.count.writes.Add(1)
	versions, err := m.deps.Table.Commit(attempt, infra.Txn{
		Op:    string(m.cfg.Entry) + "/fence/" + key,
		Conds: []infra.Cond{{Key: key, Version: s.version}},
		Puts:  []infra.Put{{Key: key, Value: encode(fenced)}},
	})
	if err != nil {
		return
	}
	m.agentLeases.observe(infra.Row{Key: key, Version: versions[0]}, fenced, time.Now(), m.agentScanInterval())
	m.count.agentsFenced.Add(1)
	m.deps.Events.Record(structs.Event{Step: StepAgentFenced, Peer: string(s.lease.Instance)})
	m.deps.Log.Warn().Str("instance", string(s.lease.Instance)).Msg("lapsed agent lease marked as fenced")
}

// rereadLease reads one agent's row at once, because the agent reports a newer
// lease. Only the row, not the report, proves that the older lease has ended.
func (m *Manager) rereadLease(ctx context.Context, id structs.InstanceID) {
	sent := time.Now()
	row, err := m.get(ctx, structs.AgentLeaseKey(id))
	if err != nil {
		return
	}
	var l structs.AgentLease
	if json.Unmarshal(row.Value, &l) != nil || l.Instance != id {
		return
	}
	m.agentLeases.observe(row, l, sent, m.agentScanInterval())
}

func (m *Manager) wakeAllTenures() {
	for _, t := range m.tenures() {
		signal(t.wakeWork)
	}
}

// requeueEndedClaims requeues the running jobs whose agent lease is known to
// have ended. It first rereads the lease rows of the instances that
// instancesWithNewerLease returns.
func (t *tenure) requeueEndedClaims(agents map[structs.InstanceID]AgentView) {
	for _, instance := range t.instancesWithNewerLease(agents) {
		t.m.rereadLease(t.ctx, instance)
	}
	type claim struct {
		job   structs.Job
		proof proof
	}
	var endedClaims []claim
	t.mu.Lock()
	for instance, on := range t.running {
		if !t.m.agentLeases.leaseEnded(instance, on.lowestLease) {
			continue
		}
		for id := range on.jobs {
			j := &t.jobs[id].job
			if why := t.m.agentLeases.proofOf(instance, j.Incarnation); why != noProof {
				endedClaims = append(endedClaims, claim{*j, why})
			}
		}
	}
	t.mu.Unlock()
	for _, c := range endedClaims {
		t.requeue(c.job.ID, c.job.Epoch, c.proof)
	}
}

// instancesWithNewerLease returns the instances whose agent reports a newer
// lease than the lease of one of their running jobs. Jobs whose lease is known
// to have ended don't count.
func (t *tenure) instancesWithNewerLease(agents map[structs.InstanceID]AgentView) (list []structs.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for instance, on := range t.running {
		lease := agents[instance].Lease
		if lease <= on.lowestLease {
			continue
		}
		for id := range on.jobs {
			i := t.jobs[id].job.Incarnation
			if lease > i && !t.m.agentLeases.leaseEnded(instance, i) {
				list = append(list, instance)
				break
			}
		}
	}
	return list
}

func (t *tenure) requeue(id structs.JobID, e structs.Epoch, why proof) {
	c := t.requeueChange(id, e)
	c.settle = func(j structs.Job, err error) {
		if err != nil {
			return
		}
		switch why {
		case proofIncarnation:
			t.m.count.requeuedByIncarnation.Add(1)
		case proofReleased:
			t.m.count.requeuedByRelease.Add(1)
		case proofFenced:
			t.m.count.requeuedByLapse.Add(1)
		}
		t.jobEvent(j)
	}
	t.submit(c)
}

func (t *tenure) jobEvent(j structs.Job) {
	t.m.deps.Events.Record(structs.Event{
		Step: StepJobState, Job: j.ID, Customer: j.Customer, Epoch: j.Epoch,
		Peer: string(j.Instance), Detail: string(j.State),
	})
}
