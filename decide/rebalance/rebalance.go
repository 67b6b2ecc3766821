// Package rebalance decides which runs of a step are stopped so that their tasks
// continue on other workers: runs that hold up their step, if a move pays.
package rebalance

import (
	"cmp"
	"slices"
	"time"
)

const (
	// regained is the part of the pace that a run lacks now which it is expected to
	// have on average until its end: the load of the serving tasks beside it changes
	// within seconds. A pace of 0 becomes regained, full pace stays.
	regained = 0.15
	// gainShare is the part of a task's expected run time that a move must save,
	// minGain the least such time. Both grow with each move of the task, so that
	// a task doesn't wander among workers that are equally bad.
	gainShare = 0.2
	minGain   = 400 * time.Millisecond
	// harmFactor is the factor on the required gain of a move to a slot where the
	// task presses on others: it costs them room for changes of their load.
	harmFactor = 3
)

// Run is a task of the step that is not done.
type Run struct {
	// Pace is the recent pace of the run, 0 to 1.
	Pace float64
	// Left is the remaining work, as time at full pace.
	Left time.Duration
	// Lost is the work that a stop throws away, as time at full pace.
	Lost time.Duration
	// Moves counts the earlier moves of the task.
	Moves int
	// Fixed says that the run must not be stopped.
	Fixed bool
}

// Step is a step with tasks that are not done.
type Step struct {
	Runs []Run
	// Expected is the expected run time of a task at full pace.
	Expected time.Duration
	// Floor is the time before which the step can't end, whatever is moved.
	Floor time.Duration
}

// Slot is capacity for one task on another worker, and the pace that a run can
// expect there.
type Slot struct {
	Pace float64
	// Presses says that the task is known to slow serving tasks beside the slot. A
	// move there must gain harmFactor times as much.
	Presses bool
}

// Costs are the costs of a move.
type Costs struct {
	// Transit is the time from the decision to the start of the next run.
	Transit time.Duration
	// Restore is the time that a run needs to resume from a checkpoint.
	Restore time.Duration
}

// Move moves a run to a slot; both are indices.
type Move struct {
	Run, Slot int
	// Here and There are the times until the run is expected to end without and
	// with the move.
	Here, There time.Duration
}

// Decide returns the moves that make the step end sooner. The slots are used in
// their order, first for the runs that would end last.
//
// A move of one run alone gains nothing if another run holds up the step as long.
// So Holding first finds the runs that would be moved together if there were
// slots for all. Those of them that gain enough in a slot move; the others follow
// once there are more slots, and are paced down less by then, since the moved runs
// no longer compete with them.
func Decide(s Step, slots []Slot, c Costs) []Move {
	holding, end := Holding(s, c)
	var moves []Move
	for _, i := range holding {
		if len(moves) == len(slots) {
			break
		}
		r, slot := &s.Runs[i], slots[len(moves)]
		here, there := r.here(), r.there(slot, c)
		required := s.requiredGain(r)
		if slot.Presses {
			required *= harmFactor
		}
		if here-max(there, end) >= required {
			moves = append(moves, Move{Run: i, Slot: len(moves), Here: here, There: there})
		}
	}
	return moves
}

// Holding returns the runs that hold up the step, the last to end first, and the
// time until the step could end if all of them continued at full pace elsewhere.
// They are the first n of the runs that would end last, where n gives the earliest
// end of the step.
func Holding(s Step, c Costs) (holding []int, end time.Duration) {
	order := make([]int, len(s.Runs))
	for i := range order {
		order[i] = i
	}
	slices.SortStableFunc(order, func(a, b int) int { return cmp.Compare(s.Runs[b].here(), s.Runs[a].here()) })
	best, moved := 0, s.Floor
	for n, i := range order {
		r := &s.Runs[i]
		if n == 0 {
			end = max(r.here(), s.Floor)
		}
		there := r.there(Slot{Pace: 1}, c)
		if r.Fixed || r.here()-there < s.requiredGain(r) {
			break
		}
		moved = max(moved, there)
		after := moved
		if n+1 < len(order) {
			after = max(after, s.Runs[order[n+1]].here())
		}
		if after < end {
			best, end = n+1, after
		}
	}
	return order[:best], end
}

// here is the time until the run ends where it is.
func (r *Run) here() time.Duration { return atPace(r.Left, r.Pace) }

// there is the time until the task ends if it continues in the slot.
func (r *Run) there(s Slot, c Costs) time.Duration {
	return c.Transit + c.Restore + atPace(r.Left+r.Lost, s.Pace)
}

// requiredGain is the time that a move of r must save.
func (s *Step) requiredGain(r *Run) time.Duration {
	gain := max(minGain, time.Duration(gainShare*float64(s.Expected)))
	return gain * time.Duration(1+r.Moves)
}

// atPace is the time that the work takes if the pace is the given one now.
func atPace(work time.Duration, pace float64) time.Duration {
	return time.Duration(float64(work) / (pace + regained*(1-pace)))
}
