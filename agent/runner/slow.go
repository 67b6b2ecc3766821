package runner

import "time"

const (
	// slowFactor is the ratio of the actual to the estimated run time above
	// which a run is reported as slow: estimates are sometimes off by a factor
	// of two, and a failing worker takes six times as long or never finishes.
	slowFactor = 3.5
	// minSlowWatch is the least time for which progress is measured. Listings
	// come every half second and show whole per cents.
	minSlowWatch = 700 * time.Millisecond
)

// straggles records a run's first progress and reports whether the progress
// since then is far slower than estimated.
func (x *run) straggles(now time.Duration) bool {
	if x.estimate <= 0 || x.stopping {
		return false
	}
	if x.firstAt == 0 {
		x.firstAt, x.firstProgress = now, x.progress
		return false
	}
	watched := now - x.firstAt
	if watched < minSlowWatch {
		return false
	}
	expected := min(float64(100-x.firstProgress), 100*watched.Seconds()/x.estimate.Seconds())
	return float64(x.progress-x.firstProgress) < expected/slowFactor
}
