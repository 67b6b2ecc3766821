package scheduler

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	servingCPU = 60000
	wholeCPU   = 64000
	baseTail   = 4.0
)

// servingWorker is a worker with one serving task that reserves nearly all of
// its CPU, and a learner that knows the task's tail without load.
func servingWorker() (*worker, *learner) {
	w := newWorker("w-1", "agent-1")
	w.info.Capacity = workload.Resources{CPU: wholeCPU, Memory: 256000}
	step := &workload.Step{Need: workload.Resources{CPU: servingCPU, Memory: 1000}, Lasting: true, TailTarget: 18 * time.Millisecond, Image: "s"}
	w.add(workload.RunID{Task: workload.TaskID{Job: "serving"}, Run: 1}, step)
	l := &learner{}
	l.initMaps()
	l.baseTails["s"] = baseTail
	return w, l
}

func TestLeftoverFollowsServingLoad(t *testing.T) {
	cases := []struct {
		name        string
		load        float64
		age         time.Duration
		least, most int
	}{
		{"little to do", 0.2, 0, 40000, 45000},
		{"usual load", 0.42, 0, 28000, 32000},
		{"near its target", 0.72, 0, 5000, 16000},
		{"over its target", 0.85, 0, 0, 0},
		{"not sampled for long", 0.85, 3 * time.Second, 26000, 28000},
	}
	for _, c := range cases {
		w, l := servingWorker()
		l.ownLoads["serving"] = ownLoad{load: c.load, at: time.Minute - c.age}
		if got := l.leftover(w, time.Minute); got < c.least || got > c.most {
			t.Errorf("%s: %d, want %d to %d", c.name, got, c.least, c.most)
		}
	}
}

// swingResult is the result of a simulated minute.
type swingResult struct {
	work float64
	over time.Duration
}

// simulateSwing simulates a serving task whose own load swings, beside as many
// filling tasks of 7 cores and 1.7 s as allowance permits. Tails are reported
// in whole milliseconds, with noise.
func simulateSwing(allowance func(l *learner, w *worker, now time.Duration) int) (p swingResult) {
	const (
		tick     = 50 * time.Millisecond
		taskCPU  = 7000
		taskTime = 1700 * time.Millisecond
		pressing = 0.25
	)
	rng := rand.New(rand.NewPCG(1, 1))
	w, l := servingWorker()
	var ends []time.Duration
	for now := time.Duration(0); now < time.Minute; now += tick {
		kept := ends[:0]
		for _, end := range ends {
			if end > now {
				kept = append(kept, end)
			} else {
				p.work++
			}
		}
		ends = kept
		used := float64(len(ends)*taskCPU) / wholeCPU
		own := 0.42 * (1 + 0.6*math.Sin(2*math.Pi*now.Seconds()/10))
		tail := baseTail / (1 - min(0.97, own+pressing*used))
		if tail > 18 {
			p.over += tick
		}
		// The job's ten tasks, on workers with more or less filling work, report one
		// after the other.
		beside := used * rng.Float64()
		reported := math.Round(baseTail / (1 - min(0.97, own+pressing*beside)) * (1 + 0.08*rng.NormFloat64()))
		l.updateOwnLoad(dispatch.ServingSample{Job: "serving", Image: "s", Tail: max(baseTail, reported)}, timedSample{at: now, used: map[string]float64{"f": beside}})
		for free := w.info.Capacity.CPU - w.used.CPU; (len(ends)+1)*taskCPU <= free+allowance(l, w, now); {
			ends = append(ends, now+taskTime)
		}
	}
	return p
}

// With a fixed share of the serving tasks' CPU for filling work, serving tasks
// exceed their targets at high load, and processors stay idle at low load.
func TestLeftoverBeatsFixedShareUnderSwingingLoad(t *testing.T) {
	fixed := simulateSwing(func(*learner, *worker, time.Duration) int { return defaultUnused * servingCPU })
	seen := simulateSwing(func(l *learner, w *worker, now time.Duration) int { return l.leftover(w, now) })
	t.Logf("fixed: %.0f tasks, %v over; as seen: %.0f tasks, %v over", fixed.work, fixed.over, seen.work, seen.over)
	if seen.work < fixed.work {
		t.Errorf("%.0f tasks done, %.0f with a fixed share", seen.work, fixed.work)
	}
	if seen.over > fixed.over/2 {
		t.Errorf("over the target for %v, with a fixed share for %v", seen.over, fixed.over)
	}
}
