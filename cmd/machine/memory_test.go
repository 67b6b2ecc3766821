package machine

import (
	"runtime"
	"testing"
	"time"
)

// Guards against jobs that are refused long after the memory is free again.
func TestLowFindingIsFollowedByANewerOne(t *testing.T) {
	const ballast = 64 << 20
	held := make([]byte, ballast)
	runtime.GC()
	runtime.KeepAlive(held)
	g := newMemoryGauge(ballast)
	if free := g.free(); free > 0 {
		t.Fatalf("%d bytes are free beside %d in use", free, len(held))
	}
	held = nil
	for end := time.Now().Add(collectInterval / 2); g.free() < g.limit/2; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes of %d are free although nothing is in use", g.free(), g.limit)
		}
	}
}
