package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"persimmonrock.example/backend"
	"persimmonrock.example/infra/fault"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// fakeEntry acknowledges each message unless down or applyReport prevents it.
type fakeEntry struct {
	wire.EntryPeer
	mu      sync.Mutex
	down    bool
	slow    time.Duration
	next    time.Duration
	config  *structs.Config
	last    wire.HelloRequest
	hellos  int
	reports map[structs.JobID][]wire.TaskReport
	// applyReport, if set, processes a report and returns whether to
	// acknowledge it.
	applyReport func(wire.TaskReport) bool
}

func (e *fakeEntry) Hello(_ context.Context, r wire.HelloRequest) (wire.HelloReply, error) {
	e.mu.Lock()
	slow := e.slow
	e.mu.Unlock()
	time.Sleep(slow)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return wire.HelloReply{}, &wire.PeerError{Step: "Entry.Hello"}
	}
	e.last = r
	e.hellos++
	reply := wire.HelloReply{Next: e.next}
	if e.config != nil && e.config.Revision != r.Revision {
		reply.Config = e.config
	}
	return reply, nil
}

func (e *fakeEntry) Report(_ context.Context, r wire.ReportRequest) (wire.ReportReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	reply := wire.ReportReply{Settled: make([]bool, len(r.Reports))}
	if e.down {
		return reply, &wire.PeerError{Step: "Entry.Report"}
	}
	for i, one := range r.Reports {
		e.reports[one.Job] = append(e.reports[one.Job], one)
		reply.Settled[i] = e.applyReport == nil || e.applyReport(one)
	}
	return reply, nil
}

func (e *fakeEntry) Config(_ context.Context, r wire.ConfigRequest) (wire.ConfigReply, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return wire.ConfigReply{}, &wire.PeerError{Step: "Entry.Config"}
	}
	if e.config == nil || e.config.Revision <= r.Revision {
		return wire.ConfigReply{}, nil
	}
	return wire.ConfigReply{Revision: e.config.Revision, Config: e.config}, nil
}

func (e *fakeEntry) setSlow(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = d
}

func (e *fakeEntry) lastHello() wire.HelloRequest {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.last
}

func (e *fakeEntry) report(id structs.JobID) (wire.TaskReport, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.reports[id]) == 0 {
		return wire.TaskReport{}, false
	}
	return e.reports[id][0], true
}

// Entry implements wire.Dialer: every address is that of this entry.
func (e *fakeEntry) Entry(string) wire.EntryPeer { return e }

// Agent implements wire.Dialer.
func (e *fakeEntry) Agent(string) wire.AgentPeer { return nil }

// rig is one instance with fakes of the platform, one entry, and agents.
type rig struct {
	t       *testing.T
	entry   *fakeEntry
	store   *memory.Table
	table   *fault.Control
	objects *fault.Control
	// process, table and objects control the faults of the present agent's calls
	// to its worker and to the two stores. host.freeze freezes all.
	process *fault.Control
	bodies  *memory.Objects
	worker  *memory.Worker
	runs    *memory.RunRegistry
	config  Config
	ctx     context.Context
	// setAgent, kill and front are set by startServing.
	setAgent func(*Agent)
	kill     func()
	front    *httptest.Server
}

// steps is a batch program of 100 steps of 100 ms that saves its state after
// each.
func steps(ctx context.Context, t memory.Task) ([]byte, error) {
	at := byte(0)
	if len(t.Checkpoint) == 1 {
		at = t.Checkpoint[0]
	}
	for ; at < 100; at++ {
		if err := t.Step(ctx, 100*time.Millisecond); err != nil {
			return nil, err
		}
		t.Save([]byte{at + 1}, float64(at+1)/100)
	}
	return []byte("sum"), nil
}

