package scheduler

import (
	"persimmonrock.example/structs/workload"
)

// pressMore takes into account that a task of s was placed on candidate n.
func (t *Term) pressMore(v *view, j *job, s *workload.Step, n int) {
	w := v.workers[n]
	table := t.learner.weights()
	v.pressure[n] = t.learner.pressureOn(w)
	v.candidates[n].Pressed, _ = table.pressedBy(w, &v.pressure[n], s, table.column(s.Image))
	t.learner.trials.note(w, s.Image, table, v.now)
	if !t.waitedOut(v, j) {
		v.barTrials(&t.learner, s)
	}
}

// barPressed bars the workers on whose serving tasks one more task of s would
// press, if there are others that could hold it. A task does better to wait
// for room where it may work at full speed than to creep, and to take serving
// tasks over their targets.
func (v *view) barPressed(s *workload.Step) {
	first := len(v.barred)
	others := false
	for i := range v.candidates {
		switch {
		case v.candidates[i].Barred || v.candidates[i].Shunned:
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
		v.candidates[i].Barred = true
	}
}

// liftBars ends the bars of a step.
func (v *view) liftBars() {
	for _, i := range v.barred {
		v.candidates[i].Barred = false
	}
	v.barred = v.barred[:0]
}

// press sets what one more task of s would put on the serving tasks of each
// candidate.
func (t *Term) press(v *view, s *workload.Step) {
	if v.pressure == nil {
		v.pressure = make([]workerPressure, len(v.workers))
		for i, w := range v.workers {
			v.pressure[i] = t.learner.pressureOn(w)
		}
	}
	table := t.learner.weights()
	column := table.column(s.Image)
	tried := t.learner.trials.any(s.Image)
	for i, w := range v.workers {
		c := &v.candidates[i]
		c.Pressed, c.Presses = table.pressedBy(w, &v.pressure[i], s, column)
		c.Presses = c.Presses || tried && t.learner.trials.elsewhere(w, s.Image, table, v.now)
	}
}

// unlike is the difference of two serving images of which too little is known
// to tell: about half of all pairs differ.
const unlike = 0.6

// mix sets how the serving images on each candidate mix with s's.
func (t *Term) mix(v *view, s *workload.Step) {
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
				d = unlike
			}
			c.Mix += d
		}
	}
}
