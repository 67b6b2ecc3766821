// Package tasks runs the batch tasks that were granted to an agent. It starts
// them on the worker, lets the worker's leases end before the agent's own,
// stops tasks on request, and reports each end until an entry confirms it as
// settled.
package tasks

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"persimmonrock.example/agent/ledger"
	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Config bounds a manager. All fields are required.
type Config struct {
	Instance structs.InstanceID
	// WorkerLease is how long the worker runs a task without a renewal.
	WorkerLease time.Duration
	// Poll is the time between two polls of the worker.
	Poll time.Duration
	// Timeout bounds one call to the worker, the object store or an entry.
	Timeout time.Duration
	// Retry is the first pause after a failed call, RetryMax the longest.
	Retry, RetryMax time.Duration
	// Report is the least time between two rounds of reports of ended tasks.
	Report time.Duration
}

// Lease returns the agent's lease and its time left, as lease.Keeper does.
type Lease interface {
	Held(now time.Time) (structs.Incarnation, time.Duration)
}

// Deps are the dependencies of a manager.
type Deps struct {
	Ledger  *ledger.Ledger
	Lease   Lease
	Worker  infra.Worker
	Objects infra.Objects
	Peers   wire.Dialer
	// Entries returns the addresses of the entries that are known.
	Entries func() []string
	Events  structs.Recorder
	Log     zerolog.Logger
}

// Key names one claim of a task.
type Key = ledger.TaskKey

// Steps of a task in the event log.
const (
	StepStart   structs.Step = "task-start"
	StepRefused structs.Step = "task-refused"
	StepEnd     structs.Step = "task-end"
	StepSettled structs.Step = "task-settled"
)

// Manager is safe for use by many goroutines.
type Manager struct {
	config Config
	deps   Deps
	// Counters may be read at any time.
	Counters Counters
	// Changed, if set before Run, is called when the summed speed of the tasks
	// of a kind changes: by 1 at a start, by -1 at an end at full speed. It
	// must not call the manager.
	Changed func(k structs.Kind, delta float64)

	ctx  context.Context
	wait sync.WaitGroup

	mu         sync.Mutex
	tasks      map[Key]*task
	tombstones tombstones
	outbox     outbox
}

// New returns a manager; Run starts it.
func New(c Config, d Deps) *Manager {
	return &Manager{
		config: c, deps: d,
		ctx:        context.Background(),
		tasks:      make(map[Key]*task),
		tombstones: newTombstones(),
		outbox:     newOutbox(),
	}
}

// Run renews the worker's leases, polls the worker and reports ends, until ctx
// ends.
func (m *Manager) Run(ctx context.Context) error {
	m.mu.Lock()
	m.ctx = ctx
	m.mu.Unlock()
	m.wait.Go(func() { m.repeat(ctx, m.config.WorkerLease/3, m.renewWorker) })
	m.wait.Go(func() { m.repeat(ctx, m.config.Poll, m.poll) })
	m.wait.Go(func() { m.deliverEnds(ctx) })
	<-ctx.Done()
	m.wait.Wait()
	return ctx.Err()
}

func (m *Manager) repeat(ctx context.Context, pause time.Duration, do func(context.Context)) {
	for {
		do(ctx)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
	}
}

// coversRenewal reports whether the time left of the agent's lease allows a
// renewal of the worker's lease.
//
// Guards against a task that outlives the agent's lease row and runs in two
// places. It comes about when the agent is paused between this check and the
// worker's receipt of the renewal. A renewal can take effect up to one worker
// lease after the check and lets the task run for one more: two must be left.
func (m *Manager) coversRenewal(left time.Duration) bool { return left > 2*m.config.WorkerLease }

// renewWorker extends the worker's leases of the tasks while enough of the
// agent's own lease is left; otherwise they expire.
func (m *Manager) renewWorker(ctx context.Context) {
	held, left := m.deps.Lease.Held(time.Now())
	if held == 0 {
		return
	}
	if !m.coversRenewal(left) {
		m.Counters.WorkerRenewSkipped.Add(1)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, min(m.config.Timeout, left-2*m.config.WorkerLease))
	defer cancel()
	if err := m.deps.Worker.Renew(ctx, held, m.config.WorkerLease); err == nil {
		m.Counters.WorkerRenewed.Add(1)
	}
}

// Start admits granted tasks. The reply has one element for each grant: nil if
// the task was admitted or is known already, else the refusal. A refused claim
// is never started afterwards, so its owner may reassign the job.
func (m *Manager) Start(grants []wire.TaskGrant) []*structs.Refusal {
	out := make([]*structs.Refusal, len(grants))
	for i, g := range grants {
		out[i] = m.startClaim(g)
		if out[i] != nil {
			m.Counters.Refused.Add(1)
			m.deps.Events.Record(structs.Event{
				Step: StepRefused, Job: g.Job, Epoch: g.Epoch, Customer: g.Customer,
				Detail: string(out[i].Type) + ": " + out[i].Detail,
			})
		}
	}
	return out
}

