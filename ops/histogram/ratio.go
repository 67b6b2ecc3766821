package histogram

import "time"

// Ratio is a histogram of ratios from 0.001 to 300,000. The zero value is ready
// for use.
type Ratio struct{ l Latency }

// Observe records a ratio.
func (r *Ratio) Observe(x float64) { r.l.Observe(time.Duration(x * float64(time.Millisecond))) }

// Summary returns the quantiles so far.
func (r *Ratio) Summary() Summary { return r.l.Summary() }
