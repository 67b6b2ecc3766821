// Package runner is the part of the agent that runs jobs of steps. It alone
// calls the worker beside the agent. It renews the worker's lease for as long as
// a scheduler grants it, fences earlier agents of the same worker, enforces the
// worker's capacity, carries out orders and reports runs and their ends.
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

// Config bounds a runner.
type Config struct {
	// MaxLease is the longest lease that the worker grants.
	MaxLease time.Duration
	// MaxReportAge is the greatest age of the worker's latest report of itself
	// at which a run may start there; 0 stands for defaultReportAge.
	MaxReportAge time.Duration
}

// Deps are the dependencies of a runner.
type Deps struct {
	Control workerctl.Control
	Log     zerolog.Logger
	// Now is a clock that continues while the machine is suspended.
	Now func() time.Duration
	// Found, if not nil, is called with each worker found by its report.
	Found func(context.Context, workload.Worker)
}

// Runner is one agent's state. One lock guards all of it and is never held
// during a call.
type Runner struct {
	cfg  Config
	deps Deps

	// token fences every earlier process of this agent. It is a version of the
	// store, which only increases, never a clock's reading. It is set before
	// the first call to the worker and does not change.
	token uint64

	mu sync.Mutex
	// version counts changes; urgent is the version of the last change that
	// wakes a waiting Watch.
	version   uint64
	urgent    uint64
	watchWake chan struct{}

	epoch    uint64
	grantEnd time.Duration
	// drained: the data centre is drained, as of drainsVersion; nothing starts.
	drained       bool
	drainsVersion uint64

	// stopping says that leases are no longer renewed and nothing starts, because
	// the process is about to exit.
	stopping bool

	incarnation *incarnation
	// calledAt is when a scheduler last called Watch, or the process was registered.
	calledAt time.Duration
	// candidate is a worker that has not answered yet; it has reported, or the
	// previous process found it.
	candidate *workload.Worker
	// candidateOrder is the order of the candidate's reports.
	candidateOrder reportOrder
	// candidateAt is that report's arrival time; 0 if this process got none.
	candidateAt time.Duration
	// suggested is the worker that the previous process had found, if any.
	suggested workload.WorkerID
	former    []formerIncarnation
	// unanswered holds the runs with a start order without an answer, and the time
	// of the last such order, also after the run has ended (see lateOrderTime).
	unanswered map[workload.RunID]time.Duration
	// holdWake wakes holdLoop from a pause.
	holdWake chan struct{}
	counters Counters

	// sampleInterval is the time between two samples; unknownInterval replaces
	// it while the pressure of a pair of images here is unknown. sample is the
	// latest sample until it is sent, sampledAt the time of the latest sample.
	sampleInterval  time.Duration
	unknownInterval time.Duration
	sample          *dispatch.TailSample
	sampledAt       time.Duration
	// weights and base are the learnt pressure weights and tails without load.
	weights map[pressure.Pair]pressure.Weight
	// ranks is the scheduler's order of the jobs with filling runs here.
	ranks map[workload.JobID]int
	base  map[string]float64
	// reportsWork says that the scheduler asks for the work of filling runs.
	reportsWork bool
}

// Counters are an agent's counters; all only increase.
type Counters struct {
	Starts, Stops, Paces, Holds, HoldErrors, Refused, Ends, Lives int64
	// RoomRefused counts starts that the agent refused for lack of capacity.
	RoomRefused int64
	// Unreadable counts worker reports that could not be decoded.
	Unreadable int64
}

// incarnation is the state of one incarnation of the worker.
type incarnation struct {
	// id never changes and is read without the lock.
	id     workload.WorkerID
	worker workload.Worker
	// order is the order of the reports.
	order reportOrder
	// reportedAt is the arrival time of the latest report; 0 if there was none.
	// stale says that the report was too old at the last check.
	reportedAt time.Duration
	stale      bool
	changed    uint64
	listed     bool
	// endsKnown says that this process has read a whole listing. Before, a run
	// that it does not know may have been started by an earlier process, and have
	// ended.
	endsKnown bool
	leaving   bool
	// replaced says that a new life of the worker under the same instance has
	// been heard of.
	replaced bool
	// unlisted says that the worker has not listed its runs since a call failed.
	unlisted bool
	clock    clockReading
	// answeredAt is the time of the worker's last answer.
	answeredAt time.Duration
	// failedAt is the time of the first call since answeredAt without an
	// answer, downAt that of the first call that the address refused, or 0.
	failedAt time.Duration
	downAt   time.Duration
	// leaseEnd is the time by which the last lease that was sent has expired. An
	// earlier process of this agent sent its last lease before foundAt.
	leaseEnd time.Duration
	foundAt  time.Duration
	// failures counts the listings in a row without an answer; unansweredAt is
	// the time at which the latest of them failed.
	failures     int
	unansweredAt time.Duration
	answers      answerTimes
	// unresponsive: no answer came for unresponsiveAfter, and nothing starts.
	unresponsive bool
	// lapsed says that the last lease has expired and the worker has not
	// answered since: nothing runs there any more.
	lapsed bool
	// readEnd is the highest number of an end in a listing, storedEnd the
	// highest of an end whose effect is stored.
	readEnd   uint64
	storedEnd uint64
	ends      []endEntry
	runs      map[workload.RunID]*run
	// paces is the pace of each job's filling work by image, 0 to 1.
	paces map[paceKey]float64
}

type endEntry struct {
	end     workload.End
	changed uint64
}

