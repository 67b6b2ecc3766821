package machines

import (
	"fmt"
	"sync"
	"time"

	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/structs/workload"
)

// Rules watches what the workers do and what clients are told, and keeps
// what must never happen.
type Rules struct {
	mu sync.Mutex
	// readsFineFor is for how long the store's reads have met no fault; nil if
	// they never do.
	readsFineFor func() time.Duration
	jobs         map[workload.JobID]*watched
	broken       []string
	cutAt        time.Time
	// drained is since when each data centre is drained, lastStart how long
	// after that the last task began there.
	drained   map[string]time.Time
	lastStart time.Duration
	Started   int
	Done      int
	// crashes counts the workers that were crashed by what they ran.
	crashes int
}

// watched is a job as clients and workers have seen it.
type watched struct {
	spec     workload.Job
	accepted bool
	// attempts counts the answered attempts to hand it in, refused those
	// that were refused for certain.
	attempts, refused int
	started           bool
	cancelled         time.Time
	running           map[workload.TaskID]map[workload.RunID]*Worker
	done              map[workload.TaskID]bool
	// noted are the tasks of which a done end was noted.
	noted map[workload.TaskID]bool
	// failed are the runs that ended failed, true once that was noted;
	// before holds, for each start, the runs that had failed before it.
	failed map[workload.TaskID]map[int]bool
	before map[workload.TaskID][][]int
	// doneRuns are the runs that ended done, true if the task has started
	// again since.
	doneRuns map[workload.TaskID]map[int]bool
	// lost counts the workers that crashed while a run of a task was there,
	// crashes those of them that it crashed itself, again its starts after
	// the third such crash.
	lost, crashes, again map[workload.TaskID]int
	// brokenGangs are the runs of gangs of which a member is gone.
	brokenGangs map[workload.RunID]bool
	shown       workload.State
}

// NewRules returns rules that know of no job.
func NewRules() *Rules {
	return &Rules{jobs: map[workload.JobID]*watched{}, drained: map[string]time.Time{}}
}

// Broken lists what must not have happened.
func (r *Rules) Broken() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	broken := append([]string(nil), r.broken...)
	for id, j := range r.jobs {
		if j.started && j.attempts > 0 && j.refused == j.attempts {
			broken = append(broken, fmt.Sprintf("job %s has started, and all attempts to hand it in were refused", id))
		}
	}
	return broken
}

// report notes a breach that was seen outside of what the rules watch.
func (r *Rules) report(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breach(format, args...)
}

func (r *Rules) breach(format string, args ...any) {
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
}

func (r *Rules) handIn(spec workload.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[spec.ID] == nil {
		r.jobs[spec.ID] = &watched{
			spec: spec, running: map[workload.TaskID]map[workload.RunID]*Worker{}, done: map[workload.TaskID]bool{},
			noted: map[workload.TaskID]bool{}, failed: map[workload.TaskID]map[int]bool{},
			before: map[workload.TaskID][][]int{}, doneRuns: map[workload.TaskID]map[int]bool{},
			lost: map[workload.TaskID]int{}, crashes: map[workload.TaskID]int{}, again: map[workload.TaskID]int{},
			brokenGangs: map[workload.RunID]bool{},
		}
	}
}

// answered notes a client's answer: accepted, refused for certain, or
// neither.
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

// show notes a state that a client was shown.
func (r *Rules) show(id workload.JobID, s workload.State) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[id]
	if j.shown.Final() && s != j.shown {
		r.breach("job %s was shown as %s and then as %s", id, j.shown, s)
	}
	j.shown = s
	if s == workload.Failed && !j.mayFail() {
		r.breach("job %s is shown as failed without cause", id)
	}
	if s != workload.Completed {
		return
	}
	for si, step := range j.spec.Steps {
		for i := range step.Count {
			if t := (workload.TaskID{Job: id, Step: si, Index: i}); !j.done[t] {
				r.breach("job %s is shown as completed and task %s has not ended so", id, t)
				return
			}
		}
	}
}

