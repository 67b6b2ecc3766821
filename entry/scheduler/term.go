// Package scheduler decides which task runs where. One entry at a time holds
// the scheduler's lease, a row of the store. Each transaction that stores
// decisions renews the row, if nobody else has written it. The other entries
// watch the row and take over when it is no longer renewed. A decision is
// stored before it is sent to an agent, so that the next scheduler finds it.
package scheduler

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/decide/blame"
	"persimmonrock.example/infra/policy"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/wait"
	"persimmonrock.example/ops/logs"
	"persimmonrock.example/structs/scheduling"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// Config holds a scheduler's settings.
type Config struct {
	Node    string
	Process string
	Address string
	// Power is the processor power of the machine, in cores; 0 if unknown.
	Power float64
	// Grant is the time after an agent's last contact for which its worker's
	// lease may last.
	Grant time.Duration
	// RowBytes is the longest value of a row of the store, in bytes; 0 for the
	// default.
	RowBytes int
	// StatusFor is the time for which a final state can be queried.
	StatusFor time.Duration
	// Policies are the scheduling policies in force.
	Policies scheduling.Policies
	// MoveCosts are what a move of a run costs.
	MoveCosts MoveCosts
}

func (c *Config) rowBytes() int {
	if c.RowBytes > 0 {
		return c.RowBytes
	}
	return rowstore.DefaultRowBytes
}

// Deps are the scheduler's dependencies.
type Deps struct {
	Store rowstore.Store
	Log   zerolog.Logger
	// Now is a clock that keeps running while the machine is suspended.
	Now func() time.Duration
	// Config returns the configuration in force, or nil.
	Config func() *workload.Config
	// Drains returns the drained data centres, and the age of this list.
	Drains func() (workload.Drains, time.Duration)
	// Link opens a link to the process at an address.
	Link func(address string) *dispatch.Link
	// CheckAddress returns an error for an address that no process can have; nil
	// accepts all but the empty one.
	CheckAddress func(address string) error
	// Policy names the permitted workers of some queues; nil without a policy
	// service.
	Policy policy.Advisor
	// Counters accumulates metrics over all terms of the process.
	Counters *Counters
	// FreeMemory returns the memory in bytes that further jobs may take; nil for no
	// limit.
	FreeMemory func() int64
}

const (
	// validFor is the time for which a scheduler still grants leases to agents
	// after it sent its last stored transaction.
	validFor = 4 * time.Second
	// clockMargin and clockDrift allow for a worker's clock that is slow by 2 %,
	// and for readings in whole milliseconds.
	clockMargin = 300 * time.Millisecond
	clockDrift  = 0.03
	// tickInterval bounds the delay until a due occurrence or lost worker is seen.
	tickInterval = 50 * time.Millisecond
)

// Term is one term of the scheduler. mu guards its state and is never held
// during a call to another process.
type Term struct {
	cfg   Config
	deps  Deps
	epoch uint64
	// fleetLog gathers what happens to workers and agents, for one line in a tick.
	fleetLog *logs.Batch
	// beganAt is when the lease was taken.
	beganAt time.Duration
	earlier earlierGrants

	ctx    context.Context
	cancel context.CancelFunc
	wake   chan struct{}
	// adviceRequests wait for the policy service.
	adviceRequests chan adviceRequest

	mu      sync.Mutex
	jobs    map[workload.JobID]*job
	active  []*job
	resort  bool
	dirty   []*job
	agents  map[string]*agentLink
	workers map[workload.WorkerID]*worker
	// byAgent holds the same workers by their agent's node.
	byAgent map[string][]*worker
	learner learner
	// forecaster predicts the ends of jobs; nil if the policy is off.
	forecaster *forecaster
	aging      aging
	// sentOutlook is the summary of the accepted work by which entries admit jobs.
	sentOutlook outlookState
	// savedVersion is the model version last saved, at savedAt.
	savedVersion uint64
	savedAt      time.Duration
	// learntCut holds the rows of what was learnt that were cut, and logged, in this term.
	learntCut map[rowstore.Key]bool
	// queues are those of the configuration of version queuesVersion.
	queues        map[string]workload.Queue
	queuesVersion uint64
	// drains are the last known drains; drainsStale says that they are too old for
	// placements.
	drains      workload.Drains
	drainsStale bool
	// lastEvacuation is when tasks in drained data centres were last checked.
	lastEvacuation time.Duration
	// lastRegroup is when the mix of serving images was last checked.
	lastRegroup   time.Duration
	regroupRounds int
	layoutTerm
	// lastRelocate is when filling runs were last checked.
	lastRelocate time.Duration
	// lastRebalance is when runs that hold up their step were last checked.
	lastRebalance time.Duration
	// rebalanced counts the steps with slow runs that the last checks have passed; 0
	// once they have passed all.
	rebalanced int
	// retired are jobs whose rows are deleted except for their progress.
	retired []workload.JobID
	// deleted holds the version of the row of each job that the term has deleted, until
	// the feed tells of the deletion.
	deleted map[workload.JobID]uint64
	// apart holds the jobs whose writes the store has refused for good.
	apart map[*job]bool
	// storedParts are the parts of jobs that the store has, while the term loads.
	storedParts map[workload.JobID][]rowstore.Row
	// lostRuns is when each machine last lost a worker with runs, until it has another
	// worker; kept while the recovery policy is on.
	lostRuns map[string]time.Duration
	// crashRate estimates how often workers crash without a task that causes it.
	crashRate blame.Rate
	// earlyCancels holds cancellations of jobs that are not known.
	earlyCancels map[workload.JobID]earlyCancel
	// validUntil is when the term's validity ends unless the lease is renewed.
	validUntil time.Duration
	loaded     bool
	// successor is the node to which the lease is handed, if any.
	successor string

	lease        leaseRow
	leaseVersion uint64
	// renewal is the last stored renewal of the lease, for other entries.
	renewal    renewal
	storeClock storeClock
	storeBound storeBound
}

