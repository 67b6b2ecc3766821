package pressure

import (
	"math"
	"testing"
	"time"
)

// pacedWorker is a worker with one serving task, whose own load swings around 0.42
// by half with a period of 10 s, and at most one filling run.
type pacedWorker struct {
	weight, phase float64
	// pace is that of the run in the worker, left the run's remaining work in
	// seconds at full pace; 0 without a run.
	pace, left float64
	// tail is the mean of the last half second; recent are its samples.
	recent []float64
	// over is the time for which the tail has been over its target.
	over, longestOver, totalOver time.Duration
	worked                       float64
}

const (
	simStep   = 50 * time.Millisecond
	simShare  = 0.11
	simBase   = 4.0
	simTarget = 4.5 * simBase
)

func (w *pacedWorker) own(at time.Duration) float64 {
	return 0.42 * (1 + 0.5*math.Sin(2*math.Pi*at.Seconds()/10+w.phase))
}

func (w *pacedWorker) weightOf(Pair) Weight { return Weight{Value: w.weight, Known: true} }

func (w *pacedWorker) tail() float64 {
	sum := 0.0
	for _, r := range w.recent {
		sum += r
	}
	return float64(len(w.recent)) / sum
}

// run plays a minute. Each start of a run of 2.5 s is decided by start, from the own
// load of half a second ago; the agent adjusts the pace every 250 ms.
func (w *pacedWorker) run(start func(own float64) float64) {
	for at := time.Duration(0); at < time.Minute; at += simStep {
		load := w.own(at)
		if w.left > 0 {
			load += w.weight * simShare * w.pace
			w.worked += w.pace * simStep.Seconds()
			w.left -= w.pace * simStep.Seconds()
		}
		w.recent = append(w.recent, (1-min(load, 0.95))/simBase)
		w.recent = w.recent[max(0, len(w.recent)-10):]
		if load > 1-simBase/simTarget {
			w.over += simStep
			w.totalOver += simStep
			w.longestOver = max(w.longestOver, w.over)
		} else {
			w.over = 0
		}
		switch {
		case w.left <= 0:
			if w.pace = start(w.own(at - 500*time.Millisecond)); w.pace > 0 {
				w.left = 2.5
			}
		case at%(250*time.Millisecond) == 0:
			s := Serving{Image: "s", Tail: w.tail(), Target: simTarget, Base: simBase, Over: w.over}
			f := Filling{Image: "f", Used: simShare * w.pace, Wanted: simShare, Pace: w.pace}
			w.pace = Pace([]Serving{s}, []Filling{f}, w.weightOf)[0]
		}
	}
}

// Load: own loads that swing around 0.42 by half within 10 s, and runs that press
// with weights 1 to 4. Started at the pace that is borne, they may take no serving
// task over its target for longer than the agent allows, and must get work done.
func TestPacedRunsKeepServingTasksWithinTheirTargets(t *testing.T) {
	for _, weight := range []float64{1, 1.5, 2, 3, 4} {
		paced := pacedWorker{weight: weight}
		paced.run(func(own float64) float64 {
			return StartingPace([]Neighbour{{Own: own, Base: simBase, Target: simTarget, Weight: Weight{Value: weight, Known: true}}}, simShare)
		})
		full := pacedWorker{weight: weight}
		full.run(func(float64) float64 { return 1 })
		t.Logf("weight %.1f: paced %.1f s of work, over %v, at most %v; at full pace %.1f s, %v, %v", weight,
			paced.worked, paced.totalOver, paced.longestOver, full.worked, full.totalOver, full.longestOver)
		if paced.longestOver > maxOver || paced.totalOver > full.totalOver {
			t.Errorf("weight %.1f: over the target for %v, at most %v at a time; started at full pace %v", weight, paced.totalOver, paced.longestOver, full.totalOver)
		}
		if paced.worked < 10 {
			t.Errorf("weight %.1f: %.1f s of work done in a minute", weight, paced.worked)
		}
	}
}

func TestStartingPace(t *testing.T) {
	calm := Neighbour{Own: 0.3, Base: simBase, Target: simTarget, Weight: Weight{Value: 2, Known: true}}
	near, unknown, loaded, harmless := calm, calm, calm, calm
	near.Own = 0.6
	unknown.Weight.Known = false
	loaded.Filled = 0.25
	harmless.Own, harmless.Weight.Value = 0.9, 0.1
	cases := []struct {
		name       string
		neighbours []Neighbour
		starts     bool
	}{
		{"little load", []Neighbour{calm}, true},
		{"one near its target", []Neighbour{calm, near}, false},
		{"unknown pair", []Neighbour{unknown}, false},
		{"filling work there already", []Neighbour{loaded}, false},
		{"no pressure on the one near its target", []Neighbour{calm, harmless}, true},
		{"unknown tail without load", []Neighbour{{Own: 0.1, Target: simTarget, Weight: calm.Weight}}, false},
	}
	for _, c := range cases {
		if got := StartingPace(c.neighbours, simShare); got > 0 != c.starts {
			t.Errorf("%s: pace %.2f", c.name, got)
		}
	}
}

func TestWorthPacing(t *testing.T) {
	const s = time.Second
	cases := []struct {
		waited, slack time.Duration
		pace          float64
		want          bool
	}{
		{0, 10 * s, 0.5, false}, {5 * s, 10 * s, 0.5, true}, {0, 3 * s, 0.5, true}, {0, 3 * s, 1, false}, {9 * s, 0, 0, false},
	}
	for _, c := range cases {
		if got := WorthPacing(c.waited, c.slack, 2*s, c.pace); got != c.want {
			t.Errorf("waited %v, slack %v, pace %.1f: %t", c.waited, c.slack, c.pace, got)
		}
	}
}
