package workload

import (
	"errors"
	"fmt"
	"time"
)

// Errors of calls about jobs.
var (
	// ErrNoConfig says that the process has no configuration yet.
	ErrNoConfig = errors.New("no configuration yet")
	// ErrNoQueue says that the configuration has no such queue.
	ErrNoQueue = errors.New("no such queue")
	// ErrNoJob says that the store was read and has no such job.
	ErrNoJob = errors.New("no such job")
	// ErrOverloaded says that a job can't end while it is of use to its client.
	ErrOverloaded = errors.New("the job can't end while it is of use")
	// ErrUndecided says that a write may or may not take effect. The caller
	// must retry with the same identifier.
	ErrUndecided = errors.New("outcome not known")
)

// UnavailableError says that the call had no effect and when to retry.
type UnavailableError struct {
	RetryAfter time.Duration
	Cause      error
}

func (e *UnavailableError) Error() string { return fmt.Sprintf("unavailable: %v", e.Cause) }

func (e *UnavailableError) Unwrap() error { return e.Cause }

// InvalidError describes a fault of a request.
type InvalidError struct{ Detail string }

func (e *InvalidError) Error() string { return "invalid: " + e.Detail }
