package scheduler

import (
	"slices"
	"testing"
	"time"

	"persimmonrock.example/decide/order"
	"persimmonrock.example/structs/workload"
)

// fillTerm is a term with one worker on which each job has one filling run, or
// a serving one if the job is "serves".
func fillTerm(keys map[workload.JobID]order.Key) (*Term, *worker) {
	t := &Term{jobs: map[workload.JobID]*job{}}
	w := newWorker("w1", "node")
	for id, k := range keys {
		t.jobs[id] = &job{spec: workload.Job{ID: id}, key: k}
		s := &workload.Step{Fills: true, Image: "f", Need: workload.Resources{CPU: 1000}}
		if id == "serves" {
			s = &workload.Step{Image: "a", TailTarget: time.Millisecond, Lasting: true}
		}
		w.add(workload.RunID{Task: workload.TaskID{Job: id}, Run: 1}, s)
	}
	return t, w
}

// An agent gives the CPU that serving tasks can spare to filling jobs in the
// order received from the scheduler. A changed order is sent until the agent
// answers, and to each new process of the agent. Otherwise a job that can't end
// in time would stay ahead of jobs that can.
func TestFillOrderIsSentOnChange(t *testing.T) {
	term, w := fillTerm(map[workload.JobID]order.Key{
		"large": {Work: 90}, "small": {Work: 10}, "late": {Class: order.Late, Work: 1}, "serves": {},
	})
	l := &agentLink{term: term, worker: w}
	first := []workload.JobID{"small", "large", "late"}
	for range 2 {
		if got := l.changedOrder(); !slices.Equal(got, first) {
			t.Fatalf("order %v, want %v", got, first)
		}
	}
	l.sentOrder = first
	if got := l.changedOrder(); got != nil {
		t.Errorf("sent again without a change: %v", got)
	}
	term.jobs["small"].key.Class = order.Overdue
	second := []workload.JobID{"large", "late", "small"}
	if got := l.changedOrder(); !slices.Equal(got, second) {
		t.Errorf("order %v after a change, want %v", got, second)
	}
	l.sentOrder = second
	l.newProcess(7)
	if got := l.changedOrder(); !slices.Equal(got, second) {
		t.Errorf("a new process of the agent is sent %v, want %v", got, second)
	}
}

// Load: a worker has the last run of a large job's step and runs of a smaller job's
// step that has just begun. What the worker can bear goes to the run that the rest
// of its step waits for; without the policy, and across priorities, it does not.
func TestLastRunsOfAStepComeFirst(t *testing.T) {
	term, w := fillTerm(map[workload.JobID]order.Key{"large": {Class: order.Late, Work: 90}, "small": {Work: 10}, "urgent": {Priority: -1, Work: 80}})
	for id, j := range term.jobs {
		s := &step{spec: &workload.Step{Fills: true}, tasks: make([]task, 11), done: 2}
		if id == "large" {
			s.done = 10
		}
		s.tasks[0] = task{state: taskPlaced, run: 1, worker: w.id}
		j.occurrences = []*occurrence{{steps: []*step{s}}}
	}
	if got := term.fillOrder(w); !slices.Equal(got, []workload.JobID{"urgent", "small", "large"}) {
		t.Errorf("order %v without the policy", got)
	}
	term.cfg.Policies.Rebalancing.Enabled = true
	if got := term.fillOrder(w); !slices.Equal(got, []workload.JobID{"urgent", "large", "small"}) {
		t.Errorf("order %v, want the last run before the others of its priority", got)
	}
}
