package rtt

import (
	"testing"
	"time"
)

// A peer answers within two milliseconds: a lost answer is missed after the
// least time. When the peer turns slow, its answers are waited for again after
// one that arrived, and never for longer than the most.
func TestTimeoutFollowsTheAnswers(t *testing.T) {
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