// mayFail reports whether a task of the job has failed as often as its queue
// allows, or two workers have crashed under it.
func (j *watched) mayFail() bool {
	for _, runs := range j.failed {
		if n := j.spec.Queue.MaxAttempts; n > 0 && len(runs) >= n {
			return true
		}
	}
	for _, n := range j.lost {
		if n >= 2 {
			return true
		}
	}
	return false
}

func (r *Rules) missing(id workload.JobID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs[id].accepted {
		r.breach("job %s was accepted and is not known", id)
	}
}

const (
	// cancelGrace is how long after a cancellation a start may still be seen.
	cancelGrace = 3 * time.Second
	// contact is how long a machine must have been reachable for that: an
	// order that a cut held up may arrive when it heals.
	contact = 3 * time.Second
)

// inTouch reports whether reads have been answered in time for as long as it takes
// until machines count as in touch.
func (r *Rules) inTouch() bool { return r.readsFineFor == nil || r.readsFineFor() > contact }

// Cut notes that a machine was cut off, or that a cut has healed.
func (r *Rules) Cut() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cutAt = time.Now()
}

// drainBound is how long after its drain a task may still begin in a data
// centre, on the users' tightest terms.
const drainBound = 5 * time.Second

// drain notes that a data centre is drained, or that this was taken back.
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

// LastStart is how long after the drain of its data centre the last task began
// there.
func (r *Rules) LastStart() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastStart
}

// startedDrained checks a start against the drains.
func (r *Rules) startedDrained(w *Worker, o workerctl.StartOrder) {
	since, ok := r.drained[w.info.DataCentre]
	if !ok {
		return
	}
	r.lastStart = max(r.lastStart, time.Since(since))
	if r.lastStart > drainBound {
		r.breach("%s started %s %v after its data centre was drained", w, o.Run, time.Since(since))
	}
}

func (r *Rules) started(w *Worker, x *working, o workerctl.StartOrder) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.Started++
	r.startedDrained(w, o)
	t := o.Run.Task
	j := r.jobs[t.Job]
	if j == nil || j.spec.Payload != o.Payload || t.Step >= len(j.spec.Steps) {
		r.breach("%s started %s, which no client handed in", w, o.Run)
		return
	}
	step := j.spec.Steps[t.Step]
	j.started = true
	for other, on := range j.running[t] {
		if other != o.Run && !step.Copies {
			r.breach("%s started %s while %s runs on %s", w, o.Run, other, on)
		}
	}
	if j.noted[t] && !step.Copies {
		r.breach("%s started %s after its end was noted", w, o.Run)
	}
	for run := range j.doneRuns[t] {
		j.doneRuns[t][run] = true
	}
	for _, a := range step.After {
		for i := range j.spec.Steps[a].Count {
			if !j.done[workload.TaskID{Job: t.Job, Step: a, Index: i}] {
				r.breach("%s started %s before step %d was done", w, o.Run, a)
				break
			}
		}
	}
	var before []int
	for run := range j.failed[t] {
		before = append(before, run)
	}
	j.before[t] = append(j.before[t], before)
	r.budget(j, t)
	r.crashBudget(j, t)
	if !j.cancelled.IsZero() && time.Since(j.cancelled) > cancelGrace && time.Since(r.cutAt) > contact && r.inTouch() {
		r.breach("%s started %s %v after its job was cancelled", w, o.Run, time.Since(j.cancelled))
	}
	if j.running[t] == nil {
		j.running[t] = map[workload.RunID]*Worker{}
	}
	j.running[t][o.Run] = w
	r.room(w, x)
}

