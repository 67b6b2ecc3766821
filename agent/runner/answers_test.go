package runner

import (
	"testing"
	"time"
)

// A worker answers within two milliseconds and loses some answers: the first
// tries miss each after the least time, later ones wait longer, since the worker
// may have turned slow.
func TestLaterTriesWaitLonger(t *testing.T) {
	var a answerTimes
	for range 20 {
		a.Observe(2 * time.Millisecond)
	}
	if a.timeout(1) != leastAnswer || a.timeout(firstTries) != leastAnswer || a.timeout(firstTries+1) != 2*leastAnswer || a.timeout(100) != laterAnswer {
		t.Errorf("%v, %v, %v and at last %v", a.timeout(1), a.timeout(firstTries), a.timeout(firstTries+1), a.timeout(100))
	}
}
