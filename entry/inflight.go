package entry

import (
	"context"
	"sync"
)

// inflight counts requests in progress and can be closed to new ones.
//
// Failure guarded against: a request that arrives between the decision to stop
// and the wait for requests in progress would be cut off. Counting and closing
// are steps under one lock, so each request is either waited for or refused.
type inflight struct {
	mu     sync.Mutex
	n      int
	closed bool
	idle   chan struct{}
}

// begin counts a new request, or returns false if inflight is closed.
func (f *inflight) begin() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.n++
	return true
}

func (f *inflight) end() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n--
	if f.closed && f.n == 0 {
		close(f.idle)
	}
}

// close refuses new requests. It may be called only once and must precede wait.
func (f *inflight) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.closed = true
	f.idle = make(chan struct{})
	if f.n == 0 {
		close(f.idle)
	}
}

// closing reports whether close was called.
func (f *inflight) closing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// wait returns nil once no request is in progress, or ctx's error.
func (f *inflight) wait(ctx context.Context) error {
	select {
	case <-f.idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
