package machines

import (
	"context"
	"fmt"
	"net/rpc"
	"strings"
	"sync"
	"time"

	"persimmonrock.example/entry/intake"
	"persimmonrock.example/entry/relay"
	"persimmonrock.example/entry/scheduler"
	"persimmonrock.example/entry/watch"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/infra/rowstore/settle"
	"persimmonrock.example/infra/wait"
	"persimmonrock.example/wire/dispatch"
)

// Entry is the simulated machine of an entry process.
type Entry struct {
	simulation *Simulation
	Node       string
	clock      steadyClock

	mu      sync.Mutex
	process *entryProcess
	starts  int
}

type entryProcess struct {
	cancel  context.CancelFunc
	service *intake.Service
	elector *scheduler.Elector
	server  *server
	done    chan struct{}
}

// drainKey is the prefix of the key of a drain.
const drainKey = "drain/"

// operatorRows locates the rows that the operator writes.
var operatorRows = intake.ConfigSource{Key: rowstore.Key{Table: "op", Key: "config"}, Parse: parseConfig, Drained: func(key rowstore.Key) (string, bool, error) {
	name, ok := strings.CutPrefix(key.Key, drainKey)
	return name, ok, nil
}}

// Start starts the entry's process unless it already runs.
func (e *Entry) Start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		return
	}
	e.starts++
	sim := e.simulation
	ctx, cancel := context.WithCancel(context.Background())
	log := sim.newLog(e.Node).With().Int("start", e.starts).Logger()
	direct := &nodeStore{Store: sim.Store.Client(e.Node), simulation: sim, node: e.Node}
	indirect := relay.New(direct, e.Node, sim.link(e.Node), log)
	rows := settle.New(indirect)
	clock := intake.NewStoreClock(e.clock.now)
	configStore := &nodeStore{Store: sim.Store.ClientWithIdleTimeout(e.Node, configIdleTimeout), simulation: sim, node: e.Node}
	var elector *scheduler.Elector
	leader := func() *dispatch.Link { return elector.Leader() }
	indirect.AskForPeers(leader)
	hub := watch.NewHub(operatorRows.Key.Table, e.clock.now)
	config := intake.NewFollower(watch.NewReader(indirect.Reader(configStore), hub, leader), operatorRows, log, clock)
	elector = scheduler.NewElector(scheduler.Config{
		Node: e.Node, Process: fmt.Sprintf("%s/%d", e.Node, e.starts), Address: e.Node, Power: sim.power(e), Grant: grant, StatusFor: 2 * time.Minute, Policies: sim.opt.Policies,
	}, scheduler.Deps{
		Store: rows, Log: log, Now: e.clock.now, Config: config.Current, Drains: config.Drains, Link: sim.link(e.Node), Policy: sim.advisor, Counters: &scheduler.Counters{},
	})
	service := intake.New(rows, config, elector, clock, log)
	server := rpc.NewServer()
	must(server.RegisterName("Scheduler", &scheduler.Service{Elector: elector}))
	must(server.RegisterName("Relay", indirect.Service()))
	must(server.RegisterName("Watch", hub.Service()))
	p := &entryProcess{cancel: cancel, service: service, elector: elector, server: sim.listen(e.Node, server), done: make(chan struct{})}
	e.process = p
	go indirect.Run(ctx, e.Node)
	go config.Run(ctx)
	go func() {
		defer close(p.done)
		elector.Run(ctx)
	}()
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Kill ends the process at once. Its store calls in flight get no answer.
func (e *Entry) Kill() {
	e.mu.Lock()
	p := e.process
	e.process = nil
	e.mu.Unlock()
	if p == nil {
		return
	}
	e.simulation.unlisten(e.Node, p.server)
	e.simulation.Store.SetFault(e.Node, memstore.Unresponsive)
	p.cancel()
	<-p.done
	e.simulation.Store.SetFault(e.Node, memstore.Healthy)
}

// Stop shuts the process down gracefully.
func (e *Entry) Stop() {
	e.mu.Lock()
	p := e.process
	e.process = nil
	e.mu.Unlock()
	if p == nil {
		return
	}
	p.cancel()
	<-p.done
	e.simulation.unlisten(e.Node, p.server)
}

func (e *Entry) current() *entryProcess {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

// Service returns the entry's service for clients, or nil while the entry is
// down.
func (e *Entry) Service() *intake.Service {
	if p := e.current(); p != nil {
		return p.service
	}
	return nil
}

// nodeStore is a machine's access to the store; it fails while the machine is
// cut off.
type nodeStore struct {
	rowstore.Store
	simulation *Simulation
	node       string
}

// unreachable counts a call, and reports whether the machine is cut off.
func (c *nodeStore) unreachable(ctx context.Context) bool {
	c.simulation.countStoreCall(c.node)
	if !c.simulation.isCut(c.node) {
		return false
	}
	wait.For(ctx, dialTimeout)
	return true
}

// cannotRead reports whether the table is hidden from the machine.
func (c *nodeStore) cannotRead(table string) bool {
	return table == operatorRows.Key.Table && c.simulation.isHidden(c.node)
}

func (c *nodeStore) Apply(ctx context.Context, t rowstore.Txn) (rowstore.Stamp, error) {
	if c.unreachable(ctx) {
		return rowstore.Stamp{}, rowstore.ErrUnavailable
	}
	return c.Store.Apply(ctx, t)
}

func (c *nodeStore) List(ctx context.Context, table, part, from, to string) ([]rowstore.Row, bool, rowstore.Stamp, error) {
	if c.unreachable(ctx) || c.cannotRead(table) {
		return nil, false, rowstore.Stamp{}, rowstore.ErrUnavailable
	}
	return c.Store.List(ctx, table, part, from, to)
}

func (c *nodeStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Row, rowstore.Stamp, error) {
	if c.unreachable(ctx) || c.cannotRead(table) {
		return nil, rowstore.Stamp{}, rowstore.ErrUnavailable
	}
	return c.Store.Feed(ctx, table, after, wait)
}
