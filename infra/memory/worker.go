package memory

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// Defaults of WorkerOptions.
const (
	DefaultUsageWindow = time.Second
	DefaultUsageLag    = time.Second
)

// errUnknownKind is the failure of a task for whose kind the worker has no
// program.
var errUnknownKind = errors.New("no program for this kind")

// WorkerOptions configures a Worker. Only Kinds is required.
type WorkerOptions struct {
	Instance structs.InstanceID
	// Kinds holds the program of each kind; a task of another kind fails.
	Kinds map[structs.Kind]Program
	// ClockStart is the reading of the worker's clock when it starts; usage windows
	// are given by this clock.
	ClockStart time.Duration
	// StopDelay is the time for which the work of a stopped task continues
	// after its program has returned.
	StopDelay time.Duration
	// UsageWindow is the length of a usage window, UsageLag the time from its
	// end until its report is available. Progress has the same lag.
	UsageWindow, UsageLag time.Duration
	// Slowdown returns the factor by which neighbours slow a task of this kind
	// now, 1 for none. Task.Step calls Slowdown at its start, when the throttle
	// changes, and repeatedly during a standstill.
	Slowdown func(structs.Kind) float64
	// Actual returns a task's real resource usage; nil means the declared one.
	Actual func(infra.TaskStart) structs.Resources
	// Registry, if set, records every start and stop.
	Registry *RunRegistry
	// Log receives the first broken invariant.
	Log zerolog.Logger
}

type runID struct {
	job   structs.JobID
	epoch structs.Epoch
}

// Worker is an infra.Worker that runs programs as goroutines.
type Worker struct {
	opts WorkerOptions
	// began is when the worker's clock read 0.
	began time.Time

	mu     sync.Mutex
	fence  structs.Incarnation
	closed bool
	runs   map[runID]*run
	// lastStopped is the highest stopped or forgotten epoch of each job.
	lastStopped map[structs.JobID]structs.Epoch
	unreported  []*run
	// active counts the running programs of each job; the goroutines that run
	// the programs update active. No count may exceed 1.
	active     map[structs.JobID]int
	violations int
	started    int
}

type run struct {
	worker *Worker
	start  infra.TaskStart
	actual structs.Resources
	cancel context.CancelFunc
	// stopped is closed when the work has provably stopped.
	stopped chan struct{}
	lease   *time.Timer

	mu          sync.Mutex
	phase       infra.TaskPhase
	stopping    bool
	state       []byte
	result      []byte
	failure     string
	speed       float64
	changed     chan struct{}
	progress    []progressAt
	visible     float64
	segments    []segment
	windowStart time.Time
	ended       time.Time
}

// NewWorker returns a worker that runs nothing yet.
func NewWorker(opts WorkerOptions) *Worker {
	if opts.UsageWindow <= 0 {
		opts.UsageWindow = DefaultUsageWindow
	}
	if opts.UsageLag <= 0 {
		opts.UsageLag = DefaultUsageLag
	}
	return &Worker{
		opts:        opts,
		began:       time.Now().Add(-opts.ClockStart),
		runs:        make(map[runID]*run),
		lastStopped: make(map[structs.JobID]structs.Epoch),
		active:      make(map[structs.JobID]int),
	}
}

// Violations counts programs that were started while another run of the same
// job was active on this worker. It must be 0.
func (w *Worker) Violations() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.violations
}

// Started counts the programs that were started.
func (w *Worker) Started() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.started
}

// Fence implements infra.Worker.
func (w *Worker) Fence(ctx context.Context, h structs.Incarnation) error {
	w.mu.Lock()
	if err := w.checkRequest(ctx, h); err != nil {
		w.mu.Unlock()
		return err
	}
	w.fence = h
	var older []*run
	for _, r := range w.runs {
		if r.start.Holder < h {
			older = append(older, r)
		}
	}
	w.mu.Unlock()
	return stopAll(ctx, older)
}

// checkRequest returns the refusal of a request of holder h, or nil. The caller
// holds w.mu.
func (w *Worker) checkRequest(ctx context.Context, h structs.Incarnation) error {
	switch {
	case ctx.Err() != nil:
		return checkContext(ctx)
	case w.closed:
		return eris.Wrap(infra.ErrUnavailable, "worker closed")
	case h < w.fence:
		return eris.Wrapf(infra.ErrFenced, "holder %d, fenced below %d", h, w.fence)
	}
	return nil
}

