package scheduler

import (
	"slices"
	"time"

	"persimmonrock.example/decide/blame"
	"persimmonrock.example/decide/forecast"
	"persimmonrock.example/decide/order"
	"persimmonrock.example/decide/recovery"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
)

type taskState uint8

const (
	taskWaiting taskState = iota
	// taskPlaced: a run is on record at a worker, and reserves capacity there
	// until the run or the worker is known to have ended.
	taskPlaced
	taskDone
)

type task struct {
	state taskState
	run   int
	// storedRun is the highest run number that the store has on record.
	storedRun  int
	failures   int
	agent      string
	worker     workload.WorkerID
	checkpoint string
	// stopping says that a stop of the placed run was ordered.
	stopping bool
	// ordered says that the placement is stored and was queued for the agent.
	ordered  bool
	placedAt time.Time
	// placedStore is placedAt by the store's clock, in ms, while ends are forecast;
	// otherwise 0.
	placedStore int64
	// fromEarlierTerm says that the last run was placed by an earlier scheduler.
	fromEarlierTerm bool
	// pin is the worker that holds capacity for the next run. From pinUntil on,
	// another worker may hold it instead. moving is set if pin is the destination
	// of a move: until pinUntil, the task is placed on no other worker.
	pin      workload.WorkerID
	pinUntil time.Time
	moving   bool
	// startPace is the pace at which the run starts, in percent; 0 for full pace.
	startPace int
	// lost is where and when the task last lost its run with its worker; zero unless
	// the recovery policy is on and the task lasts.
	lost recovery.Lost
	// ticket is the policy service's permission for this run on its worker.
	ticket string
	// worked is the working time of earlier runs, converted to full speed.
	worked time.Duration
	// moves counts the moves of the task by relocate, regroup and drains.
	moves int
	// work is how the placed filling run gets on; rebalanced counts the moves of the
	// task by rebalance.
	work       runWork
	rebalanced int
	// slow says that the run progresses far slower than estimated; rescues counts
	// how often the task was moved off a worker for this reason.
	slow    bool
	rescues int
	// avoid is the worker where the task last failed (at failedAt) or was slow.
	avoid    workload.WorkerID
	failedAt time.Duration
	// crashes counts the workers that the task may have crashed since one of its
	// runs was last done or proven (see crash.go). certain counts the crashes that
	// no other job can have caused, evidence weighs all of them (nil: none). The
	// latest of these workers was on the machine crashedOn. prime says that the task
	// is a prime suspect of the latest crash (see markPrime).
	crashes   int
	certain   int
	evidence  *blame.Evidence
	crashedOn string
	prime     bool
	// openCrashes are the crashes that the task is suspected of.
	openCrashes []*openCrash
	// couldStart is the time of the first plan since the last crash in which a
	// worker had capacity for the task, which waited for a quarantine; zero before.
	// For a lasting task, it is the end of the pause: among short tasks, capacity
	// may never become free for a lasting one that waits.
	couldStart time.Time
	// presentAt is when the agent first reported that the placed run is on its
	// worker; 0 before.
	presentAt time.Duration
	// notBefore delays the next run of a lasting task after repeated failures or
	// crashes.
	notBefore time.Time
}

type step struct {
	spec  *workload.Step
	tasks []task
	done  int
	// waiting counts the waiting tasks, whether they may start yet or not.
	waiting int
	// took sums the durations, converted to full speed, of the done tasks with a
	// known duration; timed counts these tasks.
	took  time.Duration
	timed int
	// times are the same durations as the forecast of ends learns from them.
	times forecast.StepTimes
	// stillWaiting is the number of waiting tasks since waitsSince, as placePaced
	// saw it.
	stillWaiting int
	waitsSince   time.Duration
	// advice is set for steps of queues that need tickets from the policy service.
	advice *advice
	// refusalsLogged is when it was last logged that no worker can hold capacity for
	// a task of the step.
	refusalsLogged time.Time
	// diagnosis says why waiting tasks are passed over.
	diagnosis diagnosis
}

func (s *step) complete() bool { return s.done == len(s.tasks) }

type occurrence struct {
	number int
	steps  []*step
	// slot is the place among the job's live occurrences that decides its parts;
	// negative until there is one.
	slot int
}

func (o *occurrence) complete() bool {
	for _, s := range o.steps {
		if !s.complete() {
			return false
		}
	}
	return true
}

// ready reports whether the tasks of step i may start.
func (o *occurrence) ready(i int) bool {
	for _, a := range o.steps[i].spec.After {
		if !o.steps[a].complete() {
			return false
		}
	}
	return true
}

