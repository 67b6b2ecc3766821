package fault

import (
	"context"
	"slices"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// Worker is an infra.Worker with faults.
type Worker struct {
	inner   infra.Worker
	control *Control
}

// NewWorker returns inner with the faults of c.
func NewWorker(inner infra.Worker, c *Control) *Worker {
	return &Worker{inner: inner, control: c}
}

func workerWrite(method string, id structs.JobID) Operation {
	return Operation{Service: "worker", Method: method, Key: string(id), Write: true}
}

// Fence implements infra.Worker.
func (w *Worker) Fence(ctx context.Context, h structs.Incarnation) error {
	return requestNoAnswer(ctx, w.control, workerWrite("Fence", ""), func(ctx context.Context) error {
		return w.inner.Fence(ctx, h)
	})
}

// Start implements infra.Worker.
func (w *Worker) Start(ctx context.Context, t infra.TaskStart) error {
	t.Payload = slices.Clone(t.Payload)
	t.Checkpoint = slices.Clone(t.Checkpoint)
	return requestNoAnswer(ctx, w.control, workerWrite("Start", t.Job), func(ctx context.Context) error {
		return w.inner.Start(ctx, t)
	})
}

// Renew implements infra.Worker.
func (w *Worker) Renew(ctx context.Context, h structs.Incarnation, lease time.Duration) error {
	return requestNoAnswer(ctx, w.control, workerWrite("Renew", ""), func(ctx context.Context) error {
		return w.inner.Renew(ctx, h, lease)
	})
}

// Checkpoint implements infra.Worker.
func (w *Worker) Checkpoint(ctx context.Context, id structs.JobID, e structs.Epoch) ([]byte, error) {
	op := Operation{Service: "worker", Method: "Checkpoint", Key: string(id)}
	return request(ctx, w.control, op, func(ctx context.Context) ([]byte, error) {
		return w.inner.Checkpoint(ctx, id, e)
	})
}

// Throttle implements infra.Worker.
func (w *Worker) Throttle(ctx context.Context, id structs.JobID, e structs.Epoch, speed float64) error {
	return requestNoAnswer(ctx, w.control, workerWrite("Throttle", id), func(ctx context.Context) error {
		return w.inner.Throttle(ctx, id, e, speed)
	})
}

// Stop implements infra.Worker.
func (w *Worker) Stop(ctx context.Context, id structs.JobID, e structs.Epoch) error {
	return requestNoAnswer(ctx, w.control, workerWrite("Stop", id), func(ctx context.Context) error {
		return w.inner.Stop(ctx, id, e)
	})
}

// List implements infra.Worker.
func (w *Worker) List(ctx context.Context) ([]infra.TaskStatus, error) {
	return request(ctx, w.control, Operation{Service: "worker", Method: "List"}, w.inner.List)
}

// Forget implements infra.Worker.
func (w *Worker) Forget(ctx context.Context, id structs.JobID, e structs.Epoch) error {
	return requestNoAnswer(ctx, w.control, workerWrite("Forget", id), func(ctx context.Context) error {
		return w.inner.Forget(ctx, id, e)
	})
}

// Usage implements infra.Worker. Fetching the reports drops them on the
// worker, so the reports of a lost answer are lost.
func (w *Worker) Usage(ctx context.Context) ([]infra.Usage, error) {
	return request(ctx, w.control, workerWrite("Usage", ""), w.inner.Usage)
}
