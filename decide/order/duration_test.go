package order

import (
	"testing"
	"time"
)

func TestMeasuredDurationsOutweighTheEstimate(t *testing.T) {
	if got := CombineDurations(time.Second, 0, 0); got != time.Second {
		t.Errorf("no task measured: %v", got)
	}
	if got := CombineDurations(time.Second, 4*time.Second, 1); got < 3*time.Second || got > 4*time.Second {
		t.Errorf("one task of 4 s: %v", got)
	}
}
