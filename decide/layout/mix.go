package layout

// Mixer measures how little a serving image suits the images of a worker.
type Mixer struct {
	// Presses and Weights are as Fleet.Presses and Fleet.Demand.
	Presses [][]float64
	Weights []float64
	// Together counts, for two serving images, the workers that have both.
	Together [][]int
}

const (
	// mixScale makes Mix 1 for images that differ in half of the filling work.
	mixScale = 5.0
	// unknownMix is the mix of two images of whose pairs nothing is known, and
	// togetherMix that of two such images that share a worker already. While
	// nothing is known, the same few combinations are formed again: later moves are
	// then of whole groups, and some workers hold no more than two kinds.
	unknownMix  = 3.0
	togetherMix = 2.0
)

// Mix is the part of the filling work, by its demand, that could run beside the
// worker's images or beside the new one, but not beside both, times mixScale and
// at most 1 for each image of the worker. on lists the worker's images without
// the new one.
func (m *Mixer) Mix(image int, on []int) float64 {
	if len(on) == 0 {
		return 0
	}
	total, differing := 0.0, 0.0
	for i, q := range m.Weights {
		open := 1.0
		for _, other := range on {
			open *= 1 - m.Presses[other][i]
		}
		own := 1 - m.Presses[image][i]
		total += q
		differing += q * (open*(1-own) + own*(1-open))
	}
	if total > 0 {
		return mixScale * differing / total
	}
	sum := 0.0
	for _, other := range on {
		if m.Together[image][other] > 0 {
			sum += togetherMix
			continue
		}
		sum += unknownMix
	}
	return sum
}
