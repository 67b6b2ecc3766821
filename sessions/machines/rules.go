package machines

import (
	"fmt"
	"sync"
	"time"

	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/structs/workload"
)

// Rules observes the workers' actions and the answers to clients, and records
// each breach of an invariant.
type Rules struct {
	mu sync.Mutex
	// readsHealthyFor returns the time since the store's reads last met a
	// fault; nil if reads never fail.
	readsHealthyFor func() time.Duration
	jobs            map[workload.JobID]*jobRecord
	breaches        []string
	cutAt           time.Time
	// drained holds the time from which each data centre is drained,
	// lastStartAfterDrain the longest time from a drain to a task start in that
	// data centre.
	drained             map[string]time.Time
	lastStartAfterDrain time.Duration
	Started             int
	Done                int
	// crashes counts the workers that were crashed by their runs.
	crashes int
}

// jobRecord is the state of a job as clients and workers have observed it.
type jobRecord struct {
	spec     workload.Job
	accepted bool
	// attempts counts the finished attempts to submit the job, refused those
	// that were definitely refused.
	attempts, refused int
	started           bool
	cancelled         time.Time
	running           map[workload.TaskID]map[workload.RunID]*Worker
	done              map[workload.TaskID]bool
	// acknowledged holds the tasks for which an agent has acknowledged an end
	// of kind done.
	acknowledged map[workload.TaskID]bool
	// failed holds each task's failed runs, true once the end is acknowledged.
	// failedBefore holds, for each start of a task, the runs that had failed by
	// then.
	failed       map[workload.TaskID]map[int]bool
	failedBefore map[workload.TaskID][][]int
	// doneRuns holds each task's runs that ended done, true once the task has
	// started again.
	doneRuns map[workload.TaskID]map[int]bool
	// For each task, workersLost counts the workers that crashed while they ran
	// it, crashes those that the task caused to crash, and startsAfterCrashes
	// its starts after it caused crashBound crashes.
	workersLost, crashes, startsAfterCrashes map[workload.TaskID]int
	// brokenGangs holds the gang runs that have lost a member, by gangKey.
	brokenGangs map[workload.RunID]bool
	lastState   workload.State
}

// NewRules returns rules without jobs.
func NewRules() *Rules {
	return &Rules{jobs: map[workload.JobID]*jobRecord{}, drained: map[string]time.Time{}}
}

// Broken returns a description of each breach.
func (r *Rules) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	breaches := append([]string(nil), r.breaches...)
	for id, j := range r.jobs {
		if j.started && j.attempts > 0 && j.refused == j.attempts {
			breaches = append(breaches, fmt.Sprintf("job %s has started, but all attempts to submit it were refused", id))
		}
	}
	return breaches
}

// reportBreach records a breach that was detected outside the rules.
func (r *Rules) reportBreach(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breach(format, args...)
}

func (r *Rules) breach(format string, args ...any) {
	r.breaches = append(r.breaches, fmt.Sprintf(format, args...))
}

func (r *Rules) submitted(spec workload.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[spec.ID] == nil {
		r.jobs[spec.ID] = &jobRecord{
			spec: spec, running: map[workload.TaskID]map[workload.RunID]*Worker{}, done: map[workload.TaskID]bool{},
			acknowledged: map[workload.TaskID]bool{}, failed: map[workload.TaskID]map[int]bool{},
			failedBefore: map[workload.TaskID][][]int{}, doneRuns: map[workload.TaskID]map[int]bool{},
			workersLost: map[workload.TaskID]int{}, crashes: map[workload.TaskID]int{}, startsAfterCrashes: map[workload.TaskID]int{},
			brokenGangs: map[workload.RunID]bool{},
		}
	}
}

// answered records the result of an attempt to submit a job: accepted,
// definitely refused, or neither.
func (r *Rules) answered(id workload.JobID, accepted, refused bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	j.accepted = j.accepted || accepted
	j.attempts++
	if refused {
		j.refused++
	}
}

func (r *Rules) cancelled(id workload.JobID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if j := r.jobs[id]; j.cancelled.IsZero() {
		j.cancelled = time.Now()
	}
}

// stateShown checks and records a state that a client was shown.
func (r *Rules) stateShown(id workload.JobID, s workload.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j.lastState.Final() && s != j.lastState {
		r.breach("job %s was shown as %s and then as %s", id, j.lastState, s)
	}
	j.lastState = s
	if s == workload.Failed && !j.mayFail() {
		r.breach("job %s is shown as failed without cause", id)
	}
	if s != workload.Completed {
		return
	}
	for si, step := range j.spec.Steps {
		for i := range step.Count {
			if t := (workload.TaskID{Job: id, Step: si, Index: i}); !j.done[t] {
				r.breach("job %s is shown as completed, but task %s is not done", id, t)
				return
			}
		}
	}
}

