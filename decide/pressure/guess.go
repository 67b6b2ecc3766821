package pressure

// Serving images fall into few kinds by what they are short of, and a filling
// image presses on those of one kind or on none: in recorded days two serving
// images are pressed on by the same filling images or by none that are the
// same. So what is known of a filling image beside one serving image tells
// what it does beside others.

const (
	// harmlessWeight and pressingWeight are the weights up to which a pair
	// does not press, and from which it does for sure.
	harmlessWeight = 0.25
	pressingWeight = 0.75
	// compared is how much pressing must be known of two serving images
	// before they are compared: about one filling image that presses.
	compared = 0.9
	// sameKind is the difference up to which two serving images are taken to
	// be of one kind, otherKind that from which they are not.
	sameKind  = 0.35
	otherKind = 0.7
	// guessEvidence is how much a guess counts, in squared shares of a worker,
	// and ownEvidence what is expected of a pair before any sample.
	guessEvidence = 0.04
	ownEvidence   = 0.015
)

// Difference tells how differently two serving images are pressed on, from 0
// (by the same filling images) to 1 (by others altogether). known is false
// while too little is known to tell.
func (m *Model) Difference(a, b string) (difference float64, known bool) {
	if a == b {
		return 0, true
	}
	ea, eb := m.serving[a], m.serving[b]
	if ea == nil || eb == nil {
		return 0, false
	}
	apart, both := 0.0, 0.0
	for image := range ea.index {
		w, o := ea.own(image), eb.own(image)
		if !w.Known || !o.Known {
			continue
		}
		x, y := w.presses(), o.presses()
		apart += max(x, y) - min(x, y)
		both += max(x, y)
	}
	if both < compared {
		return 0, false
	}
	return apart / both, true
}

// presses tells how sure it is that the pair presses, from 0 to 1.
func (w Weight) presses() float64 {
	return min(1, max(0, (w.Value-harmlessWeight)/(pressingWeight-harmlessWeight)))
}

// guess is what the other serving images say of a pair.
type guess struct {
	value float64
	// count is the number of serving images that say so.
	count int
}

// join adds a guess to what samples of the pair itself say, which count
// evidence.
func (g guess) join(own Weight, evidence float64) Weight {
	if g.count == 0 {
		return own
	}
	return Weight{Value: (own.Value*evidence + g.value*guessEvidence) / (evidence + guessEvidence), Known: true}
}

// guess works out the guesses of all pairs.
func (m *Model) guess() {
	for serving, e := range m.serving {
		for i := range e.guesses {
			e.guesses[i] = guess{}
		}
		for other, o := range m.serving {
			if other == serving {
				continue
			}
			if d, known := m.Difference(serving, other); known {
				e.learnFrom(o, d)
			}
		}
	}
}

// learnFrom takes what is known of another serving image.
func (e *equations) learnFrom(o *equations, difference float64) {
	for image := range o.index {
		w := o.own(image)
		if !w.Known {
			continue
		}
		i := e.indexed(image)
		switch {
		case i < 0:
		case difference <= sameKind:
			e.guesses[i].add(w.Value)
		case difference >= otherKind && w.Value >= pressingWeight:
			e.guesses[i].add(0)
		}
	}
}

func (g *guess) add(value float64) {
	g.value = (g.value*float64(g.count) + value) / float64(g.count+1)
	g.count++
}

// indexed is the index of a filling image, or -1 if there are too many.
func (e *equations) indexed(image string) int {
	e.indexOf(image)
	if i, ok := e.index[image]; ok {
		return i
	}
	return -1
}
