package scheduler

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/structs/workload"
)

// mixedTerm is a term of four workers, each with two serving tasks of image a and
// two of image b, which fill it. Images f and g press on a and b. Jobs of both wait.
func mixedTerm(now *time.Duration, known bool) (*Term, *bytes.Buffer) {
	queue := workload.Queue{Name: "q", Service: "s", Stretch: 2, MaxAttempts: 3}
	t := loadedTerm(now, queue)
	var log bytes.Buffer
	t.deps.Log = zerolog.New(&log)
	t.cfg.Policies.Layout.Enabled = true
	for i := range 4 {
		w := newWorker(workload.WorkerID(fmt.Sprintf("w-%d", i)), fmt.Sprintf("agent-%d", i))
		w.alive = true
		w.info = workload.Worker{ID: w.id, Service: "s", Capacity: workload.Resources{CPU: 40000, Memory: 256000}}
		t.workers[w.id] = w
	}
	if known {
		for _, p := range []struct {
			serving, filling string
			weight           float64
		}{{"a", "f", 1.5}, {"a", "g", 0}, {"b", "f", 0}, {"b", "g", 1.5}} {
			for range 20 {
				t.learner.model.Observe(pressure.Sample{Serving: p.serving, Load: 0.3 * p.weight, Used: map[string]float64{p.filling: 0.3}, Count: 1})
			}
		}
		t.learner.model.Solve(0)
	}
	for n := range 8 {
		image := []string{"a", "b"}[n%2]
		step := workload.Step{Count: 2, Need: workload.Resources{CPU: 10000, Memory: 10000}, Lasting: true, TailTarget: time.Millisecond, Image: image}
		id := workload.JobID(fmt.Sprintf("serving%d", n))
		t.addJob(workload.Job{ID: id, Queue: queue, Steps: []workload.Step{step}})
		s := t.jobs[id].occurrences[0].steps[0]
		for k := range s.tasks {
			w := t.workers[workload.WorkerID(fmt.Sprintf("w-%d", n/2))]
			s.tasks[k] = task{state: taskPlaced, run: 1, ordered: true, worker: w.id, placedAt: time.Now().Add(-time.Minute)}
			w.add(workload.RunID{Task: workload.TaskID{Job: id, Index: k}, Run: 1}, s.spec)
		}
		s.waiting = 0
	}
	for _, image := range []string{"f", "g"} {
		step := workload.Step{Count: 20, Need: workload.Resources{CPU: 5000, Memory: 1000}, Estimate: time.Second, Fills: true, Image: image}
		t.addJob(workload.Job{ID: workload.JobID("filling-" + image), Queue: queue, Steps: []workload.Step{step}})
	}
	log.Reset()
	return t, &log
}

const layoutMessage = "serving task moved for the layout"

// Load: all work that waits presses on one of the two images of each worker.
func TestLayoutSeparatesImagesForWorkThatWaits(t *testing.T) {
	now := time.Minute
	term, log := mixedTerm(&now, true)
	if !term.planLayout() {
		t.Fatalf("nothing moved: %s", log.String())
	}
	moves := strings.Count(log.String(), layoutMessage)
	if moves == 0 || moves != int(term.deps.Counters.LaidOut.Load()) {
		t.Errorf("%d lines, %d counted", moves, term.deps.Counters.LaidOut.Load())
	}
	for _, j := range term.active {
		away := 0
		for _, k := range j.occurrences[0].steps[0].tasks {
			if k.stopping {
				away++
			}
			if k.stopping && term.workers[k.pin] == nil {
				t.Errorf("job %s: no capacity is held for a moved task", j.spec.ID)
			}
		}
		if away > 1 {
			t.Errorf("job %s: %d tasks of a step are away", j.spec.ID, away)
		}
	}
	if term.planLayout() {
		t.Error("a second pass at once")
	}
}

// Guards against moves on a guess: after a crash of the scheduler whose learnt
// pairs were not stored, the next one knows no pair, and moves nothing.
func TestLayoutMovesNothingWhilePairsAreUnknown(t *testing.T) {
	now := time.Minute
	term, log := mixedTerm(&now, false)
	if term.planLayout() {
		t.Errorf("moved: %s", log.String())
	}
}

// Guards against a second task of a step being stopped while one is lost with its
// worker.
func TestLayoutLeavesStepsWithAMissingTask(t *testing.T) {
	now := time.Minute
	term, log := mixedTerm(&now, true)
	for _, j := range term.active {
		s := j.occurrences[0].steps[0]
		if s.spec.TailTarget == 0 {
			continue
		}
		k := &s.tasks[1]
		term.workers[k.worker].remove(workload.RunID{Task: workload.TaskID{Job: j.spec.ID, Index: 1}, Run: 1})
		j.release(s, k, "")
	}
	if term.planLayout() {
		t.Errorf("moved: %s", log.String())
	}
}

