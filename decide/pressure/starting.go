package pressure

import "time"

const (
	// usefulPace is the least pace at which a run is worth starting. A slower one
	// mostly holds memory.
	usefulPace = 0.5
	// swingReserve is the load kept free for the rise of a task's own load while
	// the run lasts.
	swingReserve = 0.2
	// weightReserve raises a known weight by the error of its estimate.
	weightReserve = 1.3
)

// Neighbour is a serving task of a worker on which one more filling run may start.
type Neighbour struct {
	// Own is the task's load without filling work, from 0 to 1, and Filled the load
	// of the worker's present filling runs on the task, at their full pace.
	Own, Filled float64
	// Base is the tail without any load; Target is in the same unit.
	Base, Target float64
	// Weight is that of the new run's image on the task.
	Weight Weight
}

// bears is the load that one more run may put on the task.
func (n *Neighbour) bears() float64 {
	if n.Base <= 0 || n.Target <= 0 {
		return 0
	}
	return 1 - n.Base/(targetFraction*n.Target) - loadMargin - swingReserve - n.Own - n.Filled
}

// StartingPace returns the pace, 0 to 1, at which a run that uses the given share
// of the worker at full pace may start, so that all neighbours bear it. It is 0 if
// the pace would be of no use, or if it is unknown what a neighbour bears.
func StartingPace(neighbours []Neighbour, share float64) float64 {
	pace := 1.0
	for i := range neighbours {
		n := &neighbours[i]
		if !n.Weight.Known {
			return 0
		}
		if n.Weight.Value <= ignoredWeight {
			continue
		}
		bears := n.bears()
		if load := weightReserve * n.Weight.Value * share; load > bears {
			pace = min(pace, bears/load)
		}
	}
	if pace < usefulPace {
		return 0
	}
	return pace
}

// WorthPacing reports whether it costs a job less to run a task now, at the given
// pace, than to wait on for a worker on which the task doesn't press. duration is
// the task's duration at full pace, waited the time for which no task of its step
// could be placed, and slack the time that the job can still wait and end within
// its objective.
func WorthPacing(waited, slack, duration time.Duration, pace float64) bool {
	if pace <= 0 {
		return false
	}
	paced := time.Duration(float64(duration) / pace)
	return waited > paced || slack < paced
}
