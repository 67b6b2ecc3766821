package tasks

import (
	"context"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// endReport returns the report of the end that the worker's status shows. A
// result is in the object store before the report names its key.
func (t *task) endReport(ctx context.Context, s infra.TaskStatus) *wire.TaskReport {
	t.release()
	switch s.Phase {
	case infra.TaskDone:
		key := structs.ResultKey(t.grant.Job, t.grant.Epoch)
		if !t.putUntilDone(ctx, key, s.Result) {
			return nil
		}
		r := t.report(wire.EndDone, "")
		r.Result = key
		return r
	case infra.TaskFailed:
		return t.report(wire.EndFailed, s.Error)
	}
	if want, _, _ := t.state(); want == wire.StopCancelled {
		return t.report(wire.EndCancelled, "")
	}
	if t.vanished() {
		return t.report(wire.EndLost, s.Error)
	}
	t.m.Counters.Lapsed.Add(1)
	return t.report(wire.EndEvicted, "stopped by the worker: "+s.Error)
}

func (t *task) vanished() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// putUntilDone repeats the put while the object store is down. The task has
// ended, so only its report waits for the put.
func (t *task) putUntilDone(ctx context.Context, key string, body []byte) bool {
	for pause := t.m.config.Retry; ; pause = min(2*pause, t.m.config.RetryMax) {
		if t.put(ctx, key, body) == nil {
			return true
		}
		if !t.pause(ctx, pause) {
			return false
		}
	}
}

func (t *task) put(ctx context.Context, key string, body []byte) error {
	ctx, cancel := context.WithTimeout(ctx, t.m.config.Timeout)
	defer cancel()
	return t.m.deps.Objects.Put(ctx, key, body)
}

// evict checkpoints the task, then stops it, then returns the report; nil if
// the eviction has to be tried again.
//
// Guards against two failures: the task is stopped before its checkpoint is
// written, and all its progress is lost; or the report names a checkpoint that
// does not exist. So the object is written first, then the task is stopped,
// then the report is made. While no checkpoint can be written, the task
// continues, unless the stop is forced.
func (t *task) evict(ctx context.Context) *wire.TaskReport {
	saved := t.saveCheckpoint(ctx)
	if !saved {
		if _, forced, _ := t.state(); !forced {
			t.pause(ctx, t.m.config.Retry)
			return nil
		}
		t.m.Counters.CheckpointSkipped.Add(1)
	}
	if !t.stopOnWorker(ctx) {
		return nil
	}
	if s := t.finalStatus(ctx); s != nil && (s.Phase == infra.TaskDone || s.Phase == infra.TaskFailed) {
		return t.endReport(ctx, *s)
	}
	return t.report(wire.EndEvicted, "")
}

// saveCheckpoint writes a new checkpoint and records its key.
func (t *task) saveCheckpoint(ctx context.Context) bool {
	if _, held := t.held(); !held {
		return false
	}
	callCtx, cancel := context.WithTimeout(ctx, t.m.config.Timeout)
	defer cancel()
	state, err := t.m.deps.Worker.Checkpoint(callCtx, t.grant.Job, t.grant.Epoch)
	if err == nil {
		key := structs.CheckpointKey(t.grant.Job, t.grant.Epoch, t.checkpoints)
		t.checkpoints++
		if err = t.put(ctx, key, state); err == nil {
			t.checkpoint = key
			t.mu.Lock()
			t.progress.saved = t.progress.done
			t.mu.Unlock()
			t.m.Counters.CheckpointPut.Add(1)
			return true
		}
	}
	t.m.Counters.CheckpointFailed.Add(1)
	return false
}

// stopOnWorker repeats the stop until the worker confirms that the task has
// stopped, or ctx ends.
func (t *task) stopOnWorker(ctx context.Context) bool {
	for pause := t.m.config.Retry; ; pause = min(2*pause, t.m.config.RetryMax) {
		callCtx, cancel := context.WithTimeout(ctx, t.m.config.Timeout)
		err := t.m.deps.Worker.Stop(callCtx, t.grant.Job, t.grant.Epoch)
		cancel()
		if err == nil {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-time.After(pause):
		}
	}
}

// finalStatus returns the worker's status of a task that was stopped: the task
// may have ended by itself before the stop.
func (t *task) finalStatus(ctx context.Context) *infra.TaskStatus {
	ctx, cancel := context.WithTimeout(ctx, t.m.config.Timeout)
	defer cancel()
	list, err := t.m.deps.Worker.List(ctx)
	if err != nil {
		return nil
	}
	for i := range list {
		if list[i].Job == t.key.Job && list[i].Epoch == t.key.Epoch {
			return &list[i]
		}
	}
	return nil
}

// poll lists the worker's tasks and records their progress, use and ends. It
// asks the worker to forget ended tasks of earlier incarnations.
func (m *Manager) poll(ctx context.Context) {
	watched := m.watched()
	callCtx, cancel := context.WithTimeout(ctx, m.config.Timeout)
	defer cancel()
	list, err := m.deps.Worker.List(callCtx)
	if err != nil {
		m.Counters.PollFailed.Add(1)
		return
	}
	held, _ := m.deps.Lease.Held(time.Now())
	for i := range list {
		s := &list[i]
		key := Key{Job: s.Job, Epoch: s.Epoch}
		t := watched[key]
		delete(watched, key)
		switch {
		case s.Phase == infra.TaskRunning && t != nil:
			t.recordProgress(s)
		case s.Phase == infra.TaskRunning:
		case t != nil:
			t.recordEnd(s)
		case s.Holder < held:
			m.forget(ctx, key)
		}
	}
	for _, t := range watched {
		t.recordEnd(nil)
	}
	m.pollUsage(ctx)
}

// watched returns the tasks that a listing requested from now on must contain.
func (m *Manager) watched() map[Key]*task {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make(map[Key]*task, len(m.tasks))
	for k, t := range m.tasks {
		t.mu.Lock()
		if t.started {
			out[k] = t
		}
		t.mu.Unlock()
	}
	return out
}

func (m *Manager) forget(ctx context.Context, k Key) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Timeout)
	defer cancel()
	if m.deps.Worker.Forget(ctx, k.Job, k.Epoch) == nil {
		m.Counters.Forgot.Add(1)
	}
}

// pollUsage records the measured use of each task.
func (m *Manager) pollUsage(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Timeout)
	defer cancel()
	reports, err := m.deps.Worker.Usage(ctx)
	if err != nil {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, u := range reports {
		t := m.tasks[Key{Job: u.Job, Epoch: u.Epoch}]
		if t == nil {
			continue
		}
		t.recordUsage(u)
	}
}
