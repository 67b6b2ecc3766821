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
	at      int
	pace    float64
	presses bool
}

// slotFinder finds slots for moved runs during one check.
type slotFinder struct {
	term *Term
	v    *view
	// searches counts the calls of find.
	searches int
	// paces is the mean pace of the filling runs on each worker of v, computed when
	// first needed.
	paces []float64
	// spare is the load that the serving images of each worker bear besides the
	// filling work there, computed when first needed.
	spare [][]spareLoad
}

// spareLoad is the load that the tasks of a serving image bear on one worker.
type spareLoad struct {
	image string
	load  float64
}

// find returns up to n slots for tasks of the step, harmless ones and those with
// the best pace first, and the candidate of each. Workers that pace runs of the step down have
// none. Slots where the step presses are only used if there are too few others.
func (f *slotFinder) find(s *step, n int) (slots []rebalance.Slot, at []int) {
	v := f.v
	f.searches++
	if f.paces == nil {
		f.paces = f.term.workerPaces(v)
	}
	v.countStep(s)
	f.term.setPressure(v, s.spec)
	defer v.liftBars()
	for i := range v.candidates {
		if f.paces[i] < slowPace {
			v.barUntilLift(i)
		}
	}
	v.barOrigins(s)
	found := f.harmless(s, n)
	sortSlots(found)
	if len(found) < n {
		found = append(found, f.pressing(s, n-len(found))...)
	}
	for _, x := range found {
		slots = append(slots, rebalance.Slot{Pace: x.pace, Presses: x.presses})
		at = append(at, x.at)
	}
	return slots, at
}

// harmless returns up to n slots on workers where the step is not known to press.
func (f *slotFinder) harmless(s *step, n int) (list []moveSlot) {
	v := f.v
	before := append([]placement.Candidate(nil), v.candidates...)
	defer copy(v.candidates, before)
	for i := range v.candidates {
		v.candidates[i].Barred = v.candidates[i].Barred || v.candidates[i].Presses
	}
	for range n {
		i := placement.Choose(placement.Request{Step: s.spec, Avoid: -1}, v.candidates)
		if i < 0 {
			break
		}
		v.reserve(i, s.spec)
		list = append(list, moveSlot{at: i, pace: f.paces[i]})
	}
	return list
}

// pressing returns up to n slots, one on a worker, where the step presses, but the
// serving tasks bear a task of it at minSlotPace or more.
func (f *slotFinder) pressing(s *step, n int) (list []moveSlot) {
	if f.spare == nil {
		f.spare = make([][]spareLoad, len(f.v.workers))
		for i, w := range f.v.workers {
			f.spare[i] = f.term.learner.spareLoads(w, f.v.now)
		}
	}
	for i, w := range f.v.workers {
		c := &f.v.candidates[i]
		if !c.Presses || !placement.Fits(s.spec, c) {
			continue
		}
		if pace := min(f.paces[i], f.term.learner.bearablePace(w, f.spare[i], s.spec)); pace >= minSlotPace {
			list = append(list, moveSlot{at: i, pace: pace, presses: true})
		}
	}
	sortSlots(list)
	return list[:min(n, len(list))]
}

// barUntilLift bars candidate i until liftBars: filling runs there are paced down.
func (v *view) barUntilLift(i int) {
	if !v.candidates[i].Barred {
		v.bar(i, placement.Pressing)
		v.barred = append(v.barred, i)
	}
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
		if n := v.index(k.worker); n >= 0 {
			v.barUntilLift(n)
		}
	}
}

// bearableFraction is the share of their targets up to which moved runs may raise
// the tails of serving tasks: agents keep them below 0.85, and loads change while a
// task moves.
const bearableFraction = 0.75

// spareLoads returns the load that each serving image of w bears besides the
// filling work there, up to bearableFraction of its target. It is 0 if the own
// load of its tasks is not known.
func (l *learner) spareLoads(w *worker, now time.Duration) []spareLoad {
	var list []spareLoad
	for r, v := range w.runs {
		if !v.serves {
			continue
		}
		spare := 0.0
		if base, o := l.baseTails[v.image], l.ownLoads[r.Task.Job]; base > 0 && now-o.at <= ownLoadMaxAge {
			// Tails are in milliseconds.
			spare = 1 - base/(bearableFraction*1000*v.target.Seconds()) - o.load
			for image, cpu := range w.fills {
				spare -= l.model.Weight(pressure.Pair{Serving: v.image, Filling: image}).Value * float64(cpu) / float64(w.info.Capacity.CPU)
			}
		}
		list = append(list, spareLoad{image: v.image, load: max(0, spare)})
	}
	return list
}

// bearablePace is the pace at which the serving tasks of w, with the given spare
// loads, bear one more task of s; 0 if it isn't known how much the task presses on
// one of them: such pairs are tried on one worker first.
func (l *learner) bearablePace(w *worker, spare []spareLoad, s *workload.Step) float64 {
	pace := 1.0
	for _, x := range spare {
		weight := l.model.Weight(pressure.Pair{Serving: x.image, Filling: s.Image})
		if !weight.Known {
			return 0
		}
		if load := weight.Value * float64(s.Need.CPU) / float64(w.info.Capacity.CPU); load > 0 {
			pace = min(pace, x.load/load)
		}
	}
	return pace
}