// Start implements infra.Worker. A repeated start of a job and epoch that the
// worker knows changes nothing and returns nil, since the answer to the first
// start may have been lost. A job that still runs at another epoch is refused
// with infra.ErrUnavailable.
func (w *Worker) Start(ctx context.Context, t infra.TaskStart) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.checkRequest(ctx, t.Holder); err != nil {
		return err
	}
	id := runID{job: t.Job, epoch: t.Epoch}
	if _, known := w.runs[id]; known {
		return nil
	}
	if t.Epoch <= w.lastStopped[t.Job] {
		return eris.Wrapf(infra.ErrFenced, "job %s was stopped at epoch %d", t.Job, w.lastStopped[t.Job])
	}
	for other, r := range w.runs {
		if other.job == t.Job && !r.hasStopped() {
			return eris.Wrapf(infra.ErrUnavailable, "job %s still runs at epoch %d", t.Job, other.epoch)
		}
	}
	r := w.newRun(t)
	w.runs[id] = r
	w.unreported = append(w.unreported, r)
	return nil
}

// newRun creates the run of t and starts its program and its lease. The caller
// holds w.mu.
func (w *Worker) newRun(t infra.TaskStart) *run {
	t.Payload = slices.Clone(t.Payload)
	t.Checkpoint = slices.Clone(t.Checkpoint)
	ctx, cancel := context.WithCancel(context.Background())
	r := &run{
		worker:      w,
		start:       t,
		actual:      t.Declared,
		cancel:      cancel,
		stopped:     make(chan struct{}),
		phase:       infra.TaskRunning,
		state:       t.Checkpoint,
		speed:       1,
		changed:     make(chan struct{}),
		windowStart: time.Now(),
	}
	if w.opts.Actual != nil {
		r.actual = w.opts.Actual(t)
	}
	// The worker itself stops a task whose lease lapses, so that a frozen or
	// disconnected holder can't keep the task running.
	r.lease = time.AfterFunc(t.Lease, r.stop)
	go r.execute(ctx)
	return r
}

// execute runs the program to its end and records its outcome.
func (r *run) execute(ctx context.Context) {
	w := r.worker
	w.programStarted(r.start.Job)
	var registered *Run
	if w.opts.Registry != nil {
		registered = w.opts.Registry.recordStart(Run{Job: r.start.Job, Epoch: r.start.Epoch, Worker: w.opts.Instance})
	}
	result, err := r.program(ctx)
	if ctx.Err() != nil && w.opts.StopDelay > 0 {
		time.Sleep(w.opts.StopDelay)
	}
	if registered != nil {
		w.opts.Registry.recordEnd(registered)
	}
	w.programEnded(r.start.Job)
	r.finish(result, err)
}

func (r *run) program(ctx context.Context) ([]byte, error) {
	p, ok := r.worker.opts.Kinds[r.start.Kind]
	if !ok {
		return nil, errUnknownKind
	}
	return p(ctx, Task{
		Job:        r.start.Job,
		Epoch:      r.start.Epoch,
		Payload:    slices.Clone(r.start.Payload),
		Checkpoint: slices.Clone(r.start.Checkpoint),
		run:        r,
	})
}

// finish sets the final phase. A result that came after the task had to stop
// is dropped, since the holder may already have reported the task as stopped.
func (r *run) finish(result []byte, err error) {
	r.lease.Stop()
	r.cancel()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ended = time.Now()
	switch {
	case r.stopping:
		r.phase = infra.TaskStopped
	case err != nil:
		r.phase = infra.TaskFailed
		r.failure = err.Error()
	default:
		r.phase = infra.TaskDone
		r.result = slices.Clone(result)
	}
	close(r.stopped)
}

// stop makes the program stop and doesn't wait for its end.
func (r *run) stop() {
	r.mu.Lock()
	r.stopping = true
	r.mu.Unlock()
	r.cancel()
}

func (r *run) hasStopped() bool {
	select {
	case <-r.stopped:
		return true
	default:
		return false
	}
}

// stopAll stops the runs and waits until all have stopped. If ctx ends first,
// the runs still stop, at an unknown time.
func stopAll(ctx context.Context, runs []*run) error {
	for _, r := range runs {
		r.stop()
	}
	for _, r := range runs {
		select {
		case <-r.stopped:
		case <-ctx.Done():
			return eris.Wrapf(infra.ErrUnknown, "job %s is stopping: %v", r.start.Job, ctx.Err())
		}
	}
	return nil
}

func (w *Worker) programStarted(id structs.JobID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	w.active[id]++
	if w.active[id] == 1 {
		return
	}
	w.violations++
	if w.violations == 1 {
		w.opts.Log.Error().Str("job", string(id)).Str("worker", string(w.opts.Instance)).
			Msg("invariant broken: a task runs twice on one worker")
	}
}

func (w *Worker) programEnded(id structs.JobID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active[id]--
	if w.active[id] == 0 {
		delete(w.active, id)
	}
}
