package scheduler

import (
	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

// updatePressure updates the pressure on candidate n after a task of s was
// placed there. A trial that begins with this task bars other workers (see
// trials.go).
func (t *Term) updatePressure(v *view, j *job, s *workload.Step, n int) {
	w := v.workers[n]
	table := t.learner.weights()
	v.pressure[n] = t.learner.pressureOn(w)
	v.candidates[n].Pressed, _ = table.pressedBy(w, &v.pressure[n], s, table.column(s.Image))
	t.learner.trials.record(w, s.Image, table, v.now)
	if !t.waitExpired(v, j) {
		v.barTrials(&t.learner, s)
	}
}

// barPressed bars the workers whose Presses is set for a task of s, if another
// worker is large enough. On a barred worker, the task would run very slowly
// and take serving tasks over their targets; waiting is better.
func (v *view) barPressed(s *workload.Step) {
	first := len(v.barred)
	others := false
	for i := range v.candidates {
		switch {
		case v.candidates[i].Barred || v.candidates[i].LastingOnly:
		case v.candidates[i].Presses:
			v.barred = append(v.barred, i)
		case s.Need.Fits(v.candidates[i].Capacity):
			others = true
		}
	}
	if !others {
		v.barred = v.barred[:first]
		return
	}
	for _, i := range v.barred[first:] {
		v.bar(i, pressCause(&v.candidates[i]))
	}
}

// pressCause is the cause for which barPressed bars a candidate.
func pressCause(c *placement.Candidate) placement.Cause {
	if c.Trial {
		return placement.OnTrial
	}
	return placement.Pressing
}

// bar excludes candidate i for a cause.
func (v *view) bar(i int, cause placement.Cause) {
	v.candidates[i].Barred, v.candidates[i].BarredBy = true, cause
}

func (v *view) liftBars() {
	for _, i := range v.barred {
		v.candidates[i].Barred = false
	}
	v.barred = v.barred[:0]
}

// setPressure sets Pressed and Presses of each candidate for a task of s.
func (t *Term) setPressure(v *view, s *workload.Step) {
	if v.pressure == nil {
		v.pressure = make([]workerPressure, len(v.workers))
		for i, w := range v.workers {
			v.pressure[i] = t.learner.pressureOn(w)
		}
	}
	table := t.learner.weights()
	column := table.column(s.Image)
	tried := t.learner.trials.onTrial(s.Image)
	for i, w := range v.workers {
		c := &v.candidates[i]
		c.Pressed, c.Presses = table.pressedBy(w, &v.pressure[i], s, column)
		c.Trial = !c.Presses && tried && t.learner.trials.onTrialElsewhere(w, s.Image, table, v.now)
		c.Presses = c.Presses || c.Trial
	}
}

// unknownDifference is the difference assumed between two serving images about
// which too little is known: about half of all pairs differ.
const unknownDifference = 0.6

// setMix sets Mix and SameImage of each candidate. Mix sums the differences
// between the candidate's serving images and the image of s (see
// pressure.Model.Difference).
func (t *Term) setMix(v *view, s *workload.Step) {
	for i, w := range v.workers {
		c := &v.candidates[i]
		c.Mix, c.SameImage = 0, false
		for image := range w.images {
			if image == s.Image {
				c.SameImage = true
				continue
			}
			d, known := t.learner.model.Difference(image, s.Image)
			if !known {
				d = unknownDifference
			}
			c.Mix += d
		}
	}
}
