package runner

import (
	"testing"
	"time"
)

// A worker answers within two milliseconds and loses some answers: each is
// missed after the least time. When its machine turns slow, and answers take
// longer than that, they are waited for again after a few calls.
func TestTimeoutsFollowTheAnswers(t *testing.T) {
	var a answerTimes
	if a.timeout(1) != firstAnswer {
		t.Errorf("%v before any answer, want %v", a.timeout(1), firstAnswer)
	}
	for range 20 {
		a.observe(2 * time.Millisecond)
	}
	if a.timeout(1) != leastAnswer || a.timeout(firstTries) != leastAnswer || a.timeout(firstTries+1) != 2*leastAnswer || a.timeout(100) != laterAnswer {
		t.Errorf("%v, %v, %v and at last %v at a quick worker", a.timeout(1), a.timeout(firstTries), a.timeout(firstTries+1), a.timeout(100))
	}
	const slow = 70 * time.Millisecond
	a.observe(slow)
	if a.timeout(1) <= slow {
		t.Errorf("%v after an answer that took %v", a.timeout(1), slow)
	}
	for range 20 {
		a.observe(time.Second)
	}
	if a.timeout(1) != firstAnswer {
		t.Errorf("%v at a worker that takes a second", a.timeout(1))
	}
}
