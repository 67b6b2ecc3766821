// Package progress bounds the time without data from the peer rather than the
// time of the whole call: a call does not time out while its answer arrives.
package progress

import (
	"context"
	"errors"
	"io"
	"time"
)

// ErrIdle is the cause of a context that ended because its peer sent no data.
var ErrIdle = errors.New("the peer has fallen silent")

type key struct{}

// watch is a callback for data from a peer; parent is the watch of the outer
// context.
type watch struct {
	onData func()
	parent *watch
}

// Watch returns a context that calls onData whenever the peer of a call sends
// data. onData runs in the goroutine that reads, and must not block.
func Watch(ctx context.Context, onData func()) context.Context {
	parent, _ := ctx.Value(key{}).(*watch)
	return context.WithValue(ctx, key{}, &watch{onData: onData, parent: parent})
}

// WithIdleTimeout returns a context that ends once the peer has sent nothing for
// idle.
func WithIdleTimeout(ctx context.Context, idle time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(idle, func() { cancel(ErrIdle) })
	return Watch(ctx, func() { timer.Reset(idle) }), func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// Received notifies the watches of ctx that the peer has sent data.
func Received(ctx context.Context) {
	w, _ := ctx.Value(key{}).(*watch)
	for ; w != nil; w = w.parent {
		w.onData()
	}
}

// Reader returns a reader of r that notifies the watches of ctx when it returns
// data.
func Reader(ctx context.Context, r io.Reader) io.Reader { return &reader{ctx: ctx, from: r} }

type reader struct {
	ctx  context.Context
	from io.Reader
}

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 {
		Received(r.ctx)
	}
	return n, err
}
