// Package runner is the agent's side of jobs of steps. It is the only caller
// of the worker beside it: it holds the worker's lease for as long as a
// scheduler grants it, fences earlier agents of the same worker, keeps the
// worker's room, carries out orders and reports runs and ends.
package runner

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// Config is what a runner is told when it is made.
type Config struct {
	// MaxLease is the longest lease that the worker grants.
	MaxLease time.Duration
	// ReportsHold is how old the worker's latest report of itself may be when
	// something starts there; 0 stands for usualReportsHold.
	ReportsHold time.Duration
}

// Deps are what a runner uses.
type Deps struct {
	Control workerctl.Control
	Log     zerolog.Logger
	// Now is a clock that goes on while the machine is suspended.
	Now func() time.Duration
	// Found is called with each worker that was found by its report; nil
	// for none.
	Found func(context.Context, workload.Worker)
}

// Runner is one agent's state. All of it is under one lock, which is never
// held during a call.
type Runner struct {
	cfg  Config
	deps Deps

	// token fences every earlier process of this agent. It is taken from the
	// store, whose versions only go up, never from a clock. It is set before
	// the first call to the worker and does not change.
	token uint64

	mu sync.Mutex
	// version counts changes; urgent is the version of the last one that a
	// waiting Watch should be woken for.
	version uint64
	urgent  uint64
	wake    chan struct{}

	epoch    uint64
	grantEnd time.Duration
	// drained says that nothing may start here, as of drainsVersion.
	drained       bool
	drainsVersion uint64

	life *life
	// candidate is a worker that has reported and is not yet known to live.
	candidate *workload.Worker
	// candidateSeq is the number of its latest report.
	candidateSeq uint64
	// candidateAt is when that arrived; 0 if it has not reported to this process.
	candidateAt time.Duration
	former      []formerLife
	// kick wakes the holding loop.
	kick     chan struct{}
	counters Counters

	// sampleEvery is the time between two samples, sampleUnknown that beside
	// pairs of images of which it is not known whether they press; sample is
	// the latest that was not sent, sampledAt its time.
	sampleEvery   time.Duration
	sampleUnknown time.Duration
	sample        *dispatch.TailSample
	sampledAt     time.Duration
	// weights and base are what the scheduler has learnt.
	weights map[pressure.Pair]pressure.Weight
	// ranks is the scheduler's order of the jobs with filling runs here.
	ranks map[workload.JobID]int
	base  map[string]float64
}

// Counters are an agent's figures; all only go up.
type Counters struct {
	Starts, Stops, Paces, Holds, HoldErrors, Refused, Ends, Lives int64
	// RoomRefused counts starts that the agent refused for want of room.
	RoomRefused int64
	// Unreadable counts reports of a worker that could not be read.
	Unreadable int64
}

// life is what is known of one life of the worker.
type life struct {
	// id never changes and is read without the lock.
	id     workload.WorkerID
	worker workload.Worker
	// sequence is the number of the latest report.
	sequence uint64
	// reportedAt is when that arrived; 0 if there was none. stale says that it
	// was too long ago, as far as was noted.
	reportedAt time.Duration
	stale      bool
	changed    uint64
	listed     bool
	left       bool
	clock      clockReading
	// answeredAt is when the worker last answered.
	answeredAt time.Duration
	// failedAt is when a call was first left without an answer since then, downAt
	// when one was first refused by its address; 0 while none was.
	failedAt time.Duration
	downAt   time.Duration
	// leaseEnd is when the last lease that was sent is over for certain.
	leaseEnd time.Duration
	// failures counts the listings without an answer in a row, unansweredAt
	// is when the latest was given up.
	failures     int
	unansweredAt time.Duration
	answers      answerTimes
	// silent says that the worker does not answer.
	silent bool
	// lapsed says that its last lease is over and the worker has not answered since:
	// nothing runs there any more.
	lapsed bool
	// got is the highest end that was read, seen the highest that is stored.
	got  uint64
	seen uint64
	ends []endEntry
	runs map[workload.RunID]*run
	// paces is the pace of each job's filling work by image, 0 to 1.
	paces map[paceKey]float64
}

type endEntry struct {
	end     workload.End
	changed uint64
}

// clockReading is the worker's clock as read by an answer that arrived at
// local time at.
type clockReading struct {
	now workerctl.Clock
	at  time.Duration
}

