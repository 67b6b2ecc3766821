package scheduler

import (
	"encoding/json"
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

const (
	agedJob  workload.JobID = "0000000000000001"
	freshJob workload.JobID = "0000000000000002"
)

// agingTerm is a term of one worker with room for one task. agedJob, of 20 tasks,
// was accepted 12 s ago; freshJob, of one task, has just been accepted. Their
// objectives are 2 s.
func agingTerm(now *time.Duration, enabled bool) *Term {
	queue := workload.Queue{Name: "q", Service: "s", Stretch: 2}
	t := loadedTerm(now, queue)
	t.cfg.Policies.Aging.Enabled = enabled
	need := workload.Resources{CPU: 4000, Memory: 1000}
	w := newWorker("w", "agent")
	w.alive = true
	w.info = workload.Worker{ID: w.id, Service: "s", Capacity: need}
	t.workers[w.id] = w
	add := func(id workload.JobID, count int, age time.Duration) {
		step := workload.Step{Count: count, Need: need, Estimate: 870 * time.Millisecond, Fills: true, Image: "f"}
		t.addJob(workload.Job{ID: id, Queue: queue, Steps: []workload.Step{step}, Accepted: (*now - age).Milliseconds()})
	}
	add(agedJob, 20, 12*time.Second)
	add(freshJob, 1, 0)
	return t
}

func (t *Term) hasRun(id workload.JobID) bool { return t.jobs[id].hasPlaced() }

// endRuns ends all runs of a job without completing their tasks.
func (t *Term) endRuns(id workload.JobID) {
	j := t.jobs[id]
	j.each(func(tid workload.TaskID, s *step, k *task) {
		if k.state == taskPlaced {
			t.workers[k.worker].remove(workload.RunID{Task: tid, Run: k.run})
			j.release(s, k, "")
		}
	})
}

// Load: one free place for an overdue job of 20 tasks and a fresh one of a single
// task. The overdue job has had no run since it was accepted.
func TestStarvedJobGoesFirst(t *testing.T) {
	for _, enabled := range []bool{false, true} {
		now := time.Hour
		x := agingTerm(&now, enabled)
		x.plan()
		if x.hasRun(agedJob) != enabled || x.hasRun(freshJob) == enabled {
			t.Errorf("aging %t: starved job runs %t, fresh job %t", enabled, x.hasRun(agedJob), x.hasRun(freshJob))
		}
		if !enabled {
			continue
		}
		if c := x.deps.Counters; c.Starved.Load() != 1 || c.PlacedFirst.Load() != 1 {
			t.Errorf("counters %d, %d; want 1 and 1", c.Starved.Load(), c.PlacedFirst.Load())
		}
		// Its share is used up: the fresh job is next.
		x.endRuns(agedJob)
		x.plan()
		if x.hasRun(agedJob) || !x.hasRun(freshJob) {
			t.Error("the aged job goes first again, though its share is used up")
		}
	}
}

// Guards against: the scheduler is replaced while a job waits that has had runs,
// and its wait starts anew with each successor.
func TestWaitGoesOnAtTakeover(t *testing.T) {
	now := time.Hour
	x := agingTerm(&now, true)
	x.plan()
	x.endRuns(agedJob)
	x.refresh()
	since := x.jobs[agedJob].noRunSince
	if since != now.Milliseconds() {
		t.Fatalf("without a run since %d ms, want %d", since, now.Milliseconds())
	}
	text, err := json.Marshal(x.jobs[agedJob].row())
	if err != nil {
		t.Fatal(err)
	}
	var row progressRow
	if err := json.Unmarshal(text, &row); err != nil {
		t.Fatal(err)
	}
	now += 5 * time.Second
	next := agingTerm(&now, true)
	next.jobs[agedJob].occurrences = nil
	next.jobs[agedJob].restore(row, time.Now())
	next.refresh()
	if j := next.jobs[agedJob]; j.idleTime(now.Milliseconds()) != 5*time.Second || !j.key.Starved {
		t.Errorf("wait %v, starved %t; want 5s and true", j.idleTime(now.Milliseconds()), j.key.Starved)
	}

	// A row of a scheduler without the policy does not say since when.
	row.NoRunSince = 0
	next = agingTerm(&now, true)
	next.jobs[agedJob].occurrences = nil
	next.jobs[agedJob].restore(row, time.Now())
	next.refresh()
	if got := next.jobs[agedJob].idleTime(now.Milliseconds()); got != 0 {
		t.Errorf("wait of a job whose row does not have it: %v, want 0", got)
	}
}

// Without the policy, neither the order nor the rows change.
func TestAgingIsOffByDefault(t *testing.T) {
	now := time.Hour
	x := agingTerm(&now, false)
	x.plan()
	for id, j := range x.jobs {
		if j.key.Weighed || j.row().NoRunSince != 0 {
			t.Errorf("job %s: weighed %t, without a run since %d", id, j.key.Weighed, j.row().NoRunSince)
		}
	}
}
