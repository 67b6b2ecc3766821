package scheduler

import (
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

// Failure guarded against: a job is ranked as overdue, or before smaller ones,
// because its estimate is off by a factor of three either way. Once some of the
// job's own tasks have ended, the job is ranked by their durations.
func TestJobsAreRankedByTheTimesOfTheirOwnTasks(t *testing.T) {
	queue := workload.Queue{Name: "q", Service: "s", Stretch: 2, TargetLatency: time.Second}
	now := time.Minute
	term := loadedTerm(&now, queue)
	add := func(id workload.JobID, estimate time.Duration) *job {
		term.addJob(workload.Job{ID: id, Queue: queue, Steps: []workload.Step{{Count: 8, Need: workload.Resources{CPU: 7000}, Estimate: estimate, Fills: true}}})
		return term.jobs[id]
	}
	end := func(j *job, index int, worked time.Duration) {
		s := j.occurrences[0].steps[0]
		k := &s.tasks[index]
		e := workload.End{Run: workload.RunID{Task: workload.TaskID{Job: j.spec.ID, Index: index}}, Kind: workload.EndDone, Worked: worked}
		k.state = taskPlaced
		term.resolveEnd(j, s, k, e, newWorker("w", "agent"))
	}
	low, high := add("low", time.Second), add("high", 9*time.Second)
	before := term.rank(high, 0).Work / term.rank(low, 0).Work
	if before < 8.9 {
		t.Errorf("before any task has ended, the estimates count: %.1f times the work", before)
	}
	if class := term.rank(low, 5*time.Second).Class; class == 0 {
		t.Error("by its estimate the job is late")
	}
	end(low, 0, 9*time.Second)
	// The other seven tasks of low are expected to take about as long.
	if ratio := term.rank(high, 0).Work / term.rank(low, 0).Work; ratio > 1.5 {
		t.Errorf("a task of its own took as long as one of the other job: %.1f times the work", ratio)
	}
}
