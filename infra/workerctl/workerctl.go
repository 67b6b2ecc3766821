// Package workerctl declares what an agent can ask of the worker beside it.
package workerctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"persimmonrock.example/structs/workload"
)

// Clock is a reading of the worker's own steady clock, in milliseconds. It
// may run up to 2 % slow.
type Clock int64

// Add returns the reading d later.
func (c Clock) Add(d time.Duration) Clock { return c + Clock(d.Milliseconds()) }

// StartOrder asks for one run.
type StartOrder struct {
	Run     workload.RunID
	Payload string
	// Lease is the time until which everything on the worker may run.
	Lease Clock
	// Token fences older agents of the same worker.
	Token      uint64
	Checkpoint string
	// Ticket is the policy service's permission, where the queue needs one.
	Ticket string
}

// HoldOrder renews the lease, acknowledges ends and asks for both lists.
type HoldOrder struct {
	// Lease is 0 where the lease is not to be renewed.
	Lease Clock
	Token uint64
	// Seen is the number of the last end that may be forgotten.
	Seen uint64
	// Wait is how long the answer may wait for a new end.
	Wait time.Duration
}

// RunStatus is one run that is on the worker.
type RunStatus struct {
	Run        workload.RunID
	Checkpoint string
	// Progress is the part of its work that is done, in percent; a lasting
	// task is at work at 100.
	Progress int
	// Rough is the tail latency in milliseconds of a task that serves, else
	// the CPU in use, over the last half second.
	Rough float64
}

// Listing is what a worker answers to a HoldOrder.
type Listing struct {
	Now     Clock
	Running []RunStatus
	Ended   []workload.End
}

// Control gives orders to one worker. Each call names the life of the worker
// that it is meant for. Errors: ErrGone, *RefusedError and ErrNotDone prove
// that nothing was done and never will be; ErrUnknown proves nothing: the
// order may be carried out seconds later, after newer ones.
type Control interface {
	Start(ctx context.Context, life workload.WorkerID, o StartOrder) (Clock, error)
	Stop(ctx context.Context, life workload.WorkerID, run workload.RunID, token uint64) (Clock, error)
	Hold(ctx context.Context, life workload.WorkerID, o HoldOrder) (Listing, error)
	Pace(ctx context.Context, life workload.WorkerID, run workload.RunID, percent int, token uint64) (Clock, error)
}

// Errors of a Control.
var (
	// ErrGone says that the worker has begun another life.
	ErrGone = errors.New("worker: another life")
	// ErrNotDone says that the order had no effect.
	ErrNotDone = errors.New("worker: not done")
	// ErrDown says that nothing listens at the worker's address, so that the order
	// had no effect: the worker has crashed, or is out of reach.
	ErrDown = fmt.Errorf("nothing listens there: %w", ErrNotDone)
	// ErrUnknown says that the effect is not known and may come later.
	ErrUnknown = errors.New("worker: outcome unknown")
)

// Reason says why a worker refused an order.
type Reason string

// The reasons of a refusal.
const (
	// RefusedFence: a newer agent has shown a higher token.
	RefusedFence Reason = "fence"
	// RefusedOld: the run was stopped, ended or overtaken there.
	RefusedOld Reason = "old"
	// RefusedLate: the lease of the order has run out.
	RefusedLate Reason = "late"
	// RefusedRoom: it does not fit.
	RefusedRoom Reason = "room"
	// RefusedTicket: the permission is missing or too old.
	RefusedTicket Reason = "ticket"
	// RefusedInvalid: the worker could not read the order.
	RefusedInvalid Reason = "invalid"
)

// RefusedError is a final refusal.
type RefusedError struct{ Reason Reason }

func (e *RefusedError) Error() string { return "worker refused: " + string(e.Reason) }
