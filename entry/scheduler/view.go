package scheduler

import (
	"sort"
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/decide/recovery"
	"persimmonrock.example/structs/workload"
)

// view holds the workers that are alive, in a fixed order, as the placement
// sees them. It is updated while a plan is made.
type view struct {
	workers    []*worker
	service    string
	candidates []placement.Candidate
	now        time.Duration
	// learner estimates the CPU that serving tasks leave unused.
	learner *learner
	// barred lists the candidates that are barred for the step being planned.
	barred []int
	// pressure is computed when the first filling step is planned.
	pressure []workerPressure
	// mixers are those of the policy Layout, by service.
	mixers map[string]*namedMixer
	// fleet says whether most workers were lost at once, returned counts the lasting
	// tasks that the plan has returned to their machines.
	fleet    recovery.Fleet
	returned int
	// placed lists the placements of the step being planned.
	placed placements
}

func (t *Term) newView() *view {
	v := &view{now: t.deps.Now(), learner: &t.learner}
	for _, w := range t.workers {
		if w.alive {
			v.workers = append(v.workers, w)
		}
	}
	sort.Slice(v.workers, func(i, k int) bool { return v.workers[i].id < v.workers[k].id })
	return v
}

// setService prepares the candidates for tasks of a service.
func (v *view) setService(service string) {
	if v.service == service && v.candidates != nil {
		return
	}
	v.service = service
	if v.candidates == nil {
		v.candidates = make([]placement.Candidate, 0, len(v.workers))
	}
	v.candidates = v.candidates[:0]
	for _, w := range v.workers {
		c := w.candidate(service, v.now)
		c.Leftover = v.learner.leftover(w, v.now)
		v.candidates = append(v.candidates, c)
	}
	v.excludeSuspects()
}

// usedShare is the share of the candidates' CPU that is counted as used.
func (v *view) usedShare() float64 {
	taken, whole := 0, 0
	for i := range v.candidates {
		if c := &v.candidates[i]; !c.Barred {
			taken += c.Capacity.CPU - c.Free.CPU
			whole += c.Capacity.CPU
		}
	}
	if whole == 0 {
		return 1
	}
	return float64(taken) / float64(whole)
}

// countStep counts the tasks of s on each candidate, if s is spread or coupled.
func (v *view) countStep(s *step) {
	for i := range v.candidates {
		v.candidates[i].OfStep = 0
	}
	if s.spec.Spread == 0 && !s.spec.Coupled {
		return
	}
	for i := range s.tasks {
		if s.tasks[i].state != taskPlaced {
			continue
		}
		if n := v.index(s.tasks[i].worker); n >= 0 {
			v.candidates[n].OfStep++
		}
	}
}

func (v *view) index(id workload.WorkerID) int {
	if id == "" {
		return -1
	}
	n := sort.Search(len(v.workers), func(i int) bool { return v.workers[i].id >= id })
	if n < len(v.workers) && v.workers[n].id == id {
		return n
	}
	return -1
}

func (v *view) rackOfStep(s *step) string {
	if !s.spec.Coupled {
		return ""
	}
	for i := range v.candidates {
		if v.candidates[i].OfStep > 0 {
			return v.candidates[i].Rack
		}
	}
	return ""
}

func (v *view) rackOfChosen(chosen []int) string {
	if len(chosen) == 0 {
		return ""
	}
	return v.candidates[chosen[0]].Rack
}

// reserve takes capacity for a task of s on candidate n.
func (v *view) reserve(n int, s *workload.Step) {
	c := &v.candidates[n]
	c.Free = c.Free.Sub(s.Reserved())
	c.OfStep++
	if s.Fills {
		c.FillLoad += s.Need.CPU
	}
	if s.TailTarget > 0 {
		c.Serving++
	}
}
