package machine

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/rpc"
	"time"

	"crypto/rand"

	"persimmonrock.example/entry/intake"
	"persimmonrock.example/entry/relay"
	"persimmonrock.example/entry/scheduler"
	"persimmonrock.example/entry/watch"
	"persimmonrock.example/infra/policy"
	"persimmonrock.example/infra/rowstore/settle"
	"persimmonrock.example/infra/wait"
	"persimmonrock.example/platform/front"
	"persimmonrock.example/platform/operator"
	policyclient "persimmonrock.example/platform/policy"
	"persimmonrock.example/platform/store"
	"persimmonrock.example/wire/dispatch"
)

const (
	// grantShare is the fraction of the maximum lease that a scheduler grants.
	grantShare = 0.6
	// lingerAfterStop is the time for which a stopping entry still serves
	// calls, while the balancer detects that the entry is not ready.
	lingerAfterStop = 1200 * time.Millisecond
	// configTimeout bounds the time without data from the store in one attempt
	// to read the operator's rows. Further attempts run at the same time.
	configTimeout = 10 * time.Second
	// stopReserve is the end of the grace period that a stopping process leaves
	// unused, so that it ends before it is killed.
	stopReserve = 700 * time.Millisecond
)

// RunEntry runs an entry with the settings of the machine until SIGTERM or
// SIGINT, and returns the exit status. The arguments name the file with the
// scheduling policies, if any.
func RunEntry(ctx context.Context, args []string, stderr io.Writer) int {
	policies, status := parsePolicies(args, stderr)
	if status != exitOK {
		return status
	}
	p, err := newProgram()
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitSettings
	}
	p.policies = policies
	defer p.flush()
	if err := p.runEntry(ctx); err != nil {
		p.log.Error().Err(err).Msg("entry failed")
		return exitError
	}
	return exitOK
}

func (p *program) runEntry(ctx context.Context) error {
	ctx, cancel := p.stopSignal(ctx)
	defer cancel()
	direct := store.New(p.settings.StoreAddress)
	relayed := relay.New(direct, p.peerAddress(), dispatch.NewLink, p.log)
	rows := settle.New(relayed)
	clock := intake.NewStoreClock(sinceBoot)
	var elector *scheduler.Elector
	leader := func() *dispatch.Link { return elector.Leader() }
	relayed.AskForPeers(leader)
	hub := watch.NewHub(operator.ConfigKey.Table, sinceBoot)
	operatorRows := watch.NewReader(relayed.Reader(direct.WithIdleTimeout(configTimeout)), hub, leader)
	config := intake.NewFollower(operatorRows, intake.ConfigSource{Key: operator.ConfigKey, Parse: operator.ParseConfig, Drained: operator.Drained}, p.log, clock)
	counters := &scheduler.Counters{}
	elector = scheduler.NewElector(scheduler.Config{
		Node: p.settings.Node, Process: rand.Text(), Address: p.peerAddress(), Power: p.settings.Cores,
		Grant: time.Duration(grantShare * float64(p.settings.Bounds.MaxLease)), StatusFor: p.settings.Bounds.Status, RowBytes: p.settings.RowBytes,
		Policies: p.policies, MoveCosts: scheduler.MoveCosts{Stop: p.settings.Bounds.Stop, Restore: p.settings.Bounds.Restore},
	}, scheduler.Deps{Store: rows, Log: p.log, Now: sinceBoot, Config: config.Current, Drains: config.Drains, Link: dispatch.NewLink, CheckAddress: dispatch.CheckAddress, Policy: p.advisor(), Counters: counters, FreeMemory: newMemoryGauge(p.settings.MemoryBytes).free})
	service := intake.New(rows, config, elector, clock, p.log)
	server := rpc.NewServer()
	if err := server.RegisterName("Scheduler", &scheduler.Service{Elector: elector}); err != nil {
		return err
	}
	if err := server.RegisterName("Relay", relayed.Service()); err != nil {
		return err
	}
	if err := server.RegisterName("Watch", hub.Service()); err != nil {
		return err
	}
	if err := p.servePeers(server); err != nil {
		return err
	}
	pool := p.newClients(service.Limits)
	clients, err := p.serveClients(ctx, pool, front.Handler(service))
	if err != nil {
		return err
	}
	if _, err := p.serveHTTP(p.settings.ReadyListen, front.ReadyHandler(service.Ready)); err != nil {
		return err
	}
	p.serveMetrics(map[string]func() any{
		"clients":      func() any { return pool.Figures() },
		"intake":       func() any { return service.Counters.Figures() },
		"queue_config": func() any { return config.Figures() },
		"watch":        func() any { return operatorRows.Counters.Figures() },
		"scheduler":    func() any { return counters.Figures() },
		"store":        func() any { return map[string]any{"calls": direct.Usage(), "relayed": relayed.Relayed()} },
	})
	p.log.Info().Str("clients", p.settings.ClientListen).Str("peers", p.peerAddress()).Msg("entry started")
	// Store calls are still relayed and the configuration is still read after a
	// stop, while open calls are answered.
	go p.logStoreCalls(ctx, direct)
	go relayed.Run(context.WithoutCancel(ctx), p.settings.Node)
	go config.Run(context.WithoutCancel(ctx))
	elector.Run(ctx)
	go elector.Follow(context.WithoutCancel(ctx))
	return p.stopEntry(service, clients)
}

// storeLogInterval is the time between two log lines on the calls of the store.
const storeLogInterval = 20 * time.Second

// logStoreCalls logs the calls of the store so far until ctx ends.
func (p *program) logStoreCalls(ctx context.Context, client *store.Client) {
	for wait.For(ctx, storeLogInterval) {
		line := p.log.Info()
		for use, u := range client.Usage() {
			line = line.Ints64(use, []int64{u.Calls, u.Bytes})
		}
		line.Msg("calls and bytes of the store since the start")
	}
}

// stopEntry keeps serving clients for lingerAfterStop, then closes their
// connections as soon as these have no open call.
func (p *program) stopEntry(service *intake.Service, clients *http.Server) error {
	service.Stop()
	p.log.Info().Msg("entry stopping")
	time.Sleep(lingerAfterStop)
	ctx, cancel := context.WithTimeout(context.Background(), p.settings.Bounds.Grace-lingerAfterStop-stopReserve)
	defer cancel()
	return clients.Shutdown(ctx)
}

// advisor returns the client of the policy service, or nil if none is
// configured.
func (p *program) advisor() policy.Advisor {
	if p.settings.PolicyAddress == "" {
		return nil
	}
	return policyclient.New(p.settings.PolicyAddress)
}
