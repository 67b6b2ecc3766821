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