// The policy is off: serving tasks rest as long as before.
func TestRestAfterMove(t *testing.T) {
	var term Term
	if got := term.restAfterMove(); got != regroupAfter {
		t.Errorf("%v without the policy", got)
	}
	term.cfg.Policies.Layout.Enabled = true
	if got := term.restAfterMove(); got != layoutAfter {
		t.Errorf("%v with it", got)
	}
}

func TestLayoutIsMeasuredOnlyWithTheDiagnosis(t *testing.T) {
	now := time.Minute
	term, log := mixedTerm(&now, true)
	term.measureLayout()
	if log.Len() > 0 {
		t.Errorf("logged without the policy: %s", log.String())
	}
	term.cfg.Policies.Diagnosis.Enabled = true
	for range 5 {
		term.measureLayout()
	}
	if n := strings.Count(log.String(), "layout measured"); n != 1 {
		t.Errorf("%d lines at one time: %s", n, log.String())
	}
	if n := strings.Count(log.String(), "pairs learnt"); n != 2 {
		t.Errorf("%d lists of pairs: %s", n, log.String())
	}
}

// Load: jobs of three serving images arrive at once at empty workers, of which no
// pair is known. Each image gets workers of its own while there are any.
func TestNewServingImagesGetWorkersOfTheirOwn(t *testing.T) {
	now := time.Minute
	queue := workload.Queue{Name: "q", Service: "s", Stretch: 2, MaxAttempts: 3}
	term := loadedTerm(&now, queue)
	term.deps.Log = zerolog.Nop()
	term.cfg.Policies.Layout.Enabled = true
	for i := range 6 {
		w := newWorker(workload.WorkerID(fmt.Sprintf("w-%d", i)), fmt.Sprintf("agent-%d", i))
		w.alive = true
		w.info = workload.Worker{ID: w.id, Service: "s", Capacity: workload.Resources{CPU: 40000, Memory: 256000}}
		term.workers[w.id] = w
	}
	for n := range 6 {
		step := workload.Step{Count: 2, Need: workload.Resources{CPU: 10000, Memory: 10000}, Lasting: true, Spread: 1, TailTarget: time.Millisecond, Image: []string{"a", "b", "c"}[n%3]}
		term.addJob(workload.Job{ID: workload.JobID(fmt.Sprintf("serving%d", n)), Queue: queue, Steps: []workload.Step{step}})
	}
	term.plan()
	for _, w := range term.workers {
		if len(w.images) != 1 {
			t.Errorf("%s has the images %v", w.id, w.images)
		}
	}
}

// Load: after all is lost at once, 30 serving jobs are placed anew on 1,000 workers
// by one plan.
func BenchmarkPlanServingWithLayout(b *testing.B) {
	for b.Loop() {
		b.StopTimer()
		term := busyTerm(1000, 0)
		term.cfg.Policies.Layout.Enabled = true
		queue := workload.Queue{Name: "q", Service: "s", Stretch: 2, MaxAttempts: 3}
		for n := range 30 {
			step := workload.Step{Count: 14, Need: workload.Resources{CPU: 1000, Memory: 1000}, Lasting: true, TailTarget: time.Millisecond, Image: fmt.Sprintf("s%d", n%10)}
			term.addJob(workload.Job{ID: workload.JobID(fmt.Sprintf("serving%d", n)), Queue: queue, Steps: []workload.Step{step}})
		}
		b.StartTimer()
		term.plan()
	}
}

// A pass of the layout runs 2.5 times a second: 1,000 workers with 3,000 serving
// tasks, and filling work that waits.
func BenchmarkPlanLayout(b *testing.B) {
	now := time.Minute
	term := busyTerm(1000, 30)
	term.deps.Now = func() time.Duration { return now }
	term.cfg.Policies.Layout.Enabled = true
	queue := workload.Queue{Name: "q", Service: "s", Stretch: 2, MaxAttempts: 3}
	for n := range 300 {
		step := workload.Step{Count: 10, Need: workload.Resources{CPU: 400, Memory: 1000}, Lasting: true, TailTarget: time.Millisecond, Image: fmt.Sprintf("s%d", n%10)}
		term.addJob(workload.Job{ID: workload.JobID(fmt.Sprintf("serving%d", n)), Queue: queue, Steps: []workload.Step{step}})
	}
	term.plan()
	for b.Loop() {
		now += regroupEvery
		term.planLayout()
	}
}
