package pressure

import (
	"math/rand/v2"
	"testing"
	"time"
)

// observe adds ten samples, which suffice to learn the weight of the pair.
func observe(m *Model, serving, filling string, weight float64) {
	for range 10 {
		m.Observe(Sample{Serving: serving, Load: 0.1 * weight, Used: map[string]float64{filling: 0.1}, Count: 1})
	}
}

// A new filling image first runs beside one serving image only. Its weights
// beside the others must be estimated. Without estimates, it is placed beside
// serving images on which it presses, and slowed where it presses on none.
func TestEstimatesCarryOverToSimilarServingImages(t *testing.T) {
	var m Model
	for _, a := range []string{"a1", "a2"} {
		observe(&m, a, "f1", 2)
		observe(&m, a, "f2", 0)
	}
	observe(&m, "b1", "f1", 0)
	observe(&m, "b1", "f2", 1.5)
	observe(&m, "a1", "new", 1.8)
	m.Solve(time.Second)
	if w := m.Weight(Pair{"a2", "new"}); !w.Known || w.Value < 1 {
		t.Errorf("beside an image of the same kind: %+v", w)
	}
	if w := m.Weight(Pair{"b1", "new"}); !w.Known || w.Value > 0.4 {
		t.Errorf("beside an image of another kind: %+v", w)
	}
	if w := m.Weight(Pair{"c1", "new"}); w.Known {
		t.Errorf("beside an image without samples: %+v", w)
	}
	observe(&m, "b1", "new", 1.8)
	m.Solve(time.Second)
	if w := m.Weight(Pair{"b1", "new"}); w.Value < 1.4 {
		t.Errorf("samples of the pair itself do not outweigh the estimate from other pairs: %+v", w)
	}
}

// The difference of images on which no known filling image presses is unknown.
func TestDifferenceNeedsPressing(t *testing.T) {
	var m Model
	observe(&m, "a", "f1", 0)
	observe(&m, "b", "f1", 0)
	m.Solve(time.Second)
	if _, known := m.Difference("a", "b"); known {
		t.Error("images without a known pressing image are compared")
	}
}

// Samples decay: a pair that has changed is relearnt within a minute.
func TestChangedPairsAreRelearnt(t *testing.T) {
	var m Model
	observe(&m, "a", "f", 2)
	m.Solve(time.Second)
	for range 12 {
		for range 2 {
			m.Observe(Sample{Serving: "a", Used: map[string]float64{"f": 0.1}, Count: 1})
		}
		m.Solve(5 * time.Second)
	}
	if w := m.Weight(Pair{"a", "f"}); w.Value > 0.6 {
		t.Errorf("a minute after the pair changed: %+v", w)
	}
}

// Exported estimates restore the weight of every pair after a restart. A damaged
// record must not give a weight above maxWeight.
func TestImportRestoresExportedWeights(t *testing.T) {
	var before, after Model
	observe(&before, "a", "f1", 2)
	observe(&before, "a", "f2", 0)
	observe(&before, "b", "f1", 0.5)
	before.Solve(time.Second)
	after.Import(before.Export())
	for _, l := range before.Export() {
		w, o := before.Weight(l.Pair), after.Weight(l.Pair)
		if w.Known != o.Known || w.Value-o.Value > 0.3 || o.Value-w.Value > 0.3 {
			t.Errorf("%v: %+v before, %+v after", l.Pair, w, o)
		}
	}
	after.Import([]PairEstimate{{Pair: Pair{"a", "f1"}, Value: -1, Evidence: 1e9}, {Pair: Pair{"c", "f1"}, Value: 1e9, Evidence: 1e9}})
	if w := after.Weight(Pair{"c", "f1"}); w.Value > maxWeight {
		t.Errorf("a damaged record gives %+v", w)
	}
}

// Nine filling images have each run beside three of five serving images. Pairs
// with the other two must be inferred, few of them wrongly. The cases differ in
// the number of kinds of the five serving images.
func TestMostPairsAreInferredFromSome(t *testing.T) {
	const serving, filling, beside = 5, 9, 3
	scenarios := []struct {
		name  string
		kinds int
		// right is the least fraction of all pairs that must be classified
		// correctly, wrong the largest that may be misclassified. Three fifths
		// of the pairs have samples of their own.
		right, wrong float64
	}{{"two kinds", 2, 0.7, 0.06}, {"three kinds", 3, 0.6, 0.06}, {"all alike", 1, 0.7, 0.06}, {"all different", 5, 0.5, 0.06}}
	for _, scenario := range scenarios {
		right, wrong := 0, 0
		for seed := range uint64(40) {
			rng := rand.New(rand.NewPCG(seed, 9))
			weight := func(s, f int) float64 {
				// One filling image in three presses on none.
				if f%3 < 2 && (f/3+f)%scenario.kinds == s%scenario.kinds {
					return 0.9 + 0.15*float64(f)
				}
				return 0.1
			}
			var m Model
			for f := range filling {
				for _, s := range rng.Perm(serving)[:beside] {
					for range 3 {
						m.Observe(Sample{
							Serving: string(rune('a' + s)), Count: 0.8, Used: map[string]float64{string(rune('m' + f)): 0.12},
							Load: 0.12*weight(s, f) + 0.05*rng.NormFloat64(),
						})
					}
				}
			}
			m.Solve(time.Second)
			for s := range serving {
				for f := range filling {
					w := m.Weight(Pair{string(rune('a' + s)), string(rune('m' + f))})
					switch {
					case !w.Known:
					case (w.Value > pressThreshold) == (weight(s, f) > pressThreshold):
						right++
					default:
						wrong++
					}
				}
			}
		}
		all := float64(40 * serving * filling)
		if float64(right) < scenario.right*all || float64(wrong) > scenario.wrong*all {
			t.Errorf("%s: %.2f of the pairs classified rightly, %.2f wrongly", scenario.name, float64(right)/all, float64(wrong)/all)
		} else {
			t.Logf("%s: %.2f of the pairs classified rightly, %.2f wrongly", scenario.name, float64(right)/all, float64(wrong)/all)
		}
	}
}
