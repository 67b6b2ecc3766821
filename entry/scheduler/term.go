// Package scheduler decides which task runs where. One entry at a time holds
// the scheduler's lease, a row of the store that every one of its
// transactions renews under a condition; the others watch the row and take
// over when it stands still. What the scheduler has decided is in the store
// before an agent hears of it, so that the next one finds it there.
package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra/policy"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/wait"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// Config is what a scheduler is told.
type Config struct {
	Node    string
	Process string
	Address string
	// Power is the processor of the machine, in cores; 0 is not known.
	Power float64
	// Grant is how long after an agent's last word its worker's lease may
	// last.
	Grant time.Duration
	// StatusFor is how long a final state can be asked for.
	StatusFor time.Duration
}

// Deps are what a scheduler uses.
type Deps struct {
	Store rowstore.Store
	Log   zerolog.Logger
	// Now is a clock that goes on while the machine is suspended.
	Now func() time.Duration
	// Config returns the configuration in force, or nil.
	Config func() *workload.Config
	// Drains returns the drained data centres, and how long ago the store
	// confirmed them.
	Drains func() (workload.Drains, time.Duration)
	// Link makes the link to the process at an address.
	Link func(address string) *dispatch.Link
	// Policy names the permitted workers of some queues; nil for none.
	Policy policy.Advisor
	// Counters collects figures over all terms of the process.
	Counters *Counters
}

const (
	// validFor is how long after the sending of its last stored transaction
	// a scheduler still grants leases to agents.
	validFor = 4 * time.Second
	// clockMargin is added to a grant for a worker's clock that runs 2 %
	// slow, and for readings in whole milliseconds.
	clockMargin = 300 * time.Millisecond
	clockDrift  = 0.03
	// tickInterval bounds how late a due time or a lost worker is noticed.
	tickInterval = 50 * time.Millisecond
)

// Term is one term of the scheduler. Its state is under one lock, which is
// never held during a call.
type Term struct {
	cfg   Config
	deps  Deps
	epoch uint64
	// began is when the lease was taken.
	began time.Duration

	ctx    context.Context
	cancel context.CancelFunc
	kick   chan struct{}
	// questions wait for the policy service.
	questions chan adviceQuestion

	mu      sync.Mutex
	jobs    map[workload.JobID]*job
	active  []*job
	resort  bool
	dirty   []*job
	agents  map[string]*agentLink
	workers map[workload.WorkerID]*worker
	learner learner
	// keptVersion and keptAt tell what of the learner is on record.
	keptVersion uint64
	keptAt      time.Duration
	// queues are those of the configuration of version queuesOf.
	queues   map[string]workload.Queue
	queuesOf uint64
	// drains is what was last known of them; blind says that it is too old to
	// place anything by.
	drains workload.Drains
	blind  bool
	// leaving is when drained data centres were last looked at for tasks to
	// move.
	leaving time.Duration
	// regrouped is when the mixing of serving images was last looked at.
	regrouped time.Duration
	looks     int
	// relocated is the same for filling runs.
	relocated time.Duration
	// retired are jobs whose rows are deleted but for their progress.
	retired []workload.JobID
	// early holds cancellations whose job is not known yet.
	early map[workload.JobID]bool
	// validUntil is the end of the term's own validity.
	validUntil time.Duration
	loaded     bool
	// heir is the node to which the lease is handed, if any.
	heir string

	lease        leaseRow
	leaseVersion uint64
	storeClock   storeClock
}

// storeClock maps the store's clock to this process's.
type storeClock struct {
	store time.Duration
	local time.Duration
}

func newTerm(ctx context.Context, cfg Config, deps Deps, lease leaseRow, version uint64, sent time.Duration, at rowstore.Stamp) *Term {
	ctx, cancel := context.WithCancel(ctx)
	return &Term{
		cfg: cfg, deps: deps, epoch: version, began: deps.Now(), ctx: ctx, cancel: cancel, kick: make(chan struct{}, 1),
		questions: make(chan adviceQuestion, adviceQueue), jobs: map[workload.JobID]*job{}, agents: map[string]*agentLink{}, workers: map[workload.WorkerID]*worker{},
		early: map[workload.JobID]bool{}, validUntil: sent + validFor, lease: lease, leaseVersion: version,
		storeClock: storeClock{store: at.Now, local: deps.Now()},
	}
}

