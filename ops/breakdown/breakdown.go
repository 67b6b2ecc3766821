package breakdown

import (
	"math"
	"slices"
)

// Cause is what a stretch of a job's time was spent on.
type Cause uint8

// The causes.
const (
	// Working at full pace, as long as the step's tasks in the middle.
	Working Cause = iota
	// Longest is what the slowest task worked beyond those in the middle.
	Longest
	// Waiting for a worker, before the first run of the task.
	Waiting
	// Paced is the time lost to a pace below full.
	Paced
	// Again is the time of runs whose work was lost, and the wait for a worker
	// after any run that did not end the task.
	Again
	// Recording is the time from a decision to the start at the worker, and
	// from the last end to the end of the job.
	Recording
	causes
)

// Name is the cause in words.
func (c Cause) Name() string {
	return [causes]string{"working", "longest task of a step", "waiting for a worker", "paced down", "runs again", "recording"}[c]
}

// Class is how a job ended by the objective that was known at its start.
type Class uint8

// The classes. Late jobs took up to three times their objective.
const (
	InTime Class = iota
	Late
	Overdue
	classes
)

// Name is the class in words.
func (c Class) Name() string {
	return [classes]string{"in time", "late", "overdue"}[c]
}

// lateFactor is the multiple of its objective within which a job is of some
// use to its client.
const lateFactor = 3

// Sum is the time of some jobs by cause, in seconds.
type Sum struct {
	Jobs    int
	Seconds [causes]float64
	// Core is the same, weighed by the cores that the task asks for.
	Core [causes]float64
}

// Report is where the time of the jobs with filling work went.
type Report struct {
	ByClass [classes]Sum
	// ByMoment sums the jobs by when they were known, momentLength long each.
	ByMoment []Sum
	// Unfinished are the jobs that had not ended, Failed and Cancelled those
	// that ended so.
	Unfinished, Failed, Cancelled int
	// Over is how long serving tasks were over their targets, in seconds,
	// OverFilled that of it with filling work beside them.
	Over, OverFilled float64
	// LeftOut counts the lines that the processes left out, by message: what
	// they would have told is missing from the figures.
	LeftOut map[string]int
	// Untied are the processes whose lines stand where their wall clocks put
	// them, since no other process tells of what they tell.
	Untied []string
}

const (
	// momentLength is the length of a moment in milliseconds.
	momentLength = 10000
	// maxMoments bounds the moments, whatever times the lines bear; what is
	// later counts in the last.
	maxMoments = 1000
)

// Report works the log out.
func (l *Log) Report() Report {
	h := l.history()
	r := Report{Over: h.over / 1000, OverFilled: h.overFilled / 1000, LeftOut: h.leftOut, Untied: h.untied}
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
	h.follow(j, &s)
	class := Overdue
	switch took := j.ended - j.known; {
	case took <= j.objective:
		class = InTime
	case took <= lateFactor*j.objective:
		class = Late
	}
	r.ByClass[class].join(s)
	moment := int(min(maxMoments-1, max(0, (j.known-h.first)/momentLength)))
	for len(r.ByMoment) <= moment {
		r.ByMoment = append(r.ByMoment, Sum{})
	}
	r.ByMoment[moment].join(s)
}

func (s *Sum) join(o Sum) {
	s.Jobs++
	for c := range o.Seconds {
		s.Seconds[c] += o.Seconds[c]
		s.Core[c] += o.Core[c]
	}
}

// add gives milliseconds of a task that asks for cpu thousandths of a core to
// a cause.
func (s *Sum) add(c Cause, milliseconds, cpu float64) {
	if milliseconds <= 0 {
		return
	}
	s.Seconds[c] += milliseconds / 1000
	s.Core[c] += milliseconds / 1000 * cpu / 1000
}

// follow adds the time of j, from its end back along the slowest tasks. Where a
// line's time is later than that of its effect, the task's own end still bounds
// the next step back, so that each task is met once at most.
func (h *history) follow(j *job, s *Sum) {
	before := math.Inf(1)
	for {
		t := j.lastTask(before)
		if t == nil {
			return
		}
		if math.IsInf(before, 1) {
			s.add(Recording, j.ended-t.end(), t.last().cpu)
		}
		opened := j.opened(t)
		h.followTask(j, t, opened, s)
		before = min(t.firstPlaced(), math.Nextafter(t.end(), 0))
	}
}

// lastTask is the task that was done last before a time.
func (j *job) lastTask(before float64) *task {
	var last *task
	for _, t := range j.tasks {
		if end := t.end(); end > 0 && end <= before && (last == nil || end > last.end()) {
			last = t
		}
	}
	return last
}

// firstPlaced is when the first run was placed of which that is known; a
// process that was killed took its last lines with it.
func (t *task) firstPlaced() float64 {
	for _, r := range t.runs {
		if r.placed > 0 {
			return r.placed
		}
	}
	return t.last().started
}

// opened is when the turn of a task's step had come: at the last end of
// another step before any of its tasks was placed, or at the start.
func (j *job) opened(t *task) float64 {
	first := math.Inf(1)
	for _, o := range j.tasks {
		if o.step == t.step && o.firstPlaced() > 0 {
			first = min(first, o.firstPlaced())
		}
	}
	opened := j.known
	for _, o := range j.tasks {
		if end := o.end(); o.step != t.step && end <= first {
			opened = max(opened, end)
		}
	}
	return opened
}

func (h *history) followTask(j *job, t *task, opened float64, s *Sum) {
	cpu := t.last().cpu
	s.add(Waiting, t.firstPlaced()-opened, cpu)
	free := t.firstPlaced()
	useful := 0.0
	for _, r := range t.runs {
		if r.placed == 0 || r.started == 0 || r.ended == 0 {
			// A run that never began, or of which only one side told.
			continue
		}
		s.add(Again, r.placed-free, cpu)
		free = r.ended
		s.add(Recording, r.started-r.placed, cpu)
		worked := h.worked(j.id, r, r.started, r.ended)
		s.add(Paced, r.ended-r.started-worked, cpu)
		if r.useful() {
			useful += worked
			continue
		}
		s.add(Again, worked, cpu)
	}
	usual := min(useful, h.usual(j, t.step))
	s.add(Working, usual, cpu)
	s.add(Longest, useful-usual, cpu)
}

// useful reports whether what the run worked brought its task on.
func (r *run) useful() bool { return r.how == "done" || r.saved }

// useful is how long the runs of the task worked to its end.
func (h *history) useful(j *job, t *task) float64 {
	sum := 0.0
	for _, r := range t.runs {
		if r.started > 0 && r.ended > 0 && r.useful() {
			sum += h.worked(j.id, r, r.started, r.ended)
		}
	}
	return sum
}

// usual is how long the tasks of a step worked in the middle.
func (h *history) usual(j *job, step int) float64 {
	var all []float64
	for _, t := range j.tasks {
		if t.step == step && t.end() > 0 {
			all = append(all, h.useful(j, t))
		}
	}
	if len(all) == 0 {
		return 0
	}
	slices.Sort(all)
	return all[len(all)/2]
}
