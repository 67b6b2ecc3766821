// Package workerctl declares the orders that an agent gives to the worker on
// its machine.
package workerctl

import (
	"context"
	"errors"
	"fmt"
	"time"

	"persimmonrock.example/structs/workload"
)

// Clock is a reading of the worker's own monotonic clock, in milliseconds. The
// clock may run up to 2 % slow.
type Clock int64

// Add returns the reading d later.
func (c Clock) Add(d time.Duration) Clock { return c + Clock(d.Milliseconds()) }

// StartOrder starts one run.
type StartOrder struct {
	Run     workload.RunID
	Payload string
	// Lease is the time until which everything on the worker may run.
	Lease Clock
	// Token fences older agents of the same worker.
	Token      uint64
	Checkpoint string
	// Ticket is the policy service's permission, if the queue requires it.
	Ticket string
}

// HoldOrder renews the lease, acknowledges reported ends of runs and requests a
// Listing.
type HoldOrder struct {
	// Lease is the new end of the lease; 0 does not renew it.
	Lease Clock
	Token uint64
	// Seen is the highest number of an end whose effect is stored; the worker
	// drops the ends up to this number. It counts for the life that the call
	// names and for no other life of the same instance, whose ends are numbered
	// anew.
	Seen uint64
	// Wait is how long the worker may delay its answer until another run ends.
	Wait time.Duration
}

// RunStatus is the status of one run on the worker.
type RunStatus struct {
	Run        workload.RunID
	Checkpoint string
	// Progress is the part of the run's work that is done, in percent; a
	// lasting task does its work at 100.
	Progress int
	// Rough is the tail latency in milliseconds of a serving task, or the CPU
	// in use by any other task, over the last half second.
	Rough float64
}

// Listing is a worker's answer to a HoldOrder.
type Listing struct {
	Now     Clock
	Running []RunStatus
	// Ended holds the ends after HoldOrder.Seen that have the lowest numbers.
	Ended []workload.End
	// Whole says that Ended leaves out no end. Only then is a run that is in
	// neither list not on the worker.
	Whole bool
}

// Control gives orders to one worker. Each call names the incarnation of the
// worker for which it is meant. Errors: ErrGone, *RefusedError and ErrNotDone
// prove that nothing was done and never will be; ErrUnknown proves nothing: the
// order may be executed seconds later, after newer orders.
type Control interface {
	Start(ctx context.Context, incarnation workload.WorkerID, o StartOrder) (Clock, error)
	Stop(ctx context.Context, incarnation workload.WorkerID, run workload.RunID, token uint64) (Clock, error)
	Hold(ctx context.Context, incarnation workload.WorkerID, o HoldOrder) (Listing, error)
	Pace(ctx context.Context, incarnation workload.WorkerID, run workload.RunID, percent int, token uint64) (Clock, error)
}

// Errors of a Control.
var (
	// ErrGone means that the worker now runs as another incarnation.
	ErrGone = errors.New("worker: another incarnation")
	// ErrNotDone means that the order had no effect.
	ErrNotDone = errors.New("worker: not done")
	// ErrDown means that nothing listens at the worker's address, so that the
	// order had no effect: the worker is not running.
	ErrDown = fmt.Errorf("nothing listens at the worker's address: %w", ErrNotDone)
	// ErrUnknown means that the effect is not known and may come later.
	ErrUnknown = errors.New("worker: outcome unknown")
)

// RebornError means that the worker has started again under the same instance
// identifier, as Worker. A listing was answered by that life.
type RebornError struct{ Worker workload.WorkerID }

func (e *RebornError) Error() string { return "worker: started again as " + string(e.Worker) }

func (e *RebornError) Unwrap() error { return ErrGone }

// Reason is a worker's reason to refuse an order.
type Reason string

// The reasons of a refusal.
const (
	// RefusedFence: a newer agent has shown a higher token.
	RefusedFence Reason = "fence"
	// RefusedOld: the run was stopped, has ended or was superseded.
	RefusedOld Reason = "old"
	// RefusedLate: the lease of the order has expired.
	RefusedLate Reason = "late"
	// RefusedCapacity: the run exceeds the free capacity.
	RefusedCapacity Reason = "room"
	// RefusedTicket: the permission is missing or too old.
	RefusedTicket Reason = "ticket"
	// RefusedInvalid: the worker could not read the order.
	RefusedInvalid Reason = "invalid"
)

// RefusedError is a final refusal.
type RefusedError struct{ Reason Reason }

func (e *RefusedError) Error() string { return "worker refused: " + string(e.Reason) }