// run serves the term until the lease is lost or ctx ends.
func (t *Term) run() {
	defer t.cancel()
	log := t.deps.Log
	stamp, err := t.load()
	if err != nil {
		log.Error().Err(err).Msg("term ends: the store could not be read")
		return
	}
	var group sync.WaitGroup
	group.Go(func() { t.followJobs(stamp) })
	group.Go(t.followAgents)
	group.Go(t.tick)
	group.Go(t.adviceLoop)
	group.Go(t.retireLoop)
	t.commitLoop()
	t.cancel()
	group.Wait()
	t.deps.Counters.Agents.Store(0)
	t.deps.Counters.AgentsHeard.Store(0)
	t.deps.Counters.Drains.Store(nil)
}

// wakeUp asks the commit loop for a plan.
func (t *Term) wakeUp() {
	select {
	case t.kick <- struct{}{}:
	default:
	}
}

func (t *Term) sleep(d time.Duration) { wait.For(t.ctx, d) }

// storeNow is the store's clock now, in milliseconds. The caller holds mu.
func (t *Term) storeNow() int64 {
	return (t.storeClock.store + t.deps.Now() - t.storeClock.local).Milliseconds()
}

// tick notices due times and lost workers.
func (t *Term) tick() {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-t.ctx.Done():
			return
		case <-ticker.C:
		}
		t.mu.Lock()
		changed := t.loseWorkers()
		changed = t.beginOccurrences() || changed
		changed = t.followDrains() || changed
		changed = t.leaveDrained() || changed
		changed = t.regroup() || changed
		t.countAgents()
		t.countDrained()
		t.mu.Unlock()
		if changed {
			t.wakeUp()
		}
	}
}

// countAgents shows how many agents are known and answer.
func (t *Term) countAgents() {
	heard := int64(0)
	for _, l := range t.agents {
		if l.process != 0 && !l.silent {
			heard++
		}
	}
	t.deps.Counters.Agents.Store(int64(len(t.agents)))
	t.deps.Counters.AgentsHeard.Store(heard)
}

func (t *Term) beginOccurrences() bool {
	changed := false
	now := time.Now()
	for _, j := range t.active {
		if j.spec.Repeat.Count > 0 && j.next < j.spec.Repeat.Count {
			before := j.next
			j.begin(now)
			if j.next != before {
				t.mark(j)
				changed = true
			}
		}
	}
	return changed
}

// mark puts a changed job on the list of what has to be stored.
func (t *Term) mark(j *job) {
	if !j.queued {
		j.queued = true
		t.dirty = append(t.dirty, j)
	}
}

// addJob takes a job that is stored.
func (t *Term) addJob(spec workload.Job) {
	if _, ok := t.jobs[spec.ID]; ok {
		return
	}
	j := newJob(spec)
	t.jobs[spec.ID] = j
	t.active = append(t.active, j)
	t.resort = true
	j.begin(time.Now())
	t.deps.Counters.Jobs.Add(1)
	if t.loaded {
		t.logKnown(j)
	}
	if t.early[spec.ID] {
		delete(t.early, spec.ID)
		t.cancelJob(spec.ID)
	}
}

// cancelJob takes a cancellation that is stored.
func (t *Term) cancelJob(id workload.JobID) {
	j, ok := t.jobs[id]
	if !ok {
		t.early[id] = true
		return
	}
	j.cancelRow = true
	if j.state.Final() {
		return
	}
	t.deps.Log.Info().Str("job", string(id)).Str("state", string(j.state)).Msg("job cancelled")
	t.end(j, workload.Cancelled)
}

// end gives a job its final state and stops what still runs of it.
func (t *Term) end(j *job, s workload.State) {
	j.state = s
	j.final = t.storeNow()
	t.mark(j)
	j.each(func(id workload.TaskID, _ *step, k *task) {
		if k.state == taskPlaced {
			t.stop(id, k)
		}
	})
}

// stop orders the end of a placed run. Its room is free once the end, or
// that it never ran, is reported.
func (t *Term) stop(id workload.TaskID, k *task) {
	if k.stopping {
		return
	}
	k.stopping = true
	w := t.workers[k.worker]
	if w == nil || w.link == nil {
		return
	}
	w.link.addStop(workload.RunID{Task: id, Run: k.run})
}

