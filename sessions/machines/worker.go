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

// Outcome says how a run behaves.
type Outcome struct {
	// For is how long the run works; 0 means that it lasts until stopped, as
	// the tasks of a lasting step always do.
	For time.Duration
	// Fails says that it ends failed.
	Fails bool
	// Hangs says that it never ends by itself.
	Hangs bool
	// Crashes says that its worker crashes soon after it has begun.
	Crashes bool
}

const (
	// answerTime is how long a worker takes to answer.
	answerTime = time.Millisecond
	// silence is how long a caller waits for an answer that never comes.
	silence = 500 * time.Millisecond
	// failTime is how soon a run ends on a worker that fails what it starts.
	failTime = 30 * time.Millisecond
	// crashTime is how soon a run that crashes its worker does so.
	crashTime = 10 * time.Millisecond
	// aloneTime is how long a member of a gang waits for the others.
	aloneTime = 3 * time.Second
	// stopTime is how long a run takes to stop.
	stopTime = 200 * time.Millisecond
	// longestLease is the longest lease that a worker grants.
	longestLease = 10 * time.Second
	// listedEnds is the most ends of one listing.
	listedEnds = 500
)

// Worker is a stand-in of the worker of one machine. It obeys orders, keeps
// leases on a clock that runs slow, and tells the rules what it does.
type Worker struct {
	rules   *Rules
	outcome func(workload.RunID) Outcome
	advisor *advisor
	info    workload.Worker
	// onCrash is called when a run has crashed the worker; nil for nothing.
	onCrash func()
	// slow is the worker's clock against true time, 0.98 to 1.
	slow  float64
	began time.Time

	mu    sync.Mutex
	rng   *rand.Rand
	alive bool
	// refusing says that after its end the worker's address refuses calls, and is
	// not silent.
	refusing bool
	// dark says that no call gets an answer, though what runs goes on.
	dark bool
	// late is the share of orders without an answer that are carried out
	// seconds later.
	late float64
	// lost is the share of calls that are carried out and whose answer never
	// arrives.
	lost float64
	// fails says that what begins soon ends failed.
	fails bool
	// hangs says that what begins stands still.
	hangs   bool
	refuses bool
	token   uint64
	lease   workerctl.Clock
	running map[workload.RunID]*working
	highest map[workload.TaskID]int
	ended   []workload.End
	number  uint64
	seen    uint64
	// lapsedEnds is the number of the last end before a lease lapsed; those
	// up to it can't be noted any more.
	lapsedEnds uint64
	changed    chan struct{}
	// larger are the capacities that the worker had before it shrank.
	larger []formerCapacity
}

type working struct {
	run        workload.RunID
	payload    string
	began      time.Time
	checkpoint int
	// takes is how long the run works; 0 means that it lasts or stands still.
	takes    time.Duration
	lasts    bool
	stopping bool
	timer    *time.Timer
}

// NewWorker begins the life of a worker. Its luck follows seed.
func NewWorker(info workload.Worker, rules *Rules, outcome func(workload.RunID) Outcome, seed uint64) *Worker {
	w := &Worker{
		rules: rules, outcome: outcome, info: info, slow: 0.98, began: time.Now(), rng: rand.New(rand.NewPCG(seed, 7)), alive: true,
		running: map[workload.RunID]*working{}, highest: map[workload.TaskID]int{}, changed: make(chan struct{}),
	}
	go w.watchLease()
	return w
}

// clock reads the worker's own clock.
func (w *Worker) clock() workerctl.Clock {
	return workerctl.Clock(float64(time.Since(w.began).Milliseconds())*w.slow) + 1000
}

// watchLease ends everything when the lease is over.
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

// Info is what the worker reports of itself; alive is false after its end.
func (w *Worker) Info() (info workload.Worker, alive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.info, w.alive
}

// Drain makes the worker report that it leaves.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.info.Draining = true
}

// SetDark sets whether calls get no answer.
func (w *Worker) SetDark(dark bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dark = dark
}

// SetLate sets the share of orders that are carried out late.
func (w *Worker) SetLate(share float64) {
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

// answerLost reports whether the answer to a call is lost; its caller has
// waited for it then.
func (w *Worker) answerLost(ctx context.Context) bool {
	w.mu.Lock()
	lost := w.rng.Float64() < w.lost
	w.mu.Unlock()
	if lost {
		wait.For(ctx, silence)
	}
	return lost
}

// SetFails lets all that begins from now on fail within moments.
func (w *Worker) SetFails(fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fails = fails
}

// SetHangs sets whether what begins from now on stands still, though the
// worker looks healthy.
func (w *Worker) SetHangs(hangs bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hangs = hangs
}

// Running lists what runs.
func (w *Worker) Running() []workload.RunID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var runs []workload.RunID
	for r := range w.running {
		runs = append(runs, r)
	}
	return runs
}

