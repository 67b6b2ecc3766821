// Package placement chooses the worker of a task. The choice depends on the input
// alone: hard constraints exclude workers, and the best score decides among the rest.
package placement

import "persimmonrock.example/structs/workload"

// Candidate is one worker as the scheduler sees it.
type Candidate struct {
	Capacity workload.Resources
	// Free is the capacity that no task has reserved.
	Free workload.Resources
	// Leftover is the reserved CPU that is expected to stay unused.
	Leftover int
	// FillLoad is the CPU that the worker's filling tasks use or will use.
	FillLoad int
	// Pressed is, for a filling step, the load of filling tasks on the worker's
	// most affected serving task if one more task of the step is added. It is 0
	// without serving tasks.
	Pressed float64
	// Presses is set if a task of the step is known to press on a serving task
	// of the worker (see package pressure), or if a trial of that pair of images
	// runs on another worker.
	Presses bool
	// Trial is set if Presses is set only for a trial on another worker.
	Trial bool
	// Serving is the number of the worker's tasks with a tail target.
	Serving int
	// Mix is, for a serving step, the sum of pressure.Model.Difference between
	// the step's image and the images of the worker's serving tasks.
	Mix float64
	// SameImage is set if the worker has serving tasks of the step's image.
	SameImage bool
	Rack      string
	Labels    []string
	// Suspect workers failed or lost tasks recently; they are used last.
	Suspect bool
	// Slow is set if tasks that end by themselves progress far slower on the
	// worker than on others. Such tasks, except filling ones, use it last.
	Slow bool
	// OfStep is the number of the step's tasks on the worker.
	OfStep int
	// Barred excludes the worker, whatever its free capacity.
	Barred bool
	// BarredBy is the cause of the bar, if Barred is set.
	BarredBy Cause
	// Held is the capacity held for other tasks; Free does not include it.
	Held workload.Resources
	// LastingOnly excludes the worker for all but lasting tasks. Other tasks have
	// a bounded number of attempts. Lasting tasks can always be retried, and must
	// not wait while any worker has free capacity.
	LastingOnly bool
}

// Request is a task to place.
type Request struct {
	Step *workload.Step
	// Avoid is the index of the worker on which the task failed before, or -1.
	Avoid int
	// ExcludeAvoid excludes the worker at Avoid even if no other fits.
	ExcludeAvoid bool
	// Rack is the rack of most tasks of a coupled step, if any.
	Rack string
}

// Weights of the score. The free shares of CPU and memory score 0 to 1.25
// together; each penalty and bonus can outweigh them.
const (
	suspectPenalty = 32.0
	rackPenalty    = 16.0
	avoidPenalty   = 8.0
	// separationBonus separates serving and filling work: filling work raises
	// the tail of serving tasks beside it, and must then be slowed.
	separationBonus = 4.0
	// fillPenalty lowers a worker's score for a serving step in proportion to
	// its filling work.
	fillPenalty = 2.0
	// mixPenalty separates serving tasks of different images. A filling image
	// presses on about a third of the serving images. Beside one serving image
	// two thirds of the filling work run at full speed, beside three serving
	// images less than a third.
	mixPenalty     = 1.5
	sameImageBonus = 1.5
	// toleratedPressure is the load of filling tasks that a serving task can
	// usually bear. The task's tail reaches its target at a load of about 0.78,
	// and the task's own load rises to 0.63.
	toleratedPressure = 0.12
	// pressurePenalty is the penalty per unit of load above toleratedPressure.
	pressurePenalty = 12.0
)

// Choose returns the index of the best worker, or -1 if the task fits on
// none.
func Choose(r Request, workers []Candidate) int {
	best, bestScore := -1, 0.0
	for i := range workers {
		w := &workers[i]
		if !Fits(r.Step, w) || r.ExcludeAvoid && i == r.Avoid {
			continue
		}
		s := score(r, i, w)
		if best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

// Fits reports whether a task of the step may be placed on the worker.
func Fits(s *workload.Step, w *Candidate) bool {
	if w.Barred || w.LastingOnly && !s.Lasting || !s.Reserved().Fits(w.Free) || !CouldTake(s, w) {
		return false
	}
	return !s.Fills || w.FillLoad+s.Need.CPU <= unused(w)
}

// CouldTake reports whether the worker could run a task of the step if the
// worker had enough free capacity.
func CouldTake(s *workload.Step, w *Candidate) bool {
	if s.Spread > 0 && w.OfStep >= s.Spread {
		return false
	}
	return s.Need.Fits(w.Capacity) && (s.Label == "" || contains(w.Labels, s.Label))
}

// unused is the CPU that filling tasks can expect to use.
func unused(w *Candidate) int {
	return w.Free.CPU + w.Leftover
}

func score(r Request, i int, w *Candidate) float64 {
	s := capacityScore(r.Step, w)
	if w.Suspect || w.Slow && !r.Step.Fills && !r.Step.Lasting {
		s -= suspectPenalty
	}
	if i == r.Avoid {
		s -= avoidPenalty
	}
	if r.Step.DataRack != "" && w.Rack != r.Step.DataRack {
		s -= rackPenalty
	}
	if r.Step.Coupled && r.Rack != "" && w.Rack != r.Rack {
		s -= rackPenalty
	}
	return s
}

// capacityScore scores a worker by its tasks and free capacity. Serving tasks
// are packed by image, and other tasks with reserved capacity go beside them.
// Filling tasks go where most CPU is unused, unless they press too much on a
// serving task there.
func capacityScore(s *workload.Step, w *Candidate) float64 {
	free := share(w.Free.CPU, w.Capacity.CPU) + share(w.Free.Memory, w.Capacity.Memory)/4
	switch {
	case s.Fills:
		return share(unused(w)-w.FillLoad, w.Capacity.CPU) - pressurePenalty*max(0, w.Pressed-toleratedPressure)
	case s.TailTarget > 0:
		free = -free - fillPenalty*share(w.FillLoad, w.Capacity.CPU) - mixPenalty*w.Mix
		if w.SameImage {
			free += sameImageBonus
		}
	}
	if w.Serving > 0 {
		return separationBonus + free
	}
	return free
}

func share(part, whole int) float64 {
	if whole <= 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

func contains(labels []string, l string) bool {
	for _, x := range labels {
		if x == l {
			return true
		}
	}
	return false
}
