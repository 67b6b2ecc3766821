package breakdown

import (
	"math"
	"slices"
)

// Cause is a category to which a part of a job's time is attributed.
type Cause uint8

// The causes.
const (
	// Working is the time at full pace, up to the median of the step's tasks.
	Working Cause = iota
	// Straggling is the work of the slowest task beyond the median of its step.
	Straggling
	// Waiting is the time without a worker before the first run of the task.
	Waiting
	// Paced is the time lost to a pace below full.
	Paced
	// Repeating is the time of runs whose work was lost, and the wait for a
	// worker after any run that did not end the task.
	Repeating
	// Recording is the time from a placement decision to the start at the
	// worker, and from the last end of a task to the end of the job.
	Recording
	causes
)

// Name returns the cause as shown in the tables.
func (c Cause) Name() string {
	return [causes]string{"working", "longest task of a step", "waiting for a worker", "paced down", "runs again", "recording"}[c]
}

// Class compares a completed job's time with the objective known at its start.
type Class uint8

// The classes. Late jobs took up to three times their objective.
const (
	InTime Class = iota
	Late
	Overdue
	classes
)

// Name returns the class as shown in the tables.
func (c Class) Name() string {
	return [classes]string{"in time", "late", "overdue"}[c]
}

// lateFactor is the multiple of a job's objective up to which the job is still
// of some use to its client.
const lateFactor = 3

// Sum is the time of a set of jobs by cause, in seconds.
type Sum struct {
	Jobs    int
	Seconds [causes]float64
	// CoreSeconds is Seconds weighted by the cores that each task requests.
	CoreSeconds [causes]float64
}

// Report sums up the time of the jobs that have filling work.
type Report struct {
	ByClass [classes]Sum
	// ByInterval sums the jobs by the interval, intervalLength long, in which
	// they became known.
	ByInterval []Sum
	// Unfinished, Failed and Cancelled count the other jobs by state.
	Unfinished, Failed, Cancelled int
	// OverTarget is the time, in seconds, for which serving tasks exceeded
	// their targets. OverTargetFilled is the part of it with filling work
	// beside these tasks.
	OverTarget, OverTargetFilled float64
	// PassedOver is the waiting time of tasks, in seconds, by what kept them
	// waiting, Room the filling work; both are empty unless the scheduler's policy
	// Diagnosis was on.
	PassedOver map[string]float64
	Room       Room
	// LeftOut counts the lines that processes left out of their logs, by
	// message; the other figures lack these lines.
	LeftOut map[string]int
	// Unaligned lists the processes whose lines are placed by their wall
	// clocks, since events bound their clocks on one side at most.
	Unaligned []string
}

const (
	// intervalLength is in milliseconds.
	intervalLength = 10000
	// maxIntervals bounds the memory even if lines have wrong times; later jobs
	// count in the last interval.
	maxIntervals = 1000
)

// Report evaluates the log.
func (l *Log) Report() Report {
	h := l.history()
	r := Report{OverTarget: h.overTarget / 1000, OverTargetFilled: h.overTargetFilled / 1000, LeftOut: h.leftOut, Unaligned: h.unaligned, PassedOver: h.waits.passedOver, Room: h.waits.room}
	for _, j := range h.jobs {
		if !j.fills || j.known == 0 {
			continue
		}
		switch j.state {
		case "completed":
			r.add(h, j)
		case "failed":
			r.Failed++
		case "cancelled":
			r.Cancelled++
		default:
			r.Unfinished++
		}
	}
	return r
}

func (r *Report) add(h *history, j *job) {
	var s Sum
	h.addCriticalPath(j, &s)
	class := Overdue
	switch took := j.ended - j.known; {
	case took <= j.objective:
		class = InTime
	case took <= lateFactor*j.objective:
		class = Late
	}
	r.ByClass[class].merge(s)
	interval := int(min(maxIntervals-1, max(0, (j.known-h.first)/intervalLength)))
	for len(r.ByInterval) <= interval {
		r.ByInterval = append(r.ByInterval, Sum{})
	}
	r.ByInterval[interval].merge(s)
}

