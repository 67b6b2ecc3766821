package scheduler

import (
	"time"

	"persimmonrock.example/decide/order"
)

// objective is the time within which the client expects the job to end, by the
// job's estimates; 0 for lasting and repeating jobs, which have no objective.
func (j *job) objective() time.Duration {
	if j.spec.Steps[0].Lasting || j.spec.Repeat.Count > 0 {
		return 0
	}
	took := make([]time.Duration, len(j.spec.Steps))
	for i := range took {
		took[i] = j.spec.Steps[i].Estimate
	}
	return order.Objective(j.queue, order.Chain(j.spec.Steps, took, func(int) bool { return false }))
}

// rank returns the key by which a plan made at now orders the job.
func (t *Term) rank(j *job, now time.Duration) order.Key {
	accepted := time.Duration(j.spec.Accepted) * time.Millisecond
	if j.spec.Steps[0].Lasting || j.spec.Repeat.Count > 0 {
		return order.Key{Priority: j.queue.Priority, By: accepted, Weighed: t.cfg.Policies.Aging.Enabled}
	}
	took := j.expected()
	whole := order.Chain(j.spec.Steps, took, func(int) bool { return false })
	left := whole
	if len(j.occurrences) > 0 {
		o := j.occurrences[0]
		left = order.Chain(j.spec.Steps, took, func(i int) bool { return o.steps[i].complete() })
	}
	key := order.Rank(j.queue, accepted, now, whole, left)
	j.slack = slackOf(key, now, left)
	key.Suspect = key.Class == order.Overdue && j.suspect
	if len(j.occurrences) > 0 {
		o := j.occurrences[0]
		key.Work = order.Work(j.spec.Steps, took, func(i int) int { return len(o.steps[i].tasks) - o.steps[i].done })
	}
	if t.cfg.Policies.Aging.Enabled {
		key = t.weigh(j, key, now)
	}
	return key
}

// expected returns the expected duration of a task of each step: the estimate,
// until some of the step's own tasks have ended.
func (j *job) expected() []time.Duration {
	timed := j.timedTasks()
	if len(j.durations) > 0 && timed == j.durationsTimed {
		return j.durations
	}
	j.durationsTimed = timed
	j.durations = j.durations[:0]
	for i := range j.spec.Steps {
		d := j.spec.Steps[i].Estimate
		if len(j.occurrences) > 0 {
			s := j.occurrences[0].steps[i]
			d = order.CombineDurations(d, s.took, s.timed)
		}
		j.durations = append(j.durations, d)
	}
	return j.durations
}

// timedTasks counts the timed tasks of the job's first occurrence.
func (j *job) timedTasks() int {
	if len(j.occurrences) == 0 {
		return 0
	}
	timed := 0
	for _, s := range j.occurrences[0].steps {
		timed += s.timed
	}
	return timed
}
