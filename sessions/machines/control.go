package machines

import (
	"context"
	"sync/atomic"

	"persimmonrock.example/infra/wait"
	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/structs/workload"
)

// control is how one process of an agent reaches the worker of its machine.
// After the process was killed nothing of it reaches the worker.
type control struct {
	agent *Agent
	dead  atomic.Bool
}

func (c *control) kill() { c.dead.Store(true) }

func (c *control) worker(ctx context.Context) (*Worker, error) {
	if c.dead.Load() {
		wait.For(ctx, silence)
		return nil, workerctl.ErrUnknown
	}
	return c.agent.Worker(), nil
}

// Start implements workerctl.Control.
func (c *control) Start(ctx context.Context, life workload.WorkerID, o workerctl.StartOrder) (workerctl.Clock, error) {
	w, err := c.worker(ctx)
	if err != nil {
		return 0, err
	}
	answer, err := w.Start(ctx, life, o)
	if w.answerLost(ctx) {
		return 0, workerctl.ErrUnknown
	}
	return answer, err
}

// Stop implements workerctl.Control.
func (c *control) Stop(ctx context.Context, life workload.WorkerID, run workload.RunID, token uint64) (workerctl.Clock, error) {
	w, err := c.worker(ctx)
	if err != nil {
		return 0, err
	}
	answer, err := w.Stop(ctx, life, run, token)
	if w.answerLost(ctx) {
		return 0, workerctl.ErrUnknown
	}
	return answer, err
}

// Pace implements workerctl.Control.
func (c *control) Pace(ctx context.Context, life workload.WorkerID, run workload.RunID, percent int, token uint64) (workerctl.Clock, error) {
	w, err := c.worker(ctx)
	if err != nil {
		return 0, err
	}
	answer, err := w.Pace(ctx, life, run, percent, token)
	if w.answerLost(ctx) {
		return 0, workerctl.ErrUnknown
	}
	return answer, err
}

// Hold implements workerctl.Control.
func (c *control) Hold(ctx context.Context, life workload.WorkerID, o workerctl.HoldOrder) (workerctl.Listing, error) {
	w, err := c.worker(ctx)
	if err != nil {
		return workerctl.Listing{}, err
	}
	answer, err := w.Hold(ctx, life, o)
	if w.answerLost(ctx) {
		return workerctl.Listing{}, workerctl.ErrUnknown
	}
	return answer, err
}
