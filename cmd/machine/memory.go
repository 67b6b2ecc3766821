package machine

import "runtime/metrics"

const (
	// schedulerMemoryShare is the part of the process's memory up to which the
	// scheduler takes jobs; what the garbage collector has found to be in use counts.
	schedulerMemoryShare = 0.6
	// liveMetric is the memory in bytes that was in use at the last collection.
	liveMetric = "/gc/heap/live:bytes"
)

// freeMemory returns the memory in bytes that further jobs may take.
func (p *program) freeMemory() int64 {
	samples := []metrics.Sample{{Name: liveMetric}}
	metrics.Read(samples)
	return int64(schedulerMemoryShare*float64(p.settings.MemoryBytes)) - int64(samples[0].Value.Uint64())
}