// job is a job as the scheduler knows it. state is the state in memory, stored
// the state in the store. Clients see stored, or a stored cancellation, since a
// state that is only in memory would be lost with the process.
type job struct {
	spec   workload.Job
	queue  workload.Queue
	state  workload.State
	stored workload.State
	// final is when the job reached its final state, in ms of the store's clock;
	// 0 in a later term.
	final int64
	// finalSeen is when this term first knew that the store has the final state, by
	// the local clock, and seenBefore for how long earlier terms had known.
	finalSeen, seenBefore time.Duration
	// seenStored is the part of this time that the store has.
	seenStored time.Duration
	// rowVersion is the version of the job's row; 0 until the store has told it.
	rowVersion uint64
	// retire is rowVersion once the job's rows may be deleted, else 0; retireStored
	// says that the store has this mark.
	retire       uint64
	retireStored bool
	next         int
	occurrences  []*occurrence
	// maxLive bounds occurrences; the next one begins when another is complete.
	maxLive int
	// span is the number of tasks in a part, 0 while the progress is one row. head
	// and parts hold the hashes of the stored rows.
	span  int
	head  uint64
	parts map[partKey]uint64
	// storedSpan is the span in the stored row of the job.
	storedSpan int
	// apartUntil is when the writes of the job are tried again after the store has
	// refused them; 0 if it has not. unstoredEnds holds, by worker, the lowest number
	// of an end whose effect on the job is not stored.
	apartUntil   time.Duration
	unstoredEnds map[*worker]uint64
	// outlookWait is the wait that the outlook predicted for the job's filling work
	// when the job was accepted; negative if unknown.
	outlookWait time.Duration
	// cancelRow says that the store has a cancellation of the job.
	cancelRow bool
	// unsaved says that the job is on the list of jobs to store.
	unsaved bool
	// started says that a task has been placed, begun that a run is known to have been
	// on its worker.
	started, begun bool
	// idleSince is when the job was first seen without a placed task.
	idleSince time.Time
	// noRunSince is the time since which no task of the job has been placed, in ms
	// of the store's clock; 0 while a task is placed or the aging policy is off.
	noRunSince int64
	// durations are the expected durations of the steps' tasks, computed when
	// durationsTimed tasks had been timed.
	durations      []time.Duration
	durationsTimed int
	// suspect says that a task of the job is a prime suspect (see markPrime).
	suspect bool
	// deferredUntil ends the deferral of the job's next runs (see deferLastTrial).
	deferredUntil time.Time
	// slack is the time that the job can still wait and end within its objective,
	// as of the last plan.
	slack time.Duration
	// key is the job's place in the order of the last plan.
	key order.Key
}

func newJob(spec workload.Job) *job {
	return &job{
		spec: spec, queue: spec.Queue, state: workload.Queued, stored: workload.Queued, outlookWait: -1,
		maxLive: maxLive(&spec, rowstore.DefaultRowBytes), parts: map[partKey]uint64{},
	}
}

func (j *job) newOccurrence(number int) *occurrence {
	o := &occurrence{number: number, slot: -1}
	for i := range j.spec.Steps {
		s := &j.spec.Steps[i]
		o.steps = append(o.steps, &step{spec: s, tasks: make([]task, s.Count), waiting: s.Count})
	}
	return o
}

func (j *job) addDue(now time.Time) {
	if j.state.Final() {
		return
	}
	if j.spec.Repeat.Count == 0 {
		if j.next == 0 {
			j.occurrences = append(j.occurrences, j.newOccurrence(0))
			j.next = 1
		}
		return
	}
	for j.next < j.spec.Repeat.Count && len(j.occurrences) < j.maxLive && !now.Before(j.spec.Repeat.Due(j.next)) {
		j.occurrences = append(j.occurrences, j.newOccurrence(j.next))
		j.next++
	}
}

// find returns the step and the task of id, or nils if id is unknown.
func (j *job) find(id workload.TaskID) (*step, *task) {
	for _, o := range j.occurrences {
		if o.number != id.Occurrence {
			continue
		}
		if id.Step >= len(o.steps) || id.Index >= len(o.steps[id.Step].tasks) {
			return nil, nil
		}
		s := o.steps[id.Step]
		return s, &s.tasks[id.Index]
	}
	return nil, nil
}

// each calls f for every task of the occurrences that are not complete.
func (j *job) each(f func(id workload.TaskID, s *step, t *task)) {
	for _, o := range j.occurrences {
		for si, s := range o.steps {
			for ti := range s.tasks {
				f(workload.TaskID{Job: j.spec.ID, Occurrence: o.number, Step: si, Index: ti}, s, &s.tasks[ti])
			}
		}
	}
}

// release makes a placed task wait again, after its run was lost, never
// started, or ended without completing the task.
func (j *job) release(s *step, t *task, checkpoint string) {
	t.state = taskWaiting
	t.agent, t.worker = "", ""
	t.stopping, t.ordered, t.slow = false, false, false
	t.presentAt = 0
	t.work = runWork{}
	if checkpoint != "" {
		t.checkpoint = checkpoint
	}
	s.waiting++
}

// finish marks a placed task as done, and completes the job with its last task.
func (j *job) finish(s *step, t *task) {
	t.state = taskDone
	t.agent, t.worker, t.checkpoint, t.pin = "", "", "", ""
	t.stopping, t.ordered = false, false
	s.done++
	j.dropComplete()
}

