// Package pressure learns how much filling work slows the serving tasks beside
// it, and computes the pace of the filling work.
//
// A serving task's tail latency is modelled as base/(1-load), as for a queue.
// load is the task's own load plus, for each image of filling tasks beside it,
// the share of the worker's processor that they use times the weight of the
// pair of images. A filling image presses on a serving image if that weight is well
// above 0. Most pairs have a weight near 0, a few have a weight of 1 to 4.
//
// decide.Interference, for the urgent path, learns how much one running task of a
// kind slows calls, for each band of load. This package learns from the processor
// time that filling work uses, because pacing changes that time and the tail is
// not linear in it.
package pressure

import (
	"maps"
	"math"
	"slices"
	"sort"
	"time"
)

// Parameters of the model.
const (
	// halfLife is the time after which a sample counts half: the weights of
	// pairs are stable for tens of seconds.
	halfLife = 60 * time.Second
	// sweeps is the number of coordinate descent sweeps in a Solve, which
	// starts from the last solution.
	sweeps = 2
	// maxImages bounds the filling images distinguished per serving image.
	maxImages = 64
	// maxWeight bounds a fitted weight, to limit the effect of outliers.
	maxWeight = 8.0
)

// Pair is a serving image and a filling image.
type Pair struct {
	Serving string
	Filling string
}

// Weight is the estimated weight of a pair.
type Weight struct {
	// Value is the load on the serving task if the filling image uses a whole
	// worker.
	Value float64
	// Known is false while it is uncertain whether the pair presses.
	Known bool
}

// Sample compares two measurements of a serving job, on two workers or a moment
// apart. The job's own load is the same in both, so the difference is due to the
// filling work beside the job.
type Sample struct {
	Serving string
	// Load is the difference between the loads.
	Load float64
	// Used is, for each filling image, the difference between the shares of the
	// worker that the image used.
	Used map[string]float64
	// Count weights the sample; it is 1 for an independent sample.
	Count float64
}

// Model holds the weights of all pairs. The zero value is ready for use. A Model
// is not safe for concurrent use.
type Model struct {
	serving map[string]*equations
	// version counts the calls of Solve.
	version uint64
	// light is the result of Light after a Solve.
	light float64
	// differences caches the results of Difference since the last Solve.
	differences map[[2]string]difference
}

// equations are the normal equations of one serving image, with the estimates
// derived from them.
type equations struct {
	// images are the filling images; index holds their positions.
	images  []string
	index   map[string]int
	squares [][]float64
	sums    []float64
	pairs   []estimate
}

// estimate holds the estimates of one pair.
type estimate struct {
	// belief and own are from the pair's own samples. fitted is the
	// least-squares weight by these samples, without the prior.
	belief belief
	own    Weight
	fitted float64
	// joined is the weight by all samples, also those of the filling image
	// beside other serving images. logOdds is the log odds, by the same
	// samples, that the pair presses.
	joined  Weight
	logOdds float64
	// likelihood is belief.likelihood(), cached because join uses it often.
	likelihood likelihood
}

func newEstimate() estimate {
	unknown := Weight{Value: priorWeight}
	return estimate{belief: newBelief(0, 0), own: unknown, fitted: priorWeight, joined: unknown}
}

// Version increases with each Solve.
func (m *Model) Version() uint64 { return m.version }

// Observe adds a sample. It has an effect from the next Solve on.
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

// Solve recomputes the weights; elapsed is the time since the last Solve.
func (m *Model) Solve(elapsed time.Duration) {
	factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	for _, e := range m.serving {
		e.decay(factor)
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
	// The order is fixed, so that the same samples give the same weights.
	for _, image := range slices.Sorted(maps.Keys(s.Used)) {
		e.addImage(image)
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

func (e *equations) addImage(image string) {
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

func (e *equations) decay(factor float64) {
	for i := range e.squares {
		e.sums[i] *= factor
		for k := range e.squares[i] {
			e.squares[i][k] *= factor
		}
	}
}

// sweep updates each weight in turn, given the others.
func (e *equations) sweep() {
	for i := range e.pairs {
		square := e.squares[i][i]
		if square == 0 {
			continue
		}
		rest := e.sums[i]
		for k := range e.pairs {
			if k != i {
				rest -= e.squares[i][k] * e.pairs[k].own.Value
			}
		}
		p := &e.pairs[i]
		p.belief = newBelief(rest, square)
		p.own = weightAt(p.belief, priorLogOdds+p.belief.logBayesFactor)
		p.fitted = min(maxWeight, max(0, rest/square))
	}
}

func (e *equations) ownWeight(filling string) Weight {
	i, ok := e.index[filling]
	if !ok {
		return Weight{Value: priorWeight}
	}
	return e.pairs[i].own
}

// weightAt is the weight at the given log odds that the pair presses.
func weightAt(b belief, logOdds float64) Weight {
	p := probability(logOdds)
	return Weight{Value: b.mean(logOdds), Known: max(p, 1-p) >= knownProbability}
}

// Weight returns the weight of a pair by all samples.
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

// Serving lists the serving images with samples.
func (m *Model) Serving() []string {
	all := make([]string, 0, len(m.serving))
	for image := range m.serving {
		all = append(all, image)
	}
	return all
}

// Weights returns the weights of a serving image by filling image.
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

// PairEstimate is the estimate of one pair by its own samples, as stored across
// restarts.
type PairEstimate struct {
	Pair
	// Value is the least-squares weight. Evidence is the sum of the squares of
	// the used shares of a worker. One sample of a typical task, which uses a
	// tenth of a worker, adds 0.01.
	Value    float64
	Evidence float64
}

// minEvidence is the evidence below which a pair is not exported.
const minEvidence = 0.005

// Export returns the estimates with at least minEvidence, sorted.
func (m *Model) Export() []PairEstimate {
	var all []PairEstimate
	for serving, e := range m.serving {
		for filling, i := range e.index {
			if e.squares[i][i] >= minEvidence {
				all = append(all, PairEstimate{Pair: Pair{Serving: serving, Filling: filling}, Value: e.pairs[i].fitted, Evidence: e.squares[i][i]})
			}
		}
	}
	sort.Slice(all, func(i, k int) bool {
		a, b := all[i].Pair, all[k].Pair
		return a.Serving < b.Serving || a.Serving == b.Serving && a.Filling < b.Filling
	})
	return all
}

// Import adds the estimates that an earlier process exported.
func (m *Model) Import(all []PairEstimate) {
	for _, l := range all {
		if l.Evidence <= 0 || l.Value < 0 {
			continue
		}
		used := math.Sqrt(min(l.Evidence, maxEvidence))
		m.Observe(Sample{Serving: l.Serving, Load: used * min(l.Value, maxWeight), Used: map[string]float64{l.Filling: used}, Count: 1})
	}
	m.Solve(0)
}

// maxEvidence bounds the evidence of an imported pair, so that a pair that has
// changed since is soon relearnt.
const maxEvidence = 0.3
