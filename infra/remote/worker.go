package remote

import (
	"context"
	"net/http"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

type worker struct{ client *client }

// NewWorker returns the worker at base. A nil client means http.DefaultClient.
// Fence and Stop answer only once the work has stopped, so a time-out of the
// client itself has to be longer than a stop takes.
func NewWorker(base string, c *http.Client, options ...Option) infra.Worker {
	return &worker{client: newClient(base, c, options)}
}

func (w *worker) post(ctx context.Context, step, path string, request any) error {
	_, err := call[empty](ctx, w.client, writing, step, path, request)
	return err
}

// Fence implements infra.Worker.
func (w *worker) Fence(ctx context.Context, h structs.Incarnation) error {
	return w.post(ctx, "worker fence", pathFence, holderRequest{Holder: h})
}

// Start implements infra.Worker.
func (w *worker) Start(ctx context.Context, t infra.TaskStart) error {
	return w.post(ctx, "worker start", pathStart, startOf(t))
}

// Renew implements infra.Worker.
func (w *worker) Renew(ctx context.Context, h structs.Incarnation, lease time.Duration) error {
	return w.post(ctx, "worker renew", pathRenew, holderRequest{Holder: h, Lease: structs.Duration(lease)})
}

// Checkpoint implements infra.Worker.
func (w *worker) Checkpoint(ctx context.Context, id structs.JobID, e structs.Epoch) ([]byte, error) {
	request := taskRequest{Job: id, Epoch: e}
	answer, err := call[stateAnswer](ctx, w.client, reading, "worker checkpoint", pathCheckpoint, request)
	return answer.State, err
}

// Throttle implements infra.Worker.
func (w *worker) Throttle(ctx context.Context, id structs.JobID, e structs.Epoch, speed float64) error {
	return w.post(ctx, "worker throttle", pathThrottle, taskRequest{Job: id, Epoch: e, Speed: speed})
}

// Stop implements infra.Worker.
func (w *worker) Stop(ctx context.Context, id structs.JobID, e structs.Epoch) error {
	return w.post(ctx, "worker stop", pathStop, taskRequest{Job: id, Epoch: e})
}

// List implements infra.Worker.
func (w *worker) List(ctx context.Context) ([]infra.TaskStatus, error) {
	answer, err := call[listAnswer](ctx, w.client, reading, "worker list", pathList, empty{})
	if err != nil {
		return nil, err
	}
	return mapSlice(answer.Tasks, func(s status) infra.TaskStatus { return infra.TaskStatus(s) }), nil
}

// Forget implements infra.Worker.
func (w *worker) Forget(ctx context.Context, id structs.JobID, e structs.Epoch) error {
	return w.post(ctx, "worker forget", pathForget, taskRequest{Job: id, Epoch: e})
}

// Usage implements infra.Worker. The reports in a lost answer are not sent
// again.
func (w *worker) Usage(ctx context.Context) ([]infra.Usage, error) {
	answer, err := call[usageAnswer](ctx, w.client, writing, "worker usage", pathUsage, empty{})
	if err != nil {
		return nil, err
	}
	return mapSlice(answer.Usage, usage.usage), nil
}
