// Package progress bounds a call by the silence of its peer rather than by the
// time that the whole call takes: an answer that is on its way is not given up.
package progress

import (
	"context"
	"errors"
	"io"
	"time"
)

// ErrSilent is the cause of a context that ended by its peer's silence.
var ErrSilent = errors.New("the peer has fallen silent")

type key struct{}

// watch is told of what a peer sends; parent is that of the context around it.
type watch struct {
	heard  func()
	parent *watch
}

// Watch returns a context under which heard is called for whatever the peer of a
// call sends. It is called from the goroutine that reads, and must not block.
func Watch(ctx context.Context, heard func()) context.Context {
	parent, _ := ctx.Value(key{}).(*watch)
	return context.WithValue(ctx, key{}, &watch{heard: heard, parent: parent})
}

// Bound returns a context that ends once the peer has sent nothing for silence.
func Bound(ctx context.Context, silence time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(silence, func() { cancel(ErrSilent) })
	return Watch(ctx, func() { timer.Reset(silence) }), func() {
		timer.Stop()
		cancel(context.Canceled)
	}
}

// Heard tells the watches of ctx that the peer has sent something.
func Heard(ctx context.Context) {
	w, _ := ctx.Value(key{}).(*watch)
	for ; w != nil; w = w.parent {
		w.heard()
	}
}

// Reader returns r, telling the watches of ctx of each read that brings bytes.
func Reader(ctx context.Context, r io.Reader) io.Reader { return &reader{ctx: ctx, from: r} }

type reader struct {
	ctx  context.Context
	from io.Reader
}

func (r *reader) Read(p []byte) (int, error) {
	n, err := r.from.Read(p)
	if n > 0 {
		Heard(r.ctx)
	}
	return n, err
}
