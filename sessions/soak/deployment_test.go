package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/platform/standin"
	"persimmonrock.example/sessions/machines"
	"persimmonrock.example/structs/workload"
)

const (
	entries = 3
	seats   = 4
	// firstPort is the first port of each process on an address of its own.
	firstPort = 21700
	heartbeat = 500 * time.Millisecond
	// backAfter is how long a worker is away that was crashed by a run.
	backAfter = 1500 * time.Millisecond
)

var (
	capacity = workload.Resources{CPU: 8000, Memory: 32000}
	queue    = workload.Queue{Name: "q", Service: "s", MaxAttempts: 3, Stretch: 2, TargetLatency: time.Second}
)

// deployment is everything that one seed plays.
type deployment struct {
	t       *testing.T
	seed    uint64
	store   *memstore.Store
	rules   *machines.Rules
	entries []*process
	agents  []*process
	seats   []*seat
	// links are the relays to the store and to the workers.
	links []*relay
	mu    sync.Mutex
	lives int
}

// seat is the place of a worker: one life after another.
type seat struct {
	d      *deployment
	agent  *process
	mu     sync.Mutex
	worker *machines.Worker
}

func deploy(t *testing.T, seed uint64) *deployment {
	d := &deployment{t: t, seed: seed, store: memstore.New(seed), rules: machines.NewRules()}
	config, err := standin.Config(1, queue)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := d.store.Client("operator").Apply(t.Context(), config); err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	net := fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250))
	for n := range entries {
		m := standin.Machine{Node: fmt.Sprintf("entry-%d", n), IP: fmt.Sprintf("%s.%d", net, 1+n), Port: firstPort, Cores: 0.4}
		m.Store = d.link(standin.StoreHandler(d.store.Client(m.Node)))
		d.entries = append(d.entries, startProcess(t, dir, m, entryProgram, "entry"))
	}
	for n := range seats {
		s := &seat{d: d}
		s.begin()
		m := standin.Machine{Node: fmt.Sprintf("agent-%d", n), IP: fmt.Sprintf("%s.%d", net, 101+n), Port: firstPort, Cores: 0.24}
		m.Store = d.link(standin.StoreHandler(d.store.Client(m.Node)))
		m.Worker = d.link(standin.WorkerHandler(s))
		s.agent = startProcess(t, dir, m, agentProgram)
		d.agents = append(d.agents, s.agent)
		d.seats = append(d.seats, s)
		go s.report(t.Context())
	}
	return d
}

// link serves h behind a relay and returns the relay's address.
func (d *deployment) link(h http.Handler) string {
	s := httptest.NewServer(h)
	d.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	r := newRelay(d.t, strings.TrimPrefix(s.URL, "http://"))
	d.links = append(d.links, r)
	return r.address()
}

// client returns a client that keeps its connections.
func (d *deployment) client() *machines.Client {
	transport := &http.Transport{MaxIdleConnsPerHost: 4}
	d.t.Cleanup(transport.CloseIdleConnections)
	return machines.NewClient(d.rules, func(n int) machines.Jobs {
		return &standin.Client{Address: d.entries[n%entries].Clients(), HTTP: &http.Client{Transport: transport}}
	})
}

// begin begins a life of the seat's worker; an earlier one has crashed.
func (s *seat) begin() {
	s.d.mu.Lock()
	s.d.lives++
	life := s.d.lives
	s.d.mu.Unlock()
	info := workload.Worker{ID: workload.WorkerID(fmt.Sprintf("w-%d", life)), Service: queue.Service, Labels: []string{"a", "r1"}, Capacity: capacity}
	w := machines.NewWorker(info, s.d.rules, outcome, s.d.seed+uint64(life))
	w.OnCrash(func() {
		time.Sleep(backAfter)
		if s.life() == w {
			s.begin()
		}
	})
	s.mu.Lock()
	before := s.worker
	s.worker = w
	s.mu.Unlock()
	if before != nil {
		before.Crash()
	}
}

// outcome lets a task work for 0.2 to 1 s, the same at each run; the first task
// of a crashing client's job crashes its workers.
func outcome(r workload.RunID) machines.Outcome {
	return machines.Outcome{
		For:     time.Duration(200+100*((r.Task.Index*7+r.Task.Step*3)%9)) * time.Millisecond,
		Crashes: r.Task.Index == 0 && clientOf(r.Task.Job) == crashing,
	}
}

func (s *seat) life() *machines.Worker {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.worker
}

// report sends the worker's reports until ctx ends.
func (s *seat) report(ctx context.Context) {
	for n := uint64(1); ctx.Err() == nil; n++ {
		if info, alive := s.life().Info(); alive {
			sent, cancel := context.WithTimeout(ctx, time.Second)
			_ = standin.Report(sent, s.agent.Reports(), info, n) // repeated
			cancel()
		}
		time.Sleep(heartbeat)
	}
}

// Start implements workerctl.Control, as the others do for the life of now.
func (s *seat) Start(ctx context.Context, life workload.WorkerID, o workerctl.StartOrder) (workerctl.Clock, error) {
	return s.life().Start(ctx, life, o)
}

// Stop implements workerctl.Control.
func (s *seat) Stop(ctx context.Context, life workload.WorkerID, run workload.RunID, token uint64) (workerctl.Clock, error) {
	return s.life().Stop(ctx, life, run, token)
}

// Pace implements workerctl.Control.
func (s *seat) Pace(ctx context.Context, life workload.WorkerID, run workload.RunID, percent int, token uint64) (workerctl.Clock, error) {
	return s.life().Pace(ctx, life, run, percent, token)
}

// Hold implements workerctl.Control.
func (s *seat) Hold(ctx context.Context, life workload.WorkerID, o workerctl.HoldOrder) (workerctl.Listing, error) {
	return s.life().Hold(ctx, life, o)
}
