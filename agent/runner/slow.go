package runner

import "time"

const (
	// slowFactor is how many times longer than estimated a run has to look
	// before it is told as slow: estimates are off by a factor of two now and
	// then, and a failing worker takes six times as long or for ever.
	slowFactor = 3.5
	// slowLook is how long a run is watched for that at least. Listings come
	// each half second, and show whole per cents.
	slowLook = 700 * time.Millisecond
)

// straggles takes note of a run's progress and reports whether it is far
// slower than its estimate.
func (x *run) straggles(now time.Duration) bool {
	if x.estimate <= 0 || x.stopping {
		return false
	}
	if x.firstAt == 0 {
		x.firstAt, x.firstProgress = now, x.progress
		return false
	}
	watched := now - x.firstAt
	if watched < slowLook {
		return false
	}
	expected := min(float64(100-x.firstProgress), 100*watched.Seconds()/x.estimate.Seconds())
	return float64(x.progress-x.firstProgress) < expected/slowFactor
}
