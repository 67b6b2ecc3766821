package scheduler

import (
	"math"
	"time"

	"persimmonrock.example/decide/order"
	"persimmonrock.example/decide/placement"
	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/structs/workload"
)

// placePaced places waiting filling tasks of a step beside serving tasks on which
// they press, at the pace that these bear: at most one pressing run a worker, and
// only if waiting on would cost the job more. Before, the plan has placed all tasks
// of the step that fit on other workers.
func (t *Term) placePaced(v *view, j *job, o *occurrence, si int) {
	s := o.steps[si]
	if !t.cfg.Policies.PacedPlacement.Enabled || !s.spec.Fills || s.spec.Gang || s.waiting == 0 {
		return
	}
	if s.waiting != s.stillWaiting {
		s.stillWaiting, s.waitsSince = s.waiting, v.now
	}
	duration := j.expected()[si]
	if !pressure.WorthPacing(v.now-s.waitsSince, j.slack, duration, 1) {
		return
	}
	paces := t.startingPaces(v, j, s, duration)
	now := time.Now()
	for i := range s.tasks {
		k := &s.tasks[i]
		if !k.mayStart(now) || k.waitsForMove(now) || k.crashes > 0 || t.turnOver(s.spec, v.now) {
			continue
		}
		n := v.choosePaced(s, paces)
		if n < 0 {
			return
		}
		t.place(v, j, o, si, i, n, k.run+1)
		k.startPace = int(math.Round(100 * paces[n]))
		paces[n] = 0
		t.updatePressure(v, j, s.spec, n)
		v.liftBars()
		t.deps.Counters.PlacedPaced.Add(1)
		t.logPaced(j, o, si, i)
	}
}

func (t *Term) logPaced(j *job, o *occurrence, si, i int) {
	k := &o.steps[si].tasks[i]
	id := workload.TaskID{Job: j.spec.ID, Occurrence: o.number, Step: si, Index: i}
	t.deps.Log.Info().Stringer("run", workload.RunID{Task: id, Run: k.run}).Str("worker", string(k.worker)).Int("pace", k.startPace).
		Dur("slack", j.slack).Msg("filling task placed beside serving tasks on which it presses")
}

// startingPaces returns the pace of one more run of s for each candidate, 0 if none
// may start there.
func (t *Term) startingPaces(v *view, j *job, s *step, duration time.Duration) []float64 {
	paces := make([]float64, len(v.candidates))
	for i, w := range v.workers {
		c := &v.candidates[i]
		if c.Barred || !c.Presses || c.Suspect || t.learner.hasPressing(w) {
			continue
		}
		pace := pressure.StartingPace(t.learner.neighbours(w, s.spec.Image, v.now), float64(s.spec.Need.CPU)/float64(w.info.Capacity.CPU))
		if pressure.WorthPacing(v.now-s.waitsSince, j.slack, duration, pace) {
			paces[i] = pace
		}
	}
	return paces
}

// choosePaced chooses among the candidates with a pace.
func (v *view) choosePaced(s *step, paces []float64) int {
	for i := range v.candidates {
		if paces[i] == 0 && !v.candidates[i].Barred {
			v.bar(i, placement.Pressing)
			v.barred = append(v.barred, i)
		}
	}
	defer v.liftBars()
	return placement.Choose(placement.Request{Step: s.spec, Avoid: -1, Rack: v.rackOfStep(s)}, v.candidates)
}

// hasPressing reports whether a filling run on w is known to press on one of its
// serving tasks.
func (l *learner) hasPressing(w *worker) bool {
	table := l.weights()
	for image, cpu := range w.fills {
		column := table.column(image)
		for serving := range w.images {
			weight := table.weights[table.row(serving)][column]
			if weight.Known && weight.Value*float64(cpu)/float64(w.info.Capacity.CPU) > pressingExtra {
				return true
			}
		}
	}
	return false
}

// neighbours lists the serving tasks of w, one for each job, for a new run of the
// image. A task whose own load is unknown bears nothing.
func (l *learner) neighbours(w *worker, image string, now time.Duration) []pressure.Neighbour {
	table := l.weights()
	column := table.column(image)
	seen := map[workload.JobID]bool{}
	var list []pressure.Neighbour
	for r, v := range w.runs {
		if !v.serves || seen[r.Task.Job] {
			continue
		}
		seen[r.Task.Job] = true
		row := table.row(v.image)
		n := pressure.Neighbour{Own: 1, Base: l.baseTails[v.image], Target: 1000 * v.target.Seconds(), Weight: table.weights[row][column]}
		if o, ok := l.ownLoads[r.Task.Job]; ok && now-o.at <= ownLoadMaxAge {
			n.Own = o.load
		}
		for filling, cpu := range w.fills {
			n.Filled += table.weights[row][table.column(filling)].Value * float64(cpu) / float64(w.info.Capacity.CPU)
		}
		list = append(list, n)
	}
	return list
}

// slackOf is the time that a job with this key can still wait and end within its
// objective. left is the critical path through its unfinished steps.
func slackOf(key order.Key, now, left time.Duration) time.Duration {
	if key.Class != order.InTime {
		return 0
	}
	return key.By - now - left
}