// mayFail reports whether a task of the job has failed as often as the job's
// queue allows, or at least two workers have crashed while they ran one task. A
// job that lasts may not fail.
func (j *jobRecord) mayFail() bool {
	for _, s := range j.spec.Steps {
		if s.Lasting {
			return false
		}
	}
	for _, runs := range j.failed {
		if n := j.spec.Queue.MaxAttempts; n > 0 && len(runs) >= n {
			return true
		}
	}
	for _, n := range j.workersLost {
		if n >= 2 {
			return true
		}
	}
	return false
}

func (r *Rules) notFound(id workload.JobID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[id].accepted {
		r.breach("job %s was accepted but is unknown", id)
	}
}

const (
	// cancelGrace is the time after a cancellation during which a start may
	// still occur.
	cancelGrace = 3 * time.Second
	// contactTime is how long machines must have been reachable before a
	// violation counts: an order that a network cut delayed may arrive when the
	// cut heals.
	contactTime = 3 * time.Second
)

// readsHealthy reports whether the store's reads have been free of faults for
// long enough that machines count as reachable.
func (r *Rules) readsHealthy() bool {
	return r.readsHealthyFor == nil || r.readsHealthyFor() > contactTime
}

// Cut records that a machine was cut off or reconnected.
func (r *Rules) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutAt = time.Now()
}

// drainBound is the time for which tasks may still start in a data centre after
// its drain; it is the users' strictest bound.
const drainBound = 5 * time.Second

// drain records the drain of a data centre or the revocation of the drain.
func (r *Rules) drain(dataCentre string, drained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !drained {
		delete(r.drained, dataCentre)
		return
	}
	if r.drained[dataCentre].IsZero() {
		r.drained[dataCentre] = time.Now()
	}
}

// LastStartAfterDrain returns the longest time from the drain of a data centre
// to a task start there.
func (r *Rules) LastStartAfterDrain() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastStartAfterDrain
}

// checkDrain checks a start against drainBound.
func (r *Rules) checkDrain(w *Worker, o workerctl.StartOrder) {
	since, ok := r.drained[w.info.DataCentre]
	if !ok {
		return
	}
	r.lastStartAfterDrain = max(r.lastStartAfterDrain, time.Since(since))
	if r.lastStartAfterDrain > drainBound {
		r.breach("%s started %s %v after its data centre was drained", w, o.Run, time.Since(since))
	}
}

func (r *Rules) started(w *Worker, x *activeRun, o workerctl.StartOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Started++
	r.checkDrain(w, o)
	t := o.Run.Task
	j := r.jobs[t.Job]
	if j == nil || j.spec.Payload != o.Payload || t.Step >= len(j.spec.Steps) {
		r.breach("%s started %s, which no client submitted", w, o.Run)
		return
	}
	step := j.spec.Steps[t.Step]
	j.started = true
	for other, on := range j.running[t] {
		if other != o.Run && !step.Copies {
			r.breach("%s started %s while %s runs on %s", w, o.Run, other, on)
		}
	}
	if j.acknowledged[t] && !step.Copies {
		r.breach("%s started %s after its end was acknowledged", w, o.Run)
	}
	for run := range j.doneRuns[t] {
		j.doneRuns[t][run] = true
	}
	for _, a := range step.After {
		for i := range j.spec.Steps[a].Count {
			if !j.done[workload.TaskID{Job: t.Job, Occurrence: t.Occurrence, Step: a, Index: i}] {
				r.breach("%s started %s before step %d was done", w, o.Run, a)
				break
			}
		}
	}
	var failedBefore []int
	for run := range j.failed[t] {
		failedBefore = append(failedBefore, run)
	}
	j.failedBefore[t] = append(j.failedBefore[t], failedBefore)
	r.checkAttempts(j, t)
	r.countStartAfterCrashes(j, t)
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > cancelGrace && time.Since(r.cutAt) > contactTime && r.readsHealthy() {
		r.breach("%s started %s %v after its job was cancelled", w, o.Run, time.Since(j.cancelled))
	}
	if j.running[t] == nil {
		j.running[t] = map[workload.RunID]*Worker{}
	}
	j.running[t][o.Run] = w
	r.checkCapacity(w, x)
}

// checkCapacity checks, after the start of x, the worker's capacity and the
// step's Spread (tasks per worker). The caller holds the worker's lock.
func (r *Rules) checkCapacity(w *Worker, x *activeRun) {
	var sum workload.Resources
	ofStep := 0
	for _, y := range w.running {
		j := r.jobs[y.run.Task.Job]
		if j == nil || y.run.Task.Step >= len(j.spec.Steps) {
			continue
		}
		sum = sum.Add(j.spec.Steps[y.run.Task.Step].Reserved())
		if y.run.Task.Job == x.run.Task.Job && y.run.Task.Step == x.run.Task.Step {
			ofStep++
		}
	}
	if !w.allows(sum) {
		r.breach("%s is over its capacity with %s: %+v", w, x.run, sum)
	}
	if n := r.jobs[x.run.Task.Job].spec.Steps[x.run.Task.Step].Spread; n > 0 && ofStep > n {
		r.breach("%s runs %d tasks of the step of %s, more than %d", w, ofStep, x.run, n)
	}
}

