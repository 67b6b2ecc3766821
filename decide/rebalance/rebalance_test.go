package rebalance

import (
	"testing"
	"time"
)

var costs = Costs{Transit: 500 * time.Millisecond, Restore: 600 * time.Millisecond}

// slots returns n slots in which runs expect the given pace.
func slots(n int, pace float64) []Slot {
	list := make([]Slot, n)
	for i := range list {
		list[i].Pace = pace
	}
	return list
}

// end is the time until the step ends after the moves.
func end(s Step, moves []Move) time.Duration {
	last := s.Floor
	moved := map[int]time.Duration{}
	for _, m := range moves {
		moved[m.Run] = m.There
	}
	for i := range s.Runs {
		there, ok := moved[i]
		if !ok {
			there = s.Runs[i].here()
		}
		last = max(last, there)
	}
	return last
}

// heldUp is a step of 11 tasks of 2.3 s, eight of which run at full pace, three
// on a worker that paces them down to a tenth.
func heldUp() Step {
	s := Step{Expected: 2300 * time.Millisecond}
	for i := range 11 {
		r := Run{Pace: 1, Left: 1500 * time.Millisecond, Lost: 800 * time.Millisecond}
		if i >= 8 {
			r = Run{Pace: 0.1, Left: 2 * time.Second, Lost: 300 * time.Millisecond}
		}
		s.Runs = append(s.Runs, r)
	}
	return s
}

func TestRunsPacedDownToATenthMove(t *testing.T) {
	s := heldUp()
	if before := end(s, nil); before < 8*time.Second {
		t.Fatalf("the step would end after %v without moves, want 8s and more", before)
	}
	moves := Decide(s, slots(5, 1), costs)
	if len(moves) != 3 {
		t.Fatalf("moves %+v, want the three runs at a tenth", moves)
	}
	if after := end(s, moves); after > 3500*time.Millisecond {
		t.Errorf("the step ends after %v, want within 3.5s", after)
	}
}

// Load: there are fewer slots than runs that hold up the step. The runs that would
// end last move; if a run among them can't be moved at all, none does.
func TestFewSlotsGoToTheRunsThatEndLast(t *testing.T) {
	s := heldUp()
	s.Runs[9].Pace = 0.08
	moves := Decide(s, slots(2, 1), costs)
	if len(moves) != 2 || moves[0].Run != 9 || moves[1].Run != 8 {
		t.Errorf("moves %+v, want runs 9 and 8", moves)
	}
	s.Runs[9].Fixed = true
	if moves := Decide(s, slots(5, 1), costs); len(moves) != 0 {
		t.Errorf("moves %+v beside a run that can't be moved and ends last", moves)
	}
}

func TestNoMoveWhileTheStepWaitsForAnother(t *testing.T) {
	s := heldUp()
	s.Floor = 8400 * time.Millisecond
	if moves := Decide(s, slots(5, 1), costs); len(moves) != 0 {
		t.Errorf("moves %+v though the step can't end sooner", moves)
	}
	s = heldUp()
	s.Runs[0] = Run{Pace: 1, Left: 20 * time.Second}
	if moves := Decide(s, slots(5, 1), costs); len(moves) != 0 {
		t.Errorf("moves %+v though a task that is long itself ends as late", moves)
	}
}

// Load: all workers are equally bad. Moves would throw work away for nothing.
func TestNoMoveBetweenWorkersThatAreEquallyBad(t *testing.T) {
	if moves := Decide(heldUp(), slots(5, 0.1), costs); len(moves) != 0 {
		t.Errorf("moves %+v to workers with the same pace", moves)
	}
	s := heldUp()
	for i := range s.Runs {
		s.Runs[i].Pace = 0.4
	}
	if moves := Decide(s, slots(11, 0.5), costs); len(moves) != 0 {
		t.Errorf("moves %+v to workers that are hardly better", moves)
	}
}

func TestRunThatIsNearlyDoneStays(t *testing.T) {
	s := Step{Expected: 2300 * time.Millisecond, Runs: []Run{{Pace: 0.3, Left: 300 * time.Millisecond}}}
	if moves := Decide(s, slots(1, 1), costs); len(moves) != 0 {
		t.Errorf("moves %+v for 0.3 s of work", moves)
	}
}

// Each move of a task asks for more: the same gain that pays for the first move
// doesn't pay for the fifth, but a large one does.
func TestWillingnessFallsWithEachMove(t *testing.T) {
	run := Run{Pace: 0.3, Left: 1500 * time.Millisecond}
	s := Step{Expected: 2300 * time.Millisecond, Runs: []Run{run}}
	if len(Decide(s, slots(1, 1), costs)) != 1 {
		t.Fatal("no first move for a gain of a second")
	}
	s.Runs[0].Moves = 4
	if len(Decide(s, slots(1, 1), costs)) != 0 {
		t.Error("a fifth move for a gain of a second")
	}
	s.Runs[0].Pace = 0.1
	if len(Decide(s, slots(1, 1), costs)) != 1 {
		t.Error("no fifth move for a gain of nearly 4 s")
	}
}

// A task without checkpoints begins anew: it moves only if all of its work takes
// less time elsewhere than the rest takes here.
func TestTaskWithoutCheckpointsCountsItsLostWork(t *testing.T) {
	s := Step{Expected: 3 * time.Second, Runs: []Run{{Pace: 0.35, Left: time.Second, Lost: 2 * time.Second}}}
	if len(Decide(s, slots(1, 1), costs)) != 0 {
		t.Error("2 s of work thrown away to save none")
	}
	s.Runs[0].Pace = 0
	if len(Decide(s, slots(1, 1), costs)) != 1 {
		t.Error("no move though the run would take over 6 s")
	}
}

// A run moves to where it presses on serving tasks only for a large gain.
func TestSlotsWhereTheRunPressesMustGainMore(t *testing.T) {
	presses := []Slot{{Pace: 1, Presses: true}}
	s := Step{Expected: 2300 * time.Millisecond, Runs: []Run{{Pace: 0.3, Left: 1500 * time.Millisecond}}}
	if len(Decide(s, presses, costs)) != 0 {
		t.Error("a move for a gain of a second")
	}
	s.Runs[0].Pace = 0.1
	if len(Decide(s, presses, costs)) != 1 {
		t.Error("no move for a gain of nearly 4 s")
	}
}
