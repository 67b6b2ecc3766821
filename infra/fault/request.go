package fault

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra"
)

// request passes one request to the inner service with the faults that c decides
// on.
func request[T any](ctx context.Context, c *Control, op Operation, call func(context.Context) (T, error)) (T, error) {
	c.waitUnfrozen()
	answer, err := perform(ctx, c, op, call)
	c.waitUnfrozen()
	return answer, err
}

func perform[T any](ctx context.Context, c *Control, op Operation, call func(context.Context) (T, error)) (T, error) {
	var none T
	v := c.decide(op)
	// A sent request takes effect whether or not its caller still waits.
	apply := func() { _, _ = call(context.WithoutCancel(ctx)) }
	switch v.fault {
	case Down:
		return none, eris.Wrapf(infra.ErrUnavailable, "%s %s: down", op.Service, op.Method)
	case Timeout:
		wait(ctx, v.timeout)
		return none, timedOut(op)
	case LoseAnswer:
		if wait(ctx, v.latency) {
			_, _ = call(ctx)
		} else {
			apply()
		}
		wait(ctx, v.timeout)
		return none, timedOut(op)
	case Delay:
		c.applyLater(v, apply)
		wait(ctx, v.timeout)
		return none, timedOut(op)
	}
	if v.latency == 0 {
		return call(ctx)
	}
	began := time.Now()
	if wait(ctx, v.latency) {
		return call(ctx)
	}
	if op.Write {
		v.hold = false
		v.applyDelay = v.latency - time.Since(began)
		c.applyLater(v, apply)
	}
	return none, timedOut(op)
}

// timedOut returns the error of a request without an answer. A read has no
// effect, so it counts as unavailable.
func timedOut(op Operation) error {
	err := infra.ErrUnavailable
	if op.Write {
		err = infra.ErrUnknown
	}
	return eris.Wrapf(err, "%s %s: timed out", op.Service, op.Method)
}

// wait waits for d and returns true, or returns false once ctx ends.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// applyLater calls apply after the injection's applyDelay, or holds it for
// Release.
func (c *Control) applyLater(v injection, apply func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	applyCounted := func() {
		apply()
		c.mu.Lock()
		c.counts.Applied++
		c.mu.Unlock()
	}
	if v.hold {
		c.held = append(c.held, applyCounted)
		return
	}
	c.pending++
	time.AfterFunc(v.applyDelay, func() {
		applyCounted()
		c.mu.Lock()
		c.pending--
		c.applied.Broadcast()
		c.mu.Unlock()
	})
}
