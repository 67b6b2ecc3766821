// Package histogram records latencies and returns their quantiles for the
// counters of a process.
package histogram

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is recorded for any longer latency.
	maxLatency = 5 * time.Minute
	// digits is the precision, in significant digits.
	digits = 2
)

// Latency is a histogram of latencies in microseconds. The zero value is
// ready for use.
type Latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Observe records d, limited to maxLatency.
func (l *Latency) Observe(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.h == nil {
		l.h = hdrhistogram.New(1, maxLatency.Microseconds(), digits)
	}
	_ = l.h.RecordValue(min(max(1, d.Microseconds()), maxLatency.Microseconds())) // the value is within the histogram's range
}

// Summary holds the quantiles of a histogram; times are in milliseconds.
type Summary struct {
	Count                    int64
	P50, P90, P99, P999, Max float64
}

// Summary returns the quantiles so far.
func (l *Latency) Summary() Summary {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.h == nil {
		return Summary{}
	}
	ms := func(q float64) float64 { return float64(l.h.ValueAtQuantile(q)) / 1000 }
	return Summary{Count: l.h.TotalCount(), P50: ms(50), P90: ms(90), P99: ms(99), P999: ms(99.9), Max: float64(l.h.Max()) / 1000}
}
