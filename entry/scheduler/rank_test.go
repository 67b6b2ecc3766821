package scheduler

import (
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

// A client sees its small job wait behind a large one, or given up as overdue
// while it could still end in time, because estimates are off by a factor of
// three either way. Once tasks of the queue have ended, jobs are ranked by how
// long such tasks take, and once one of its own has, by that.
func TestJobsAreRankedByTheTimesThatTasksTook(t *testing.T) {
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
		term.settle(j, s, k, e, newWorker("w", "agent"))
	}
	low, high := add("low", time.Second), add("high", 9*time.Second)
	before := term.rank(high, 0).Work / term.rank(low, 0).Work
	if before < 8.9 {
		t.Errorf("before any task has ended, the estimates count: %.1f times the work", before)
	}
	if class := term.rank(low, 5*time.Second).Class; class == 0 {
		t.Error("by its estimate the job is late")
	}
	for n := range 12 {
		estimate := time.Duration(1+8*(n%2)) * time.Second
		other := add(workload.JobID(rune('a'+n)), estimate)
		for i := range 8 {
			end(other, i, 3*time.Second)
		}
	}
	now += expectAgain
	if ratio := term.rank(high, 0).Work / term.rank(low, 0).Work; ratio > 2 {
		t.Errorf("estimates that say nothing still count: %.1f times the work", ratio)
	}
	if class := term.rank(low, 4*time.Second).Class; class != 0 {
		t.Error("with the times of other jobs it can end in time")
	}
	end(low, 0, 9*time.Second)
	if ratio := term.rank(high, 0).Work / term.rank(low, 0).Work; ratio > 0.8 {
		t.Errorf("a task of its own took thrice as long: %.1f times the work", ratio)
	}
}
