package breakdown

import (
	"cmp"
	"math"
	"slices"

	"persimmonrock.example/ops/logs"
	"persimmonrock.example/ops/logtime"
)

// Log holds the lines of all log files.
type Log struct {
	lines  []line
	clocks logtime.Log
}

// run is one run of a task; times are in milliseconds, 0 where not known.
type run struct {
	placed, started, ended float64
	process, image         string
	how                    string
	cpu                    float64
	fills                  bool
	// saved reports whether the run left a checkpoint of its work.
	saved bool
}

// task holds the runs of one task, in the order in which they were placed.
type task struct {
	step int
	runs []*run
}

func (t *task) last() *run { return t.runs[len(t.runs)-1] }

// end returns the time at which the task was done, or 0.
func (t *task) end() float64 {
	if r := t.last(); r.how == "done" {
		return r.ended
	}
	return 0
}

type job struct {
	id               string
	known, objective float64
	ended            float64
	state            string
	fills            bool
	tasks            map[string]*task
	byName           map[string]*run
}

// paceKey identifies the tasks that share one pace: the filling work of one job
// and image on one agent.
type paceKey struct {
	process, job, image string
}

type paceChange struct {
	at, pace float64
}

type history struct {
	jobs  map[string]*job
	paces map[paceKey][]paceChange
	// overTarget and overTargetFilled are in milliseconds; see Report.
	overTarget, overTargetFilled float64
	first                        float64
	leftOut                      map[string]int
	unaligned                    []string
	waits                        waits
}

func (l *Log) history() *history {
	axis := l.clocks.Axis()
	for i := range l.lines {
		l.lines[i].Time = axis.Time(l.lines[i].stamp)
	}
	slices.SortStableFunc(l.lines, func(a, b line) int { return cmp.Compare(a.Time, b.Time) })
	h := &history{jobs: map[string]*job{}, paces: map[paceKey][]paceChange{}, first: math.Inf(1), leftOut: map[string]int{}, unaligned: axis.Unaligned()}
	for i := range l.lines {
		h.addLine(&l.lines[i])
	}
	return h
}

func (h *history) job(id string) *job {
	j := h.jobs[id]
	if j == nil {
		j = &job{id: id, tasks: map[string]*task{}, byName: map[string]*run{}}
		h.jobs[id] = j
	}
	return j
}

func (h *history) addLine(l *line) {
	switch l.Message {
	case "job known":
		j := h.job(l.Job)
		if j.known == 0 {
			j.known, j.objective = l.Time, l.Objective
			h.first = min(h.first, l.Time)
		}
	case "job ended":
		j := h.job(l.Job)
		j.ended, j.state = l.Time, l.State
	case "pace":
		k := paceKey{l.Process, l.Job, l.Image}
		h.paces[k] = append(h.paces[k], paceChange{l.Time, l.Pace})
	case "tail was over its target":
		h.overTarget += l.Over
		if l.Filled {
			h.overTargetFilled += l.Over
		}
	case "tasks of a step passed over":
		h.waits.addPassedOver(l)
	case "layout measured":
		h.waits.addLayout(l)
	case "placed":
		h.addPlacements(l)
	case "start", "run ended":
		h.addRunEvent(l)
	case logs.MessageLeftOut:
		for message, n := range l.Kinds {
			h.leftOut[message] += n
		}
	}
}

// addPlacements adds the placement of a run, or of a step's runs.
func (h *history) addPlacements(l *line) {
	if r := h.run(l.Run); r != nil {
		r.placed = l.Time
	}
	for _, placed := range l.Placements {
		if p, ok := logs.ParsePlacedRun(placed); ok {
			if r := h.run(p.Name(l.Job, l.Occurrence, l.Step)); r != nil {
				r.placed = l.Time
			}
		}
	}
}

// run returns the run named full, or nil if full isn't the name of a run.
func (h *history) run(full string) *run {
	name, ok := parseRun(full)
	if !ok {
		return nil
	}
	j := h.job(name.job)
	r := j.byName[full]
	if r == nil {
		r = &run{}
		j.byName[full] = r
		t := j.tasks[name.task]
		if t == nil {
			t = &task{step: name.step}
			j.tasks[name.task] = t
		}
		t.runs = append(t.runs, r)
	}
	return r
}

// addRunEvent adds a run's start or end. The scheduler logs only the ends that
// do not advance a step; agents log all ends.
func (h *history) addRunEvent(l *line) {
	r := h.run(l.Run)
	if r == nil {
		return
	}
	switch {
	case l.Message == "start":
		r.started, r.process, r.image, r.cpu, r.fills = l.Time, l.Process, l.Image, l.CPU, l.Fills
		if name, _ := parseRun(l.Run); l.Fills {
			h.job(name.job).fills = true
		}
	case l.Ran != nil:
		r.ended, r.how = l.Time, l.How
	default:
		r.saved = l.Checkpoint
		if r.ended == 0 {
			r.ended, r.how = l.Time, l.How
		}
	}
}

// worked returns a run's working time between two times, weighted by its pace.
func (h *history) worked(id string, r *run, from, to float64) float64 {
	sum, at, pace := 0.0, from, 1.0
	for _, c := range h.paces[paceKey{r.process, id, r.image}] {
		if c.at >= to {
			break
		}
		if c.at > at {
			sum += pace * (c.at - at)
			at = c.at
		}
		pace = c.pace
	}
	return sum + pace*max(0, to-at)
}
