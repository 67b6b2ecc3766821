package tasks

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// task is one claim that was admitted. One goroutine runs it from start to end.
type task struct {
	m     *Manager
	grant wire.TaskGrant
	key   Key
	// stopped is set when the task has verifiably stopped or never started.
	stopped atomic.Bool
	// wake signals that one of the fields under mu has changed.
	wake chan struct{}

	mu sync.Mutex
	// started is set when the worker has accepted the task.
	started bool
	want    wire.StopReason
	forced  bool
	// ended is the worker's status of the task after its end.
	ended *infra.TaskStatus
	// lost says that the worker no longer listed the task.
	lost bool
	used structs.Resources
	// progress is used to decide which tasks to throttle or evict.
	progress progress

	// checkpoint is the object key of the last checkpoint, checkpoints the
	// number of checkpoints written. Only run's goroutine uses both.
	checkpoint  string
	checkpoints int
}

func newTask(m *Manager, g wire.TaskGrant, key Key) *task {
	return &task{m: m, grant: g, key: key, wake: make(chan struct{}, 1), checkpoint: g.Checkpoint}
}

func (t *task) signal() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

// requestStop requests the task's stop. A cancellation replaces an eviction.
func (t *task) requestStop(reason wire.StopReason, forced bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.want == "" || (reason == wire.StopCancelled && t.want != reason) || (forced && !t.forced)
	if !changed {
		return
	}
	if t.want != wire.StopCancelled {
		t.want = reason
	}
	t.forced = t.forced || forced
	t.signal()
}

// recordEnd records the worker's status of the ended task; nil says that the
// worker no longer lists it.
func (t *task) recordEnd(status *infra.TaskStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended != nil || !t.started {
		return
	}
	if status == nil {
		t.lost = true
		status = &infra.TaskStatus{Phase: infra.TaskStopped, Error: "not known to the worker"}
	}
	t.ended = status
	t.signal()
}

func (t *task) state() (want wire.StopReason, forced bool, ended *infra.TaskStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.want, t.forced, t.ended
}

// held returns the time left of the agent's lease, and whether the lease that
// covers the task is held.
func (t *task) held() (time.Duration, bool) {
	incarnation, left := t.m.deps.Lease.Held(time.Now())
	return left, incarnation == t.grant.Incarnation && left > 0
}

// run starts the task, waits for its end and queues the report.
func (t *task) run(ctx context.Context) {
	report, started := t.startOnWorker(ctx)
	if started {
		report = t.watch(ctx)
	}
	if report != nil {
		t.finish(*report)
	}
}

// startOnWorker starts the task on its worker. If the task did not start, the
// report says why; the report is nil if ctx has ended.
func (t *task) startOnWorker(ctx context.Context) (report *wire.TaskReport, started bool) {
	state, err := t.loadCheckpoint(ctx)
	if ctx.Err() != nil {
		return nil, false
	}
	if err != nil {
		return t.report(wire.EndNotStarted, "checkpoint: "+err.Error()), false
	}
	if want, _, _ := t.state(); want != "" {
		return t.report(endBeforeStart(want), ""), false
	}
	left, held := t.held()
	if !held || !t.m.coversRenewal(left) {
		return t.report(wire.EndNotStarted, "the agent's lease ends too soon"), false
	}
	callCtx, cancel := context.WithTimeout(ctx, min(t.m.config.Timeout, left-2*t.m.config.WorkerLease))
	defer cancel()
	g := t.grant
	err = t.m.deps.Worker.Start(callCtx, infra.TaskStart{
		Job: g.Job, Epoch: g.Epoch, Customer: g.Customer, Kind: g.Spec.Kind,
		Payload: g.Spec.Payload, Checkpoint: state, Declared: g.Spec.Declared,
		Holder: g.Incarnation, Lease: t.m.config.WorkerLease,
	})
	if err == nil && t.pausedTooLong() {
		err = errPausedDuringStart
	}
	if err != nil {
		return t.abortStart(ctx, err), false
	}
	t.mu.Lock()
	t.started = true
	t.progress.began = time.Now()
	t.mu.Unlock()
	t.setSpeed(1)
	t.m.Counters.Started.Add(1)
	t.m.deps.Events.Record(structs.Event{Step: StepStart, Job: g.Job, Epoch: g.Epoch, Customer: g.Customer})
	return nil, true
}

var errPausedDuringStart = errors.New("the agent was paused while it started the task")

