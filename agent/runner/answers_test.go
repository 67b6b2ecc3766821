package runner

import (
	"testing"
	"time"
)

// A worker answers within two milliseconds and some answers are lost: the first
// tries time out after the shortest time, later ones wait longer, since the
// worker may have become slow.
func TestLaterTriesWaitLonger(t *testing.T) {
	var a answerTimes
	for range 20 {
		a.Observe(2 * time.Millisecond)
	}
	if a.timeout(1) != minTimeout || a.timeout(firstTries) != minTimeout || a.timeout(firstTries+1) != 2*minTimeout || a.timeout(100) != maxTimeout {
		t.Errorf("%v, %v, %v and at last %v", a.timeout(1), a.timeout(firstTries), a.timeout(firstTries+1), a.timeout(100))
	}
}
