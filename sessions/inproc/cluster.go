package inproc

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/agent"
	"persimmonrock.example/backend"
	"persimmonrock.example/entry"
	"persimmonrock.example/infra/fault"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/ops/events"
	"persimmonrock.example/ops/keys"
	"persimmonrock.example/structs"
)

// API keys in a Cluster: the operator's, and the prefix of each customer's.
const (
	OperatorKey = "operator-key"
	customerKey = "key-of-"
)

// CustomerKey returns a customer's API key in a Cluster.
func CustomerKey(c structs.Customer) string { return customerKey + string(c) }

// ringSize is the number of events that a process keeps.
const ringSize = 1 << 15

// Cluster is one deployment that runs in a single process.
type Cluster struct {
	Net      *Network
	Web      *Web
	Table    *memory.Table
	Objects  *memory.Objects
	Registry *memory.RunRegistry
	Log      zerolog.Logger
	// AgentLease and WorkerLease are the lease durations of agents started
	// later.
	AgentLease, WorkerLease time.Duration
	// Kinds holds the programs of workers started later, by kind of task.
	Kinds map[structs.Kind]memory.Program

	mu        sync.Mutex
	entries   map[string]*Entry
	instances map[structs.InstanceID]*Instance
	rings     []*events.Ring
	ctx       context.Context
	cancel    context.CancelFunc
	started   int
	seed      uint64
}

// NewCluster returns a cluster without processes.
func NewCluster(seed uint64, log zerolog.Logger) *Cluster {
	ctx, cancel := context.WithCancel(context.Background())
	return &Cluster{
		Net: NewNetwork(seed), Web: NewWeb(), Table: memory.NewSeededTable(seed), Objects: memory.NewObjects(), Registry: memory.NewRunRegistry(log),
		Log: log, entries: make(map[string]*Entry), instances: make(map[structs.InstanceID]*Instance), ctx: ctx, cancel: cancel, seed: seed,
	}
}

// Close ends all processes immediately.
func (w *Cluster) Close() { w.cancel() }

// process is the common part of entries and agents.
type process struct {
	// Name is unique to the process; an address may be reused.
	Name  string
	Store *fault.Control
	// Local controls access to the worker on the same instance. Only freezing
	// or killing the process disconnects it from the worker.
	Local   *fault.Control
	Events  *events.Ring
	cancel  context.CancelFunc
	cluster *Cluster
}

// Kill ends the process as SIGKILL does: its later actions have no effect on
// others.
func (p *process) Kill() {
	p.Store.Cut(true)
	p.Local.Cut(true)
	p.cluster.Net.Kill(p.Name)
	p.cancel()
}

// Freeze suspends the process. To other processes this looks like SIGSTOP.
func (p *process) Freeze() {
	p.Store.Freeze()
	p.Local.Freeze()
	p.cluster.Net.Freeze(p.Name)
}

// Thaw resumes a frozen process.
func (p *process) Thaw() {
	p.Store.Unfreeze()
	p.Local.Unfreeze()
	p.cluster.Net.Thaw(p.Name)
}

func (w *Cluster) newProcess(address string) (process, context.Context) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	ctx, cancel := context.WithCancel(w.ctx)
	ring := events.New(address, ringSize)
	w.rings = append(w.rings, ring)
	return process{
		Name: fmt.Sprintf("%s#%d", address, w.started), Store: fault.NewControl(uint64(w.started)),
		Local: fault.NewControl(0), Events: ring, cancel: cancel, cluster: w,
	}, ctx
}

// Entry is one entry process.
type Entry struct {
	process
	*entry.Entry
	mux *http.ServeMux
}

// StartEntry starts an entry at address.
func (w *Cluster) StartEntry(address string) *Entry {
	p, ctx := w.newProcess(address)
	e := &Entry{process: p}
	w.mu.Lock()
	var seeds []string
	for other := range w.entries {
		seeds = append(seeds, other)
	}
	w.entries[address] = e
	w.mu.Unlock()
	e.Entry = entry.New(entry.Config{
		ID: structs.EntryID(p.Name), Zone: "dc-1", Address: address, Seeds: seeds, OperatorKeyHashes: []string{keys.Hash(OperatorKey)},
	}, entry.Deps{
		Table: fault.NewTable(w.Table, p.Store), Objects: fault.NewObjects(w.Objects, p.Store),
		Peers: w.Net.Dialer(p.Name), Events: p.Events, Log: w.Log,
	})
	e.mux = e.Mux()
	w.Net.ServeEntry(address, p.Name, e.RPC(), p.Events)
	go func() { _ = e.Run(ctx) }()
	return e
}