// newTerm returns a term of the lease that was written as version. at is the stamp
// of the write's answer, if any: without it the store's time is known from load on.
func newTerm(ctx context.Context, cfg Config, deps Deps, earlier earlierGrants, lease leaseRow, version uint64, sent time.Duration, at rowstore.Stamp) *Term {
	ctx, cancel := context.WithCancel(ctx)
	cfg.RowBytes = cfg.rowBytes()
	t := &Term{
		cfg: cfg, deps: deps, epoch: version, fleetLog: logs.NewBatch(deps.Log), beganAt: deps.Now(), earlier: earlier, ctx: ctx, cancel: cancel, wake: make(chan struct{}, 1),
		adviceRequests: make(chan adviceRequest, adviceQueue), jobs: map[workload.JobID]*job{}, agents: map[string]*agentLink{}, workers: map[workload.WorkerID]*worker{}, byAgent: map[string][]*worker{},
		earlyCancels: map[workload.JobID]earlyCancel{}, lostRuns: map[string]time.Duration{}, deleted: map[workload.JobID]uint64{}, apart: map[*job]bool{}, validUntil: sent + validFor, lease: lease, leaseVersion: version,
		renewal: renewal{version: version, sent: sent},
	}
	t.recordStoreTime(at, sent)
	if cfg.Policies.Forecast.Enabled {
		t.forecaster = newForecaster()
	}
	return t
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
	if t.forecaster != nil {
		group.Go(t.forecastLoop)
	}
	t.commitLoop()
	t.cancel()
	group.Wait()
	t.fleetLog.Flush()
	t.deps.Counters.Agents.Store(0)
	t.deps.Counters.AgentsHeard.Store(0)
	t.deps.Counters.Drains.Store(nil)
}

// wakeUp asks the commit loop for a plan.
func (t *Term) wakeUp() {
	select {
	case t.wake <- struct{}{}:
	default:
	}
}

func (t *Term) sleep(d time.Duration) { wait.For(t.ctx, d) }

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
		changed := t.expireWorkers()
		changed = t.beginOccurrences() || changed
		changed = t.updateDrains() || changed
		changed = t.evacuateDrained() || changed
		if t.cfg.Policies.Layout.Enabled {
			changed = t.planLayout() || changed
		} else {
			changed = t.regroup() || changed
		}
		t.updateOutlook()
		t.countAgents()
		t.countDrained()
		t.measureLayout()
		t.mu.Unlock()
		t.fleetLog.Flush()
		if changed {
			t.wakeUp()
		}
	}
}

// countAgents publishes the numbers of known and responding agents.
func (t *Term) countAgents() {
	responding := int64(0)
	for _, l := range t.agents {
		if l.process != 0 && !l.unresponsive {
			responding++
		}
	}
	t.deps.Counters.Agents.Store(int64(len(t.agents)))
	t.deps.Counters.AgentsHeard.Store(responding)
}

func (t *Term) beginOccurrences() bool {
	changed := false
	now := time.Now()
	for _, j := range t.active {
		if j.spec.Repeat.Count > 0 && j.next < j.spec.Repeat.Count {
			before := j.next
			j.addDue(now)
			if j.next != before {
				t.markDirty(j)
				changed = true
			}
		}
	}
	return changed
}

// markDirty puts a changed job on the list of jobs to store.
func (t *Term) markDirty(j *job) {
	if !j.unsaved {
		j.unsaved = true
		t.dirty = append(t.dirty, j)
	}
}

// addJob adds a stored job.
func (t *Term) addJob(spec workload.Job) {
	if _, ok := t.jobs[spec.ID]; ok {
		return
	}
	j := newJob(spec)
	j.maxLive = maxLive(&spec, t.cfg.RowBytes)
	t.jobs[spec.ID] = j
	t.active = append(t.active, j)
	t.resort = true
	j.addDue(time.Now())
	t.forecastArrival(j)
	t.deps.Counters.Jobs.Add(1)
	if t.loaded {
		t.logKnown(j)
	}
	if _, ok := t.earlyCancels[spec.ID]; ok {
		delete(t.earlyCancels, spec.ID)
		t.cancelJob(spec.ID)
	}
}