// run is one run that is or may be on the worker.
type run struct {
	id    workload.RunID
	state dispatch.RunState
	// sized says that an order has told what the run takes; the runs of an
	// earlier agent process are unsized until the scheduler repeats theirs.
	sized      bool
	need       workload.Resources
	fills      bool
	image      string
	tailTarget time.Duration
	gang       bool
	watched    bool
	payload    string
	checkpoint string
	ticket     string
	// confirmedAt is when the worker confirmed the run, or that it is to
	// stop: only a listing that was asked for later proves its absence.
	confirmedAt time.Duration
	// presentAt is when the run was first known to be on the worker, a gang's to
	// be at work; 0 before.
	presentAt time.Duration
	// found says that the run is of an earlier process of this agent.
	found bool
	// toldProven says that a change told that the run is proven.
	toldProven bool
	// calling says that an order of the run is under way, uncertain that one
	// was left without an answer.
	calling   bool
	uncertain bool
	stopping  bool
	stopped   bool
	reason    string
	changed   uint64
	progress  int
	rough     float64
	// estimate is that of the order; firstProgress is the progress of the
	// first listing, at firstAt, and slow what followed from it.
	estimate      time.Duration
	firstProgress int
	firstAt       time.Duration
	slow          bool
	// rate is the inverse of the tail of a serving task, smoothed.
	rate float64
	// pace is the pace that the worker was last told, at pacedAt; a run that
	// was never told works at full pace.
	pace    int
	pacedAt time.Duration
	// worked is how long the run had worked at workedAt, counted as if at
	// full pace.
	worked   time.Duration
	workedAt time.Duration
	// overSince is when the tail of a serving task went over its target; 0
	// while it is not.
	overSince time.Duration
}

// maxFormer bounds the list of lives that have ended.
const maxFormer = 8

// New returns a runner.
func New(cfg Config, deps Deps) *Runner {
	return &Runner{cfg: cfg, deps: deps, wake: make(chan struct{}), kick: make(chan struct{}, 1)}
}

// Registered tells the runner its token, and the worker that the process before
// this one had found, if any. It is called once, before Run and before the
// scheduler's first call.
//
// Reports are taken before that, too: a worker that begins together with its
// agent reports at once, and then not for a second. Were that report lost while
// the agent still registers, nothing would start there for so long.
func (r *Runner) Registered(token uint64, before workload.Worker) {
	r.token = token
	r.suggest(before)
}

// Run holds the worker until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	go r.paceLoop(ctx)
	r.holdLoop(ctx)
}

// Counters returns the figures so far.
func (r *Runner) Counters() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counters
}

// touch counts a change; an urgent one wakes waiting Watch calls.
func (r *Runner) touch(urgent bool) uint64 {
	r.version++
	if urgent {
		r.urgent = r.version
		close(r.wake)
		r.wake = make(chan struct{})
	}
	return r.version
}

func (r *Runner) kickHold() {
	select {
	case r.kick <- struct{}{}:
	default:
	}
}

// leaseLimit returns the worker's clock reading until which the lease may be
// held, or 0 if there is no grant. The grant runs on this machine's clock;
// the reading arrived at or after the moment that it shows, so counting from
// the arrival errs on the safe side but for the worker's slow clock, for
// which margins are added on both sides.
//
// A worker that does not answer gets no longer lease: it may be gone for
// good, and its tasks can start elsewhere only when the last lease is over.
func (r *Runner) leaseLimit(l *life) workerctl.Clock {
	now := r.deps.Now()
	left := min(r.grantEnd-now, maxLease, r.cfg.MaxLease-leaseMargin)
	if left <= 0 || l.clock.at == 0 || now-l.answeredAt > silentAfter {
		return 0
	}
	l.leaseEnd = max(l.leaseEnd, now+left+time.Duration(clockDrift*float64(left))+leaseMargin)
	return l.clock.now.Add(now - l.clock.at + left)
}

const (
	// leaseMargin keeps a lease below the longest that the worker takes,
	// after the readings of its clock have aged.
	leaseMargin = 200 * time.Millisecond
	// maxLease is the longest lease that is asked for. A short one frees the
	// tasks of a worker that is gone sooner, a long one outlasts an agent that
	// is killed or frozen.
	maxLease = 3 * time.Second
	// silentAfter is how long a worker may fail to answer before its lease
	// is no longer renewed. A listing is given one second.
	silentAfter = 1600 * time.Millisecond
	// clockDrift is more than the 2 % by which a worker's clock may be slow.
	clockDrift = 0.03
)

// used is the counted room of everything that is or may be on the worker;
// sized is false while the size of a run is not known.
func (l *life) used() (sum workload.Resources, sized bool) {
	sized = true
	for _, x := range l.runs {
		if x.state == dispatch.RunVoid {
			continue
		}
		if !x.sized {
			sized = false
		}
		sum = sum.Add(x.reserved())
	}
	return sum, sized
}

func (x *run) reserved() workload.Resources {
	if x.fills {
		return workload.Resources{Memory: x.need.Memory, GPU: x.need.GPU}
	}
	return x.need
}