// dropComplete removes complete occurrences; the last one completes the job.
func (j *job) dropComplete() {
	kept := j.occurrences[:0]
	for _, o := range j.occurrences {
		if !o.complete() {
			kept = append(kept, o)
		}
	}
	j.occurrences = kept
	if len(kept) == 0 && j.next == j.spec.Occurrences() && !j.state.Final() {
		j.state = workload.Completed
	}
}

// row returns the job's progress as the store keeps it.
func (j *job) row() progressRow {
	r := progressRow{State: j.state, Seen: j.seenStored.Milliseconds(), Retire: j.retire, Next: j.next, NoRunSince: j.noRunSince}
	refs := map[workerRef]int{}
	for _, o := range j.occurrences {
		or := occurrenceRow{Number: o.number}
		if !j.onRecord(o) {
			continue
		}
		for _, s := range o.steps {
			or.Steps = append(or.Steps, j.stepRow(s, 0, len(s.tasks), refs, &r))
		}
		r.Occurrences = append(r.Occurrences, or)
	}
	return r
}

// stepRow returns the row of the tasks from from to before to.
func (j *job) stepRow(s *step, from, to int, refs map[workerRef]int, r *progressRow) stepRow {
	var sr stepRow
	for i := from; i < to; i++ {
		t := &s.tasks[i]
		if t.state == taskDone {
			if sr.Done == nil {
				sr.Done, sr.From = make([]byte, (to-from+7)/8), from
			}
			sr.Done[(i-from)/8] |= 1 << ((i - from) % 8)
			continue
		}
		if t.run == 0 || j.state.Final() && t.state != taskPlaced {
			continue
		}
		tr := taskRow{Index: i, Run: t.run, Fails: t.failures, Crashes: t.crashes, Certain: t.certain, Checkpoint: t.checkpoint}
		tr.Worked = t.rowWorked()
		if t.state == taskPlaced {
			tr.Worker = reference(workerRef{Agent: t.agent, Worker: t.worker}, refs, r)
		}
		sr.Tasks = append(sr.Tasks, tr)
	}
	sr.Placed = s.rowPlaced(from, to, j.spec.Accepted)
	return sr
}

func (r *stepRow) empty() bool { return r.Done == nil && len(r.Tasks) == 0 }

// reference returns 1 + the index of ref in the row's workers. It adds ref if
// missing.
func reference(ref workerRef, refs map[workerRef]int, r *progressRow) int {
	if n, ok := refs[ref]; ok {
		return n
	}
	r.Workers = append(r.Workers, ref)
	refs[ref] = len(r.Workers)
	return len(r.Workers)
}

func (j *job) restore(r progressRow, now time.Time) {
	j.state, j.stored, j.next = r.State, r.State, r.Next
	j.retire, j.retireStored = r.Retire, r.Retire != 0
	j.seenBefore = time.Duration(r.Seen) * time.Millisecond
	j.seenStored = j.seenBefore
	j.started = r.State != workload.Queued
	j.begun = r.begun()
	if r.NoRunSince > 0 {
		j.noRunSince = max(r.NoRunSince, j.spec.Accepted)
	}
	for _, or := range r.Occurrences {
		o := j.newOccurrence(or.Number)
		for i, sr := range or.Steps {
			if i < len(o.steps) {
				o.steps[i].restore(sr, r.Workers, j.spec.Accepted, now)
			}
		}
		j.occurrences = append(j.occurrences, o)
	}
}

// begun reports whether the row shows that a run was on a worker. A placement alone
// does not: the worker may have been lost before the run began.
func (r *progressRow) begun() bool {
	if r.State == workload.Completed || r.State == workload.Failed || r.Next > 1 && len(r.Occurrences) == 0 {
		return true
	}
	for _, o := range r.Occurrences {
		for _, s := range o.Steps {
			if s.Done != nil || slices.ContainsFunc(s.Tasks, taskRow.begun) {
				return true
			}
		}
	}
	return false
}

func (r taskRow) begun() bool {
	return r.Fails > 0 || r.Certain > 0 || r.Checkpoint != "" || r.Worked > 0
}

func (s *step) restore(sr stepRow, workers []workerRef, accepted int64, now time.Time) {
	for i := range s.tasks {
		if sr.isDone(i) {
			s.tasks[i].state = taskDone
			s.done++
			s.waiting--
		}
	}
	for _, tr := range sr.Tasks {
		if tr.Index >= len(s.tasks) {
			continue
		}
		t := &s.tasks[tr.Index]
		t.run, t.storedRun, t.failures, t.checkpoint = tr.Run, tr.Run, tr.Fails, tr.Checkpoint
		if !checkpointFits(t.checkpoint) {
			t.checkpoint = ""
		}
		t.crashes, t.certain = tr.Crashes, tr.Certain
		if tr.Certain > 0 {
			t.evidence = blame.Former(tr.Certain)
		}
		t.restoreTimes(tr, sr, accepted)
		if s.spec.Lasting {
			t.couldStart = now
		}
		if tr.Worker > 0 && tr.Worker <= len(workers) {
			ref := workers[tr.Worker-1]
			t.state, t.agent, t.worker = taskPlaced, ref.Agent, ref.Worker
			t.placedAt = now
			s.waiting--
		}
	}
}
