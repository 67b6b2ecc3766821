package scheduler

import (
	"context"
	"errors"
	"net/rpc"
	"time"

	"persimmonrock.example/wire/dispatch"
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

// question is a request to the holder of the lease that may be under way.
type question struct {
	link *dispatch.Link
	// process is the holder when the request was sent, at asked.
	process string
	asked   time.Duration
	done    chan struct{}
	// reply and err are set once done is closed.
	reply dispatch.LeaseReply
	err   error
}

// ask sends a request to the known holder; it returns nil if there is none, or
// if this process holds the lease.
func (e *Elector) ask(ctx context.Context, timeout time.Duration) *question {
	e.mu.Lock()
	q := &question{link: e.link, process: e.leader.Process, asked: e.deps.Now(), done: make(chan struct{})}
	e.mu.Unlock()
	if q.link == nil || q.process == e.cfg.Process {
		return nil
	}
	go func() {
		defer close(q.done)
		q.err = q.link.Call(ctx, "Scheduler.Lease", dispatch.LeaseArgs{}, &q.reply, timeout)
	}()
	return q
}

// ofOtherVersion reports whether a process has answered that does not know the
// request: it is of an earlier version.
func (q *question) ofOtherVersion() bool {
	var unknown rpc.ServerError
	return errors.As(q.err, &unknown)
}

// answered waits for the answer, for wait at most.
func (q *question) answered(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-q.done:
		return true
	case <-timer.C:
		return false
	}
}

// confirmed reports whether the holder proves soon that it holds the lease, and
// records the version as read then.
func (e *Elector) confirmed(w *watch, q *question) bool {
	if q == nil || !q.answered(confirmTimeout) {
		return false
	}
	if connectionRefused(q.err) && w.ended != q.process {
		w.ended, w.endedAt = q.process, e.deps.Now()
	}
	if q.err != nil {
		return false
	}
	held := q.reply.Process == q.process && q.reply.Version > 0
	// The answer was on its way for at most the time since the request.
	age := q.reply.Age + e.deps.Now() - q.asked
	if !held || age >= provenFor {
		return false
	}
	w.record(q.reply.Version, e.deps.Now())
	w.resetHolder()
	return true
}
