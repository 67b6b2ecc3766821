package histogram

import (
	"testing"
	"time"
)

func TestQuantiles(t *testing.T) {
	var l Latency
	if s := l.Summary(); s.Count != 0 {
		t.Errorf("summary of an empty histogram: %+v", s)
	}
	for i := 1; i <= 100; i++ {
		l.Observe(time.Duration(i) * time.Millisecond)
	}
	l.Observe(-time.Second)
	l.Observe(time.Hour)
	s := l.Summary()
	if s.Count != 102 || s.P50 < 48 || s.P50 > 52 || s.P90 < 88 || s.P90 > 93 || s.Max < 290_000 {
		t.Errorf("got %+v", s)
	}
}
