package scheduler

import (
	"cmp"
	"slices"
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/decide/rebalance"
	"persimmonrock.example/structs/workload"
)

// minSlotPace is the least pace at which a moved run is put on a worker on which
// it presses.
const minSlotPace = 0.4

// moveSlot is capacity for one task on the candidate at, with the pace that the
// task can expect there.
type moveSlot struct {
	at   int
	pace float64
}

// freeSlots returns up to n slots for tasks of the step, the ones with the best
// pace first, and the candidate of each. Workers that pace runs of the step down
// have none. Slots where the step presses are only used if there are too few
// others.
func (t *Term) freeSlots(v *view, s *step, n int, paces []float64) (slots []rebalance.Slot, at []int) {
	v.countStep(s)
	t.setPressure(v, s.spec)
	defer v.liftBars()
	for i := range v.candidates {
		if c := &v.candidates[i]; !c.Barred && paces[i] < slowPace {
			c.Barred = true
			v.barred = append(v.barred, i)
		}
	}
	v.barOrigins(s)
	found := t.pressingSlots(v, s, paces)
	v.barPressed(s.spec)
	before := append([]placement.Candidate(nil), v.candidates...)
	var harmless []moveSlot
	for range n {
		i := placement.Choose(placement.Request{Step: s.spec, Avoid: -1}, v.candidates)
		if i < 0 || v.candidates[i].Presses {
			break
		}
		v.reserve(i, s.spec)
		harmless = append(harmless, moveSlot{i, paces[i]})
	}
	copy(v.candidates, before)
	sortSlots(found)
	found = append(harmless, found...)
	found = found[:min(n, len(found))]
	sortSlots(found)
	for _, x := range found {
		slots = append(slots, rebalance.Slot{Pace: x.pace})
		at = append(at, x.at)
	}
	return slots, at
}

func sortSlots(list []moveSlot) {
	slices.SortStableFunc(list, func(a, b moveSlot) int { return cmp.Compare(b.pace, a.pace) })
}

// barOrigins bars the workers that pace runs of the step down.
func (v *view) barOrigins(s *step) {
	for i := range s.tasks {
		k := &s.tasks[i]
		if k.state != taskPlaced || k.work.meanPace() >= slowPace {
			continue
		}
		if n := v.index(k.worker); n >= 0 && !v.candidates[n].Barred {
			v.candidates[n].Barred = true
			v.barred = append(v.barred, n)
		}
	}
}

// pressingSlots returns one slot on each worker where the step presses, but whose
// serving tasks bear a task of it at minSlotPace or more.
func (t *Term) pressingSlots(v *view, s *step, paces []float64) []moveSlot {
	var list []moveSlot
	for i, w := range v.workers {
		c := &v.candidates[i]
		if !c.Presses || !placement.Fits(s.spec, c) {
			continue
		}
		if pace := min(paces[i], t.learner.bearablePace(w, s.spec, v.now)); pace >= minSlotPace {
			list = append(list, moveSlot{i, pace})
		}
	}
	return list
}

// bearablePace is the pace at which the serving tasks of w bear one more task of s
// beside the filling work that is there: the task then takes none of them above
// bearableFraction of its target. It is 0 if the load of one of them is not known.
func (l *learner) bearablePace(w *worker, s *workload.Step, now time.Duration) float64 {
	whole := float64(w.info.Capacity.CPU)
	pace := 1.0
	for r, v := range w.runs {
		if !v.serves {
			continue
		}
		base, o := l.baseTails[v.image], l.ownLoads[r.Task.Job]
		if base <= 0 || now-o.at > ownLoadMaxAge {
			return 0
		}
		// Tails are in milliseconds.
		spare := 1 - base/(bearableFraction*1000*v.target.Seconds()) - o.load
		for image, cpu := range w.fills {
			spare -= l.model.Weight(pressure.Pair{Serving: v.image, Filling: image}).Value * float64(cpu) / whole
		}
		if load := l.model.Weight(pressure.Pair{Serving: v.image, Filling: s.Image}).Value * float64(s.Need.CPU) / whole; load > 0 {
			pace = min(pace, max(0, spare)/load)
		}
	}
	return pace
}

// bearableFraction is the share of their targets up to which moved runs may raise
// the tails of serving tasks: agents keep them below 0.85, and loads change while a
// task moves.
const bearableFraction = 0.75