// enter waits the time of a call and says whether it is lost; a lost order
// may be carried out later by do.
func (w *Worker) enter(ctx context.Context, life workload.WorkerID, order bool, do func()) error {
	w.mu.Lock()
	silent := w.dark || !w.alive
	refusing := !w.dark && !w.alive && w.refusing
	late := order && !silent && w.rng.Float64() < w.late
	delay := 2*time.Second + time.Duration(w.rng.Float64()*float64(10*time.Second))
	w.mu.Unlock()
	if refusing {
		return workerctl.ErrDown
	}
	if silent || late {
		if late {
			time.AfterFunc(delay, do)
		}
		wait.For(ctx, silence)
		return workerctl.ErrUnknown
	}
	if !wait.For(ctx, answerTime) {
		return workerctl.ErrUnknown
	}
	if life != w.info.ID {
		return workerctl.ErrGone
	}
	return nil
}

// fence keeps the highest token; a lower one is refused.
func (w *Worker) fence(token uint64) error {
	if token < w.token {
		return &workerctl.RefusedError{Reason: workerctl.RefusedFence}
	}
	w.token = token
	return nil
}

func (w *Worker) extend(lease workerctl.Clock) {
	w.lease = max(w.lease, min(lease, w.clock().Add(longestLease)))
}

// Start implements workerctl.Control.
func (w *Worker) Start(ctx context.Context, life workload.WorkerID, o workerctl.StartOrder) (workerctl.Clock, error) {
	if err := w.enter(ctx, life, true, func() { _, _ = w.start(o) }); err != nil {
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
	w.extend(o.Lease)
	if w.running[o.Run] != nil {
		return w.clock(), nil
	}
	if o.Run.Run <= w.highest[o.Run.Task] {
		return w.clock(), &workerctl.RefusedError{Reason: workerctl.RefusedOld}
	}
	if w.rules.advised(o.Run) && !w.advisor.holds(o.Run.Task, w.info.ID, o.Ticket) {
		return w.clock(), &workerctl.RefusedError{Reason: workerctl.RefusedTicket}
	}
	if w.refuses {
		return w.clock(), workerctl.ErrNotDone
	}
	w.begin(o)
	return w.clock(), nil
}

func (w *Worker) begin(o workerctl.StartOrder) {
	x := &working{run: o.Run, payload: o.Payload, began: time.Now()}
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
	if w.rules.alone(o.Run) {
		out, kind = Outcome{For: aloneTime}, workload.EndAlone
	}
	x.lasts = out.For == 0 || w.rules.lasting(o.Run)
	if out.Crashes {
		x.timer = w.crashSoon(x)
		return
	}
	if x.lasts || out.Hangs || w.hangs {
		x.timer = time.AfterFunc(time.Hour, func() {})
		return
	}
	x.takes = out.For
	x.timer = time.AfterFunc(out.For, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.running[o.Run] == x {
			w.end(x, kind)
		}
	})
}

// progress is how much of its work is done, in whole per cents.
func (x *working) progress() int {
	switch {
	case x.lasts:
		return 100
	case x.takes == 0:
		return 0
	}
	return min(99, int(100*time.Since(x.began)/x.takes))
}

func (w *Worker) end(x *working, kind workload.EndKind) {
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
func (w *Worker) Stop(ctx context.Context, life workload.WorkerID, run workload.RunID, token uint64) (workerctl.Clock, error) {
	if err := w.enter(ctx, life, true, func() { _, _ = w.stop(run, token) }); err != nil {
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
func (w *Worker) Pace(ctx context.Context, life workload.WorkerID, _ workload.RunID, _ int, token uint64) (workerctl.Clock, error) {
	if err := w.enter(ctx, life, false, nil); err != nil {
		return 0, err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.clock(), w.fence(token)
}

// Hold implements workerctl.Control.
func (w *Worker) Hold(ctx context.Context, life workload.WorkerID, o workerctl.HoldOrder) (workerctl.Listing, error) {
	if err := w.enter(ctx, life, false, nil); err != nil {
		return workerctl.Listing{}, err
	}
	w.mu.Lock()
	if err := w.fence(o.Token); err != nil {
		w.mu.Unlock()
		return workerctl.Listing{}, err
	}
	if o.Lease > 0 {
		w.extend(o.Lease)
	}
	w.forget(o.Seen)
	wait, number, changed := o.Wait, w.number, w.changed
	w.mu.Unlock()
	if wait > 0 && number <= o.Seen {
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
	if !w.alive || w.dark {
		return workerctl.Listing{}, workerctl.ErrUnknown
	}
	return w.listing(), nil
}

func (w *Worker) forget(seen uint64) {
	w.seen = max(w.seen, seen)
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > w.seen {
			kept = append(kept, e)
		} else if e.Number > w.lapsedEnds {
			w.rules.noted(e)
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
	return l
}

func (w *Worker) String() string { return fmt.Sprintf("worker %s", w.info.ID) }
