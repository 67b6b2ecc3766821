package fault

import (
	"context"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra"
)

// request passes one request to the inner service as the control decides.
func request[T any](ctx context.Context, c *Control, op Operation, call func(context.Context) (T, error)) (T, error) {
	c.thawed()
	answer, err := perform(ctx, c, op, call)
	c.thawed()
	return answer, err
}

func perform[T any](ctx context.Context, c *Control, op Operation, call func(context.Context) (T, error)) (T, error) {
	var none T
	v := c.decide(op)
	// A request that was sent takes effect whether or not its caller waits.
	land := func() { _, _ = call(context.WithoutCancel(ctx)) }
	switch v.fault {
	case Down:
		return none, eris.Wrapf(infra.ErrUnavailable, "%s %s: down", op.Service, op.Method)
	case Timeout:
		wait(ctx, v.patience)
		return none, timedOut(op)
	case LoseAnswer:
		if wait(ctx, v.latency) {
			_, _ = call(ctx)
		} else {
			land()
		}
		wait(ctx, v.patience)
		return none, timedOut(op)
	case Delay:
		c.later(v, land)
		wait(ctx, v.patience)
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
		v.landing = v.latency - time.Since(began)
		c.later(v, land)
	}
	return none, timedOut(op)
}

// timedOut is what a caller learns when no answer came. A read had no effect,
// so it is as good as refused.
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

// later lets land take effect after the verdict's landing time, or holds it.
func (c *Control) later(v verdict, land func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	counted := func() {
		land()
		c.mu.Lock()
		c.counts.Landed++
		c.mu.Unlock()
	}
	if v.hold {
		c.held = append(c.held, counted)
		return
	}
	c.landing++
	time.AfterFunc(v.landing, func() {
		counted()
		c.mu.Lock()
		c.landing--
		c.landed.Broadcast()
		c.mu.Unlock()
	})
}
