package watch

import (
	"context"
	"errors"
	"net/rpc"
	"syscall"
	"time"

	"persimmonrock.example/wire/dispatch"
)

// Question asks the holder of a lease whether it still holds it. The answer of a
// holder that has renewed the lease of late stands for a read of the lease.
type Question struct {
	// Process is the holder that is asked, Asked the local time of the request.
	Process string
	Asked   time.Duration

	now   func() time.Duration
	done  chan struct{}
	reply dispatch.LeaseReply
	err   error
}

// AskHolder sends a question to the holder over link; now reads the local clock.
func AskHolder(ctx context.Context, link *dispatch.Link, process string, timeout time.Duration, now func() time.Duration) *Question {
	q := &Question{Process: process, Asked: now(), now: now, done: make(chan struct{})}
	go func() {
		defer close(q.done)
		q.err = link.Call(ctx, "Scheduler.Lease", dispatch.LeaseArgs{}, &q.reply, timeout)
	}()
	return q
}

// Answered waits for the answer or the time-out, for wait at most, and reports
// whether it has come.
func (q *Question) Answered(wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-q.done:
		return true
	case <-timer.C:
		return false
	}
}

// Err awaits the answer, and returns nil if a process has answered that knows the
// question. An error of a process of an earlier version counts as an answer, see
// Unknown.
func (q *Question) Err() error {
	<-q.done
	return q.err
}

// Replier awaits the answer, and returns the process that has given it; it is
// empty after an error.
func (q *Question) Replier() string {
	<-q.done
	return q.reply.Process
}

// Unknown reports whether a process has answered that does not know the question.
func (q *Question) Unknown() bool {
	var unknown rpc.ServerError
	return errors.As(q.Err(), &unknown)
}

// Refused reports whether nothing listens at the holder's address.
func (q *Question) Refused() bool { return errors.Is(q.Err(), syscall.ECONNREFUSED) }

// Held awaits the answer, and returns the version of the lease that the holder
// last stored and the age of that renewal, counted from before it was sent. ok is
// false if the holder does not hold the lease or has not answered.
func (q *Question) Held() (version uint64, age time.Duration, ok bool) {
	if q.Err() != nil || q.reply.Process != q.Process || q.reply.Version == 0 {
		return 0, 0, false
	}
	// The answer was on its way for at most the time since the request.
	return q.reply.Version, q.reply.Age + q.now() - q.Asked, true
}
