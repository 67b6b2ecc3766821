package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmonrock.example/decide/forecast"
	"persimmonrock.example/decide/order"
	"persimmonrock.example/structs/workload"
)

// maxBacklogSteps bounds the sizes of a backlog in an outlook.
const maxBacklogSteps = 12

// predictLoads sums up the accepted work by queue, and the room of its service.
// It stands in for the forecast of ends, which knows the pace of the workers.
// The caller holds mu.
func (t *Term) predictLoads() map[string]forecast.Load {
	loads := map[string]forecast.Load{}
	rooms := map[string]room{}
	for _, j := range t.active {
		if _, ok := loads[j.queue.Name]; ok {
			continue
		}
		service := j.queue.Service
		r, ok := rooms[service]
		if !ok {
			r = t.roomOf(service)
			rooms[service] = r
		}
		loads[j.queue.Name] = t.loadOf(j.queue, r)
	}
	return loads
}

// room is the room of a service, in cores, for its filling and its other jobs
// that end.
type room struct{ filling, reserved float64 }

func (t *Term) roomOf(service string) room {
	var r room
	now := t.deps.Now()
	for _, w := range t.workers {
		if !w.accepts(service) {
			continue
		}
		r.reserved += float64(w.info.Capacity.CPU-w.lasting.CPU) / 1000
		free := w.info.Capacity.CPU - w.used.CPU
		r.filling += float64(max(0, free+t.learner.leftover(w, now))) / 1000
	}
	return r
}

// remainingWork is the work that a job has left.
type remainingWork struct {
	work float64
	// behind says that the job can't be in time any more.
	behind bool
}

// loadOf is the load before a new job of the queue. All accepted jobs are to
// end, so all their work comes before a new job, but for larger filling jobs
// that are still in time.
func (t *Term) loadOf(q workload.Queue, r room) forecast.Load {
	var filling []remainingWork
	reserved := 0.0
	for _, j := range t.active {
		if j.state.Final() || j.queue.Service != q.Service || j.queue.Priority > q.Priority {
			continue
		}
		fills, counted := j.remainingWork()
		reserved += counted
		if fills > 0 {
			filling = append(filling, remainingWork{work: fills, behind: j.key.Class != order.InTime})
		}
	}
	return forecast.Load{
		Filling:  forecast.Backlog{Cores: r.filling, Steps: fillingSteps(filling)},
		Reserved: forecast.Backlog{Cores: r.reserved, Steps: []forecast.BacklogStep{{UpTo: math.MaxFloat64, Ahead: reserved}}},
	}
}

// fillingSteps lists the work ahead of a new filling job by its size. Where steps
// are joined, the work ahead is that of the smallest size.
func fillingSteps(jobs []remainingWork) []forecast.BacklogStep {
	slices.SortFunc(jobs, func(a, b remainingWork) int { return cmp.Compare(a.work, b.work) })
	ahead := 0.0
	for _, j := range jobs {
		if j.behind {
			ahead += j.work
		}
	}
	var steps []forecast.BacklogStep
	every := len(jobs)/maxBacklogSteps + 1
	before := ahead
	for i, j := range jobs {
		if i%every == 0 {
			before = ahead
		}
		if !j.behind {
			ahead += j.work
		}
		if (i+1)%every == 0 {
			steps = append(steps, forecast.BacklogStep{UpTo: j.work, Ahead: before})
		}
	}
	return append(steps, forecast.BacklogStep{UpTo: math.MaxFloat64, Ahead: ahead})
}

// remainingWork returns the filling and the other work that is left of a job
// that ends, in core-seconds. Of a placed task, half is left on average.
func (j *job) remainingWork() (filling, reserved float64) {
	if j.spec.Steps[0].Lasting {
		return 0, 0
	}
	durations := j.expected()
	for _, o := range j.occurrences {
		for i, s := range o.steps {
			placed := len(s.tasks) - s.done - s.waiting
			left := float64(s.waiting) + float64(placed)/2
			work := left * float64(s.spec.Need.CPU) / 1000 * float64(durations[i]) / float64(time.Second)
			if s.spec.Fills {
				filling += work
			} else {
				reserved += work
			}
		}
	}
	return filling, reserved
}