// applyEnd takes an end that an agent reports.
func (t *Term) applyEnd(w *worker, e workload.End) {
	t.deps.Counters.Ends.Add(1)
	j := t.jobs[e.Run.Task.Job]
	if j == nil {
		t.deps.Log.Warn().Stringer("run", e.Run).Msg("end of a job that is not known")
		return
	}
	s, k := j.find(e.Run.Task)
	if k == nil || k.state != taskPlaced || k.run != e.Run.Run || k.worker != w.id {
		t.deps.Log.Info().Stringer("run", e.Run).Str("how", string(e.Kind)).Str("worker", string(w.id)).Msg("end of a run that is not on record")
		return
	}
	w.remove(e.Run)
	if e.Kind == workload.EndDone {
		t.absolve(j, k)
	}
	if w.judge(e, k.placedAt, t.deps.Now()) {
		t.suspected(w)
	}
	t.settle(j, s, k, e, w)
	t.mark(j)
}

func (t *Term) settle(j *job, s *step, k *task, e workload.End, w *worker) {
	counted := false
	switch {
	case j.state.Final():
		j.release(s, k, "")
	case e.Kind == workload.EndDone && s.spec.Gang:
		t.finishGang(j, s, e.Run)
		counted = true
	case e.Kind == workload.EndDone && !s.spec.Lasting:
		t.timeTask(j, s, k, e)
		j.finish(s, k)
		counted = true
	case e.Kind == workload.EndFailed:
		t.failed(j, s, k, e, w)
	default:
		k.worked += e.Worked
		j.release(s, k, e.Checkpoint)
		t.breakGang(j, s, e.Run)
	}
	if j.state.Final() && j.final == 0 {
		j.final = t.storeNow()
	}
	if counted {
		t.logDone(j, s, e.Run)
		return
	}
	t.logEnd(j, s, k, e, w)
}

// timeTask learns from the time that a task took.
func (t *Term) timeTask(j *job, s *step, k *task, e workload.End) {
	if e.Worked <= 0 {
		return
	}
	took := k.worked + e.Worked
	s.took += took
	s.timed++
}

// failedPause delays the next run of a lasting task that keeps failing, by
// this much for each failure, up to maxFailedPause.
const (
	failedPause    = 100 * time.Millisecond
	maxFailedPause = time.Second
)

func (t *Term) failed(j *job, s *step, k *task, e workload.End, w *worker) {
	k.fails++
	k.avoid, k.failedAt = w.id, t.deps.Now()
	j.release(s, k, e.Checkpoint)
	if s.spec.Lasting {
		k.notBefore = time.Now().Add(min(maxFailedPause, failedPause*time.Duration(k.fails-1)))
		return
	}
	if j.queue.MaxAttempts > 0 && k.fails >= j.queue.MaxAttempts {
		t.deps.Log.Info().Str("job", string(j.spec.ID)).Stringer("run", e.Run).Int("failures", k.fails).Msg("job failed")
		t.end(j, workload.Failed)
		return
	}
	t.breakGang(j, s, e.Run)
}

// finishGang takes the end of one member for the end of all.
func (t *Term) finishGang(j *job, s *step, r workload.RunID) {
	for i := range s.tasks {
		k := &s.tasks[i]
		switch {
		case k.state == taskDone:
			continue
		case k.state == taskWaiting:
			s.waiting--
		case t.workers[k.worker] != nil:
			member := r.Task
			member.Index = i
			t.workers[k.worker].remove(workload.RunID{Task: member, Run: k.run})
		}
		k.state = taskDone
		s.done++
	}
	j.dropComplete()
}

// breakGang stops the other members of a gang of which one has ended.
func (t *Term) breakGang(j *job, s *step, r workload.RunID) {
	if !s.spec.Gang {
		return
	}
	for i := range s.tasks {
		k := &s.tasks[i]
		if k.state == taskPlaced && k.run == r.Run {
			t.stop(workload.TaskID{Job: j.spec.ID, Occurrence: r.Task.Occurrence, Step: r.Task.Step, Index: i}, k)
		}
	}
}