// room checks the worker's room with x among what runs. The worker's lock is
// held.
func (r *Rules) room(w *Worker, x *working) {
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
	if !w.holds(sum) {
		r.breach("%s is over its capacity with %s: %+v", w, x.run, sum)
	}
	if n := r.jobs[x.run.Task.Job].spec.Steps[x.run.Task.Step].Spread; n > 0 && ofStep > n {
		r.breach("%s runs %d tasks of the step of %s, more than %d", w, ofStep, x.run, n)
	}
}

// lasting reports whether a run is one of a task that lasts.
func (r *Rules) lasting(run workload.RunID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[run.Task.Job]
	return j != nil && run.Task.Step < len(j.spec.Steps) && j.spec.Steps[run.Task.Step].Lasting
}

// advised reports whether a run belongs to a queue that needs the policy
// service's word.
func (r *Rules) advised(run workload.RunID) bool {
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

// budget checks that no start came after as many noted failures as the queue
// allows.
func (r *Rules) budget(j *watched, t workload.TaskID) {
	n := j.spec.Queue.MaxAttempts
	if n == 0 || j.spec.Steps[t.Step].Lasting {
		return
	}
	for _, before := range j.before[t] {
		noted := 0
		for _, run := range before {
			if j.failed[t][run] {
				noted++
			}
		}
		if noted >= n {
			r.breach("%s started after %d noted failures", t, noted)
		}
	}
}

const (
	// crashBound is the number of workers that a task may crash before its
	// starts are counted, moreStarts that of the starts that break the rule.
	crashBound = 3
	moreStarts = 3
)

// crashBudget counts a start of a task that has crashed crashBound workers.
func (r *Rules) crashBudget(j *watched, t workload.TaskID) {
	if j.crashes[t] < crashBound {
		return
	}
	j.again[t]++
	if j.again[t] == moreStarts {
		r.breach("%s was started %d times more after %d workers had crashed under it", t, moreStarts, crashBound)
	}
}

// gangRun names one run of a gang.
func gangRun(run workload.RunID) workload.RunID {
	run.Task.Index = 0
	return run
}

// member is a run of a gang and where it is.
type member struct {
	run workload.RunID
	on  *Worker
}

// breakGang notes that a member of a gang is gone, and returns the others.
func (r *Rules) breakGang(run workload.RunID) []member {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[run.Task.Job]
	if j == nil || !j.spec.Steps[run.Task.Step].Gang {
		return nil
	}
	j.brokenGangs[gangRun(run)] = true
	var others []member
	for _, runs := range j.running {
		for other, on := range runs {
			if gangRun(other) == gangRun(run) {
				others = append(others, member{run: other, on: on})
			}
		}
	}
	return others
}

// alone reports whether the run is of a gang of which a member is gone.
func (r *Rules) alone(run workload.RunID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[run.Task.Job]
	return j != nil && j.brokenGangs[gangRun(run)]
}

// Crashes counts the workers that were crashed by what they ran.
func (r *Rules) Crashes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}

// crashed notes that a run ended with its worker, and whether it was the cause.
func (r *Rules) crashed(run workload.RunID, cause bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[run.Task.Job]
	if j == nil {
		return
	}
	delete(j.running[run.Task], run)
	j.lost[run.Task]++
	if cause {
		j.crashes[run.Task]++
		r.crashes++
	}
}

// noted notes that an agent has acknowledged an end.
func (r *Rules) noted(e workload.End) {
	r.mu.Lock()
	defer r.mu.Unlock()
	j := r.jobs[e.Run.Task.Job]
	if j != nil && e.Kind == workload.EndFailed {
		j.failed[e.Run.Task][e.Run.Run] = true
		r.budget(j, e.Run.Task)
	}
	if j != nil && e.Kind == workload.EndDone {
		j.noted[e.Run.Task] = true
		if j.doneRuns[e.Run.Task][e.Run.Run] && !j.spec.Steps[e.Run.Task.Step].Copies {
			r.breach("the end of %s was noted after the task had started again", e.Run)
		}
	}
}
