package machines

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"time"

	"persimmonrock.example/infra/wait"
	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/structs/workload"
)

// Outcome describes the behaviour of a run.
type Outcome struct {
	// For is the run's working time. With 0, and always in a lasting step, the
	// run works until stopped.
	For time.Duration
	// Fails makes the run end failed.
	Fails bool
	// Hangs makes the run never end by itself.
	Hangs bool
	// Crashes makes the run crash its worker after crashTime.
	Crashes bool
}

const (
	answerTime = time.Millisecond
	// callTimeout is the time that a caller waits for a missing answer.
	callTimeout = 500 * time.Millisecond
	// failTime is the duration of each run on a worker that fails all its runs.
	failTime = 30 * time.Millisecond
	// crashTime is the time from the start of a run to the crash that it
	// causes.
	crashTime = 10 * time.Millisecond
	// gangWait is the time that a member of a gang waits for the others.
	gangWait = 3 * time.Second
	// stopTime is the time that a run takes to stop.
	stopTime = 200 * time.Millisecond
	// longestLease is the longest lease that a worker grants.
	longestLease = 10 * time.Second
	// listedEnds is the maximum number of ended runs in one listing.
	listedEnds = 500
)

// Worker simulates the worker of one machine. It executes orders, measures
// leases by a slow clock, and reports its actions to the rules.
type Worker struct {
	rules   *Rules
	outcome func(workload.RunID) Outcome
	advisor *advisor
	info    workload.Worker
	// onCrash is called after a run has crashed the worker; it may be nil.
	onCrash func()
	// present returns the life that carries out late orders; nil means this one.
	present func() *Worker
	// clockRate is the rate of the worker's clock relative to true time,
	// clockStart what the clock read at began, in milliseconds.
	clockRate  float64
	clockStart workerctl.Clock
	began      time.Time
	// firstReport is the number of the worker's first report about itself.
	firstReport uint64

	mu    sync.Mutex
	rng   *rand.Rand
	alive bool
	// refusing makes the address refuse calls after the worker has ended; if
	// false, such calls get no answer.
	refusing bool
	// unresponsive leaves calls unanswered while the runs continue.
	unresponsive bool
	// late is the share of orders that get no answer and are executed seconds
	// later.
	late float64
	// lost is the share of calls that are executed but whose answer is lost.
	lost float64
	// fails makes new runs fail after failTime.
	fails bool
	// hangs keeps new runs from progressing.
	hangs            bool
	refuses          bool
	token            uint64
	lease            workerctl.Clock
	running          map[workload.RunID]*activeRun
	highest          map[workload.TaskID]int
	ended            []workload.End
	number           uint64
	lastAcknowledged uint64
	// lapsedEnds is the number of the last ended run when a lease last expired.
	// The rules ignore acknowledgements up to this number.
	lapsedEnds uint64
	changed    chan struct{}
	// formerCapacities holds the capacity from before each change.
	formerCapacities []formerCapacity
}

type activeRun struct {
	run        workload.RunID
	payload    string
	began      time.Time
	checkpoint int
	// duration is the run's working time; 0 if the run lasts, hangs or crashes
	// its worker.
	duration time.Duration
	lasting  bool
	stopping bool
	timer    *time.Timer
}

const (
	// workerStarts is the random stream from which the starts of a worker's clock
	// and of the numbers of its reports are drawn.
	workerStarts = 8
	// maxFirstReport bounds the number of a worker's first report.
	maxFirstReport = 1 << 40
)

// NewWorker starts a worker. seed determines its random faults, and where its
// clock and the numbers of its reports start.
func NewWorker(info workload.Worker, rules *Rules, outcome func(workload.RunID) Outcome, seed uint64) *Worker {
	w := &Worker{
		rules: rules, outcome: outcome, info: info, clockRate: 0.98, began: time.Now(), rng: rand.New(rand.NewPCG(seed, 7)), alive: true,
		running: map[workload.RunID]*activeRun{}, highest: map[workload.TaskID]int{}, changed: make(chan struct{}),
	}
	starts := rand.New(rand.NewPCG(seed, workerStarts))
	w.clockStart = workerctl.Clock(drawClockStart(starts).Milliseconds())
	w.firstReport = 1 + starts.Uint64N(maxFirstReport)
	go w.watchLease()
	return w
}

// startClockAnew makes the clock start as that of a life under an instance identifier
// that had others before: the users' workers begin their clocks anew then.
func (w *Worker) startClockAnew() { w.clockStart = workerctl.Clock(minClockStart.Milliseconds()) }

func (w *Worker) clock() workerctl.Clock {
	return workerctl.Clock(float64(time.Since(w.began).Milliseconds())*w.clockRate) + w.clockStart
}

// watchLease ends all runs when the lease expires.
func (w *Worker) watchLease() {
	for {
		time.Sleep(20 * time.Millisecond)
		w.mu.Lock()
		if !w.alive {
			w.mu.Unlock()
			return
		}
		if w.lease > 0 && w.clock() > w.lease {
			for _, x := range w.running {
				w.end(x, workload.EndLapsed)
			}
			w.lapsedEnds = w.number
		}
		w.mu.Unlock()
	}
}

