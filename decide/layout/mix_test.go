package layout

import (
	"testing"
	"time"
)

func TestMix(t *testing.T) {
	together := [][]int{{0, 3, 0}, {3, 0, 0}, {0, 0, 0}}
	known := &Mixer{Presses: [][]float64{{1, 0, 0}, {1, 0, 0}, {0, 1, 0}}, Weights: []float64{1, 1, 1}, Together: together}
	unknown := &Mixer{Presses: [][]float64{{}, {}, {}}, Together: together}
	if alone, alike, other := known.Mix(0, nil), known.Mix(0, []int{1}), known.Mix(0, []int{2}); alone != 0 || alike != 0 || other <= 1 {
		t.Errorf("alone %.1f, with its like %.1f, with another kind %.1f", alone, alike, other)
	}
	if again, first := unknown.Mix(0, []int{1}), unknown.Mix(0, []int{2}); again >= first || again <= 0 {
		t.Errorf("a known combination %.1f, a new one %.1f", again, first)
	}
	// The work that waits decides: nothing is asked for that presses on image 2.
	known.Weights = []float64{1, 0, 1}
	if both, asked := known.Mix(0, []int{2}), (&Mixer{Presses: known.Presses, Weights: []float64{1, 1, 1}}).Mix(0, []int{2}); both >= asked {
		t.Errorf("%.1f if only one of two images is asked for, %.1f if both are", both, asked)
	}
}

func TestDemandFades(t *testing.T) {
	var d Demand
	d.Update(map[string]float64{"a": 8000, "b": 60}, 0)
	d.Update(map[string]float64{"c": 100}, demandHalfLife)
	if a := d.Of("a"); a < 3999 || a > 4001 {
		t.Errorf("%.0f after the half-life", a)
	}
	if len(d.Images()) != 2 || d.Of("c") != 100 || d.Of("b") != 0 {
		t.Errorf("images %v", d.Images())
	}
	d.Update(map[string]float64{"a": 9000}, demandHalfLife+time.Second)
	if d.Of("a") != 9000 {
		t.Errorf("%.0f remembered of a present demand of 9000", d.Of("a"))
	}
}