// pausedTooLong reports whether, after a start, the agent's lease is lost or ends
// within the length of one worker lease.
//
// Guards against a start that takes effect when the job already runs elsewhere.
// It comes about when the agent is paused between its check of the lease and
// the worker's receipt of the start. The task is then stopped at once, and at
// the latest when the worker's lease of the task ends, since nothing renews
// that lease.
func (t *task) pausedTooLong() bool {
	left, held := t.held()
	return !held || left <= t.m.config.WorkerLease
}

// abortStart ensures that the task does not run after a failed start.
func (t *task) abortStart(ctx context.Context, cause error) *wire.TaskReport {
	if !t.stopOnWorker(ctx) {
		return nil
	}
	return t.report(wire.EndNotStarted, cause.Error())
}

// loadCheckpoint reads the state to resume from. It repeats the read while the
// object store is down, until the task is to be stopped or its lease is lost.
func (t *task) loadCheckpoint(ctx context.Context) ([]byte, error) {
	if t.grant.Checkpoint == "" {
		return nil, nil
	}
	for pause := t.m.config.Retry; ; pause = min(2*pause, t.m.config.RetryMax) {
		callCtx, cancel := context.WithTimeout(ctx, t.m.config.Timeout)
		state, err := t.m.deps.Objects.Get(callCtx, t.grant.Checkpoint)
		cancel()
		if err == nil || errors.Is(err, infra.ErrNotFound) {
			return state, err
		}
		if _, held := t.held(); !held {
			return nil, err
		}
		if want, _, _ := t.state(); want != "" {
			return nil, nil
		}
		if !t.pause(ctx, pause) {
			return nil, ctx.Err()
		}
	}
}

// watch waits for the task's end or for a reason to stop it, and returns the
// report, or nil when ctx has ended.
func (t *task) watch(ctx context.Context) *wire.TaskReport {
	for ctx.Err() == nil {
		want, _, ended := t.state()
		var report *wire.TaskReport
		switch {
		case ended != nil:
			return t.endReport(ctx, *ended)
		case want == wire.StopCancelled:
			if t.stopOnWorker(ctx) {
				report = t.report(wire.EndCancelled, "")
			}
		case want == wire.StopEvicted:
			report = t.evict(ctx)
		default:
			t.pause(ctx, 0)
		}
		if report != nil {
			return report
		}
	}
	return nil
}

// pause waits for d (without a limit if d is 0) or until the task is signalled.
// It returns false if ctx has ended.
func (t *task) pause(ctx context.Context, d time.Duration) bool {
	var timer <-chan time.Time
	if d > 0 {
		timer = time.After(d)
	}
	select {
	case <-ctx.Done():
		return false
	case <-t.wake:
	case <-timer:
	}
	return true
}

// finish releases the task's resources and queues its report.
func (t *task) finish(r wire.TaskReport) {
	t.release()
	countEnd(&t.m.Counters, r.End)
	t.m.deps.Events.Record(structs.Event{
		Step: StepEnd, Job: r.Job, Epoch: r.Epoch, Customer: t.grant.Customer,
		Detail: string(r.End) + " " + r.Error,
	})
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	delete(t.m.tasks, t.key)
	t.m.tombstones.recordEnd(t.key)
	t.m.outbox.add(t.key, r)
}

// release releases the resources, once; the task must be known to have stopped.
func (t *task) release() {
	if t.stopped.CompareAndSwap(false, true) {
		t.setSpeed(0)
		t.m.deps.Ledger.ReleaseTask(t.key, time.Now())
	}
}

func (t *task) report(end wire.TaskEnd, cause string) *wire.TaskReport {
	t.mu.Lock()
	defer t.mu.Unlock()
	return &wire.TaskReport{
		Job: t.grant.Job, Shard: t.grant.Shard, Epoch: t.grant.Epoch,
		End: end, Checkpoint: t.checkpoint, Error: cause, Used: t.used, Ran: t.progress.ran(),
	}
}

func endBeforeStart(want wire.StopReason) wire.TaskEnd {
	if want == wire.StopCancelled {
		return wire.EndCancelled
	}
	return wire.EndNotStarted
}

func countEnd(c *Counters, end wire.TaskEnd) {
	switch end {
	case wire.EndDone:
		c.Done.Add(1)
	case wire.EndFailed:
		c.Failed.Add(1)
	case wire.EndEvicted:
		c.Evicted.Add(1)
	case wire.EndLost:
		c.Lost.Add(1)
	case wire.EndCancelled:
		c.Cancelled.Add(1)
	case wire.EndNotStarted:
		c.NotStarted.Add(1)
	}
}
