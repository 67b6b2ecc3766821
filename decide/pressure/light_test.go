package pressure

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
)

// Guards against: serving tasks exceed their targets beside filling tasks of
// small weight that together use half a worker. It comes about when the weight
// is taken as 0, because the load of one pair is below the noise of a sample.
func TestLightWeightIsFittedToAllPairs(t *testing.T) {
	for _, light := range []float64{0.05, 0.15, 0.3} {
		rng := rand.New(rand.NewPCG(1, 2))
		var m Model
		weight := func(serving, filling int) float64 {
			if (serving+filling)%4 == 0 {
				return 2.5
			}
			return light
		}
		for range 40 {
			for serving := range 6 {
				s := Sample{Serving: fmt.Sprintf("s%d", serving), Used: map[string]float64{}, Count: 1}
				for range 3 {
					filling := rng.IntN(12)
					used := (rng.Float64() - 0.5) * 0.4
					s.Used[fmt.Sprintf("f%d", filling)] += used
					s.Load += used * weight(serving, filling)
				}
				s.Load += rng.NormFloat64() * sampleNoise
				m.Observe(s)
			}
			m.Solve(0)
		}
		if got := m.Light(); math.Abs(got-light) > 0.1 {
			t.Errorf("light weight %.2f, want about %.2f", got, light)
		}
	}
}

func TestLightWeightBeforeAnySample(t *testing.T) {
	var m Model
	if got := m.Light(); got != priorLight {
		t.Errorf("%.2f", got)
	}
	m.Solve(0)
	if got := m.Light(); got != priorLight {
		t.Errorf("%.2f after Solve without samples", got)
	}
}
