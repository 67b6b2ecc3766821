// Package pressure learns how much filling work slows the serving tasks
// beside it, and paces the filling work by what it has learnt.
//
// A serving task's tail latency is taken as base/(1-load), as of a queue. Its
// load is its own, plus, for each image of filling tasks beside it, the share
// of the worker's processor that they use times a weight of the pair of
// images. Most pairs have a weight of nothing, a few of several units.
//
// The package interference of the urgent path learns inflation by running
// task and band of load; here the work used is measured, may be paced, and the
// tail is not linear in it.
package pressure

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"
)

// Tuning of the learner.
const (
	// halfLife is the time after which a sample counts half: pairs keep their
	// weights for tens of seconds.
	halfLife = 60 * time.Second
	// sweeps of the coordinate descent at each solution; it begins at the
	// last one.
	sweeps = 2
	// maxImages bounds the images of filling tasks that are told apart.
	maxImages = 64
	// highestWeight bounds what a run of odd samples can leave behind.
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
	// Known is false while it is not sure whether the pair presses.
	Known bool
}

// Sample compares a serving job with itself on another worker, or a moment
// earlier: its own load is the same in both, so what differs is the filling
// work beside it.
type Sample struct {
	Serving string
	// Load is the difference of the loads.
	Load float64
	// Used is the difference of the shares of the worker that each filling
	// image used.
	Used map[string]float64
	// Count is how much the sample counts, 1 for one of its own.
	Count float64
}

// Model is the weights of all pairs. The zero value is ready for use; it is
// not safe for concurrent use.
type Model struct {
	serving map[string]*equations
	// version counts solutions.
	version uint64
	// light is the weight of pairs that do not press, all taken together.
	light float64
	// differences are those that were asked for since the last solution.
	differences map[[2]string]difference
}

// equations are the normal equations of one serving image, and what follows
// from them.
type equations struct {
	// images are the filling images, index their places.
	images  []string
	index   map[string]int
	squares [][]float64
	sums    []float64
	pairs   []estimate
}

// estimate is what is known of one pair.
type estimate struct {
	// belief is what its own samples say, alone the weight by them, and fitted
	// the weight that fits them best, however unlikely it is.
	belief belief
	alone  Weight
	fitted float64
	// joined is the weight by all samples, also those of the filling image
	// beside other serving images; odds is what it is worked out from.
	joined Weight
	odds   float64
	// likelihood is the belief's, as join uses it many times.
	likelihood likelihood
}

func newEstimate() estimate {
	unknown := Weight{Value: priorWeight}
	return estimate{belief: believe(0, 0), alone: unknown, fitted: priorWeight, joined: unknown}
}

// Version rises with each solution.
func (m *Model) Version() uint64 { return m.version }

// Observe takes a sample; it counts from the next Solve on.
func (m *Model) Observe(s Sample) {
	if len(s.Used) == 0 || s.Count <= 0 {
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
	e.add(s)
}

// Solve works the weights out anew, elapsed after the last time.
func (m *Model) Solve(elapsed time.Duration) {
	left := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	for _, e := range m.serving {
		e.fade(left)
		for range sweeps {
			e.sweep()
		}
	}
	m.join()
	m.light = m.lightWeight()
	clear(m.differences)
	m.version++
}

func (e *equations) add(s Sample) {
	// In a fixed order, so that the same samples give the same weights.
	for _, image := range slices.Sorted(maps.Keys(s.Used)) {
		e.indexOf(image)
	}
	for a, x := range s.Used {
		i, ok := e.index[a]
		if !ok {
			continue
		}
		e.sums[i] += s.Count * x * s.Load
		for b, y := range s.Used {
			if k, ok := e.index[b]; ok {
				e.squares[i][k] += s.Count * x * y
			}
		}
	}
}

func (e *equations) indexOf(image string) {
	if _, ok := e.index[image]; ok || len(e.index) >= maxImages {
		return
	}
	e.index[image] = len(e.pairs)
	e.images = append(e.images, image)
	e.pairs = append(e.pairs, newEstimate())
	e.sums = append(e.sums, 0)
	for i := range e.squares {
		e.squares[i] = append(e.squares[i], 0)
	}
	e.squares = append(e.squares, make([]float64, len(e.pairs)))
}

// fade leaves a part of the evidence.
func (e *equations) fade(left float64) {
	for i := range e.squares {
		e.sums[i] *= left
		for k := range e.squares[i] {
			e.squares[i][k] *= left
		}
	}
}

// sweep improves each weight in turn.
func (e *equations) sweep() {
	for i := range e.pairs {
		square := e.squares[i][i]
		if square == 0 {
			continue
		}
		rest := e.sums[i]
		for k := range e.pairs {
			if k != i {
				rest -= e.squares[i][k] * e.pairs[k].alone.Value
			}
		}
		p := &e.pairs[i]
		p.belief = believe(rest, square)
		p.alone = weightAt(p.belief, priorOdds+p.belief.odds)
		p.fitted = min(highestWeight, max(0, rest/square))
	}
}

// alone is what samples of the pair itself say of it.
func (e *equations) alone(filling string) Weight {
	i, ok := e.index[filling]
	if !ok {
		return Weight{Value: priorWeight}
	}
	return e.pairs[i].alone
}

// weightAt is the weight of a pair that presses with the given odds.
func weightAt(b belief, odds float64) Weight {
	p := probability(odds)
	return Weight{Value: b.mean(odds), Known: max(p, 1-p) >= knownFrom}
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
	return e.pairs[i].joined
}

// Serving lists the serving images of which something is known.
func (m *Model) Serving() []string {
	all := make([]string, 0, len(m.serving))
	for image := range m.serving {
		all = append(all, image)
	}
	return all
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

// Learnt is what is known of one pair by its own samples, as it is kept for
// the time after a restart.
type Learnt struct {
	Pair
	// Value is the weight that fits the samples best, Evidence how much it
	// counts, in squared shares of a worker: one sample of a typical task (a
	// tenth of a worker) is 0.01.
	Value    float64
	Evidence float64
}

// leastEvidence is the evidence below which a pair is not worth keeping.
const leastEvidence = 0.005

// Export returns what is known.
func (m *Model) Export() []Learnt {
	var all []Learnt
	for serving, e := range m.serving {
		for filling, i := range e.index {
			if e.squares[i][i] >= leastEvidence {
				all = append(all, Learnt{Pair: Pair{Serving: serving, Filling: filling}, Value: e.pairs[i].fitted, Evidence: e.squares[i][i]})
			}
		}
	}
	sort.Slice(all, func(i, k int) bool {
		a, b := all[i].Pair, all[k].Pair
		return a.Serving < b.Serving || a.Serving == b.Serving && a.Filling < b.Filling
	})
	return all
}

// Import adds what an earlier process knew.
func (m *Model) Import(all []Learnt) {
	for _, l := range all {
		if l.Evidence <= 0 || l.Value < 0 {
			continue
		}
		used := math.Sqrt(min(l.Evidence, mostEvidence))
		m.Observe(Sample{Serving: l.Serving, Load: used * min(l.Value, highestWeight), Used: map[string]float64{l.Filling: used}, Count: 1})
	}
	m.Solve(0)
}

// mostEvidence bounds what is taken from an earlier process, so that a pair
// that has changed since is learnt anew soon.
const mostEvidence = 0.3
