package order

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// logNormal draws a time about mean.
func logNormal(rng *rand.Rand, mean, spread float64) float64 {
	return mean * math.Exp(spread*rng.NormFloat64())
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Estimates that say next to nothing lose their weight after a few steps, and
// estimates that can be trusted keep it, whatever unit both are off by.
func TestDurationsAreLearnt(t *testing.T) {
	cases := []struct {
		name string
		// off is the scatter of the estimates about the true times, bias how
		// many times too high they are.
		off, bias float64
	}{
		{"useless estimates", 1.0, 0.6},
		{"good estimates", 0.1, 1},
		{"good estimates in another unit", 0.1, 0.1},
	}
	for _, c := range cases {
		rng := rand.New(rand.NewPCG(1, 2))
		var d Durations
		draw := func() (took, estimate time.Duration) {
			x := logNormal(rng, 2.7, 0.5)
			return seconds(x), seconds(logNormal(rng, x*c.bias, c.off))
		}
		for range 40 {
			took, estimate := draw()
			for range 8 {
				d.Observe("q", estimate, seconds(logNormal(rng, took.Seconds(), 0.15)), 8)
			}
		}
		var errors []float64
		for range 400 {
			took, estimate := draw()
			errors = append(errors, math.Abs(math.Log(d.Expect("q", estimate).Seconds()/took.Seconds())))
		}
		slices.Sort(errors)
		// Half of all guesses by the mean alone are off by more than 0.34.
		if limit := min(0.36, 1.3*c.off); errors[200] > limit {
			t.Errorf("%s: half of what is expected is off by more than %.2f, want %.2f", c.name, errors[200], limit)
		}
	}
}

func TestDurationsWithoutKnowledge(t *testing.T) {
	var d Durations
	if got := d.Expect("q", 3*time.Second); got != 3*time.Second {
		t.Errorf("nothing known: %v", got)
	}
	d.Observe("q", 0, time.Second, 1)
	d.Observe("q", time.Second, 0, 1)
	d.Observe("other", time.Second, time.Minute, 1)
	if got := d.Expect("q", 3*time.Second); got != 3*time.Second {
		t.Errorf("nothing known of this queue: %v", got)
	}
	if got := d.Expect("q", 0); got != 0 {
		t.Errorf("no estimate: %v", got)
	}
}

// Odd observations must not lead to times that can't be.
func TestDurationsStayInRange(t *testing.T) {
	rng := rand.New(rand.NewPCG(3, 4))
	for range 200 {
		var d Durations
		for range 1 + rng.IntN(30) {
			d.Observe("q", time.Duration(rng.Int64N(int64(time.Hour))), time.Duration(rng.Int64N(int64(time.Hour))), 1+rng.IntN(40))
		}
		if got := d.Expect("q", time.Duration(1+rng.Int64N(int64(time.Hour)))); got <= 0 || got > 100*time.Hour {
			t.Fatalf("expects %v", got)
		}
	}
}

func TestKnownTimesOfAStepOutweighWhatWasExpected(t *testing.T) {
	if got := Known(time.Second, 0, 0); got != time.Second {
		t.Errorf("nothing known: %v", got)
	}
	if got := Known(time.Second, 4*time.Second, 1); got < 3*time.Second || got > 4*time.Second {
		t.Errorf("one task of 4 s: %v", got)
	}
}
