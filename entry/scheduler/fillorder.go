package scheduler

import (
	"cmp"
	"slices"

	"persimmonrock.example/structs/workload"
)

// changedOrder returns the order of the jobs with filling runs on the worker,
// or nil if the agent has this order.
func (l *agentLink) changedOrder() []workload.JobID {
	order := l.term.fillOrder(l.worker)
	if slices.Equal(order, l.sentOrder) {
		return nil
	}
	return order
}

// fillOrder lists the jobs with filling runs on w, by their rank.
func (t *Term) fillOrder(w *worker) []workload.JobID {
	if w.fillLoad == 0 {
		return nil
	}
	seen := map[workload.JobID]bool{}
	var jobs []*job
	for r, v := range w.runs {
		id := r.Task.Job
		if v.fill == 0 || seen[id] || t.jobs[id] == nil {
			continue
		}
		seen[id] = true
		jobs = append(jobs, t.jobs[id])
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(a.key.Compare(b.key), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	order := make([]workload.JobID, len(jobs))
	for i, j := range jobs {
		order[i] = j.spec.ID
	}
	return order
}
