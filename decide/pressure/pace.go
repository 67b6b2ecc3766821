package pressure

import "time"

// Tuning of the pace.
const (
	// goal is the part of its target that a serving task's tail is kept
	// below: the figures are rough and half a second old.
	goal = 0.85
	// margin is the load kept free for what changes until the next figure.
	margin = 0.03
	// overFor is how long a tail may stay over its target before everything
	// that may press on it stands still, whatever the model says. Users are
	// harmed after a few seconds.
	overFor = 1200 * time.Millisecond
	// harmless is the weight up to which a known pair does not press.
	harmless = 0.15
	// unknownCut slows images of unknown pairs beside a tail near its target.
	unknownCut = 0.4
	// slowest is the pace below which work stands still.
	slowest = 0.04
	// rise bounds how much faster a pace becomes at a time, so that the
	// figures can follow.
	rise = 0.35
)

// Serving is a serving task beside filling work.
type Serving struct {
	Image string
	// Tail and Target are in the same unit. Base is the tail that the task
	// would have without any load; 0 if it is not known.
	Tail, Target, Base float64
	// Over is how long the tail has been over its target.
	Over time.Duration
}

// Filling is the filling work of one image on a worker.
type Filling struct {
	Image string
	// Used is the share of the worker in use, Wanted what the tasks would
	// use at full pace.
	Used, Wanted float64
	// Pace is the share of its speed at which it works, 0 to 1.
	Pace float64
}

// baseOfTarget is the part of its target that a serving task's tail is taken
// to be without load where nothing smaller was seen.
const baseOfTarget = 1 / 4.5

// Pace returns the pace of each image: as fast as the tails of all serving
// tasks allow. Work that presses on none runs at full speed.
func Pace(serving []Serving, filling []Filling, weight func(Pair) Weight) []float64 {
	paces := make([]float64, len(filling))
	for i := range filling {
		paces[i] = min(1, filling[i].Pace+rise)
	}
	for _, s := range serving {
		if s.Target <= 0 || s.Tail <= 0 {
			continue
		}
		s.limit(filling, paces, weight)
	}
	for i := range paces {
		if paces[i] < slowest {
			paces[i] = 0
		}
	}
	return paces
}

// limit lowers paces to what one serving task bears.
func (s *Serving) limit(filling []Filling, paces []float64, weight func(Pair) Weight) {
	base := s.Base
	if base <= 0 || base > s.Tail {
		base = min(s.Tail, baseOfTarget*s.Target)
	}
	now, full := 0.0, 0.0
	for _, f := range filling {
		w := weight(Pair{Serving: s.Image, Filling: f.Image})
		if w.Value <= harmless && w.Known {
			continue
		}
		now += w.Value * f.Used
		full += w.Value * f.Wanted
	}
	own := max(0, 1-base/s.Tail-now)
	allowed := max(0, 1-base/(goal*s.Target)-own-margin)
	bound := 1.0
	if full > allowed {
		bound = allowed / full
	}
	for i, f := range filling {
		w := weight(Pair{Serving: s.Image, Filling: f.Image})
		switch {
		case w.Known && w.Value <= harmless:
			if s.Over > 2*overFor {
				paces[i] = 0
			}
		case s.Over > overFor:
			paces[i] = 0
		case !w.Known && s.Tail > goal*s.Target:
			paces[i] = min(paces[i], bound, f.Pace*unknownCut)
		default:
			paces[i] = min(paces[i], bound)
		}
	}
}