func (s *Sum) merge(o Sum) {
	s.Jobs++
	for c := range o.Seconds {
		s.Seconds[c] += o.Seconds[c]
		s.CoreSeconds[c] += o.CoreSeconds[c]
	}
}

// add attributes milliseconds of a task that requests cpu thousandths of a core
// to a cause.
func (s *Sum) add(c Cause, milliseconds, cpu float64) {
	if milliseconds <= 0 {
		return
	}
	s.Seconds[c] += milliseconds / 1000
	s.CoreSeconds[c] += milliseconds / 1000 * cpu / 1000
}

// addCriticalPath adds the time of j, following the slowest tasks back from its
// end. Each iteration continues before the end of the task just added, even if
// its placement has a later time, so that no task is visited twice.
func (h *history) addCriticalPath(j *job, s *Sum) {
	before := math.Inf(1)
	for {
		t := j.lastTask(before)
		if t == nil {
			return
		}
		if math.IsInf(before, 1) {
			s.add(Recording, j.ended-t.end(), t.last().cpu)
		}
		ready := j.stepReady(t)
		h.addTask(j, t, ready, s)
		before = min(t.firstPlaced(), math.Nextafter(t.end(), 0))
	}
}

// lastTask returns the task with the latest end at or before a time.
func (j *job) lastTask(before float64) *task {
	var last *task
	for _, t := range j.tasks {
		if end := t.end(); end > 0 && end <= before && (last == nil || end > last.end()) {
			last = t
		}
	}
	return last
}

// firstPlaced returns the first placement time in the log. If a killed process
// lost these lines, it returns the start of the last run.
func (t *task) firstPlaced() float64 {
	for _, r := range t.runs {
		if r.placed > 0 {
			return r.placed
		}
	}
	return t.last().started
}

// stepReady returns the time from which the step of t could run: the last end
// of another step's task before any task of this step was placed, or the time
// at which the job became known.
func (j *job) stepReady(t *task) float64 {
	first := math.Inf(1)
	for _, o := range j.tasks {
		if o.step == t.step && o.firstPlaced() > 0 {
			first = min(first, o.firstPlaced())
		}
	}
	ready := j.known
	for _, o := range j.tasks {
		if end := o.end(); o.step != t.step && end <= first {
			ready = max(ready, end)
		}
	}
	return ready
}

func (h *history) addTask(j *job, t *task, ready float64, s *Sum) {
	cpu := t.last().cpu
	s.add(Waiting, t.firstPlaced()-ready, cpu)
	previousEnd := t.firstPlaced()
	useful := 0.0
	for _, r := range t.runs {
		if r.placed == 0 || r.started == 0 || r.ended == 0 {
			// The run never started, or the log lacks the scheduler's or the
			// agent's lines.
			continue
		}
		s.add(Repeating, r.placed-previousEnd, cpu)
		previousEnd = r.ended
		s.add(Recording, r.started-r.placed, cpu)
		worked := h.worked(j.id, r, r.started, r.ended)
		s.add(Paced, r.ended-r.started-worked, cpu)
		if r.useful() {
			useful += worked
			continue
		}
		s.add(Repeating, worked, cpu)
	}
	upToMedian := min(useful, h.medianWork(j, t.step))
	s.add(Working, upToMedian, cpu)
	s.add(Straggling, useful-upToMedian, cpu)
}

// useful reports whether the work of the run contributed to its task.
func (r *run) useful() bool { return r.how == "done" || r.saved }

func (h *history) usefulWork(j *job, t *task) float64 {
	sum := 0.0
	for _, r := range t.runs {
		if r.started > 0 && r.ended > 0 && r.useful() {
			sum += h.worked(j.id, r, r.started, r.ended)
		}
	}
	return sum
}

// medianWork returns the median useful work of a step's finished tasks.
func (h *history) medianWork(j *job, step int) float64 {
	var all []float64
	for _, t := range j.tasks {
		if t.step == step && t.end() > 0 {
			all = append(all, h.usefulWork(j, t))
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}
