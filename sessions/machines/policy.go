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
	// ticketFor is how long a ticket holds.
	ticketFor = 3 * time.Second
	// decideTime and eachWorker are the time that an answer takes.
	decideTime = 20 * time.Millisecond
	eachWorker = 5 * time.Millisecond
)

// advisor is a stand-in of the policy service: about half of the workers may
// run a step.
type advisor struct {
	mu      sync.Mutex
	tickets map[string]time.Time
	calls   int
}

var _ policy.Advisor = (*advisor)(nil)

func newAdvisor() *advisor { return &advisor{tickets: map[string]time.Time{}} }

// Advise implements policy.Advisor.
func (a *advisor) Advise(ctx context.Context, s policy.Step, workers []workload.WorkerID) (policy.Answer, error) {
	if !wait.For(ctx, decideTime+time.Duration(len(workers))*eachWorker) {
		return policy.Answer{}, ctx.Err()
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls++
	answer := policy.Answer{Tickets: map[workload.WorkerID]string{}, Valid: ticketFor}
	for _, w := range workers {
		if !permitted(s, w) {
			continue
		}
		value := fmt.Sprintf("%s.%d.%d/%s/%d", s.Job, s.Occurrence, s.Step, w, a.calls)
		a.tickets[value] = time.Now().Add(ticketFor)
		answer.Tickets[w] = value
	}
	return answer, nil
}

// permitted says whether a worker may run a step, which does not change.
func permitted(s policy.Step, w workload.WorkerID) bool {
	h := fnv.New32a()
	fmt.Fprintf(h, "%s.%d.%d/%s", s.Job, s.Occurrence, s.Step, w)
	return h.Sum32()%2 == 0
}

// holds reports whether a start carries a valid ticket for its step and
// worker.
func (a *advisor) holds(t workload.TaskID, w workload.WorkerID, value string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	until, ok := a.tickets[value]
	prefix := fmt.Sprintf("%s.%d.%d/%s/", t.Job, t.Occurrence, t.Step, w)
	return ok && time.Now().Before(until) && len(value) > len(prefix) && value[:len(prefix)] == prefix
}
