// Package policy declares the service that permits steps to run on workers, for
// the queues that need its permission.
package policy

import (
	"context"
	"errors"
	"time"

	"persimmonrock.example/structs/workload"
)

// Step names one step of one occurrence of a job.
type Step struct {
	Job        workload.JobID
	Occurrence int
	Step       int
}

// Answer is the service's answer on the workers of a call.
type Answer struct {
	// Tickets holds the permission of each permitted worker.
	Tickets map[workload.WorkerID]string
	// Valid is the lifetime of the tickets.
	Valid time.Duration
}

// Advisor is the policy service. It serves one call at a time.
type Advisor interface {
	Advise(ctx context.Context, s Step, workers []workload.WorkerID) (Answer, error)
}

// ErrBusy means that too many calls are waiting.
var ErrBusy = errors.New("policy service: too many calls")
