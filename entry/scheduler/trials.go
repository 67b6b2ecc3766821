package scheduler

import (
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/structs/workload"
)

// Failure guarded against: the first job of a new filling image has tens of
// tasks. Placed all at once, they take the serving tasks of many workers over
// their targets for a second or two, until the image is known to press there.
// So a pair of a filling and a serving image whose pressure is unknown runs on
// one worker first. Two samples there show the pressure.
const (
	// trialWait is the longest time for which a trial keeps its pair off other
	// workers: two samples of half a second.
	trialWait = time.Second
	// trialPause is the time after which a pair that has not run together needs a
	// new trial.
	trialPause = 3 * time.Second
	// trialScanEvery is the time between two scans for pairs that run together.
	trialScanEvery = 100 * time.Millisecond
)

// trial records the worker on which a pair of unknown pressure runs first.
type trial struct {
	onWorker workload.WorkerID
	began    time.Duration
	last     time.Duration
}

// trials holds the trials of all pairs. The zero value is ready for use.
type trials struct {
	// byFilling holds the trials by filling and then by serving image. Most plans
	// find none of their filling images here.
	byFilling map[string]map[string]trial
	scanned   time.Duration
}

// scan records the pairs of unknown pressure that run together, and drops old
// trials.
func (x *trials) scan(workers []*worker, t *weightTable, now time.Duration) {
	if now-x.scanned < trialScanEvery && x.byFilling != nil {
		return
	}
	x.scanned = now
	for _, w := range workers {
		for filling := range w.fills {
			x.record(w, filling, t, now)
		}
	}
	for filling, pairs := range x.byFilling {
		for serving, tr := range pairs {
			if now-tr.last > trialPause {
				delete(pairs, serving)
			}
		}
		if len(pairs) == 0 {
			delete(x.byFilling, filling)
		}
	}
}

// record records that the filling image runs, or is to run, on w.
func (x *trials) record(w *worker, filling string, t *weightTable, now time.Duration) {
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
		tr, ok := pairs[serving]
		if !ok || now-tr.last > trialPause {
			tr = trial{onWorker: w.id, began: now}
		}
		tr.last = now
		pairs[serving] = tr
	}
}

// onTrial reports whether any pair with the filling image is on trial. Plans
// call it for each step, to skip the images without trials.
func (x *trials) onTrial(filling string) bool { return len(x.byFilling[filling]) > 0 }

// onTrialElsewhere reports whether a pair of the filling image and a serving
// image on w is on trial at another worker.
func (x *trials) onTrialElsewhere(w *worker, filling string, t *weightTable, now time.Duration) bool {
	column := t.column(filling)
	for serving, tr := range x.byFilling[filling] {
		if w.images[serving] > 0 && tr.onWorker != w.id && now-tr.began < trialWait && !t.weights[t.row(serving)][column].Known {
			return true
		}
	}
	return false
}

// barTrials bars the workers on which one more task of s would run a pair that
// is on trial elsewhere.
func (v *view) barTrials(l *learner, s *workload.Step) {
	if !l.trials.onTrial(s.Image) {
		return
	}
	table := l.weights()
	for i, w := range v.workers {
		if !v.candidates[i].Barred && l.trials.onTrialElsewhere(w, s.Image, table, v.now) {
			v.bar(i, placement.OnTrial)
			v.barred = append(v.barred, i)
		}
	}
}
