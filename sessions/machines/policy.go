package machines

import (
	"context"
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"persimmonrock.example/infra/policy"
	"persimmonrock.example/infra/wait"
	"persimmonrock.example/structs/workload"
)

const (
	ticketLifetime = 3 * time.Second
	// An answer takes decisionTime plus timePerWorker for each worker.
	decisionTime  = 20 * time.Millisecond
	timePerWorker = 5 * time.Millisecond
)

// advisor simulates the policy service. It permits a step on about half of the
// workers.
type advisor struct {
	mu      sync.Mutex
	tickets map[string]time.Time
	calls   int
}

var _ policy.Advisor = (*advisor)(nil)

func newAdvisor() *advisor { return &advisor{tickets: map[string]time.Time{}} }

// Advise implements policy.Advisor.
func (a *advisor) Advise(ctx context.Context, s policy.Step, workers []workload.WorkerID) (policy.Answer, error) {
	if !wait.For(ctx, decisionTime+time.Duration(len(workers))*timePerWorker) {
		return policy.Answer{}, ctx.Err()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	answer := policy.Answer{Tickets: map[workload.WorkerID]string{}, Valid: ticketLifetime}
	for _, w := range workers {
		if !permitted(s, w) {
			continue
		}
		value := fmt.Sprintf("%s.%d.%d/%s/%d", s.Job, s.Occurrence, s.Step, w, a.calls)
		a.tickets[value] = time.Now().Add(ticketLifetime)
		answer.Tickets[w] = value
	}
	return answer, nil
}

// permitted reports whether a worker may run a step. The result never changes.
func permitted(s policy.Step, w workload.WorkerID) bool {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s.%d.%d/%s", s.Job, s.Occurrence, s.Step, w)
	return h.Sum32()%2 == 0
}

// validTicket reports whether value is a valid ticket for the task's step on
// the worker.
func (a *advisor) validTicket(t workload.TaskID, w workload.WorkerID, value string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.tickets[value]
	prefix := fmt.Sprintf("%s.%d.%d/%s/", t.Job, t.Occurrence, t.Step, w)
	return ok && time.Now().Before(until) && len(value) > len(prefix) && value[:len(prefix)] == prefix
}
