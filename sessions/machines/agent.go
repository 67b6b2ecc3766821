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

// Agent is a machine with its worker and its agent process.
type Agent struct {
	simulation *Simulation
	Node       string
	dataCentre string
	clock      steadyClock

	mu      sync.Mutex
	worker  *Worker
	runner  *runner.Runner
	cancel  context.CancelFunc
	control *control
	server  *server
	// reportsLost drops all reports of the worker.
	reportsLost bool
}

// Worker returns the current incarnation of the worker.
func (a *Agent) Worker() *Worker {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.worker
}

// NewWorker starts a new incarnation of the worker; the previous one crashes.
func (a *Agent) NewWorker() {
	sim := a.simulation
	sim.mu.Lock()
	sim.incarnations++
	incarnation := sim.incarnations
	sim.mu.Unlock()
	id := workload.WorkerID(fmt.Sprintf("w-%d", incarnation))
	if sim.opt.KeepInstances {
		id = workload.NewWorkerID(a.Node, int64(incarnation))
	}
	info := workload.Worker{
		ID: id, Service: Service, DataCentre: a.dataCentre, Labels: []string{"a", "r1"}, Capacity: sim.opt.Capacity,
	}
	worker := NewWorker(info, sim.Rules, sim.opt.Outcome, sim.opt.Seed+uint64(incarnation))
	worker.advisor = sim.advisor
	if sim.opt.KeepInstances {
		worker.startClockAnew()
	}
	if sim.opt.LateInNextLife {
		worker.present = a.Worker
	}
	worker.OnCrash(func() {
		time.Sleep(sim.opt.restartDelay())
		if !sim.isClosed() && a.Worker() == worker {
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

// report sends the reports of one incarnation until it ends.
func (a *Agent) report(worker *Worker) {
	for n := worker.FirstReport(); ; n++ {
		worker.mu.Lock()
		alive, unresponsive, info := worker.alive, worker.unresponsive, worker.info
		worker.mu.Unlock()
		if !alive {
			return
		}
		a.mu.Lock()
		r, reportsLost := a.runner, a.reportsLost
		a.mu.Unlock()
		if r != nil && !unresponsive && !reportsLost {
			r.Reported(info, n)
		}
		time.Sleep(heartbeat)
	}
}

// StopWorker announces the end of the worker to the running agent, if any, and
// ends the worker.
func (a *Agent) StopWorker() {
	a.mu.Lock()
	worker, r := a.worker, a.runner
	a.mu.Unlock()
	if info, _ := worker.Info(); r != nil {
		r.Left(info.ID)
	}
	worker.Kill()
}

// SetReportsLost sets whether the worker's reports get lost. The worker still
// answers calls.
func (a *Agent) SetReportsLost(reportsLost bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reportsLost = reportsLost
}

// Start starts the agent's process unless it already runs.
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
	sim := a.simulation
	log := sim.newLog(a.Node)
	registration := runner.Registration{
		Store: &nodeStore{Store: sim.Store.Client(a.Node), simulation: sim, node: a.Node}, Node: a.Node, Address: a.Node, Log: log,
	}
	r := runner.New(runner.Config{MaxLease: longestLease}, runner.Deps{Control: c, Log: log, Now: a.clock.now, Found: registration.Record})
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
		a.server = sim.listen(a.Node, server)
	}
	a.mu.Unlock()
	go registration.Maintain(ctx, r)
	r.Run(ctx)
}

// Kill ends the agent's process at once. The worker keeps running.
func (a *Agent) Kill() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.cancel == nil {
		return
	}
	a.cancel()
	a.control.kill()
	a.cancel, a.runner = nil, nil
	a.simulation.unlisten(a.Node, a.server)
	a.server = nil
}

// Stop sends the agent's process the stop signal, and returns when the process
// has exited, at the end of the grace period.
func (a *Agent) Stop(grace time.Duration) {
	a.mu.Lock()
	r := a.runner
	a.mu.Unlock()
	if r != nil {
		r.Stop(context.Background(), grace)
	}
	a.Kill()
}

// Counters returns the counters of the running agent; they are zero while no
// agent runs.
func (a *Agent) Counters() runner.Counters {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.runner == nil {
		return runner.Counters{}
	}
	return a.runner.Counters()
}
