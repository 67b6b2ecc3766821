package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/agent"
	"persimmonrock.example/infra/fault"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

const (
	agentLease = 40 * time.Second
	agentSlots = 8
)

// agentNode is one agent process. ctl controls the agent's network; link
// controls the connection between the agent and its worker.
type agentNode struct {
	wire.AgentAPI
	id   string
	ctl  *fault.Control
	link *fault.Control
	// last is the latest heartbeat that an entry received, which puts the agent
	// into the directory.
	last wire.HelloRequest
}

// instance holds what outlives an agent: the worker and its tasks.
type instance struct {
	worker *memory.Worker
	fails  bool
}

// startAgent starts a new agent on an instance. A missing instance is created.
func (w *cluster) startAgent(id string) *agentNode {
	w.mu.Lock()
	in := w.instances[id]
	if in == nil {
		in = &instance{}
		in.worker = memory.NewWorker(memory.WorkerOptions{
			Instance: structs.InstanceID(id), Registry: w.runs, Kinds: map[structs.Kind]memory.Program{
				"grade": func(ctx context.Context, t memory.Task) ([]byte, error) { return w.grade(ctx, in, t) },
			},
		})
		w.instances[id] = in
	}
	w.mu.Unlock()
	n := &agentNode{id: id, ctl: fault.NewControl(1), link: fault.NewControl(2)}
	a, err := agent.New(agent.Config{
		Instance: structs.InstanceID(id), Address: id, Seeds: []string{"e0", "e1", "e2"}, Lease: w.lease,
		Total: structs.Resources{Slots: w.slots},
	}, agent.Deps{
		Table: fault.NewTable(w.table, n.ctl), Objects: w.objects, Worker: fault.NewWorker(in.worker, n.link),
		Peers: &dialer{w, n.ctl}, Log: zerolog.Nop(),
	})
	if err != nil {
		w.t.Fatal(err)
	}
	n.AgentAPI = a.RPC()
	w.mu.Lock()
	w.agents[id] = n
	w.mu.Unlock()
	w.wait.Go(func() { a.Run(w.ctx) })
	return n
}

// grade is the program of a task: steps of one second, each with a checkpoint.
// A start of a job that has a final state or no row is recorded in w.broken.
func (w *cluster) grade(ctx context.Context, in *instance, t memory.Task) ([]byte, error) {
	w.checkNotFinal(t, "starts")
	for left := w.runTime - time.Duration(len(t.Checkpoint))*time.Second; left > 0; left -= time.Second {
		if err := t.Step(ctx, min(left, time.Second)); err != nil {
			return nil, err
		}
		t.Checkpoint = append(t.Checkpoint, '.')
		t.Save(t.Checkpoint, float64(len(t.Checkpoint))*float64(time.Second)/float64(w.runTime))
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if in.fails {
		return nil, errors.New("bad sample")
	}
	return t.Checkpoint, nil
}

func (w *cluster) checkNotFinal(t memory.Task, what string) {
	customer, _, _ := strings.Cut(string(t.Job), "-")
	row, err := w.table.Get(context.Background(), structs.JobKey(structs.ShardOf(structs.Customer(customer)), t.Job))
	var j structs.Job
	json.Unmarshal(row.Value, &j)
	if err != nil || j.State.Final() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.broken = append(w.broken, fmt.Sprintf("job %s %s at epoch %d though it is %q at %d: %v",
			t.Job, what, t.Epoch, j.State, j.Epoch, w.runs.Runs(t.Job)))
	}
}

// killAgent ends an agent as SIGKILL does: its connections stay cut. The tasks
// run until the worker's lease ends or a new agent fences the worker.
func (w *cluster) killAgent(id string) {
	w.mu.Lock()
	n := w.agents[id]
	delete(w.agents, id)
	w.mu.Unlock()
	if n != nil {
		n.ctl.Cut(true)
		n.link.Cut(true)
	}
}

// freeze suspends an agent for the duration d, as SIGSTOP does.
func (w *cluster) freeze(n *agentNode, d time.Duration) {
	n.ctl.Freeze()
	n.link.Freeze()
	w.runAfter(d, func() {
		n.link.Unfreeze()
		n.ctl.Unfreeze()
	})
}

func (w *cluster) evict(n *agentNode) {
	r := wire.StopRequest{Reason: wire.StopEvicted}
	for id, j := range w.jobs() {
		if j.State == structs.JobRunning && string(j.Instance) == n.id {
			r.Tasks = append(r.Tasks, wire.TaskRef{Job: id, Shard: j.Shard, Epoch: j.Epoch})
		}
	}
	n.Stop(r, nil)
}

// runAfter runs f after d unless the cluster stops first.
func (w *cluster) runAfter(d time.Duration, f func()) {
	w.wait.Go(func() {
		select {
		case <-w.ctx.Done():
		case <-time.After(d):
			f()
		}
	})
}
