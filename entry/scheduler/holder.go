package scheduler

import (
	"context"
	"time"

	"persimmonrock.example/entry/watch"
)

// An entry asks the holder of the lease each pollEvery whether it still holds
// it, and reads the lease from the store only if the holder does not confirm it.
// So the store is not read by each entry all the time.

const (
	// provenFor is the age of a renewal up to which nobody else can have taken the
	// lease: each entry waits for unansweredAfter at least after it has seen the
	// renewal.
	provenFor = unansweredAfter
	// confirmTimeout is the time without the holder's answer after which the lease
	// is read beside the request.
	confirmTimeout = 50 * time.Millisecond
)

// renewal is a stored transaction that took or renewed the lease.
type renewal struct {
	version uint64
	// sent is the local time at which the transaction was sent.
	sent time.Duration
}

// heldLease returns the last renewal's version and age; the version is 0 if this
// process does not hold the lease.
func (e *Elector) heldLease() (version uint64, age time.Duration) {
	e.mu.Lock()
	term := e.term
	e.mu.Unlock()
	if term == nil {
		return 0, 0
	}
	term.mu.Lock()
	defer term.mu.Unlock()
	return term.renewal.version, e.deps.Now() - term.renewal.sent
}

// ask sends a question to the known holder; it returns nil if there is none, or
// if this process holds the lease.
func (e *Elector) ask(ctx context.Context, timeout time.Duration) *watch.Question {
	e.mu.Lock()
	link, process := e.link, e.leader.Process
	e.mu.Unlock()
	if link == nil || process == e.cfg.Process {
		return nil
	}
	return watch.AskHolder(ctx, link, process, timeout, e.deps.Now)
}

// confirmed reports whether the holder proves soon that it holds the lease, and
// records the version as read then.
func (e *Elector) confirmed(o *observations, q *watch.Question) bool {
	if q == nil || !q.Answered(confirmTimeout) {
		return false
	}
	version, age, ok := q.Held()
	if !ok || age >= provenFor {
		return false
	}
	o.record(version, e.deps.Now())
	o.resetHolder()
	return true
}
