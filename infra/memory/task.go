package memory

import (
	"context"
	"slices"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// Program is the work of one kind of task. It returns the task's result, or
// an error when the task itself failed; when ctx ends it must stop and return.
type Program func(ctx context.Context, t Task) (result []byte, err error)

// Task is a program's view of the task that it runs.
type Task struct {
	Job     structs.JobID
	Epoch   structs.Epoch
	Payload []byte
	// Checkpoint is the state to resume from; nil at the first run.
	Checkpoint []byte
	run        *run
}

// Save replaces the state that Worker.Checkpoint returns. progress is the
// fraction done, 0 to 1; Worker.List shows it after the worker's usage lag.
func (t Task) Save(state []byte, progress float64) {
	r := t.run
	r.mu.Lock()
	defer r.mu.Unlock()
	r.state = slices.Clone(state)
	r.progress = append(r.progress, progressAt{at: time.Now(), fraction: progress})
	r.visibleProgress(time.Now())
}

// A pace of up to minPace counts as standstill; Step then waits for
// standstillWait or a change of the throttle before it reads the pace again.
const (
	minPace        = 1e-6
	standstillWait = time.Hour
)

// Step does work that takes d for a task that is alone on the instance and not
// throttled. The work takes longer while the task is throttled or slowed by its
// neighbours, and doesn't progress at speed 0. Step returns ctx's error if the
// task has to stop.
func (t Task) Step(ctx context.Context, d time.Duration) error {
	r := t.run
	remaining := d
	for remaining > 0 {
		pace, speed, slowdown, changed := r.pace()
		wait := standstillWait
		if pace > minPace {
			wait = time.Duration(float64(remaining) / pace)
		}
		timer := time.NewTimer(wait)
		began := time.Now()
		select {
		case <-ctx.Done():
		case <-changed:
		case <-timer.C:
			if pace > minPace {
				remaining = 0
			}
		}
		timer.Stop()
		now := time.Now()
		r.addSegment(segment{from: began, to: now, speed: speed, slowdown: slowdown})
		remaining -= time.Duration(float64(now.Sub(began)) * pace)
		if err := ctx.Err(); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// pace returns the present pace of the work, its speed and slowdown, and a channel
// that is closed when the throttle changes.
func (r *run) pace() (pace, speed, slowdown float64, changed <-chan struct{}) {
	slowdown = 1
	if r.worker.opts.Slowdown != nil {
		slowdown = max(1, r.worker.opts.Slowdown(r.start.Kind))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.speed / slowdown, r.speed, slowdown, r.changed
}

// throttle sets the speed and wakes the steps that wait at the old speed.
func (r *run) throttle(speed float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.speed = min(1, max(0, speed))
	close(r.changed)
	r.changed = make(chan struct{})
}

func (r *run) status() infra.TaskStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := infra.TaskStatus{
		Job:      r.start.Job,
		Epoch:    r.start.Epoch,
		Kind:     r.start.Kind,
		Holder:   r.start.Holder,
		Declared: r.start.Declared,
		Phase:    r.phase,
		Progress: r.visibleProgress(time.Now()),
		Result:   slices.Clone(r.result),
		Error:    r.failure,
	}
	if r.phase == infra.TaskDone {
		s.Progress = 1
	}
	return s
}
