package connlimit

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"

	"persimmonrock.example/decide/connbudget"
)

// conn is a client's connection. It keeps its account by what passes through it.
type conn struct {
	net.Conn
	pool    *Pool
	account *connbudget.Conn
	once    sync.Once
	// The fields below are guarded by pool.mu.

	// handshake says that the first request comes after a TLS handshake.
	handshake bool
	// inBody says that the request's header has arrived.
	inBody bool
	// headerBytes counts the bytes of the header that arrives.
	headerBytes int
}

// Read implements io.Reader. The bytes of a header are accounted before they are
// parsed.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		if accountErr := c.received(n); accountErr != nil {
			return 0, accountErr
		}
	}
	return n, err
}

func (c *conn) received(n int) error {
	p := c.pool
	p.mu.Lock()
	if c.account.State() == connbudget.Idle {
		now := p.now()
		p.budget.Receive(c.account, now, now+p.clientLimits().Header)
		c.inBody, c.headerBytes = false, 0
	}
	if c.inBody || c.account.State() != connbudget.Receiving {
		p.mu.Unlock()
		return nil
	}
	c.headerBytes += n
	limit := p.clientLimits().HeaderBytes + readAhead
	if c.handshake {
		limit += handshakeBytes
	}
	large := c.headerBytes > limit
	if large {
		p.counters.HeadersTooLarge++
	}
	p.mu.Unlock()
	switch {
	case large:
		c.refuseHeader()
		return readError(errHeaderTooLarge)
	case !p.take(c, int64(n)*headerCost):
		return readError(errNoMemory)
	}
	return nil
}

// readError returns an error for which net/http closes the connection without a
// response. To others it responds with 400, which a client takes for its own
// fault.
func readError(err error) error { return &net.OpError{Op: "read", Net: "tcp", Err: err} }

// refuseHeader responds to a header above the limit.
func (c *conn) refuseHeader() {
	if c.pool.limits.TLS {
		return // the response would have to be encrypted
	}
	_, _ = io.WriteString(c.Conn, "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
}

// Write implements io.Writer.
func (c *conn) Write(b []byte) (int, error) {
	p := c.pool
	p.mu.Lock()
	now := p.now()
	p.budget.Send(c.account, now, now+p.clientLimits().Send)
	p.mu.Unlock()
	return c.Conn.Write(b)
}

// CloseWrite closes the sending side, so that a client receives a last response
// although it still sends.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// Close closes the connection and its account.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.pool.mu.Lock()
		c.pool.budget.Close(c.account)
		c.pool.mu.Unlock()
	})
	return c.Conn.Close()
}

// beginBody records that the header has arrived, and with it the whole request if
// it has no body. It reports whether the connection is to be closed after the
// response.
func (c *conn) beginBody(whole bool) (last bool) {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	// The header of a request may have arrived together with the one before.
	p.budget.Receive(c.account, now, 0)
	c.inBody, c.handshake = true, false
	last = p.budget.Last(c.account)
	if whole {
		p.budget.Serve(c.account, now)
		return last
	}
	// A body that takes longer is refused by ReadBody; its client has linger to read
	// the response.
	p.budget.Extend(c.account, now+p.clientLimits().Body+2*linger)
	return last
}

// serve records that the request has arrived whole.
func (c *conn) serve() {
	c.pool.mu.Lock()
	defer c.pool.mu.Unlock()
	c.pool.budget.Serve(c.account, c.pool.now())
}

// rest records that the connection waits for the next request.
func (c *conn) rest() {
	p := c.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	p.budget.Rest(c.account, now, now+p.clientLimits().Idle)
}

// SetBuffers is a net.ListenConfig.Control that bounds what the kernel receives
// for a connection before the process reads it, and what it keeps for a client
// that doesn't read.
func SetBuffers(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		for _, option := range []int{syscall.SO_RCVBUF, syscall.SO_SNDBUF} {
			failed = errors.Join(failed, syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, option, socketBuffer))
		}
	})
	return errors.Join(err, failed)
}
