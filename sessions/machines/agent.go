package machines

import (
	"context"
	"fmt"
	"net/rpc"
	"sync"
	"time"

	"persimmonrock.example/agent/runner"
	"persimmonrock.example/structs/workload"
)

// Agent is the machine of a worker.
type Agent struct {
	world *World
	Node  string
	// dataCentre is that of the machine.
	dataCentre string

	mu      sync.Mutex
	worker  *Worker
	runner  *runner.Runner
	cancel  context.CancelFunc
	control *control
	server  *server
	// held says that no report of the worker arrives.
	held bool
}

// Worker is the life of the worker that is there now.
func (a *Agent) Worker() *Worker {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.worker
}

// NewWorker begins a new life of the worker; an earlier one has crashed.
func (a *Agent) NewWorker() {
	w := a.world
	w.mu.Lock()
	w.lives++
	life := w.lives
	w.mu.Unlock()
	info := workload.Worker{
		ID: workload.WorkerID(fmt.Sprintf("w-%d", life)), Service: Service, DataCentre: a.dataCentre, Labels: []string{"a", "r1"}, Capacity: w.opt.Capacity,
	}
	worker := NewWorker(info, w.Rules, w.opt.Outcome, w.opt.Seed+uint64(life))
	worker.advisor = w.advisor
	worker.OnCrash(func() {
		time.Sleep(w.opt.backAfter())
		if !w.isClosed() && a.Worker() == worker {
			a.NewWorker()
		}
	})
	a.mu.Lock()
	before := a.worker
	a.worker = worker
	a.mu.Unlock()
	if before != nil {
		before.Crash()
	}
	go a.report(worker)
}

// report sends the reports of one life.
func (a *Agent) report(worker *Worker) {
	for n := uint64(1); ; n++ {
		worker.mu.Lock()
		alive, dark, info := worker.alive, worker.dark, worker.info
		worker.mu.Unlock()
		if !alive {
			return
		}
		a.mu.Lock()
		r, held := a.runner, a.held
		a.mu.Unlock()
		if r != nil && !dark && !held {
			r.Reported(info, n)
		}
		time.Sleep(heartbeat)
	}
}

// Leave lets the worker say that it ends, and end.
func (a *Agent) Leave() {
	a.mu.Lock()
	worker, r := a.worker, a.runner
	a.mu.Unlock()
	if info, _ := worker.Info(); r != nil {
		r.Left(info.ID)
	}
	worker.Kill()
}

// HoldReports sets whether the worker's reports get lost, though it answers.
func (a *Agent) HoldReports(held bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held = held
}

// Start starts the agent's process, unless one runs.
func (a *Agent) Start() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.cancel = cancel
	a.control = &control{agent: a}
	go a.run(ctx, a.control)
}

func (a *Agent) run(ctx context.Context, c *control) {
	w := a.world
	log := w.logOf(a.Node)
	registration := runner.Registration{
		Store: &cutStore{Store: w.Store.Client(a.Node), world: w, node: a.Node}, Node: a.Node, Address: a.Node, Log: log,
	}
	r := runner.New(runner.Config{MaxLease: longestLease}, runner.Deps{Control: c, Log: log, Now: w.now, Found: registration.Record})
	a.mu.Lock()
	if ctx.Err() == nil {
		a.runner = r
	}
	a.mu.Unlock()
	token, before, err := registration.Register(ctx)
	if err != nil {
		return
	}
	r.Registered(token, before)
	server := rpc.NewServer()
	must(server.RegisterName("Agent", runner.NewRPC(ctx, r)))
	a.mu.Lock()
	if ctx.Err() == nil {
		a.server = w.listen(a.Node, server)
	}
	a.mu.Unlock()
	r.Run(ctx)
}

// Kill ends the agent's process at once. Its worker lives on.
func (a *Agent) Kill() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel == nil {
		return
	}
	a.cancel()
	a.control.kill()
	a.cancel, a.runner = nil, nil
	a.world.unlisten(a.Node, a.server)
	a.server = nil
}

// Counters returns the figures of the agent that runs.
func (a *Agent) Counters() runner.Counters {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runner == nil {
		return runner.Counters{}
	}
	return a.runner.Counters()
}