// Info returns the worker's description for reports; alive is false once the
// worker has ended.
func (w *Worker) Info() (info workload.Worker, alive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.info, w.alive
}

// FirstReport is the number of the worker's first report; each further report
// has a higher one.
func (w *Worker) FirstReport() uint64 { return w.firstReport }

// Drain makes the worker report that it is draining.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.info.Draining = true
}

// SetUnresponsive sets whether the worker leaves calls unanswered.
func (w *Worker) SetUnresponsive(unresponsive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive = unresponsive
}

// SetLateOrders sets the share of orders that get no answer and are executed
// late.
func (w *Worker) SetLateOrders(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late = share
}

// SetLost sets the share of calls whose answer is lost.
func (w *Worker) SetLost(share float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lost = share
}

// answerLost reports whether the answer to a call is lost, and if so, waits for
// the caller's time-out.
func (w *Worker) answerLost(ctx context.Context) bool {
	w.mu.Lock()
	lost := w.rng.Float64() < w.lost
	w.mu.Unlock()
	if lost {
		wait.For(ctx, callTimeout)
	}
	return lost
}

// SetFails sets whether new runs fail after failTime.
func (w *Worker) SetFails(fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fails = fails
}

// SetHangs sets whether new runs make no progress while the worker looks
// healthy.
func (w *Worker) SetHangs(hangs bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hangs = hangs
}

// Running returns the current runs.
func (w *Worker) Running() []workload.RunID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []workload.RunID
	for r := range w.running {
		runs = append(runs, r)
	}
	return runs
}

// receive simulates the delay of a call and returns an error if the call is
// lost, refused or meant for another incarnation. For a late order it calls do
// after 2 to 12 s, with the life that carries out the order.
func (w *Worker) receive(ctx context.Context, incarnation workload.WorkerID, order bool, do func(*Worker)) error {
	w.mu.Lock()
	unanswered := w.unresponsive || !w.alive
	refusing := !w.unresponsive && !w.alive && w.refusing
	late := order && !unanswered && w.rng.Float64() < w.late
	delay := 2*time.Second + time.Duration(w.rng.Float64()*float64(10*time.Second))
	w.mu.Unlock()
	if refusing {
		return workerctl.ErrDown
	}
	if unanswered || late {
		if late {
			time.AfterFunc(delay, func() { w.carryOutLate(incarnation, do) })
		}
		wait.For(ctx, callTimeout)
		return workerctl.ErrUnknown
	}
	if !wait.For(ctx, answerTime) {
		return workerctl.ErrUnknown
	}
	if incarnation.Instance() != w.info.ID.Instance() {
		return workerctl.ErrGone
	}
	return nil
}

func (w *Worker) carryOutLate(incarnation workload.WorkerID, do func(*Worker)) {
	by := w
	if w.present != nil {
		by = w.present()
	}
	if by.info.ID.Instance() == incarnation.Instance() {
		do(by)
	}
}

// fence records the highest token and refuses lower tokens.
func (w *Worker) fence(token uint64) error {
	if token < w.token {
		return &workerctl.RefusedError{Reason: workerctl.RefusedFence}
	}
	w.token = token
	return nil
}

func (w *Worker) extendLease(lease workerctl.Clock) {
	w.lease = max(w.lease, min(lease, w.clock().Add(longestLease)))
}

// Start implements workerctl.Control.
func (w *Worker) Start(ctx context.Context, incarnation workload.WorkerID, o workerctl.StartOrder) (workerctl.Clock, error) {
	if err := w.receive(ctx, incarnation, true, func(w *Worker) { _, _ = w.start(o) }); err != nil {
		return 0, err
	}
	return w.start(o)
}

func (w *Worker) start(o workerctl.StartOrder) (workerctl.Clock, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.alive {
		return 0, workerctl.ErrUnknown
	}
	if err := w.fence(o.Token); err != nil {
		return w.clock(), err
	}
	if o.Lease < w.clock() {
		return w.clock(), &workerctl.RefusedError{Reason: workerctl.RefusedLate}
	}
	w.extendLease(o.Lease)
	if w.running[o.Run] != nil {
		return w.clock(), nil
	}
	if o.Run.Run <= w.highest[o.Run.Task] {
		return w.clock(), &workerctl.RefusedError{Reason: workerctl.RefusedOld}
	}
	if w.rules.needsAdvice(o.Run) && !w.advisor.validTicket(o.Run.Task, w.info.ID, o.Ticket) {
		return w.clock(), &workerctl.RefusedError{Reason: workerctl.RefusedTicket}
	}
	if w.refuses {
		return w.clock(), workerctl.ErrNotDone
	}
	w.begin(o)
	return w.clock(), nil
}

