package scheduler

import (
	"cmp"
	"slices"

	"persimmonrock.example/decide/rebalance"
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
	awaited := t.awaitedJobs(w)
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.key.Priority, b.key.Priority), compareTrueFirst(awaited[a.spec.ID], awaited[b.spec.ID]),
			a.key.Compare(b.key), cmp.Compare(a.spec.ID, b.spec.ID))
	})
	order := make([]workload.JobID, len(jobs))
	for i, j := range jobs {
		order[i] = j.spec.ID
	}
	return order
}

// awaitedJobs are the jobs with a filling run on w for which the rest of the run's
// step waits; none without the policy rebalancing.
func (t *Term) awaitedJobs(w *worker) map[workload.JobID]bool {
	if !t.cfg.Policies.Rebalancing.Enabled {
		return nil
	}
	awaited := map[workload.JobID]bool{}
	for r, v := range w.runs {
		if v.fill == 0 {
			continue
		}
		if _, s, k := t.placedRun(w, r); k != nil && rebalance.Awaited(len(s.tasks), s.done, s.waiting) {
			awaited[r.Task.Job] = true
		}
	}
	return awaited
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