// cancelJob applies a stored cancellation.
func (t *Term) cancelJob(id workload.JobID) {
	j, ok := t.jobs[id]
	if !ok {
		t.recordEarlyCancel(id, 0)
		return
	}
	j.cancelRow = true
	if j.state.Final() {
		return
	}
	t.deps.Log.Info().Str("job", string(id)).Str("state", string(j.state)).Msg("job cancelled")
	t.end(j, workload.Cancelled)
}

// end gives a job its final state and stops its placed runs.
func (t *Term) end(j *job, s workload.State) {
	j.state = s
	j.final = t.storeNow()
	t.markDirty(j)
	j.each(func(id workload.TaskID, _ *step, k *task) {
		if k.state == taskPlaced {
			t.stop(id, k)
		}
	})
}

// stop orders the end of a placed run. Its capacity stays reserved until the
// run is known to have ended or never to start.
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

func (t *Term) applyEnd(w *worker, e workload.End) {
	t.deps.Counters.Ends.Add(1)
	j := t.jobs[e.Run.Task.Job]
	if j == nil {
		t.deps.Log.Warn().Stringer("run", e.Run).Msg("end reported for an unknown job")
		return
	}
	s, k := j.find(e.Run.Task)
	if k == nil || k.state != taskPlaced || k.run != e.Run.Run || k.worker != w.id {
		t.deps.Log.Info().Stringer("run", e.Run).Str("how", string(e.Kind)).Str("worker", string(w.id)).Msg("end reported for a run that is not on record")
		return
	}
	w.remove(e.Run)
	j.begun = true
	if e.Kind == workload.EndDone {
		t.clearCrashes(j, k)
	}
	if w.recordEnd(e, k.placedAt, t.deps.Now()) {
		t.logSuspect(w)
	}
	t.resolveEnd(j, s, k, e, w)
	j.noteEnd(w, e.Number)
	t.markDirty(j)
}

func (t *Term) resolveEnd(j *job, s *step, k *task, e workload.End, w *worker) {
	effect := effectOf(s.spec, e.Kind)
	if j.state.Final() {
		effect = requeued
	}
	switch effect {
	case gangEnds:
		t.finishGang(j, s, e.Run)
	case taskEnds:
		t.recordDuration(j, s, k, e)
		j.finish(s, k)
	case countedFailure:
		t.applyFailure(j, s, k, e, w)
	case requeued:
		t.requeueEnded(j, s, k, e)
	}
	if j.state.Final() && j.final == 0 {
		j.final = t.storeNow()
	}
	if effect == taskEnds || effect == gangEnds {
		t.logDone(j, s, e.Run)
		return
	}
	t.logEnd(j, s, k, e, w)
}

// requeueEnded makes the task of an ended run wait again. A final job keeps no
// checkpoint, and its other runs are being stopped already.
func (t *Term) requeueEnded(j *job, s *step, k *task, e workload.End) {
	if j.state.Final() {
		j.release(s, k, "")
		return
	}
	k.worked += e.Worked
	j.release(s, k, t.keepCheckpoint(e.Run, k.checkpoint, e.Checkpoint))
	t.stopGang(j, s, e.Run)
}

func (t *Term) recordDuration(j *job, s *step, k *task, e workload.End) {
	t.learnDuration(j, s, k, e)
	if e.Worked <= 0 {
		return
	}
	took := k.worked + e.Worked
	s.took += took
	s.timed++
}

// failedPause is the delay that each failure after the first adds to the next
// run of a lasting task, up to maxFailedPause in sum.
const (
	failedPause    = 100 * time.Millisecond
	maxFailedPause = time.Second
)

func (t *Term) applyFailure(j *job, s *step, k *task, e workload.End, w *worker) {
	k.failures++
	k.avoid, k.failedAt = w.id, t.deps.Now()
	j.release(s, k, t.keepCheckpoint(e.Run, k.checkpoint, e.Checkpoint))
	if s.spec.Lasting {
		k.notBefore = time.Now().Add(min(maxFailedPause, failedPause*time.Duration(k.failures-1)))
		return
	}
	if j.queue.MaxAttempts > 0 && k.failures >= j.queue.MaxAttempts {
		t.deps.Log.Info().Str("job", string(j.spec.ID)).Stringer("run", e.Run).Int("failures", k.failures).Msg("job failed")
		t.end(j, workload.Failed)
		return
	}
	t.stopGang(j, s, e.Run)
}

// finishGang marks all members of a gang as done when one has finished.
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

// stopGang stops the other members of a gang after one has ended.
func (t *Term) stopGang(j *job, s *step, r workload.RunID) {
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
