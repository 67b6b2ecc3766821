// Package placement chooses the worker of a task. It is a pure function of
// what the caller knows: filter by what must hold, score what is left.
package placement

import "persimmonrock.example/structs/workload"

// Candidate is one worker as the scheduler sees it.
type Candidate struct {
	Capacity workload.Resources
	// Free is the counted room that is left.
	Free workload.Resources
	// Leftover is the reserved CPU that filling tasks may count on being unused.
	Leftover int
	// FillLoad is the CPU that the filling tasks there use or will.
	FillLoad int
	// Pressed holds, for a filling step, the load that the filling tasks
	// there put on the most pressed serving task beside one more task of the
	// step. It is 0 where nothing serves.
	Pressed float64
	// Presses says that a task of the step is known to press on a serving
	// task there, or that whether it does is being tried elsewhere.
	Presses bool
	// Serving is the number of tasks with a tail target there.
	Serving int
	// Mix is, for a serving step, how differently the images of the serving
	// tasks there and its own are pressed on, summed over the images.
	Mix float64
	// SameImage says that tasks of the step's image serve there.
	SameImage bool
	Rack      string
	Labels    []string
	// Suspect workers failed or lost tasks lately; they are used last.
	Suspect bool
	// Slow workers let tasks that end by themselves get on far slower than
	// others do; those are placed elsewhere first.
	Slow bool
	// OfStep is the number of the step's tasks there.
	OfStep int
	// Barred excludes the worker, whatever its room.
	Barred bool
	// Shunned excludes it for tasks that end by themselves, of which each has
	// a bounded number of attempts. Lasting ones have no such bound, and must
	// not wait beside free room.
	Shunned bool
}

// Request is what a task needs.
type Request struct {
	Step *workload.Step
	// Avoid is the index of a worker where the task failed before, or -1.
	Avoid int
	// Never excludes the worker at Avoid, whatever else there is.
	Never bool
	// Rack is where most of a coupled step runs, if anywhere.
	Rack string
}

// Weights of the score. Room is a share of the capacity, 0 to 1; the others
// outweigh it in the order given.
const (
	suspectPenalty = 32.0
	rackPenalty    = 16.0
	avoidPenalty   = 8.0
	// apartBonus keeps serving and filling work apart: filling work disturbs
	// the tail of serving tasks beside it, and has to be slowed for it.
	apartBonus = 4.0
	// fillPenalty keeps serving tasks off a worker in proportion to the
	// filling work there.
	fillPenalty = 2.0
	// mixPenalty keeps serving tasks of different images apart. A filling
	// image presses on about a third of the serving images: beside one of
	// them two thirds of the filling work run at full speed, beside three
	// less than a third.
	mixPenalty = 1.5
	sameBonus  = 1.5
	// pressureFree is the load on a serving task that its tail bears at most
	// times: its target stands at a load of about 0.78, and its own goes up
	// to 0.63.
	pressureFree = 0.12
	// pressurePenalty weighs the load above that against free room.
	pressurePenalty = 12.0
)

// Choose returns the index of the best worker, or -1 if the task fits on
// none.
func Choose(r Request, workers []Candidate) int {
	best, bestScore := -1, 0.0
	for i := range workers {
		w := &workers[i]
		if !fits(r.Step, w) || r.Never && i == r.Avoid {
			continue
		}
		s := score(r, i, w)
		if best < 0 || s > bestScore {
			best, bestScore = i, s
		}
	}
	return best
}

func fits(s *workload.Step, w *Candidate) bool {
	if w.Barred || w.Shunned && !s.Lasting || !s.Reserved().Fits(w.Free) || !CouldTake(s, w) {
		return false
	}
	return !s.Fills || w.FillLoad+s.Need.CPU <= unused(w)
}

// CouldTake reports whether the worker could run a task of the step if it had
// room.
func CouldTake(s *workload.Step, w *Candidate) bool {
	if s.Spread > 0 && w.OfStep >= s.Spread {
		return false
	}
	return s.Need.Fits(w.Capacity) && (s.Label == "" || contains(w.Labels, s.Label))
}

// unused is the CPU that filling tasks may expect.
func unused(w *Candidate) int {
	return w.Free.CPU + w.Leftover
}

func score(r Request, i int, w *Candidate) float64 {
	s := room(r.Step, w)
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

// room scores a worker by what is there already. Serving tasks are packed
// by image, other counted tasks go beside them, and filling tasks to
// the workers without serving ones, the emptiest first.
func room(s *workload.Step, w *Candidate) float64 {
	free := share(w.Free.CPU, w.Capacity.CPU) + share(w.Free.Memory, w.Capacity.Memory)/4
	switch {
	case s.Fills:
		return share(unused(w)-w.FillLoad, w.Capacity.CPU) - pressurePenalty*max(0, w.Pressed-pressureFree)
	case s.TailTarget > 0:
		free = -free - fillPenalty*share(w.FillLoad, w.Capacity.CPU) - mixPenalty*w.Mix
		if w.SameImage {
			free += sameBonus
		}
	}
	if w.Serving > 0 {
		return apartBonus + free
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
