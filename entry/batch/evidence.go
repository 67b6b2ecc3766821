package batch

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// facts holds the latest state of the agents' lease rows that this entry
// read. A row's incarnation only rises, and within one incarnation fenced and
// released are final, so a fact once true stays true.
type facts struct {
	mu     sync.Mutex
	agents map[structs.InstanceID]*sighting[structs.AgentLease]
}

// proof says why a claim is known to have ended.
type proof int

// The proofs that a claim's task no longer runs.
const (
	noProof proof = iota
	// proofIncarnation: a newer agent has fenced the worker before it wrote
	// its incarnation.
	proofIncarnation
	// proofReleased: the agent stopped all tasks before it wrote the row.
	proofReleased
	// proofFenced: the row stayed unchanged for its whole length.
	proofFenced
)

// proofOf says whether lease i of an instance provably runs no task any more.
func (f *facts) proofOf(id structs.InstanceID, i structs.Incarnation) proof {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.agents[id]
	switch {
	case s == nil || s.lease.Incarnation < i:
		return noProof
	case s.lease.Incarnation > i:
		return proofIncarnation
	case s.lease.State == structs.LeaseReleased:
		return proofReleased
	case s.lease.State == structs.LeaseFenced:
		return proofFenced
	}
	return noProof
}

func (f *facts) voids(id structs.InstanceID, i structs.Incarnation) bool {
	return f.proofOf(id, i) != noProof
}

// see takes one reading of a row; a lower incarnation than known is dropped.
func (f *facts) see(row infra.Row, l structs.AgentLease, now time.Time, interval time.Duration) (s sighting[structs.AgentLease], blind bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.agents == nil {
		f.agents = make(map[structs.InstanceID]*sighting[structs.AgentLease])
	}
	known := f.agents[l.Instance]
	if known == nil {
		known = &sighting[structs.AgentLease]{}
		f.agents[l.Instance] = known
	}
	if row.Version >= known.version {
		blind = known.see(l, row.Version, l.Counter, now, interval)
	}
	return *known, blind
}

// observeAgents reads all lease rows and fences those that lapsed.
func (m *Manager) observeAgents(ctx context.Context) {
	sent := time.Now()
	pace := m.agentScanPace()
	rows := int64(0)
	var lapsed []sighting[structs.AgentLease]
	err := m.scan(ctx, structs.AgentLeasePrefix, func(r infra.Row) {
		rows++
		var l structs.AgentLease
		if json.Unmarshal(r.Value, &l) != nil || structs.AgentLeaseKey(l.Instance) != r.Key {
			m.broken("lease row %s can't be read", r.Key)
			return
		}
		s, blind := m.facts.see(r, l, sent, pace)
		if blind {
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
	m.wakeAll()
}

// fence writes that a lapsed lease is over. The write is conditional on the
// version that was seen unchanged, so that a holder that renewed in time, or
// a new incarnation, wins. With an unknown outcome the next reading tells.
func (m *Manager) fence(ctx context.Context, s sighting[structs.AgentLease]) {
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
	m.facts.see(infra.Row{Key: key, Version: versions[0]}, fenced, time.Now(), m.agentScanPace())
	m.count.agentsFenced.Add(1)
	m.deps.Events.Record(structs.Event{Step: StepAgentFenced, Peer: string(s.lease.Instance)})
	m.deps.Log.Warn().Str("instance", string(s.lease.Instance)).Msg("agent lease lapsed, fenced")
}

// confirmLease reads one agent's row now, because its agent says that it has
// a newer lease. What the row says counts, not what the agent said.
func (m *Manager) confirmLease(ctx context.Context, id structs.InstanceID) {
	sent := time.Now()
	row, err := m.get(ctx, structs.AgentLeaseKey(id))
	if err != nil {
		return
	}
	var l structs.AgentLease
	if json.Unmarshal(row.Value, &l) != nil || l.Instance != id {
		return
	}
	m.facts.see(row, l, sent, m.agentScanPace())
}

func (m *Manager) wakeAll() {
	for _, t := range m.tenures() {
		signal(t.plan)
	}
}

// requeueProven puts back every running job of the tenure whose lease is
// known to be over. An agent that says to have a newer lease than a job names
// has its row read first.
func (t *tenure) requeueProven(agents map[structs.InstanceID]AgentView) {
	for _, instance := range t.outdated(agents) {
		t.m.confirmLease(t.ctx, instance)
	}
	type claim struct {
		job   structs.Job
		proof proof
	}
	var over []claim
	t.mu.Lock()
	for instance, on := range t.running {
		if !t.m.facts.voids(instance, on.lowest) {
			continue
		}
		for id := range on.jobs {
			j := &t.jobs[id].job
			if why := t.m.facts.proofOf(instance, j.Incarnation); why != noProof {
				over = append(over, claim{*j, why})
			}
		}
	}
	t.mu.Unlock()
	for _, c := range over {
		t.requeue(c.job.ID, c.job.Epoch, c.proof)
	}
}

// outdated are the instances whose agent names a newer lease than one of
// their jobs, and whose row has not shown it yet.
func (t *tenure) outdated(agents map[structs.InstanceID]AgentView) (list []structs.InstanceID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for instance, on := range t.running {
		lease := agents[instance].Lease
		if lease <= on.lowest {
			continue
		}
		for id := range on.jobs {
			i := t.jobs[id].job.Incarnation
			if lease > i && !t.m.facts.voids(instance, i) {
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
