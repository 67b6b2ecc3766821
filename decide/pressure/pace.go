package pressure

import (
	"sort"
	"time"
)

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

// Filling is the filling work of one job and image on a worker.
type Filling struct {
	Image string
	// Rank orders the jobs: the least is worked on first.
	Rank int
	// Used is the share of the worker in use, Wanted what the tasks would
	// use at full pace.
	Used, Wanted float64
	// Pace is the share of its speed at which it works, 0 to 1.
	Pace float64
}

// baseOfTarget is the part of its target that a serving task's tail is taken
// to be without load where nothing smaller was seen.
const baseOfTarget = 1 / 4.5

// Pace returns the pace of each filling: as fast as the tails of all serving
// tasks allow. Work that presses on none runs at full speed.
//
// What the tasks bear goes to the fillings in the order of their ranks. Shared
// alike among jobs that together press too much, it would end all of them too
// late to be of use.
func Pace(serving []Serving, filling []Filling, weight func(Pair) Weight) []float64 {
	spare := make([]float64, len(serving))
	for k := range serving {
		spare[k] = serving[k].spare(filling, weight)
	}
	paces := make([]float64, len(filling))
	for _, i := range byRank(filling) {
		f := &filling[i]
		pace := min(1, f.Pace+rise)
		for k := range serving {
			pace = min(pace, serving[k].bound(f, spare[k], weight))
		}
		if pace < slowest {
			pace = 0
		}
		for k := range serving {
			spare[k] -= pace * serving[k].load(f, weight)
		}
		paces[i] = pace
	}
	return paces
}

func byRank(filling []Filling) []int {
	order := make([]int, len(filling))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(i, k int) bool { return filling[order[i]].Rank < filling[order[k]].Rank })
	return order
}

// measured reports whether there is a figure to go by.
func (s *Serving) measured() bool { return s.Target > 0 && s.Tail > 0 }

// spare is the load that filling work may put on the task.
func (s *Serving) spare(filling []Filling, weight func(Pair) Weight) float64 {
	if !s.measured() {
		return 0
	}
	base := s.Base
	if base <= 0 || base > s.Tail {
		base = min(s.Tail, baseOfTarget*s.Target)
	}
	now := 0.0
	for i := range filling {
		if w := s.pressing(&filling[i], weight); w > 0 {
			now += w * filling[i].Used
		}
	}
	own := max(0, 1-base/s.Tail-now)
	return max(0, 1-base/(goal*s.Target)-own-margin)
}

// pressing is the weight of f on the task, 0 if f is known to be harmless.
func (s *Serving) pressing(f *Filling, weight func(Pair) Weight) float64 {
	w := weight(Pair{Serving: s.Image, Filling: f.Image})
	if w.Known && w.Value <= harmless {
		return 0
	}
	return w.Value
}

// load is what f would put on the task at full pace.
func (s *Serving) load(f *Filling, weight func(Pair) Weight) float64 {
	return s.pressing(f, weight) * f.Wanted
}

// bound is the pace that the task bears of f, with spare left for it.
func (s *Serving) bound(f *Filling, spare float64, weight func(Pair) Weight) float64 {
	if !s.measured() {
		return 1
	}
	w := weight(Pair{Serving: s.Image, Filling: f.Image})
	if w.Known && w.Value <= harmless {
		if s.Over > 2*overFor {
			return 0
		}
		return 1
	}
	if s.Over > overFor {
		return 0
	}
	pace := 1.0
	if load := s.load(f, weight); load > spare {
		pace = max(0, spare) / load
	}
	if !w.Known && s.Tail > goal*s.Target {
		pace = min(pace, f.Pace*unknownCut)
	}
	return pace
}
