package machines

import (
	"context"
	"sync/atomic"

	"persimmonrock.example/infra/wait"
	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/structs/workload"
)

// control connects one process of an agent with the worker on the same machine.
// Once the process is killed, none of its calls reaches the worker.
type control struct {
	agent  *Agent
	killed atomic.Bool
}

func (c *control) kill() { c.killed.Store(true) }

func (c *control) worker(ctx context.Context) (*Worker, error) {
	if c.killed.Load() {
		wait.For(ctx, callTimeout)
		return nil, workerctl.ErrUnknown
	}
	return c.agent.Worker(), nil
}

// Start implements workerctl.Control.
func (c *control) Start(ctx context.Context, incarnation workload.WorkerID, o workerctl.StartOrder) (workerctl.Clock, error) {
	w, err := c.worker(ctx)
	if err != nil {
		return 0, err
	}
	answer, err := w.Start(ctx, incarnation, o)
	if w.answerLost(ctx) {
		return 0, workerctl.ErrUnknown
	}
	return answer, err
}

// Stop implements workerctl.Control.
func (c *control) Stop(ctx context.Context, incarnation workload.WorkerID, run workload.RunID, token uint64) (workerctl.Clock, error) {
	w, err := c.worker(ctx)
	if err != nil {
		return 0, err
	}
	answer, err := w.Stop(ctx, incarnation, run, token)
	if w.answerLost(ctx) {
		return 0, workerctl.ErrUnknown
	}
	return answer, err
}

// Pace implements workerctl.Control.
func (c *control) Pace(ctx context.Context, incarnation workload.WorkerID, run workload.RunID, percent int, token uint64) (workerctl.Clock, error) {
	w, err := c.worker(ctx)
	if err != nil {
		return 0, err
	}
	answer, err := w.Pace(ctx, incarnation, run, percent, token)
	if w.answerLost(ctx) {
		return 0, workerctl.ErrUnknown
	}
	return answer, err
}

// Hold implements workerctl.Control.
func (c *control) Hold(ctx context.Context, incarnation workload.WorkerID, o workerctl.HoldOrder) (workerctl.Listing, error) {
	w, err := c.worker(ctx)
	if err != nil {
		return workerctl.Listing{}, err
	}
	answer, err := w.Hold(ctx, incarnation, o)
	if w.answerLost(ctx) {
		return workerctl.Listing{}, workerctl.ErrUnknown
	}
	return answer, err
}
