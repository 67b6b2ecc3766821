package pressure

import (
	"math"
	"sort"
)

// Serving images fall into few kinds by what they are short of, and a filling
// image presses on those of one kind or on none. So what is known of a filling image beside one serving image tells
// what it does beside others, by how likely the two are of one kind.

const (
	// harmlessWeight and pressingWeight are the weights up to which a pair
	// does not press, and from which it does for sure.
	harmlessWeight = 0.25
	pressingWeight = 0.75
	// compared is how much pressing must be known of two serving images
	// before they are compared: about one filling image that presses.
	compared = 0.9
)

// difference is how differently two serving images are pressed on.
type difference struct {
	value float64
	known bool
}

// Difference tells how differently two serving images are pressed on, from 0
// (by the same filling images) to 1 (by others altogether). known is false
// while too little is known to tell.
//
// Regrouping asks for the same few differences thousands of times at a look;
// worked out each time, they would take so much of the scheduler's processor
// that short jobs wait for it. They are kept until the next solution.
func (m *Model) Difference(a, b string) (value float64, known bool) {
	if a == b {
		return 0, true
	}
	key := [2]string{min(a, b), max(a, b)}
	d, ok := m.differences[key]
	if !ok {
		d = m.differ(a, b)
		if m.differences == nil {
			m.differences = map[[2]string]difference{}
		}
		m.differences[key] = d
	}
	return d.value, d.known
}

func (m *Model) differ(a, b string) difference {
	ea, eb := m.serving[a], m.serving[b]
	if ea == nil || eb == nil {
		return difference{}
	}
	apart, both := 0.0, 0.0
	for _, image := range ea.images {
		w, o := ea.alone(image), eb.alone(image)
		if !w.Known || !o.Known {
			continue
		}
		x, y := w.presses(), o.presses()
		apart += max(x, y) - min(x, y)
		both += max(x, y)
	}
	if both < compared {
		return difference{}
	}
	return difference{value: apart / both, known: true}
}

// presses tells how sure it is that the pair presses, from 0 to 1.
func (w Weight) presses() float64 {
	return min(1, max(0, (w.Value-harmlessWeight)/(pressingWeight-harmlessWeight)))
}

const (
	// pressShare is the part of pairs that press. sameShare is the part of
	// pairs of serving images that are of one kind: it lies between the third
	// of three kinds and the half of two.
	pressShare = 0.3
	sameShare  = 0.45
	// bothShare is the part of filling images that press on two serving images
	// of different kinds.
	bothShare = 0.02
	// joinShare is how much a sample beside another serving image counts: what
	// several of one kind say is not independent.
	joinShare = 0.75
	// mostJoined bounds the odds that one pair contributes to the others.
	mostJoined = 8.0
)

// likelihood is how likely the samples of a pair are if it presses and if not;
// the two add up to 1.
type likelihood struct {
	presses, not float64
}

func (b belief) likelihood() likelihood {
	p := probability(min(mostJoined, max(-mostJoined, b.odds)))
	return likelihood{presses: p, not: 1 - p}
}

// join works out, for all pairs, what their own samples and those beside other
// serving images say together.
func (m *Model) join() {
	names := m.Serving()
	sort.Strings(names)
	for _, filling := range m.filling() {
		for _, e := range m.serving {
			e.indexOf(filling)
		}
	}
	for _, e := range m.serving {
		for i := range e.pairs {
			p := &e.pairs[i]
			p.odds = priorOdds + p.belief.odds
			p.likelihood = p.belief.likelihood()
		}
	}
	for n, a := range names {
		for _, b := range names[:n] {
			e, o := m.serving[a], m.serving[b]
			same := probability(e.sameKind(o))
			e.joinWith(o, same)
			o.joinWith(e, same)
		}
	}
	for _, e := range m.serving {
		for i := range e.pairs {
			p := &e.pairs[i]
			p.joined = weightAt(p.belief, p.odds)
		}
	}
}

// filling lists the filling images of all pairs.
func (m *Model) filling() []string {
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

// joinWith adds what is known beside another serving image, where same is the
// probability that both are of one kind.
func (e *equations) joinWith(o *equations, same float64) {
	// elsewhere is how likely a filling image that does not press on e presses
	// on an image of another kind.
	const elsewhere = (pressShare - bothShare) / (1 - pressShare)
	const both = bothShare / pressShare
	for i, image := range e.images {
		k, ok := o.index[image]
		if !ok {
			continue
		}
		l := o.pairs[k].likelihood
		ifPresses := same*l.presses + (1-same)*(both*l.presses+(1-both)*l.not)
		ifNot := same*l.not + (1-same)*(elsewhere*l.presses+(1-elsewhere)*l.not)
		e.pairs[i].odds += joinShare * math.Log(ifPresses/ifNot)
	}
}

// sameKind is the logarithm of how much likelier the serving images of e and o
// are of one kind than not, by the filling images that run beside both.
func (e *equations) sameKind(o *equations) float64 {
	odds := math.Log(sameShare / (1 - sameShare))
	for i, image := range e.images {
		k, ok := o.index[image]
		if !ok {
			continue
		}
		x, y := e.pairs[i].likelihood, o.pairs[k].likelihood
		alike := pressShare*x.presses*y.presses + (1-pressShare)*x.not*y.not
		unlike := bothShare*x.presses*y.presses + (pressShare-bothShare)*(x.presses*y.not+x.not*y.presses) +
			(1-2*pressShare+bothShare)*x.not*y.not
		odds += math.Log(alike / unlike)
	}
	return odds
}
