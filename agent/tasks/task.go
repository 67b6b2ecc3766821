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

// task is one claim that was admitted. Its goroutine does all that the task
// needs, one thing after the other.
type task struct {
	m     *Manager
	grant wire.TaskGrant
	key   Key
	// stopped: the task has provably stopped, or never started.
	stopped atomic.Bool
	// wake says that one of the fields under mu has changed.
	wake chan struct{}

	mu sync.Mutex
	// started is set when the worker has taken the task.
	started bool
	want    wire.StopReason
	forced  bool
	// ended is the worker's word that the task has ended.
	ended *infra.TaskStatus
	// lost says that the worker no longer knew of the task.
	lost bool
	used structs.Resources
	// progress is for decisions about relief.
	progress progress

	// checkpoint is the object key of the last checkpoint; only run uses it
	// and checkpoints.
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

// stop asks the task to stop. A cancellation replaces an eviction.
func (t *task) stop(reason wire.StopReason, forced bool) {
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

// over takes the worker's word that the task has ended; nil says that the
// worker does not know it any more.
func (t *task) over(status *infra.TaskStatus) {
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

// held reports whether the lease that covers the task is held, with how much
// of it left. It is asked before each effect.
func (t *task) held() (time.Duration, bool) {
	incarnation, left := t.m.deps.Lease.Held(time.Now())
	return left, incarnation == t.grant.Incarnation && left > 0
}

// run takes the task from its grant to its end.
func (t *task) run(ctx context.Context) {
	report, started := t.begin(ctx)
	if started {
		report = t.watch(ctx)
	}
	if report != nil {
		t.finish(*report)
	}
}

// begin starts the task on its worker. If it did not start, the report says
// so; it is nil when ctx has ended.
func (t *task) begin(ctx context.Context) (report *wire.TaskReport, started bool) {
	state, err := t.loadCheckpoint(ctx)
	if ctx.Err() != nil {
		return nil, false
	}
	if err != nil {
		return t.report(wire.EndNotStarted, "checkpoint: "+err.Error()), false
	}
	if want, _, _ := t.state(); want != "" {
		return t.report(endOf(want), ""), false
	}
	left, held := t.held()
	if !held || !t.m.enough(left) {
		return t.report(wire.EndNotStarted, "the agent's lease ends too soon"), false
	}
	start, cancel := context.WithTimeout(ctx, min(t.m.config.Timeout, left-2*t.m.config.WorkerLease))
	defer cancel()
	g := t.grant
	err = t.m.deps.Worker.Start(start, infra.TaskStart{
		Job: g.Job, Epoch: g.Epoch, Customer: g.Customer, Kind: g.Spec.Kind,
		Payload: g.Spec.Payload, Checkpoint: state, Declared: g.Spec.Declared,
		Holder: g.Incarnation, Lease: t.m.config.WorkerLease,
	})
	if err == nil && t.overslept() {
		err = errOverslept
	}
	if err != nil {
		return t.notStarted(ctx, err), false
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

var errOverslept = errors.New("the agent was paused while it started the task")

// overslept reports whether the lease lapsed while the worker was asked.
//
// Failure guarded against: the agent is paused between its look at the lease
// and the worker's receipt of the start; when it wakes the job runs elsewhere.
// The task is then stopped at once, and at the latest when the worker's lease
// of it ends, since nothing renews that.
func (t *task) overslept() bool {
	left, held := t.held()
	return !held || left <= t.m.config.WorkerLease
}

// notStarted makes sure that the task does not run after a failed start.
func (t *task) notStarted(ctx context.Context, cause error) *wire.TaskReport {
	if !t.stopOnWorker(ctx) {
		return nil
	}
	return t.report(wire.EndNotStarted, cause.Error())
}

// loadCheckpoint reads the state to resume from; it repeats while the object
// store is down, and gives up when the task is to be stopped.
func (t *task) loadCheckpoint(ctx context.Context) ([]byte, error) {
	if t.grant.Checkpoint == "" {
		return nil, nil
	}
	for pause := t.m.config.Retry; ; pause = min(2*pause, t.m.config.RetryMax) {
		read, cancel := context.WithTimeout(ctx, t.m.config.Timeout)
		state, err := t.m.deps.Objects.Get(read, t.grant.Checkpoint)
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

// pause waits for d, or for ever when d is 0, or until the task is signalled.
// It is false when ctx has ended.
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

// finish releases what the task held and queues its report.
func (t *task) finish(r wire.TaskReport) {
	t.release()
	count(&t.m.Counters, r.End)
	t.m.deps.Events.Record(structs.Event{
		Step: StepEnd, Job: r.Job, Epoch: r.Epoch, Customer: t.grant.Customer,
		Detail: string(r.End) + " " + r.Error,
	})
	t.m.mu.Lock()
	defer t.m.mu.Unlock()
	delete(t.m.tasks, t.key)
	t.m.gone.end(t.key)
	t.m.outbox.add(t.key, r)
}

// release gives the resources back, once; the task has provably stopped.
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

func endOf(want wire.StopReason) wire.TaskEnd {
	if want == wire.StopCancelled {
		return wire.EndCancelled
	}
	return wire.EndNotStarted
}

func count(c *Counters, end wire.TaskEnd) {
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
