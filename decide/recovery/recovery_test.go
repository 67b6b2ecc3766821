package recovery

import (
	"fmt"
	"testing"
	"time"
)

// The load answered: all of some 70 machines lose power, and return within a few
// tens of milliseconds, each with the lasting tasks that it had.
func TestTasksReturnToTheirMachinesAfterAMassLoss(t *testing.T) {
	const now = time.Minute
	var workers []Worker
	for i := range 9 {
		workers = append(workers, Worker{Machine: fmt.Sprint(i), ReplacedAt: now - 20*time.Millisecond})
	}
	f := NewFleet(workers, now)
	if !f.Mass() {
		t.Fatal("the loss of all machines is not seen")
	}
	for i := range workers {
		if got := f.Home(Lost{Machine: fmt.Sprint(i), At: now}); got != i {
			t.Errorf("task of machine %d returns to worker %d", i, got)
		}
	}
	if got := f.Home(Lost{Machine: "away", At: now}); got != -1 {
		t.Errorf("task of a machine that is away returns to worker %d", got)
	}
	if got := f.Home(Lost{Machine: "1", At: now - time.Minute}); got != -1 {
		t.Errorf("task that was lost a minute ago returns to worker %d", got)
	}
}

// Failure guarded against: one machine crashes, and the tasks that were lost with
// it return there to be lost again.
func TestTasksOfOneCrashedMachineRunElsewhere(t *testing.T) {
	const now = time.Minute
	workers := []Worker{{Machine: "0", ReplacedAt: now}, {Machine: "1"}, {Machine: "2"}, {Machine: "3", ReplacedAt: time.Second}}
	f := NewFleet(workers, now)
	if f.Mass() || f.Home(Lost{Machine: "0", At: now}) != -1 {
		t.Error("the loss of one machine counts as that of most")
	}
	two := NewFleet([]Worker{{Machine: "0", ReplacedAt: now}, {Machine: "1"}}, now)
	if two.Mass() {
		t.Error("the loss of one of two machines counts as that of most")
	}
}
