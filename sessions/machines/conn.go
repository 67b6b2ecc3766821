package machines

import (
	"io"
	"net"
	"sync"
	"time"
)

// stream is one direction of a connection. A write never blocks: net/rpc writes
// under a lock, and in fake time no goroutine may wait for a lock whose holder
// sleeps.
type stream struct {
	mu     sync.Mutex
	buf    []byte
	closed bool
	// notify holds at most one token, which signals new bytes or that the
	// stream is closed.
	notify chan struct{}
}

func newStream() *stream { return &stream{notify: make(chan struct{}, 1)} }

func (s *stream) signal() {
	select {
	case s.notify <- struct{}{}:
	default:
	}
}

func (s *stream) close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.signal()
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, io.ErrClosedPipe
	}
	s.buf = append(s.buf, p...)
	s.signal()
	return len(p), nil
}

// cutPollInterval is the interval at which a connection checks whether a
// network cut has healed.
const cutPollInterval = 50 * time.Millisecond

// read waits for bytes and delivers none while cut returns true.
func (s *stream) read(p []byte, cut func() bool) (int, error) {
	for {
		s.mu.Lock()
		closed, ready := s.closed, len(s.buf) > 0
		if ready && !cut() {
			n := copy(p, s.buf)
			s.buf = s.buf[n:]
			s.mu.Unlock()
			return n, nil
		}
		s.mu.Unlock()
		switch {
		case closed && !cut():
			return 0, io.EOF
		case ready || closed:
			time.Sleep(cutPollInterval)
		default:
			<-s.notify
		}
	}
}

// conn is one end of a connection in memory.
type conn struct {
	net.Conn
	in, out *stream
	cut     func() bool
}

// newPipe returns both ends of a connection that delivers no bytes while cut
// returns true.
func newPipe(cut func() bool) (*conn, *conn) {
	a, b := newStream(), newStream()
	return &conn{in: a, out: b, cut: cut}, &conn{in: b, out: a, cut: cut}
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) { return c.in.read(p, c.cut) }

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) { return c.out.write(p) }

// Close implements net.Conn.
func (c *conn) Close() error {
	c.in.close()
	c.out.close()
	return nil
}
