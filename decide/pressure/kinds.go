package pressure

import (
	"math"
	"sort"
)

// Serving images fall into a few kinds by their limiting resource. A filling
// image presses on the serving images of one kind or on none. Its samples
// beside one serving image are therefore evidence for its weight beside
// another, weighted by the probability that both are of one kind.

const (
	// A pair up to harmlessWeight doesn't press, and a pair from pressingWeight
	// on presses to the full degree (see Weight.Presses).
	harmlessWeight = 0.25
	pressingWeight = 0.75
	// minCompared is the least evidence for comparing two serving images: about
	// one filling image that presses on at least one of them.
	minCompared = 0.9
)

type difference struct {
	value float64
	known bool
}

// Difference measures how far two serving images differ in the filling images
// that press on them, from 0 (the same) to 1 (none in common). known is false
// if the evidence is below minCompared.
//
// Regrouping needs the same few differences thousands of times in one pass.
// Computing them each time takes so much of the scheduler's processor time
// that short jobs are delayed. They are therefore cached until the next Solve.
func (m *Model) Difference(a, b string) (value float64, known bool) {
	if a == b {
		return 0, true
	}
	key := [2]string{min(a, b), max(a, b)}
	d, ok := m.differences[key]
	if !ok {
		d = m.computeDifference(a, b)
		if m.differences == nil {
			m.differences = map[[2]string]difference{}
		}
		m.differences[key] = d
	}
	return d.value, d.known
}

func (m *Model) computeDifference(a, b string) difference {
	ea, eb := m.serving[a], m.serving[b]
	if ea == nil || eb == nil {
		return difference{}
	}
	differing, either := 0.0, 0.0
	for _, image := range ea.images {
		w, o := ea.ownWeight(image), eb.ownWeight(image)
		if !w.Known || !o.Known {
			continue
		}
		x, y := w.Presses(), o.Presses()
		differing += max(x, y) - min(x, y)
		either += max(x, y)
	}
	if either < minCompared {
		return difference{}
	}
	return difference{value: differing / either, known: true}
}

// Presses is the degree to which the pair counts as pressing, from 0 to 1.
func (w Weight) Presses() float64 {
	return min(1, max(0, (w.Value-harmlessWeight)/(pressingWeight-harmlessWeight)))
}

const (
	// pressShare is the fraction of pairs that press. sameShare is the fraction
	// of pairs of serving images that are of one kind: a third if there are
	// three kinds, a half if there are two.
	pressShare = 0.3
	sameShare  = 0.45
	// bothShare is the fraction of filling images that press on two serving
	// images of different kinds.
	bothShare = 0.02
	// joinFactor reduces the evidence from each other serving image, because
	// several images of one kind don't give independent evidence.
	joinFactor = 0.75
	// maxJoinedLogOdds bounds the log odds that one pair contributes to others.
	maxJoinedLogOdds = 8.0
)

// likelihood holds the likelihoods of a pair's samples if the pair presses and if
// it doesn't, scaled so that the two add up to 1.
type likelihood struct {
	presses, harmless float64
}

func (b belief) likelihood() likelihood {
	p := probability(min(maxJoinedLogOdds, max(-maxJoinedLogOdds, b.logBayesFactor)))
	return likelihood{presses: p, harmless: 1 - p}
}

// join computes the weights of all pairs, each from the pair's own samples and
// the filling image's samples beside other serving images.
func (m *Model) join() {
	names := m.Serving()
	sort.Strings(names)
	for _, filling := range m.fillingImages() {
		for _, e := range m.serving {
			e.addImage(filling)
		}
	}
	for _, e := range m.serving {
		for i := range e.pairs {
			p := &e.pairs[i]
			p.logOdds = priorLogOdds + p.belief.logBayesFactor
			p.likelihood = p.belief.likelihood()
		}
	}
	for n, a := range names {
		for _, b := range names[:n] {
			e, o := m.serving[a], m.serving[b]
			same := probability(e.sameKindLogOdds(o))
			e.joinWith(o, same)
			o.joinWith(e, same)
		}
	}
	for _, e := range m.serving {
		for i := range e.pairs {
			p := &e.pairs[i]
			p.joined = weightAt(p.belief, p.logOdds)
		}
	}
}

// fillingImages lists the filling images of all pairs, sorted.
func (m *Model) fillingImages() []string {
	seen := map[string]bool{}
	var all []string
	for _, e := range m.serving {
		for _, image := range e.images {
			if !seen[image] {
				seen[image] = true
				all = append(all, image)
			}
		}
	}
	sort.Strings(all)
	return all
}

// joinWith adds the evidence from the samples of o to the pairs of e. same is the
// probability that the two serving images are of one kind.
func (e *equations) joinWith(o *equations, same float64) {
	// These are the probabilities that a filling image presses on o, given that
	// it doesn't or does press on e, if e and o are of different kinds.
	const pressesGivenHarmless = (pressShare - bothShare) / (1 - pressShare)
	const pressesGivenPresses = bothShare / pressShare
	for i, image := range e.images {
		k, ok := o.index[image]
		if !ok {
			continue
		}
		l := o.pairs[k].likelihood
		ifPresses := same*l.presses + (1-same)*(pressesGivenPresses*l.presses+(1-pressesGivenPresses)*l.harmless)
		ifNot := same*l.harmless + (1-same)*(pressesGivenHarmless*l.presses+(1-pressesGivenHarmless)*l.harmless)
		e.pairs[i].logOdds += joinFactor * math.Log(ifPresses/ifNot)
	}
}

// sameKindLogOdds is the log odds that the serving images of e and o are of
// one kind, computed from the filling images that both have.
func (e *equations) sameKindLogOdds(o *equations) float64 {
	logOdds := math.Log(sameShare / (1 - sameShare))
	for i, image := range e.images {
		k, ok := o.index[image]
		if !ok {
			continue
		}
		x, y := e.pairs[i].likelihood, o.pairs[k].likelihood
		alike := pressShare*x.presses*y.presses + (1-pressShare)*x.harmless*y.harmless
		unlike := bothShare*x.presses*y.presses + (pressShare-bothShare)*(x.presses*y.harmless+x.harmless*y.presses) +
			(1-2*pressShare+bothShare)*x.harmless*y.harmless
		logOdds += math.Log(alike / unlike)
	}
	return logOdds
}
