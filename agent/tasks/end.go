package tasks

import (
	"context"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// endReport turns the worker's word into a report. A result is in the object
// store before the report says so.
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

// vanished reports whether the worker no longer knows of the task.
func (t *task) vanished() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.lost
}

// putUntilDone repeats the put while the object store is down; the task has
// ended, so nothing but the report waits for it.
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
// that has to be tried again.
//
// Failure guarded against: the task is stopped and its checkpoint can't be
// written, so that all its progress is lost; or the report names a checkpoint
// that does not exist. The guard is the order: the object is there before the
// task is stopped, and the task has stopped before the report is made. While
// the object store is down the task runs on, unless the instance must stop.
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
	if s := t.lastWord(ctx); s != nil && (s.Phase == infra.TaskDone || s.Phase == infra.TaskFailed) {
		return t.endReport(ctx, *s)
	}
	return t.report(wire.EndEvicted, "")
}

// saveCheckpoint writes a new checkpoint and remembers its key.
func (t *task) saveCheckpoint(ctx context.Context) bool {
	if _, held := t.held(); !held {
		return false
	}
	ask, cancel := context.WithTimeout(ctx, t.m.config.Timeout)
	defer cancel()
	state, err := t.m.deps.Worker.Checkpoint(ask, t.grant.Job, t.grant.Epoch)
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

// stopOnWorker repeats until the worker says that the task has stopped, or
// ctx ends.
func (t *task) stopOnWorker(ctx context.Context) bool {
	for pause := t.m.config.Retry; ; pause = min(2*pause, t.m.config.RetryMax) {
		ask, cancel := context.WithTimeout(ctx, t.m.config.Timeout)
		err := t.m.deps.Worker.Stop(ask, t.grant.Job, t.grant.Epoch)
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

// lastWord returns what the worker says of a task that was stopped: it may
// have ended by itself before.
func (t *task) lastWord(ctx context.Context) *infra.TaskStatus {
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

// poll looks at the worker and tells each task of its end. Ended tasks that
// nobody waits for are forgotten.
func (m *Manager) poll(ctx context.Context) {
	watched := m.watched()
	ask, cancel := context.WithTimeout(ctx, m.config.Timeout)
	defer cancel()
	list, err := m.deps.Worker.List(ask)
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
			t.seen(s)
		case s.Phase == infra.TaskRunning:
		case t != nil:
			t.over(s)
		case s.Holder < held:
			m.forget(ctx, key)
		}
	}
	for _, t := range watched {
		t.over(nil)
	}
	m.takeUsage(ctx)
}

// watched returns the tasks that the worker had taken before the call.
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

// takeUsage notes the largest measured use of each task.
func (m *Manager) takeUsage(ctx context.Context) {
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
		t.measured(u)
	}
}
