package memory

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// Renew implements infra.Worker. A task whose lease has lapsed stays
// stopped.
func (w *Worker) Renew(ctx context.Context, h structs.Incarnation, lease time.Duration) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkRequest(ctx, h); err != nil {
		return err
	}
	for _, r := range w.runs {
		if r.start.Holder == h && r.lease.Stop() {
			r.lease.Reset(lease)
		}
	}
	return nil
}

func (w *Worker) find(ctx context.Context, id structs.JobID, e structs.Epoch) (*run, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkRequest(ctx, w.fence); err != nil {
		return nil, err
	}
	r, ok := w.runs[runID{job: id, epoch: e}]
	if !ok {
		return nil, eris.Wrapf(infra.ErrNotFound, "job %s epoch %d", id, e)
	}
	return r, nil
}

// Checkpoint implements infra.Worker. It returns the state that the
// program saved last, also after the task's end, or, if the program saved
// nothing, the state that the task was started from.
func (w *Worker) Checkpoint(ctx context.Context, id structs.JobID, e structs.Epoch) ([]byte, error) {
	r, err := w.find(ctx, id, e)
	if err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.state), nil
}

// Throttle implements infra.Worker; speed is clamped to 0 to 1.
func (w *Worker) Throttle(ctx context.Context, id structs.JobID, e structs.Epoch, speed float64) error {
	r, err := w.find(ctx, id, e)
	if err != nil {
		return err
	}
	r.throttle(speed)
	return nil
}

// Stop implements infra.Worker. It returns infra.ErrUnknown if ctx ends
// before the task has stopped.
func (w *Worker) Stop(ctx context.Context, id structs.JobID, e structs.Epoch) error {
	w.mu.Lock()
	if err := w.checkRequest(ctx, w.fence); err != nil {
		w.mu.Unlock()
		return err
	}
	w.refuseUpTo(id, e)
	r, ok := w.runs[runID{job: id, epoch: e}]
	w.mu.Unlock()
	if !ok {
		return nil
	}
	return stopAll(ctx, []*run{r})
}

// List implements infra.Worker, sorted by job and epoch.
func (w *Worker) List(ctx context.Context) ([]infra.TaskStatus, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkRequest(ctx, w.fence); err != nil {
		return nil, err
	}
	list := make([]infra.TaskStatus, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r.status())
	}
	slices.SortFunc(list, func(a, b infra.TaskStatus) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Epoch, b.Epoch))
	})
	return list, nil
}

// Forget implements infra.Worker. It returns infra.ErrInvalid for a task that
// still runs.
func (w *Worker) Forget(ctx context.Context, id structs.JobID, e structs.Epoch) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkRequest(ctx, w.fence); err != nil {
		return err
	}
	key := runID{job: id, epoch: e}
	r, ok := w.runs[key]
	if !ok {
		w.refuseUpTo(id, e)
		return nil
	}
	if !r.hasStopped() {
		return eris.Wrapf(infra.ErrInvalid, "job %s epoch %d still runs", id, e)
	}
	delete(w.runs, key)
	w.refuseUpTo(id, e)
	return nil
}

// refuseUpTo makes Start refuse the job at epochs up to e from now on. The
// caller holds w.mu.
func (w *Worker) refuseUpTo(id structs.JobID, e structs.Epoch) {
	w.lastStopped[id] = max(w.lastStopped[id], e)
}

// Usage implements infra.Worker, sorted by job, epoch and window.
func (w *Worker) Usage(ctx context.Context) ([]infra.Usage, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkRequest(ctx, w.fence); err != nil {
		return nil, err
	}
	now := time.Now()
	var reports []infra.Usage
	var open []*run
	for _, r := range w.unreported {
		u, more := r.usage(now)
		reports = append(reports, u...)
		if more {
			open = append(open, r)
		}
	}
	w.unreported = open
	slices.SortFunc(reports, func(a, b infra.Usage) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.From, b.From))
	})
	return reports, nil
}

// Close stops every task as a failing instance does, waits until all have
// stopped, and refuses every later request with infra.ErrUnavailable.
func (w *Worker) Close() {
	w.mu.Lock()
	w.closed = true
	all := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		all = append(all, r)
	}
	w.mu.Unlock()
	// The context never ends, so the only possible error can't occur.
	_ = stopAll(context.Background(), all)
}