func (w *Worker) begin(o workerctl.StartOrder) {
	x := &activeRun{run: o.Run, payload: o.Payload, began: time.Now()}
	if o.Checkpoint != "" {
		x.checkpoint, _ = strconv.Atoi(o.Checkpoint)
	}
	w.running[o.Run] = x
	w.rules.started(w, x, o)
	out := w.outcome(o.Run)
	kind := workload.EndDone
	if w.fails {
		out = Outcome{For: failTime, Fails: true}
	}
	if out.Fails {
		kind = workload.EndFailed
	}
	if w.rules.inBrokenGang(o.Run) {
		out, kind = Outcome{For: gangWait}, workload.EndAlone
	}
	x.lasting = out.For == 0 || w.rules.isLasting(o.Run)
	if out.Crashes {
		x.timer = w.scheduleCrash(x)
		return
	}
	if x.lasting || out.Hangs || w.hangs {
		x.timer = time.AfterFunc(time.Hour, func() {})
		return
	}
	x.duration = out.For
	x.timer = time.AfterFunc(out.For, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[o.Run] == x {
			w.end(x, kind)
		}
	})
}

// progress returns the share of the run's work that is done, in per cent; 100
// for a lasting run.
func (x *activeRun) progress() int {
	switch {
	case x.lasting:
		return 100
	case x.duration == 0:
		return 0
	}
	return min(99, int(100*time.Since(x.began)/x.duration))
}

func (w *Worker) end(x *activeRun, kind workload.EndKind) {
	x.timer.Stop()
	delete(w.running, x.run)
	w.highest[x.run.Task] = max(w.highest[x.run.Task], x.run.Run)
	w.number++
	e := workload.End{Number: w.number, Run: x.run, Kind: kind}
	if kind == workload.EndStopped || kind == workload.EndLapsed {
		e.Checkpoint = strconv.Itoa(x.checkpoint + int(time.Since(x.began)/time.Second))
	}
	w.ended = append(w.ended, e)
	w.rules.ended(w, e)
	close(w.changed)
	w.changed = make(chan struct{})
}

// Stop implements workerctl.Control.
func (w *Worker) Stop(ctx context.Context, incarnation workload.WorkerID, run workload.RunID, token uint64) (workerctl.Clock, error) {
	if err := w.receive(ctx, incarnation, true, func(w *Worker) { _, _ = w.stop(run, token) }); err != nil {
		return 0, err
	}
	return w.stop(run, token)
}

func (w *Worker) stop(run workload.RunID, token uint64) (workerctl.Clock, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.fence(token); err != nil {
		return w.clock(), err
	}
	w.highest[run.Task] = max(w.highest[run.Task], run.Run)
	x := w.running[run]
	if x == nil || x.stopping {
		return w.clock(), nil
	}
	x.stopping = true
	time.AfterFunc(stopTime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[run] == x {
			w.end(x, workload.EndStopped)
		}
	})
	return w.clock(), nil
}

// Pace implements workerctl.Control.
func (w *Worker) Pace(ctx context.Context, incarnation workload.WorkerID, _ workload.RunID, _ int, token uint64) (workerctl.Clock, error) {
	if err := w.receive(ctx, incarnation, false, nil); err != nil {
		return 0, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock(), w.fence(token)
}

// Hold implements workerctl.Control.
func (w *Worker) Hold(ctx context.Context, incarnation workload.WorkerID, o workerctl.HoldOrder) (workerctl.Listing, error) {
	if err := w.receive(ctx, incarnation, false, nil); err != nil {
		return workerctl.Listing{}, err
	}
	w.mu.Lock()
	if err := w.fence(o.Token); err != nil {
		w.mu.Unlock()
		return workerctl.Listing{}, err
	}
	if o.Lease > 0 {
		w.extendLease(o.Lease)
	}
	seen := o.Seen
	if incarnation != w.info.ID {
		seen = 0
	}
	w.dropAcknowledged(seen)
	wait, number, changed := o.Wait, w.number, w.changed
	w.mu.Unlock()
	if wait > 0 && number <= seen {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			return workerctl.Listing{}, workerctl.ErrUnknown
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.alive || w.unresponsive {
		return workerctl.Listing{}, workerctl.ErrUnknown
	}
	if incarnation != w.info.ID {
		return workerctl.Listing{}, &workerctl.RebornError{Worker: w.info.ID}
	}
	return w.listing(), nil
}

func (w *Worker) dropAcknowledged(lastAcknowledged uint64) {
	w.lastAcknowledged = max(w.lastAcknowledged, lastAcknowledged)
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > w.lastAcknowledged {
			kept = append(kept, e)
		} else if e.Number > w.lapsedEnds {
			w.rules.acknowledged(e)
		}
	}
	w.ended = kept
}

func (w *Worker) listing() workerctl.Listing {
	l := workerctl.Listing{Now: w.clock()}
	for _, x := range w.running {
		l.Running = append(l.Running, workerctl.RunStatus{Run: x.run, Progress: x.progress(), Rough: 5})
	}
	l.Ended = append(l.Ended, w.ended[:min(len(w.ended), listedEnds)]...)
	l.Whole = len(l.Ended) < listedEnds
	return l
}

func (w *Worker) String() string { return fmt.Sprintf("worker %s", w.info.ID) }