// Do sends one request to the entry's HTTP interface. The status is 0 if ctx
// ends before the answer or the entry is killed.
func (e *Entry) Do(ctx context.Context, method, path, key, body string, header ...string) Response {
	request := httptest.NewRequestWithContext(ctx, method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	done := make(chan Response, 1)
	go func() {
		e.cluster.Net.waitThawed(e.Name)
		recorder := httptest.NewRecorder()
		e.mux.ServeHTTP(recorder, request)
		e.cluster.Net.waitThawed(e.Name)
		done <- Response{Status: recorder.Code, Header: recorder.Header(), Body: recorder.Body.String()}
	}()
	select {
	case <-ctx.Done():
		return Response{}
	case r := <-done:
		if !e.cluster.Net.alive(e.Name) {
			return Response{}
		}
		return r
	}
}

// Response is an HTTP answer as received by the caller.
type Response struct {
	Status int
	Header http.Header
	Body   string
}

// Outcome returns the outcome of a problem document, or "".
func (r Response) Outcome() structs.Outcome {
	var doc struct{ Outcome structs.Outcome }
	_ = json.Unmarshal([]byte(r.Body), &doc)
	return doc.Outcome
}

// Instance is one instance: a worker, backend servers and an agent. The agent
// can be replaced while the worker and the servers keep running.
type Instance struct {
	ID      structs.InstanceID
	Worker  *memory.Worker
	Agent   *Agent
	slots   int
	cluster *Cluster
}

// Agent is one agent process.
type Agent struct {
	process
	*agent.Agent
}

// maxClockStart bounds the reading of a worker's clock when it starts.
const maxClockStart = 30 * 24 * time.Hour

// drawClockStart draws where the clock of an instance's worker starts.
func (w *Cluster) drawClockStart(id structs.InstanceID) time.Duration {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id)) // a hash never fails
	return time.Duration(rand.New(rand.NewPCG(w.seed, h.Sum64())).Int64N(int64(maxClockStart)))
}

// StartInstance starts a worker and an agent on an instance.
func (w *Cluster) StartInstance(id structs.InstanceID, slots int) *Instance {
	i := &Instance{ID: id, slots: slots, cluster: w, Worker: memory.NewWorker(memory.WorkerOptions{
		Instance: id, Kinds: w.Kinds, Registry: w.Registry, Log: w.Log, ClockStart: w.drawClockStart(id),
	})}
	w.mu.Lock()
	w.instances[id] = i
	w.mu.Unlock()
	i.StartAgent()
	return i
}

// StartAgent starts an agent in place of any earlier one.
func (i *Instance) StartAgent() *Agent {
	w := i.cluster
	address := string(i.ID)
	p, ctx := w.newProcess(address)
	a := &Agent{process: p}
	w.mu.Lock()
	var seeds []string
	for e := range w.entries {
		seeds = append(seeds, e)
	}
	w.mu.Unlock()
	var err error
	a.Agent, err = agent.New(agent.Config{
		Instance: i.ID, Zone: "dc-1", Address: address, Seeds: seeds, Lease: w.AgentLease, WorkerLease: w.WorkerLease,
		Total: structs.Resources{Slots: i.slots, MilliCores: 16000, MemoryBytes: 60 << 30, Connections: 60},
	}, agent.Deps{
		Table: fault.NewTable(w.Table, p.Store), Objects: fault.NewObjects(w.Objects, p.Store), Worker: fault.NewWorker(i.Worker, p.Local),
		Peers: w.Net.Dialer(p.Name), Events: p.Events, Log: w.Log, HTTP: w.Web.Client(),
	})
	if err != nil {
		panic(err)
	}
	i.Agent = a
	w.Net.ServeAgent(address, p.Name, a.RPC(), p.Events)
	w.Web.Serve("agent."+address, a.Handler())
	go func() { _ = a.Run(ctx) }()
	return a
}

// Backend is one backend server.
type Backend struct {
	*backend.Server
	cancel context.CancelFunc
}

// StartBackend starts a backend server on the instance.
func (i *Instance) StartBackend(service structs.Service, idempotent bool, slots int, h http.Handler) *Backend {
	w := i.cluster
	host := fmt.Sprintf("%s.%s", service, i.ID)
	b := backend.New(backend.Config{
		Agent: "http://agent." + string(i.ID), Name: string(service), Service: service, Address: "http://" + host,
		Idempotent: idempotent, Slots: slots, HTTP: w.Web.Client(),
	}, h)
	w.Web.Serve(host, b)
	ctx, cancel := context.WithCancel(w.ctx)
	go func() { _ = b.Run(ctx) }()
	return &Backend{Server: b, cancel: cancel}
}

// Contract writes a customer's contract through an entry.
func (w *Cluster) Contract(e *Entry, c structs.Customer, share float64, queue int) Response {
	body, _ := json.Marshal(structs.Contract{
		Customer: c, LatencyTarget: structs.Duration(2 * time.Second), BatchQueue: queue, Share: share,
		KeyHashes: []string{keys.Hash(CustomerKey(c))},
	})
	return e.Do(context.Background(), "PUT", "/v1/admin/contracts/"+string(c), OperatorKey, string(body))
}

// Timeline merges the events of all processes that ever ran, including killed
// ones.
func (w *Cluster) Timeline(request structs.RequestID, job structs.JobID) []structs.Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	parts := make([][]structs.Event, 0, len(w.rings))
	for _, r := range w.rings {
		parts = append(parts, r.Select(request, job, 0))
	}
	return events.Merge(parts)
}
