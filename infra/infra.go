// Package infra declares the narrow interfaces through which persimmonrock uses
// the platform: a transactional table service, an object store and the worker
// on each agent's instance.
//
// The table service is assumed to offer conditional transactions and nothing
// more: no operation log and no leases. Each row names the operation that wrote
// it, which makes a repeated write safe (see CommitOnce).
package infra

import (
	"context"
	"errors"
	"fmt"
	"time"

	"persimmonrock.example/structs"
)

// Row is one row of the table service. Version 0 never occurs in a stored
// row; each write raises the version.
type Row struct {
	Key     string
	Value   []byte
	Version uint64
	// Op is the operation ID of the transaction that wrote this version.
	Op string
}

// Cond is a condition of a transaction: the row under Key must have exactly
// this version. Version 0 means that the row must be absent.
type Cond struct {
	Key     string
	Version uint64
}

// Put writes one row. A put of a key that has no Cond is unconditional.
type Put struct {
	Key   string
	Value []byte
}

// Txn is one atomic transaction; it costs the store one write whatever the
// number of rows, up to MaxTxnRows.
type Txn struct {
	// Op identifies the intent, not the attempt: a repeat has the same Op.
	Op      string
	Conds   []Cond
	Puts    []Put
	Deletes []string
}

// MaxTxnRows is the maximum number of rows that one transaction may touch.
const MaxTxnRows = 256

// Table is the platform's transactional table service.
type Table interface {
	// Get returns the row under key, or ErrNotFound. It costs one read.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns up to limit rows whose key starts with prefix and is above
	// after, in key order. It costs one read.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies t whole or not at all and returns the new version of
	// each put, in order. Errors: *ConflictError and ErrUnavailable prove
	// that nothing was applied; ErrUnknown proves nothing, and the write may
	// still take effect later.
	Commit(ctx context.Context, t Txn) ([]uint64, error)
}

// Errors of the platform's services.
var (
	// ErrNotFound means that there is no such row or object.
	ErrNotFound = errors.New("platform: not found")
	// ErrUnavailable means that the request had no effect and never will.
	ErrUnavailable = errors.New("platform: unavailable")
	// ErrUnknown means that the request may have had an effect or may still
	// have one.
	ErrUnknown = errors.New("platform: outcome unknown")
	// ErrFenced means that a newer holder has fenced the worker, or that Stop
	// or Forget has ruled out the start.
	ErrFenced = errors.New("platform: fenced by a newer holder")
)

// ConflictError means that a condition of a transaction did not hold and that
// nothing was applied. Current is that condition's row as it is now, with
// Version 0 if absent.
type ConflictError struct {
	Current Row
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("platform: conflict at %s, now version %d", e.Current.Key, e.Current.Version)
}

// Objects is the platform's object store. Keys are written once and never
// changed, so repeating a Put is safe.
type Objects interface {
	Put(ctx context.Context, key string, body []byte) error
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
}

// TaskPhase is the state of a task on its worker.
type TaskPhase string

// The phases of a task on its worker. TaskStopped covers every stop by the
// worker: on request, after a lapsed lease, by Fence.
const (
	TaskRunning TaskPhase = "running"
	TaskDone    TaskPhase = "done"
	TaskFailed  TaskPhase = "failed"
	TaskStopped TaskPhase = "stopped"
)

// TaskStart asks a worker to run a task.
type TaskStart struct {
	Job      structs.JobID
	Epoch    structs.Epoch
	Customer structs.Customer
	Kind     structs.Kind
	Payload  []byte
	// Checkpoint is the state to resume from; nil starts from the beginning.
	Checkpoint []byte
	Declared   structs.Resources
	// Holder is the agent's incarnation. The worker refuses, with ErrFenced, a
	// holder below the highest that it has received in Fence.
	Holder structs.Incarnation
	// Lease is the time after which the worker stops the task unless Renew
	// extends it.
	Lease time.Duration
}

// TaskStatus is a worker's report on one task.
type TaskStatus struct {
	Job    structs.JobID
	Epoch  structs.Epoch
	Kind   structs.Kind
	Holder structs.Incarnation
	// Declared is the size that the task was started with.
	Declared structs.Resources
	Phase    TaskPhase
	// Progress is the fraction done, 0 to 1, as of the last usage report.
	Progress float64
	// Result is set in TaskDone, Error in TaskFailed.
	Result []byte
	Error  string
}

// Usage is a lagging measurement of one task over a window. From and To are
// elapsed times on the worker's own clock and can't be compared with other
// clocks.
type Usage struct {
	Job         structs.JobID
	Epoch       structs.Epoch
	From, To    time.Duration
	MilliCores  int
	MemoryBytes int64
	// Slowdown is the measured duration of the work relative to running alone,
	// 1 for no slowdown.
	Slowdown float64
}

// Worker is the platform's worker on one instance, as its agent uses it.
type Worker interface {
	// Fence makes the worker refuse holders below h from now on, stops all
	// their tasks, and returns once they have provably stopped.
	Fence(ctx context.Context, h structs.Incarnation) error
	// Start runs a task. It is refused with ErrFenced once Stop or Forget has
	// named the job at this epoch or a later one, even if the worker did not
	// know the task then: a start that arrives late must not run the task.
	Start(ctx context.Context, t TaskStart) error
	// Renew sets the lease of every running task of holder h: it ends after the
	// duration lease from now.
	Renew(ctx context.Context, h structs.Incarnation, lease time.Duration) error
	// Checkpoint returns the task's state; the task continues to run.
	Checkpoint(ctx context.Context, id structs.JobID, e structs.Epoch) ([]byte, error)
	// Throttle sets the fraction of its normal speed that the task may use, 0
	// to 1.
	Throttle(ctx context.Context, id structs.JobID, e structs.Epoch, speed float64) error
	// Stop returns nil once the task has provably stopped, also if the worker
	// does not know the task.
	Stop(ctx context.Context, id structs.JobID, e structs.Epoch) error
	// List returns every running task and every ended task that Forget has not
	// dropped.
	List(ctx context.Context) ([]TaskStatus, error)
	// Forget drops an ended task once its end has been recorded.
	Forget(ctx context.Context, id structs.JobID, e structs.Epoch) error
	// Usage returns the reports that became available since the last call.
	Usage(ctx context.Context) ([]Usage, error)
}
