package scheduler

import (
	"time"

	"persimmonrock.example/structs/workload"
)

// Failure guarded against: the first job of a new filling image has tens of
// tasks. Placed all at once they run beside the serving tasks of many workers,
// and take all of them over their targets for a second or two before anybody
// knows that the image presses there. A pair of images of which it is not known
// whether it presses therefore runs on one worker first, which tells after two
// samples.
const (
	// trialFor is how long other workers wait for what a trial tells: two
	// samples of half a second.
	trialFor = time.Second
	// trialPause is how long a pair must not have run together for its next
	// run to be a new trial.
	trialPause = 3 * time.Second
	// trialScan is the time between two looks at what runs together.
	trialScan = 100 * time.Millisecond
)

// trial is the worker on which a pair that is not known runs first.
type trial struct {
	on    workload.WorkerID
	began time.Duration
	last  time.Duration
}

// trials are those of all pairs. The zero value is ready for use.
type trials struct {
	// byFilling holds them by filling and then by serving image. Most plans
	// find none of their filling images here.
	byFilling map[string]map[string]trial
	scanned   time.Duration
}

// scan looks for pairs that are not known and run together.
func (x *trials) scan(workers []*worker, t *weightTable, now time.Duration) {
	if now-x.scanned < trialScan && x.byFilling != nil {
		return
	}
	x.scanned = now
	for _, w := range workers {
		for filling := range w.fills {
			x.note(w, filling, t, now)
		}
	}
	for filling, pairs := range x.byFilling {
		for serving, one := range pairs {
			if now-one.last > trialPause {
				delete(pairs, serving)
			}
		}
		if len(pairs) == 0 {
			delete(x.byFilling, filling)
		}
	}
}

// note takes note that the filling image runs, or is to run, on w.
func (x *trials) note(w *worker, filling string, t *weightTable, now time.Duration) {
	if x.byFilling == nil {
		x.byFilling = map[string]map[string]trial{}
	}
	column := t.column(filling)
	for serving := range w.images {
		pairs := x.byFilling[filling]
		if t.weights[t.row(serving)][column].Known {
			delete(pairs, serving)
			continue
		}
		if pairs == nil {
			pairs = map[string]trial{}
			x.byFilling[filling] = pairs
		}
		one, ok := pairs[serving]
		if !ok || now-one.last > trialPause {
			one = trial{on: w.id, began: now}
		}
		one.last = now
		pairs[serving] = one
	}
}

// any reports whether the filling image is on trial at all; most are not, and
// a plan asks for each step.
func (x *trials) any(filling string) bool { return len(x.byFilling[filling]) > 0 }

// elsewhere reports whether a pair of the filling image and a serving image on
// w is on trial at another worker.
func (x *trials) elsewhere(w *worker, filling string, t *weightTable, now time.Duration) bool {
	column := t.column(filling)
	for serving, one := range x.byFilling[filling] {
		if w.images[serving] > 0 && one.on != w.id && now-one.began < trialFor && !t.weights[t.row(serving)][column].Known {
			return true
		}
	}
	return false
}

// barTrials bars the workers on which one more task of s would run a pair that
// is on trial elsewhere.
func (v *view) barTrials(l *learner, s *workload.Step) {
	if !l.trials.any(s.Image) {
		return
	}
	table := l.weights()
	for i, w := range v.workers {
		if !v.candidates[i].Barred && l.trials.elsewhere(w, s.Image, table, v.now) {
			v.candidates[i].Barred = true
			v.barred = append(v.barred, i)
		}
	}
}
