package pressure

import (
	"sort"
	"time"
)

// Parameters of the pace.
const (
	// A serving task's tail is kept below targetFraction of its target, because
	// the measurements are rough and half a second old.
	targetFraction = 0.85
	// loadMargin is the load kept free for changes until the next measurement.
	loadMargin = 0.03
	// If a tail is over its target for longer than maxOver, filling work is
	// paused unless its weight is known to be at most ignoredWeight. After twice
	// maxOver, all filling work is paused. Users are affected after a few seconds.
	maxOver = 1200 * time.Millisecond
	// ignoredWeight is the weight up to which a known pair needs no pacing.
	ignoredWeight = 0.15
	// unknownPaceFactor bounds the next pace, relative to the current one, if the
	// pair is not known and the tail is above targetFraction of its target.
	unknownPaceFactor = 0.4
	// minPace is the pace below which work is paused.
	minPace = 0.04
	// maxRise bounds the increase of a pace in one step, so that its effect is
	// measured before the next.
	maxRise = 0.35
)

// Serving is a serving task on a worker with filling work.
type Serving struct {
	Image string
	// Tail and Target are in the same unit. Base is the tail without any load,
	// 0 if it is unknown.
	Tail, Target, Base float64
	// Over is the time for which the tail has been over its target.
	Over time.Duration
}

// Filling is the filling work of one job and image on a worker.
type Filling struct {
	Image string
	// Rank orders the jobs; the lowest has precedence.
	Rank int
	// Used is the share of the worker in use, Wanted the share at full pace.
	Used, Wanted float64
	// Pace is the current pace, 0 to 1.
	Pace float64
}

// defaultBaseFraction is the base assumed for a serving task with an unknown
// base, as a fraction of the target. A base is at most the task's tail.
const defaultBaseFraction = 1 / 4.5

// Pace returns the pace of each element of filling: the highest that maxRise and
// the tails of all serving tasks allow. Work that presses on no serving task rises to full
// speed, unless a tail has been over its target for more than twice maxOver.
//
// The spare load of the serving tasks is given to the jobs in the order of
// their ranks. If a spare load too small for all jobs were shared equally, all
// would end too late to be of use.
func Pace(serving []Serving, filling []Filling, weight func(Pair) Weight) []float64 {
	spare := make([]float64, len(serving))
	for k := range serving {
		spare[k] = serving[k].spare(filling, weight)
	}
	paces := make([]float64, len(filling))
	for _, i := range byRank(filling) {
		f := &filling[i]
		pace := min(1, f.Pace+maxRise)
		for k := range serving {
			pace = min(pace, serving[k].bound(f, spare[k], weight))
		}
		if pace < minPace {
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

func (s *Serving) measured() bool { return s.Target > 0 && s.Tail > 0 }

// spare is the load that filling work may put on the task.
func (s *Serving) spare(filling []Filling, weight func(Pair) Weight) float64 {
	if !s.measured() {
		return 0
	}
	base := s.Base
	if base <= 0 || base > s.Tail {
		base = min(s.Tail, defaultBaseFraction*s.Target)
	}
	now := 0.0
	for i := range filling {
		if w := s.pressing(&filling[i], weight); w > 0 {
			now += w * filling[i].Used
		}
	}
	own := max(0, 1-base/s.Tail-now)
	return max(0, 1-base/(targetFraction*s.Target)-own-loadMargin)
}

// pressing is the weight of f on the task, 0 if it is known to be at most
// ignoredWeight.
func (s *Serving) pressing(f *Filling, weight func(Pair) Weight) float64 {
	w := weight(Pair{Serving: s.Image, Filling: f.Image})
	if w.Known && w.Value <= ignoredWeight {
		return 0
	}
	return w.Value
}

// load is the load of f on the task at full pace.
func (s *Serving) load(f *Filling, weight func(Pair) Weight) float64 {
	return s.pressing(f, weight) * f.Wanted
}

// bound is the highest pace of f that the task allows with the given spare
// load.
func (s *Serving) bound(f *Filling, spare float64, weight func(Pair) Weight) float64 {
	if !s.measured() {
		return 1
	}
	w := weight(Pair{Serving: s.Image, Filling: f.Image})
	if w.Known && w.Value <= ignoredWeight {
		if s.Over > 2*maxOver {
			return 0
		}
		return 1
	}
	if s.Over > maxOver {
		return 0
	}
	pace := 1.0
	if load := s.load(f, weight); load > spare {
		pace = max(0, spare) / load
	}
	if !w.Known && s.Tail > targetFraction*s.Target {
		pace = min(pace, f.Pace*unknownPaceFactor)
	}
	return pace
}
