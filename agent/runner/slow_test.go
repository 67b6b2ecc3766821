package runner

import (
	"testing"
	"time"
)

func TestStraggles(t *testing.T) {
	cases := []struct {
		name     string
		estimate time.Duration
		first    int
		now      int
		watched  time.Duration
		want     bool
	}{
		{"as estimated", time.Second, 0, 90, 900 * time.Millisecond, false},
		{"twice as long", time.Second, 0, 45, 900 * time.Millisecond, false},
		{"six times as long", time.Second, 0, 15, 900 * time.Millisecond, true},
		{"stands still", time.Second, 30, 30, 900 * time.Millisecond, true},
		{"not watched for long enough", time.Second, 0, 0, 500 * time.Millisecond, false},
		{"resumed far on", time.Second, 80, 99, 900 * time.Millisecond, false},
		{"long work", time.Minute, 0, 1, time.Second, false},
		{"no estimate of its own", 0, 0, 0, time.Minute, false},
	}
	for _, c := range cases {
		x := &run{estimate: c.estimate, progress: c.first}
		begun := time.Hour
		if x.straggles(begun) {
			t.Errorf("%s: slow at the first reading", c.name)
		}
		x.progress = c.now
		if got := x.straggles(begun + c.watched); got != c.want {
			t.Errorf("%s: slow %t, want %t", c.name, got, c.want)
		}
	}
}
