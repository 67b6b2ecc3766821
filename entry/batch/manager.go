package batch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"persimmonrock.example/entry/retention"
	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// Steps of the events that a Manager records.
const (
	StepShardTaken    structs.Step = "shard-taken"
	StepShardReleased structs.Step = "shard-released"
	StepShardLost     structs.Step = "shard-lost"
	StepAgentFenced   structs.Step = "agent-fenced"
	StepJobState      structs.Step = "job-state"
)

// Manager owns queue shards for one entry and schedules their batch jobs.
type Manager struct {
	cfg  Config
	deps Deps

	count       counters
	brokenOnce  sync.Once
	agentLeases agentLeases
	// leaseRows is the number of lease rows in the last complete scan.
	leaseRows atomic.Int64
	retention *retention.Counter
	reserved  reservations
	view      agentsView

	mu       sync.Mutex
	owned    map[structs.ShardID]*tenure
	shards   [structs.ShardCount]observedLease[structs.ShardLease]
	draining bool
	// rebalanceAfter is the earliest time at which rebalance may release a shard.
	rebalanceAfter time.Time
	// excludedUntil holds the entries that let a shard lapse, with the time at
	// which each counts as alive again.
	excludedUntil map[structs.EntryID]time.Time
	ctx           context.Context
	running       sync.WaitGroup
}

// New returns a Manager that owns no shard until Run is called.
func New(cfg Config, deps Deps) *Manager {
	if deps.Events == nil {
		deps.Events = structs.NoEvents{}
	}
	cfg = cfg.withDefaults()
	return &Manager{
		cfg: cfg, deps: deps, retention: retention.New(deps.Table, "jobs", cfg.JobRetention),
		owned: make(map[structs.ShardID]*tenure), ctx: context.Background(),
		excludedUntil: make(map[structs.EntryID]time.Time),
	}
}

// Run acquires shards and schedules their jobs until ctx ends. Ending ctx
// leaves the shard rows as they are; call Drain first for a planned stop.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	m.running.Add(2)
	go func() {
		defer m.running.Done()
		m.retention.Run(ctx)
	}()
	go func() {
		defer m.running.Done()
		m.watchAgents(ctx)
	}()
	m.every(ctx, m.cfg.ScanEvery, m.observeShards)
	m.running.Wait()
	return ctx.Err()
}

// every calls f at once and again one interval after each return.
func (m *Manager) every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	for ctx.Err() == nil {
		f(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(interval):
		}
	}
}

// Drain commits pending changes and releases all shards, so that other
// entries acquire them at once. It returns when all are released or ctx ends.
func (m *Manager) Drain(ctx context.Context) error {
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	for _, t := range m.tenures() {
		t.release()
	}
	for _, t := range m.tenures() {
		select {
		case <-t.done:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

func (m *Manager) tenures() []*tenure {
	m.mu.Lock()
	defer m.mu.Unlock()
	all := make([]*tenure, 0, len(m.owned))
	for _, t := range m.owned {
		all = append(all, t)
	}
	return all
}

// tenure returns the tenure that serves s now, or nil.
func (m *Manager) tenure(s structs.ShardID) *tenure {
	m.mu.Lock()
	t := m.owned[s]
	m.mu.Unlock()
	if t == nil || !t.serving() {
		return nil
	}
	return t
}

// get reads one row within StoreTimeout.
func (m *Manager) get(ctx context.Context, key string) (infra.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, m.cfg.StoreTimeout)
	defer cancel()
	m.count.reads.Add(1)
	return m.deps.Table.Get(ctx, key)
}

const scanPage = 1000

// scan reads all rows under prefix, page by page.
func (m *Manager) scan(ctx context.Context, prefix string, row func(infra.Row)) error {
	after := ""
	for {
		page, cancel := context.WithTimeout(ctx, m.cfg.StoreTimeout)
		m.count.reads.Add(1)
		rows, err := m.deps.Table.Scan(page, prefix, after, scanPage)
		cancel()
		if err != nil {
			return err
		}
		for _, r := range rows {
			row(r)
		}
		if len(rows) < scanPage {
			return nil
		}
		after = rows[len(rows)-1].Key
	}
}
