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
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/infra/rowstore/settle"
	"persimmonrock.example/infra/wait"
)

// Entry is an entry's machine.
type Entry struct {
	world *World
	Node  string

	mu      sync.Mutex
	process *entryProcess
	count   int
}

type entryProcess struct {
	cancel  context.CancelFunc
	service *intake.Service
	elector *scheduler.Elector
	server  *server
	done    chan struct{}
}

// drainKey begins the key of a drain.
const drainKey = "drain/"

// operatorRows is where the operator's rows are.
var operatorRows = intake.ConfigSource{Key: rowstore.Key{Table: "op", Key: "config"}, Parse: parseConfig, Drained: func(key rowstore.Key) (string, bool, error) {
	name, ok := strings.CutPrefix(key.Key, drainKey)
	return name, ok, nil
}}

// Start starts a process, unless one runs.
func (e *Entry) Start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process != nil {
		return
	}
	e.count++
	w := e.world
	ctx, cancel := context.WithCancel(context.Background())
	log := w.logOf(e.Node).With().Int("start", e.count).Logger()
	direct := &cutStore{Store: w.Store.Client(e.Node), world: w, node: e.Node}
	around := relay.New(direct, e.Node, w.link(e.Node), log)
	rows := settle.New(around)
	clock := intake.NewStoreClock(w.now)
	patient := &cutStore{Store: w.Store.PatientClient(e.Node, configSilence), world: w, node: e.Node}
	config := intake.NewFollower(around.Reader(patient), operatorRows, log, clock)
	elector := scheduler.NewElector(scheduler.Config{
		Node: e.Node, Process: fmt.Sprintf("%s/%d", e.Node, e.count), Address: e.Node, Power: w.power(e), Grant: grant, StatusFor: 2 * time.Minute,
	}, scheduler.Deps{
		Store: rows, Log: log, Now: w.now, Config: config.Current, Drains: config.Drains, Link: w.link(e.Node), Policy: w.advisor, Counters: &scheduler.Counters{},
	})
	service := intake.New(rows, config, elector, clock, log)
	server := rpc.NewServer()
	must(server.RegisterName("Scheduler", &scheduler.Service{Elector: elector}))
	must(server.RegisterName("Relay", around.Service()))
	p := &entryProcess{cancel: cancel, service: service, elector: elector, server: w.listen(e.Node, server), done: make(chan struct{})}
	e.process = p
	go around.Run(ctx, e.Node)
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

// Kill ends the process at once: what it has under way at the store is lost
// to it.
func (e *Entry) Kill() {
	e.mu.Lock()
	p := e.process
	e.process = nil
	e.mu.Unlock()
	if p == nil {
		return
	}
	e.world.unlisten(e.Node, p.server)
	e.world.Store.SetFault(e.Node, memstore.Silent)
	p.cancel()
	<-p.done
	e.world.Store.SetFault(e.Node, memstore.Healthy)
}

// Stop ends the process in an orderly way.
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
	e.world.unlisten(e.Node, p.server)
}

func (e *Entry) current() *entryProcess {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.process
}

// Service returns the entry's service for clients, or nil while it is down.
func (e *Entry) Service() *intake.Service {
	if p := e.current(); p != nil {
		return p.service
	}
	return nil
}

// cutStore is the store as seen from a machine that may be cut off.
type cutStore struct {
	rowstore.Store
	world *World
	node  string
}

func (c *cutStore) away(ctx context.Context) bool {
	if !c.world.isCut(c.node) {
		return false
	}
	wait.For(ctx, dialSilence)
	return true
}

// hides reports whether the machine can't read the table.
func (c *cutStore) hides(table string) bool {
	return table == operatorRows.Key.Table && c.world.isHidden(c.node)
}

func (c *cutStore) Apply(ctx context.Context, t rowstore.Txn) (rowstore.Stamp, error) {
	if c.away(ctx) {
		return rowstore.Stamp{}, rowstore.ErrUnavailable
	}
	return c.Store.Apply(ctx, t)
}

func (c *cutStore) List(ctx context.Context, table, part, from, to string) ([]rowstore.Row, bool, rowstore.Stamp, error) {
	if c.away(ctx) || c.hides(table) {
		return nil, false, rowstore.Stamp{}, rowstore.ErrUnavailable
	}
	return c.Store.List(ctx, table, part, from, to)
}

func (c *cutStore) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Row, rowstore.Stamp, error) {
	if c.away(ctx) || c.hides(table) {
		return nil, rowstore.Stamp{}, rowstore.ErrUnavailable
	}
	return c.Store.Feed(ctx, table, after, wait)
}