func newRig(t *testing.T, ctx context.Context) *rig {
	runs := memory.NewRunRegistry(zerolog.Nop())
	return &rig{
		t: t, ctx: ctx, runs: runs, store: memory.NewTable(), bodies: memory.NewObjects(),
		table: fault.NewControl(1), objects: fault.NewControl(2), process: fault.NewControl(3),
		worker: memory.NewWorker(memory.WorkerOptions{
			Instance: "i1", Registry: runs, Kinds: map[structs.Kind]memory.Program{"steps": steps},
		}),
		entry: &fakeEntry{
			next: time.Second, reports: make(map[structs.JobID][]wire.TaskReport),
			config: &structs.Config{Revision: 1, Contracts: map[structs.Customer]structs.Contract{
				"granite": {Share: 1}, "kowhai": {Share: 0.5},
			}},
		},
		config: Config{
			Instance: "i1", Address: "agent", Seeds: []string{"entry"},
			Total: structs.Resources{Slots: 8}, Lease: time.Minute, WorkerLease: 5 * time.Second,
			AnnounceEvery: 20 * time.Millisecond, AnnounceTimeout: 2 * time.Second, Settle: 100 * time.Millisecond, Notice: 200 * time.Millisecond,
		},
	}
}

// agent starts an agent and returns it and a function that kills it.
func (r *rig) agent() (*Agent, func()) {
	r.t.Helper()
	wires := &connections{open: make(map[net.Conn]bool)}
	a, err := New(r.config, Deps{
		Table: fault.NewTable(r.store, r.table), Objects: fault.NewObjects(r.bodies, r.objects),
		Worker: fault.NewWorker(r.worker, r.process), Peers: r.entry, Log: zerolog.Nop(),
		HTTP: &http.Client{Transport: &http.Transport{DialContext: wires.dial, MaxIdleConnsPerHost: 8}},
	})
	if err != nil {
		r.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(r.ctx)
	done := make(chan struct{})
	go func() { _ = a.Run(ctx); close(done) }()
	return a, func() { wires.cut(true); cancel(); <-done }
}

// connections are one agent's open connections; killing the agent closes them.
type connections struct {
	mu     sync.Mutex
	open   map[net.Conn]bool
	killed bool
}

func (c *connections) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil || c.killed {
		return nil, errors.Join(err, net.ErrClosed)
	}
	c.open[conn] = true
	return conn, nil
}

func (c *connections) cut(killed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.killed = killed
	for conn := range c.open {
		conn.Close()
	}
	clear(c.open)
}

// startBackend starts a backend server behind its guard and announces it.
func (r *rig) startBackend(agentURL string, slots int, h http.HandlerFunc) (*backend.Server, *httptest.Server) {
	r.t.Helper()
	front := httptest.NewUnstartedServer(nil)
	guard := backend.New(backend.Config{
		Agent: agentURL, Name: "assay", Service: "assay-check", Address: "http://" + front.Listener.Addr().String(),
		CallPath: "/call", Slots: slots, Interval: 20 * time.Millisecond,
		HTTP: &http.Client{Timeout: time.Second},
	}, h)
	front.Config.Handler = guard
	front.Start()
	r.t.Cleanup(front.Close)
	go func() { _ = guard.Run(r.ctx) }()
	return guard, front
}

// announceAt serves the announce API at one address for successive agents.
func (r *rig) announceAt() (string, func(*Agent)) {
	var mu sync.Mutex
	var now *Agent
	front := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		mu.Lock()
		a := now
		mu.Unlock()
		if a == nil {
			http.Error(w, "down", http.StatusBadGateway)
			return
		}
		a.Handler().ServeHTTP(w, q)
	}))
	r.t.Cleanup(front.Close)
	return front.URL, func(a *Agent) {
		mu.Lock()
		defer mu.Unlock()
		now = a
	}
}

// call makes one urgent call of customer granite.
func call(a *Agent, id structs.RequestID, budget time.Duration, headers ...wire.Header) wire.CallReply {
	var reply wire.CallReply
	_ = a.RPC().Call(wire.CallRequest{
		Request: id, Customer: "granite", Service: "assay-check", Body: []byte(id), Budget: budget, Revision: 1,
		Headers: headers,
	}, &reply)
	return reply
}

// eventually waits up to ten seconds for a condition.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("condition not met within ten seconds: %s", what)
}

func ready(a *Agent) func() bool {
	return func() bool { return a.ledger.Offers().Ready > 0 && a.ledger.Revision() > 0 && a.Ready() == nil }
}
