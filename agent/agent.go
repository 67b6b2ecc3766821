// Package agent implements the agent, the process beside the backend servers of
// an instance that decides what runs there. Urgent calls pass its admission
// ledger to the backend server; batch tasks run on the worker under the agent's
// lease.
//
// Design and alternatives: docs/notes/admission.md and
// docs/notes/agent-leases.md.
package agent

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"persimmonrock.example/agent/configuration"
	"persimmonrock.example/agent/lease"
	"persimmonrock.example/agent/ledger"
	"persimmonrock.example/agent/relief"
	"persimmonrock.example/agent/tasks"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Agent is safe for use by many goroutines.
type Agent struct {
	config    Config
	deps      Deps
	client    *http.Client
	ledger    *ledger.Ledger
	lease     *lease.Keeper
	tasks     *tasks.Manager
	relief    *relief.Controller
	entries   *entries
	contracts *configuration.Follower
	counters  counters

	// plannedMu serialises planned stops of the instance.
	plannedMu    sync.Mutex
	stopEviction context.CancelFunc
	runCtx       context.Context
	stopLease    context.CancelFunc
	leaseDone    chan struct{}
	ready        chan struct{}
}

// expireInterval is the time between checks for idle servers.
const expireInterval = 5 * time.Second

// New returns an agent that does nothing before Run.
func New(c Config, d Deps) (*Agent, error) {
	c = c.WithDefaults()
	if err := c.check(); err != nil {
		return nil, err
	}
	if d.Events == nil {
		d.Events = structs.NoEvents{}
	}
	a := &Agent{config: c, deps: d, client: callClient(d.HTTP), ready: make(chan struct{}), leaseDone: make(chan struct{})}
	a.ledger = ledger.New(ledger.Config{
		Instance: c.Instance, Total: c.Total, AnnounceTimeout: c.AnnounceTimeout, Retention: serverRetention,
		Settle: c.Settle, Survey: true, OnBroken: a.invariantBroken,
	})
	a.lease = lease.New(lease.Config{
		Instance: c.Instance, Address: c.Address, Zone: c.Zone, Length: c.Lease,
		Renew: renewInterval(c), Timeout: c.Timeout, Retry: min(time.Second, c.WorkerLease/4),
	}, d.Table, d.Worker)
	a.lease.HighestUsed = a.ledger.Incarnation
	a.lease.OnTaken = a.leaseTaken
	a.lease.OnLost = a.leaseLost
	a.entries = newEntries(a, c.Seeds)
	a.contracts = configuration.New(d.Table, a.entries.askConfig, a.applyConfig, func(what string) { a.invariantBroken(what, nil) })
	a.tasks = tasks.New(tasks.Config{
		Instance: c.Instance, WorkerLease: c.WorkerLease, Poll: min(200*time.Millisecond, c.WorkerLease/4),
		Timeout: c.Timeout, Retry: 100 * time.Millisecond, RetryMax: 5 * time.Second, Report: 50 * time.Millisecond,
	}, tasks.Deps{
		Ledger: a.ledger, Lease: a.lease, Worker: d.Worker, Objects: d.Objects, Peers: d.Peers,
		Entries: a.entries.addresses, Events: d.Events, Log: d.Log,
	})
	a.relief = relief.New(a.ledger, a.tasks, c.Total.MemoryBytes, d.Events, d.Log)
	return a, nil
}

// maxRenewInterval bounds the time between renewals of a lease of any length:
// observers count a lease from its last renewal. Renewals so rare cost little.
const maxRenewInterval = 30 * time.Second

func renewInterval(c Config) time.Duration { return min(maxRenewInterval, c.Lease/8) }

// Run runs the agent until ctx ends.
func (a *Agent) Run(ctx context.Context) error {
	leaseCtx, stopLease := context.WithCancel(ctx)
	a.plannedMu.Lock()
	a.runCtx, a.stopLease = ctx, stopLease
	a.plannedMu.Unlock()
	close(a.ready)
	var wait sync.WaitGroup
	wait.Go(func() {
		defer close(a.leaseDone)
		_ = a.lease.Run(leaseCtx)
	})
	wait.Go(func() { _ = a.tasks.Run(ctx) })
	wait.Go(func() { _ = a.relief.Run(ctx) })
	wait.Go(func() { a.entries.run(ctx) })
	wait.Go(func() { a.contracts.Run(ctx) })
	wait.Go(func() { a.expireServers(ctx) })
	wait.Go(func() { a.survey(ctx) })
	wait.Wait()
	return ctx.Err()
}

func (a *Agent) expireServers(ctx context.Context) {
	select {
	case <-ctx.Done():
		return
	case <-time.After(a.config.Settle):
		a.entries.wakeAll()
	}
	for {
		select {
		case <-ctx.Done():
			return
		case <-time.After(expireInterval):
			a.ledger.Expire(time.Now())
		}
	}
}

func (a *Agent) load() wire.Load {
	l := a.ledger.Load(time.Now())
	l.Instance = a.config.Instance
	return l
}

func (a *Agent) runsKind(k structs.Kind) bool {
	return len(a.config.Kinds) == 0 || slices.Contains(a.config.Kinds, k)
}

func (a *Agent) applyConfig(c structs.Config) bool {
	if !a.ledger.SetConfig(c) {
		return false
	}
	a.counters.configs.Add(1)
	a.deps.Events.Record(structs.Event{Step: StepConfig, Detail: uintText(uint64(c.Revision))})
	return true
}

func (a *Agent) leaseTaken(n structs.Incarnation) {
	a.ledger.SetLease(n)
	a.deps.Events.Record(structs.Event{Step: StepLeaseTaken, Detail: uintText(uint64(n))})
	a.deps.Log.Info().Uint64("incarnation", uint64(n)).Msg("lease taken")
	a.entries.wakeAll()
}

func (a *Agent) leaseLost(n structs.Incarnation) {
	a.deps.Events.Record(structs.Event{Step: StepLeaseLost, Detail: uintText(uint64(n))})
	a.deps.Log.Warn().Uint64("incarnation", uint64(n)).Msg("lease lost; taking it again")
}

// invariantBroken logs a violated invariant with the steps that preceded it.
func (a *Agent) invariantBroken(what string, recent []ledger.Step) {
	steps := zerolog.Arr()
	for _, s := range recent {
		steps.Interface(s)
	}
	a.deps.Log.Error().Str("invariant", what).Array("recent", steps).Msg("invariant broken")
}
