package tasks

import (
	"context"
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// progress is a task's progress as of the worker's reports, which lag behind.
type progress struct {
	// began and stopped are the times of the task's start and end; zero before.
	began, stopped time.Time
	// done is the fraction of the work done, saved that in the last checkpoint.
	done, saved float64
	speed       float64
	memory      int64
}

// ran returns the time that the task ran, 0 if it never started. An end is
// detected up to one poll after it happened.
func (p *progress) ran() time.Duration {
	switch {
	case p.began.IsZero():
		return 0
	case p.stopped.IsZero():
		return time.Since(p.began)
	}
	return p.stopped.Sub(p.began)
}

// States returns the state of the tasks that run and are not being stopped.
func (m *Manager) States() []decide.RunningTask {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []decide.RunningTask
	for _, t := range m.tasks {
		if s, ok := t.runningState(); ok {
			out = append(out, s)
		}
	}
	return out
}

func (t *task) runningState() (decide.RunningTask, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.started || t.ended != nil || t.want != "" {
		return decide.RunningTask{}, false
	}
	g, p := t.grant, t.progress
	return decide.RunningTask{
		Job: g.Job, Epoch: g.Epoch, Customer: g.Customer, Kind: g.Spec.Kind,
		Ran: time.Since(p.began), Progress: p.done, Saved: p.saved, Runtime: g.Spec.Runtime.Std(),
		Speed: p.speed, Slots: max(1, g.Spec.Declared.Slots), MemoryBytes: p.memory,
	}, true
}

// Apply carries out one decision. It returns false if the task is gone or the
// worker did not confirm the new speed.
func (m *Manager) Apply(ctx context.Context, a decide.Action) bool {
	m.mu.Lock()
	t := m.tasks[Key{Job: a.Job, Epoch: a.Epoch}]
	m.mu.Unlock()
	if t == nil {
		return false
	}
	if a.Kind == decide.ActionEvict {
		m.Counters.RelievedByEviction.Add(1)
		t.requestStop(wire.StopEvicted, false)
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, m.config.Timeout)
	defer cancel()
	if m.deps.Worker.Throttle(ctx, a.Job, a.Epoch, a.Speed) != nil {
		return false
	}
	if a.Kind == decide.ActionThrottle {
		m.Counters.Throttled.Add(1)
	} else {
		m.Counters.Restored.Add(1)
	}
	t.setSpeed(a.Speed)
	return true
}

// setSpeed records the task's speed; 0 says that the task has stopped.
func (t *task) setSpeed(speed float64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if speed == 0 && t.progress.stopped.IsZero() {
		t.progress.stopped = time.Now()
	}
	delta := speed - t.progress.speed
	t.progress.speed = speed
	if delta != 0 && t.m.Changed != nil {
		t.m.Changed(t.grant.Spec.Kind, delta)
	}
}

func (t *task) recordProgress(s *infra.TaskStatus) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.progress.done = s.Progress
}

func (t *task) recordUsage(u infra.Usage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.progress.memory = u.MemoryBytes
	t.used = structs.Resources{
		Slots:       t.used.Slots,
		MilliCores:  max(t.used.MilliCores, u.MilliCores),
		MemoryBytes: max(t.used.MemoryBytes, u.MemoryBytes),
	}
	t.m.deps.Ledger.Measured(t.key, t.used.MemoryBytes)
}
