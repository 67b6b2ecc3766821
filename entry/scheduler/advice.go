package scheduler

import (
	"context"
	"sort"
	"time"

	"persimmonrock.example/decide/placement"
	"persimmonrock.example/infra/policy"
	"persimmonrock.example/structs/workload"
)

const (
	// adviceWorkers bounds the workers of one request; the policy service needs
	// some time for each.
	adviceWorkers = 30
	// adviceQueue bounds the waiting requests.
	adviceQueue = 16
	// adviceRetry is the pause after a request that failed, permitted no worker or
	// found the queue full.
	adviceRetry = 300 * time.Millisecond
	// ticketMargin is the least remaining validity of a ticket when a task is
	// placed: the ticket has to reach the worker.
	ticketMargin = 400 * time.Millisecond
)

// advice holds the policy service's answers about one step.
type advice struct {
	// pending says that a request is under way.
	pending bool
	retryAt time.Time
	tickets map[workload.WorkerID]ticket
	// denied are the workers that may not run the step; a denial never changes.
	denied map[workload.WorkerID]bool
}

type ticket struct {
	value string
	until time.Time
}

// adviceRequest asks which workers may run a step.
type adviceRequest struct {
	step    policy.Step
	advice  *advice
	workers []workload.WorkerID
}

// ticket returns a worker's ticket, and whether it is valid beyond
// ticketMargin.
func (a *advice) ticket(w workload.WorkerID, now time.Time) (string, bool) {
	k, ok := a.tickets[w]
	return k.value, ok && now.Add(ticketMargin).Before(k.until)
}

// barUnpermitted bars the workers without a valid ticket for a step whose queue
// requires tickets. If no permitted worker has capacity, it requests tickets
// for the barred ones. It returns a function that lifts the bars.
func (t *Term) barUnpermitted(v *view, j *job, o *occurrence, si int) func() {
	s := o.steps[si]
	if s.advice == nil {
		s.advice = &advice{tickets: map[workload.WorkerID]ticket{}, denied: map[workload.WorkerID]bool{}}
	}
	now := time.Now()
	var barred []int
	usable := false
	for i, w := range v.workers {
		if v.candidates[i].Barred {
			continue
		}
		if _, ok := s.advice.ticket(w.id, now); !ok {
			v.bar(i, placement.NotPermitted)
			barred = append(barred, i)
			continue
		}
		usable = usable || s.spec.Reserved().Fits(v.candidates[i].Free)
	}
	lift := func() {
		for _, i := range barred {
			v.candidates[i].Barred = false
		}
	}
	if !usable {
		t.queueAdviceRequest(v, barred, s, policy.Step{Job: j.spec.ID, Occurrence: o.number, Step: si}, now)
	}
	return lift
}

// queueAdviceRequest requests tickets for the given candidates that are not
// denied and have capacity for the step. At most adviceWorkers are requested,
// those with the most free CPU.
func (t *Term) queueAdviceRequest(v *view, among []int, s *step, id policy.Step, now time.Time) {
	a := s.advice
	if a.pending || now.Before(a.retryAt) || t.deps.Policy == nil {
		return
	}
	var fit []int
	for _, i := range among {
		c := &v.candidates[i]
		if !a.denied[v.workers[i].id] && s.spec.Reserved().Fits(c.Free) && v.workers[i].info.HasLabel(s.spec.Label) {
			fit = append(fit, i)
		}
	}
	sort.Slice(fit, func(x, y int) bool { return v.candidates[fit[x]].Free.CPU > v.candidates[fit[y]].Free.CPU })
	q := adviceRequest{step: id, advice: a}
	for _, i := range fit[:min(len(fit), adviceWorkers)] {
		q.workers = append(q.workers, v.workers[i].id)
	}
	if len(q.workers) == 0 {
		return
	}
	select {
	case t.adviceRequests <- q:
		a.pending = true
	default:
		a.retryAt = now.Add(adviceRetry)
	}
}

// adviceLoop sends the requests one after the other: the policy service handles
// one call at a time for each machine.
func (t *Term) adviceLoop() {
	for {
		select {
		case <-t.ctx.Done():
			return
		case q := <-t.adviceRequests:
			t.requestAdvice(t.ctx, q)
		}
	}
}

func (t *Term) requestAdvice(ctx context.Context, q adviceRequest) {
	answer, err := t.deps.Policy.Advise(ctx, q.step, q.workers)
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	q.advice.pending = false
	t.deps.Log.Info().Err(err).Str("job", string(q.step.Job)).Int("step", q.step.Step).Int("asked", len(q.workers)).
		Int("permitted", len(answer.Tickets)).Dur("valid", answer.Valid).Msg("tickets requested from the policy service")
	if err != nil || len(answer.Tickets) == 0 {
		q.advice.retryAt = now.Add(adviceRetry)
	}
	if err != nil {
		return
	}
	for _, w := range q.workers {
		if value, ok := answer.Tickets[w]; ok {
			q.advice.tickets[w] = ticket{value: value, until: now.Add(answer.Valid)}
		} else {
			q.advice.denied[w] = true
		}
	}
	t.wakeUp()
}
