package rtt

import (
	"testing"
	"time"
)

// While a peer answers within two milliseconds, the time-out is at its lower
// bound. When the peer becomes slow, one slow answer raises the time-out above
// that answer's time, up to the upper bound.
func TestTimeoutFollowsAnswerTimes(t *testing.T) {
	const least, most = 50 * time.Millisecond, 150 * time.Millisecond
	var e Estimator
	if got := e.Timeout(least, most); got != most {
		t.Errorf("%v before any answer, want %v", got, most)
	}
	for range 20 {
		e.Observe(2 * time.Millisecond)
	}
	if got := e.Timeout(least, most); got != least {
		t.Errorf("%v for a quick peer, want %v", got, least)
	}
	const slow = 70 * time.Millisecond
	e.Observe(slow)
	if got := e.Timeout(least, most); got <= slow {
		t.Errorf("%v after an answer that took %v", got, slow)
	}
	for range 20 {
		e.Observe(time.Second)
	}
	if got := e.Timeout(least, most); got != most {
		t.Errorf("%v for a peer that takes a second, want %v", got, most)
	}
}