// clockReading is the worker's clock in an answer that came at local time at.
type clockReading struct {
	now workerctl.Clock
	at  time.Duration
}

// run is one run that is or may be on the worker.
type run struct {
	id    workload.RunID
	state dispatch.RunState
	// sized says that an order has given the run's size; the runs of an earlier
	// agent process are unsized until the scheduler repeats their orders.
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
	// confirmedAt is the time at which the worker confirmed the run, or its
	// stop: only a listing requested later proves the run's absence.
	confirmedAt time.Duration
	// presentAt is the time at which the run was first known to be on the
	// worker, or, for a run of a gang, to work there; 0 before.
	presentAt time.Duration
	// sentAt is the time at which the run's first start order was sent; 0 before.
	sentAt time.Duration
	// inherited says that the run is of an earlier process of this agent.
	inherited bool
	// missingSince is the time of the first listing, one that is not whole, in
	// which the run is missing: it has ended. 0 before.
	missingSince time.Duration
	// doubtful says that only the answer to its start tells of the run, and that a
	// new life under the same instance may have given it.
	doubtful bool
	// provenReported says that the run was reported as proven (see proven).
	provenReported bool
	// calling says that a start of the run is in flight, uncertain that a start
	// with unknown outcome may take effect.
	calling   bool
	uncertain bool
	stopping  bool
	stopped   bool
	reason    string
	changed   uint64
	progress  int
	rough     float64
	// estimate is the order's estimated run time, firstProgress the progress in
	// the first listing, at firstAt. slow says that later progress is too slow.
	estimate      time.Duration
	firstProgress int
	firstAt       time.Duration
	slow          bool
	// rate is the inverse of the tail of a serving task (see rateGain).
	rate float64
	// pace is the last pace sent to the worker, at pacedAt; before the first
	// one the run works at full pace.
	pace    int
	pacedAt time.Duration
	// startPace is the pace, in percent, that the run's order demands; 0 for none.
	startPace int
	// worked is the run's work up to workedAt, as time at full pace.
	worked   time.Duration
	workedAt time.Duration
	work     workMeter
	// overSince is the time since which the tail of a serving task is over its
	// target; 0 while it is not.
	overSince time.Duration
}

// maxFormer bounds the ended incarnations in Runner.former.
const maxFormer = 8

// New returns a runner.
func New(cfg Config, deps Deps) *Runner {
	return &Runner{cfg: cfg, deps: deps, watchWake: make(chan struct{}), holdWake: make(chan struct{}, 1)}
}

// Registered sets the runner's token and the worker that the previous process
// had found, if any. It is called once, before Run and before the scheduler's
// first call.
//
// Reports are accepted before this call, too: a worker that starts with its
// agent reports at once, and again after a second. If that first report were
// lost while the agent registers, nothing would start there for a second.
func (r *Runner) Registered(token uint64, before workload.Worker) {
	r.mu.Lock()
	r.token, r.calledAt = token, r.deps.Now()
	r.mu.Unlock()
	r.suggest(before)
}

// Run lists the worker, renews its lease and sets paces until ctx ends.
func (r *Runner) Run(ctx context.Context) {
	go r.paceLoop(ctx)
	r.holdLoop(ctx)
}

// Counters returns the counters so far.
func (r *Runner) Counters() Counters {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.counters
}

// recordChange counts a change; an urgent one wakes waiting Watch calls.
func (r *Runner) recordChange(urgent bool) uint64 {
	r.version++
	if urgent {
		r.urgent = r.version
		close(r.watchWake)
		r.watchWake = make(chan struct{})
	}
	return r.version
}

func (r *Runner) wakeHold() {
	select {
	case r.holdWake <- struct{}{}:
	default:
	}
}

// leaseLimit returns the worker's clock reading until which the lease may run,
// or 0 if the lease may not be renewed. The grant is measured on this machine's
// clock. The worker's clock is at least at its last reading when that reading
// arrives, so counting from the arrival is safe. Only a slow clock of the
// worker would make the lease longer; margins on both sides cover this.
//
// After unresponsiveAfter without an answer the lease is not extended: the
// worker may be gone, and its tasks start elsewhere only after the last lease.
func (r *Runner) leaseLimit(inc *incarnation) workerctl.Clock {
	now := r.deps.Now()
	left := min(r.grantEnd-now, maxLease, r.cfg.MaxLease-leaseMargin)
	if r.stopping || left <= 0 || inc.clock.at == 0 || now-inc.answeredAt > unresponsiveAfter {
		return 0
	}
	inc.leaseEnd = max(inc.leaseEnd, now+left+time.Duration(clockDrift*float64(left))+leaseMargin)
	return inc.clock.now.Add(now - inc.clock.at + left)
}

const (
	// leaseMargin keeps a lease below the longest that the worker accepts,
	// even when the readings of its clock have aged.
	leaseMargin = 200 * time.Millisecond
	// maxLease is the longest lease that is requested. A short one frees the
	// tasks of a lost worker sooner; a long one outlasts the time in which a
	// killed or frozen agent is absent.
	maxLease = 3 * time.Second
	// unresponsiveAfter is the time without an answer after which the worker's
	// lease is no longer renewed. A listing has a timeout of up to one second.
	unresponsiveAfter = 1600 * time.Millisecond
	// clockDrift is more than the 2 % by which a worker's clock may be slow.
	clockDrift = 0.03
)

// used returns the reserved capacity of all runs that are or may be on the
// worker; sized is false while the size of a run is not known.
func (inc *incarnation) used() (sum workload.Resources, sized bool) {
	sized = true
	for _, x := range inc.runs {
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
