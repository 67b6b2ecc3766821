package forecast

import (
	"testing"
	"time"
)

func TestLargerJobsWaitLonger(t *testing.T) {
	b := Backlog{Cores: 10, Steps: []BacklogStep{{UpTo: 20, Ahead: 0}, {UpTo: 100, Ahead: 50}, {UpTo: 500, Ahead: 400}}}
	for work, want := range map[float64]time.Duration{5: 0, 20: 0, 21: 5 * time.Second, 300: 40 * time.Second, 900: 40 * time.Second} {
		if got, ok := b.Wait(work); !ok || got != want {
			t.Errorf("a job of %v core-seconds waits %v (%t), want %v", work, got, ok, want)
		}
	}
	if _, ok := (Backlog{}).Wait(1); ok {
		t.Error("a wait is known without room")
	}
}
