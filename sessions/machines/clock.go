package machines

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// minClockStart and maxClockStart bound what a machine's steady clock reads
	// when a simulation begins.
	minClockStart = time.Second
	maxClockStart = 30 * 24 * time.Hour
)

// steadyClock is the steady clock of a machine, which all its processes read.
// Clocks of different machines have nothing in common but their rate.
type steadyClock struct {
	began time.Time
	start time.Duration
}

// newSteadyClock returns a clock whose start is drawn from rng. The starts have
// all orders of magnitude: of two machines one may have just started, and the
// other weeks ago.
func newSteadyClock(rng *rand.Rand) steadyClock {
	return steadyClock{began: time.Now(), start: drawClockStart(rng)}
}

func drawClockStart(rng *rand.Rand) time.Duration {
	return time.Duration(float64(minClockStart) * math.Pow(float64(maxClockStart/minClockStart), rng.Float64()))
}

// now reads the clock.
func (c steadyClock) now() time.Duration { return c.start + time.Since(c.began) }