func (m *Manager) startClaim(g wire.TaskGrant) *structs.Refusal {
	now := time.Now()
	key := Key{Job: g.Job, Epoch: g.Epoch}
	held, left := m.deps.Lease.Held(now)
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tasks[key] != nil || m.tombstones.hasEnded(key) {
		m.Counters.SecondStarts.Add(1)
		return nil
	}
	if why := m.tombstones.refusal(key); why != nil {
		m.Counters.RefusedTombstone.Add(1)
		return why
	}
	refusal := m.admit(g, key, held, left, now)
	if refusal != nil {
		m.tombstones.refuse(key, refusal)
		return refusal
	}
	m.Counters.Granted.Add(1)
	t := newTask(m, g, key)
	m.tasks[key] = t
	m.wait.Go(func() { t.run(m.ctx) })
	return nil
}

func (m *Manager) admit(g wire.TaskGrant, key Key, held structs.Incarnation, left time.Duration, now time.Time) *structs.Refusal {
	if g.Instance != "" && g.Instance != m.config.Instance {
		return m.refusal(structs.RefusedFenced, "the claim names another instance", m.config.RetryMax)
	}
	if held == 0 || g.Incarnation != held {
		return m.refusal(structs.RefusedFenced, "the lease that the claim names is not held", m.config.RetryMax)
	}
	if !m.coversRenewal(left) {
		return m.refusal(structs.RefusedStore, "the agent's lease ends too soon", m.config.RetryMax)
	}
	why := m.deps.Ledger.Reserve(key, g.Customer, g.Spec.Kind, g.Spec.Declared, now)
	switch why {
	case ledger.Admitted:
		return nil
	case ledger.Draining:
		return m.refusal(structs.RefusedDraining, "the instance is stopping", m.config.RetryMax)
	case ledger.Share:
		return m.refusal(structs.RefusedShare, "the customer's share of this instance is used up", m.config.RetryMax)
	case ledger.NotReady:
		return m.refusal(structs.RefusedNotReady, "the agent has just started", m.config.RetryMax)
	case ledger.TooLarge:
		return m.refusal(structs.RefusedNoCapacity, "the declared size is above what the instance has", 0)
	}
	return m.refusal(structs.RefusedNoCapacity, "the instance is full", m.config.RetryMax)
}

func (m *Manager) refusal(t structs.RefusalType, detail string, after time.Duration) *structs.Refusal {
	return &structs.Refusal{
		Type: t, Status: 503, Outcome: structs.NotRun, Detail: detail, RetryAfter: after,
		Step: "Agent.Start", Peer: string(m.config.Instance),
	}
}

// Stop requests the stop of tasks. If the agent holds its lease, an unknown
// claim is reported as ended at once and never starts.
//
// Guards against a cancelled task that starts. It comes about when a
// cancellation overtakes the start of its task. Therefore the claim is recorded
// as refused, under the lock under which Start looks it up.
func (m *Manager) Stop(refs []wire.TaskRef, reason wire.StopReason) {
	held, _ := m.deps.Lease.Held(time.Now())
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, ref := range refs {
		key := Key{Job: ref.Job, Epoch: ref.Epoch}
		if t := m.tasks[key]; t != nil {
			t.requestStop(reason, false)
			continue
		}
		if m.tombstones.hasEnded(key) || held == 0 {
			continue
		}
		m.Counters.StopsBeforeStart.Add(1)
		m.tombstones.refuse(key, m.refusal(structs.RefusedConflict, "stopped before it started", 0))
		end := wire.EndNotStarted
		if reason == wire.StopCancelled {
			end = wire.EndCancelled
		}
		m.outbox.add(key, wire.TaskReport{Job: ref.Job, Shard: ref.Shard, Epoch: ref.Epoch, End: end})
	}
}

// Running returns the number of tasks that are not known to have stopped.
func (m *Manager) Running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, t := range m.tasks {
		if !t.stopped.Load() {
			n++
		}
	}
	return n
}

// Unsettled returns the number of tasks whose end no entry has confirmed.
func (m *Manager) Unsettled() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.tasks) + len(m.outbox.pending)
}

// EvictAll checkpoints and stops all tasks and reports their ends. Once force
// ends, tasks that cannot be checkpointed are stopped with their earlier
// checkpoint. EvictAll returns when all ends are settled, or with ctx's error.
func (m *Manager) EvictAll(ctx, force context.Context) error {
	forced := false
	for m.Unsettled() > 0 {
		forced = forced || force.Err() != nil
		m.mu.Lock()
		for _, t := range m.tasks {
			t.requestStop(wire.StopEvicted, forced)
		}
		m.mu.Unlock()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(m.config.Poll / 4):
		}
	}
	return nil
}
