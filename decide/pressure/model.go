// Package pressure learns how much filling work slows the serving tasks
// beside it, and paces the filling work by what it has learnt.
//
// A serving task's tail latency is taken as base/(1-load), as of a queue. Its
// load is its own, plus, for each image of filling tasks beside it, the share
// of the worker's processor that they use times a weight of the pair of
// images. Most pairs have a weight of nothing, a few of several units: in
// recorded days about a third of them, between 1 and 4.
//
// The package interference of the urgent path learns inflation by running
// task and band of load; here the work used is measured, may be paced, and the
// tail is not linear in it.
package pressure

// Tuning of the learner.
const (
	// priorWeight is the weight of a pair that nothing is known of: about the
	// mean over the pairs of recorded days.
	priorWeight = 0.7
	// priorEvidence is how much the prior counts, in squared shares of a
	// worker: one sample of a typical task (a tenth of a worker) is 0.01.
	priorEvidence = 0.015
	// memory is the part of the evidence that one more sample leaves: the
	// amounts change within seconds.
	memory = 0.993
	// sweeps of the coordinate descent at each sample; it begins at the last
	// solution.
	sweeps = 4
	// knownEvidence is the evidence from which a pair counts as known.
	knownEvidence = 0.02
	// maxImages bounds the images of filling tasks that are told apart.
	maxImages = 64
	// highestWeight bounds what a run of odd samples can do.
	highestWeight = 8.0
)

// Pair is one pair of images.
type Pair struct {
	Serving string
	Filling string
}

// Weight is what is known of a pair.
type Weight struct {
	// Value is the load on the serving task for a whole worker's worth of
	// work of the filling image.
	Value float64
	// Known is false while the value is mostly the prior.
	Known bool
}

// Sample is one observation of a serving task.
type Sample struct {
	Serving string
	// Extra is the load beyond the task's own, as far as it can be told.
	Extra float64
	// Used is the share of the worker that each filling image used.
	Used map[string]float64
}

// Model is the weights of all pairs. The zero value is ready for use; it is
// not safe for concurrent use.
type Model struct {
	serving map[string]*equations
	// version counts samples.
	version uint64
}

// equations are the normal equations of one serving image.
type equations struct {
	index   map[string]int
	squares [][]float64
	sums    []float64
	weights []float64
}

// Version rises with each sample.
func (m *Model) Version() uint64 { return m.version }

// Observe learns from one sample.
func (m *Model) Observe(s Sample) {
	if len(s.Used) == 0 {
		return
	}
	if m.serving == nil {
		m.serving = map[string]*equations{}
	}
	e := m.serving[s.Serving]
	if e == nil {
		e = &equations{index: map[string]int{}}
		m.serving[s.Serving] = e
	}
	m.version++
	e.add(s)
	for range sweeps {
		e.sweep()
	}
}

func (e *equations) add(s Sample) {
	for image := range s.Used {
		e.indexOf(image)
	}
	for i := range e.squares {
		e.sums[i] *= memory
		for k := range e.squares[i] {
			e.squares[i][k] *= memory
		}
	}
	for a, x := range s.Used {
		i, ok := e.index[a]
		if !ok {
			continue
		}
		e.sums[i] += x * s.Extra
		for b, y := range s.Used {
			if k, ok := e.index[b]; ok {
				e.squares[i][k] += x * y
			}
		}
	}
}

func (e *equations) indexOf(image string) {
	if _, ok := e.index[image]; ok || len(e.index) >= maxImages {
		return
	}
	e.index[image] = len(e.weights)
	e.weights = append(e.weights, priorWeight)
	e.sums = append(e.sums, 0)
	for i := range e.squares {
		e.squares[i] = append(e.squares[i], 0)
	}
	e.squares = append(e.squares, make([]float64, len(e.weights)))
}

// sweep improves each weight in turn; none becomes negative.
func (e *equations) sweep() {
	for i := range e.weights {
		rest := e.sums[i] + priorEvidence*priorWeight
		for k, w := range e.weights {
			if k != i {
				rest -= e.squares[i][k] * w
			}
		}
		e.weights[i] = min(highestWeight, max(0, rest/(e.squares[i][i]+priorEvidence)))
	}
}

// Weight returns what is known of a pair.
func (m *Model) Weight(p Pair) Weight {
	e := m.serving[p.Serving]
	if e == nil {
		return Weight{Value: priorWeight}
	}
	i, ok := e.index[p.Filling]
	if !ok {
		return Weight{Value: priorWeight}
	}
	return Weight{Value: e.weights[i], Known: e.squares[i][i] >= knownEvidence}
}

// Weights returns all pairs of a serving image of which something is known.
func (m *Model) Weights(serving string) map[string]Weight {
	e := m.serving[serving]
	if e == nil {
		return nil
	}
	all := make(map[string]Weight, len(e.index))
	for image := range e.index {
		all[image] = m.Weight(Pair{Serving: serving, Filling: image})
	}
	return all
}

const (
	// alike is the difference of two serving images of which too little is
	// known: they are left where they are.
	alike = 0
	// compared is the least number of filling images that must be known of
	// both.
	compared = 3
)

// Difference tells how differently two serving images are pressed on, from 0
// (by the same filling images) to 1 (by others altogether).
func (m *Model) Difference(a, b string) float64 {
	if a == b {
		return 0
	}
	apart, both := 0.0, 0.0
	n := 0
	for image, w := range m.Weights(a) {
		o := m.Weight(Pair{Serving: b, Filling: image})
		if !w.Known || !o.Known {
			continue
		}
		n++
		apart += max(w.Value, o.Value) - min(w.Value, o.Value)
		both += max(w.Value, o.Value)
	}
	if n < compared || both < priorWeight {
		return alike
	}
	return apart / both
}
