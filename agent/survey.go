package agent

import (
	"context"
	"errors"
	"time"

	"persimmonrock.example/agent/ledger"
	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// surveyInterval is the time between surveys of the worker for tasks of earlier
// agents.
const surveyInterval = 200 * time.Millisecond

// survey updates the ledger's count of the tasks that the worker runs for
// earlier agents, until this agent holds the lease and none of those tasks runs
// any more.
func (a *Agent) survey(ctx context.Context) {
	for {
		held, _ := a.lease.Held(time.Now())
		running, err := a.runningTasks(ctx, held)
		if err == nil && a.ledger.Survey(running, time.Now()) == 0 && held != 0 {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(surveyInterval):
		}
	}
}

// runningTasks returns the running tasks of other incarnations than held.
func (a *Agent) runningTasks(ctx context.Context, held structs.Incarnation) ([]ledger.WorkerTask, error) {
	ask, cancel := context.WithTimeout(ctx, a.config.Timeout)
	defer cancel()
	list, err := a.deps.Worker.List(ask)
	if err != nil {
		return nil, err
	}
	var out []ledger.WorkerTask
	for _, t := range list {
		if t.Phase == infra.TaskRunning && (held == 0 || t.Holder != held) {
			out = append(out, ledger.WorkerTask{Key: ledger.TaskKey{Job: t.Job, Epoch: t.Epoch}, Size: t.Declared})
		}
	}
	return out, nil
}

// Ready returns nil once the agent admits work and no planned stop has begun.
func (a *Agent) Ready() error {
	switch {
	case a.ledger.Draining():
		return errors.New("a planned stop has begun")
	case !a.ledger.Settled(time.Now()):
		return errors.New("what already runs on the instance is still being counted")
	}
	return nil
}

// Serving returns the number of ready backend servers on the instance, or 0
// while the agent admits no work.
func (a *Agent) Serving() int {
	if a.Ready() != nil {
		return 0
	}
	return a.ledger.Offers().Ready
}