func (r *Rules) isLasting(run workload.RunID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[run.Task.Job]
	return j != nil && run.Task.Step < len(j.spec.Steps) && j.spec.Steps[run.Task.Step].Lasting
}

// needsAdvice reports whether a run belongs to a queue that needs the
// permission of the policy service.
func (r *Rules) needsAdvice(run workload.RunID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[run.Task.Job]
	return j != nil && j.spec.Queue.Advised
}

func (r *Rules) ended(w *Worker, e workload.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[e.Run.Task.Job]
	if j == nil {
		return
	}
	delete(j.running[e.Run.Task], e.Run)
	switch e.Kind {
	case workload.EndDone:
		r.Done++
		j.done[e.Run.Task] = true
		if j.doneRuns[e.Run.Task] == nil {
			j.doneRuns[e.Run.Task] = map[int]bool{}
		}
		j.doneRuns[e.Run.Task][e.Run.Run] = false
	case workload.EndFailed:
		if j.failed[e.Run.Task] == nil {
			j.failed[e.Run.Task] = map[int]bool{}
		}
		j.failed[e.Run.Task][e.Run.Run] = false
	}
}

// checkAttempts checks that the task was not started after as many acknowledged
// failures as its queue allows.
func (r *Rules) checkAttempts(j *jobRecord, t workload.TaskID) {
	n := j.spec.Queue.MaxAttempts
	if n == 0 || j.spec.Steps[t.Step].Lasting {
		return
	}
	for _, failedBefore := range j.failedBefore[t] {
		acknowledged := 0
		for _, run := range failedBefore {
			if j.failed[t][run] {
				acknowledged++
			}
		}
		if acknowledged >= n {
			r.breach("%s started after %d acknowledged failures", t, acknowledged)
		}
	}
}

const (
	// crashBound is the number of workers that a task must have crashed before
	// its further starts are counted. excessStarts is the number of these
	// starts that counts as a breach.
	crashBound   = 3
	excessStarts = 3
)

// countStartAfterCrashes counts a start of a task that has crashed crashBound
// workers.
func (r *Rules) countStartAfterCrashes(j *jobRecord, t workload.TaskID) {
	if j.crashes[t] < crashBound {
		return
	}
	j.startsAfterCrashes[t]++
	if j.startsAfterCrashes[t] == excessStarts {
		r.breach("%s was started %d more times after it had crashed %d workers", t, excessStarts, crashBound)
	}
}

// gangKey returns the identifier that all members of a gang's run share.
func gangKey(run workload.RunID) workload.RunID {
	run.Task.Index = 0
	return run
}

type member struct {
	run workload.RunID
	on  *Worker
}

// breakGang records that the run's gang has lost a member and returns the
// remaining members.
func (r *Rules) breakGang(run workload.RunID) []member {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[run.Task.Job]
	if j == nil || !j.spec.Steps[run.Task.Step].Gang {
		return nil
	}
	j.brokenGangs[gangKey(run)] = true
	var others []member
	for _, runs := range j.running {
		for other, on := range runs {
			if gangKey(other) == gangKey(run) {
				others = append(others, member{run: other, on: on})
			}
		}
	}
	return others
}

func (r *Rules) inBrokenGang(run workload.RunID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[run.Task.Job]
	return j != nil && j.brokenGangs[gangKey(run)]
}

// Crashes returns the number of workers that were crashed by their runs.
func (r *Rules) Crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}

// crashed records that a worker's crash ended a run, and whether the run caused
// it.
func (r *Rules) crashed(run workload.RunID, cause bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[run.Task.Job]
	if j == nil {
		return
	}
	delete(j.running[run.Task], run)
	j.workersLost[run.Task]++
	if cause {
		j.crashes[run.Task]++
		r.crashes++
	}
}

// acknowledged records that an agent has acknowledged an end.
func (r *Rules) acknowledged(e workload.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[e.Run.Task.Job]
	if j != nil && e.Kind == workload.EndFailed {
		j.failed[e.Run.Task][e.Run.Run] = true
		r.checkAttempts(j, e.Run.Task)
	}
	if j != nil && e.Kind == workload.EndDone {
		j.acknowledged[e.Run.Task] = true
		if j.doneRuns[e.Run.Task][e.Run.Run] && !j.spec.Steps[e.Run.Task.Step].Copies {
			r.breach("the end of %s was acknowledged after the task had started again", e.Run)
		}
	}
}
