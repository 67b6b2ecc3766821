package machine

import (
	"runtime"
	"runtime/metrics"
	"sync/atomic"
	"time"
)

const (
	// schedulerMemoryShare is the part of the process's memory up to which the
	// scheduler takes jobs; what the garbage collector has found to be in use counts.
	schedulerMemoryShare = 0.6
	// scarceMemoryShare is the part of that below which it matters how old the
	// collector's finding is.
	scarceMemoryShare = 0.25
	// liveMetric is the memory in bytes that was in use at the last collection.
	liveMetric = "/gc/heap/live:bytes"
	// collectInterval is the least time between two collections for a newer finding.
	collectInterval = 10 * time.Second
)

// memoryGauge measures the memory that further jobs may take.
type memoryGauge struct {
	limit int64
	// collectedAt is when the last collection for a newer finding began, by the clock
	// since the machine's start; 0 for never.
	collectedAt atomic.Int64
}

func newMemoryGauge(memory int64) *memoryGauge {
	return &memoryGauge{limit: int64(schedulerMemoryShare * float64(memory))}
}

// free returns the memory in bytes that further jobs may take.
//
// Failure guarded against: a collection in the middle of a crowd finds most of the
// memory in use, the crowd goes, and jobs are refused until the next collection,
// which may be minutes away. So a low finding is followed by a newer one.
func (g *memoryGauge) free() int64 {
	samples := []metrics.Sample{{Name: liveMetric}}
	metrics.Read(samples)
	free := g.limit - int64(samples[0].Value.Uint64())
	if float64(free) < scarceMemoryShare*float64(g.limit) {
		g.collect()
	}
	return free
}

// collect starts a collection unless one was started within collectInterval.
func (g *memoryGauge) collect() {
	now, last := sinceBoot(), g.collectedAt.Load()
	if last != 0 && now-time.Duration(last) < collectInterval {
		return
	}
	if g.collectedAt.CompareAndSwap(last, int64(now)) {
		go runtime.GC()
	}
}
