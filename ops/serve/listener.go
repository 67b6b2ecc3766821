package serve

import (
	"net"
	"sync"
	"sync/atomic"
)

// limitedListener closes connections above a limit at once instead of leaving
// them in the kernel's queue: a load balancer then tries another entry instead
// of waiting for a timeout.
type limitedListener struct {
	net.Listener
	limit   int64
	open    *atomic.Int64
	refused *atomic.Int64
	once    sync.Once
}

// Close closes the listener once; later calls return nil. A planned stop closes
// the listener before http.Server.Shutdown does, which would report the error
// of a second close.
func (l *limitedListener) Close() error {
	var err error
	l.once.Do(func() { err = l.Listener.Close() })
	return err
}

// Accept returns the next connection within the limit.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &countedConn{Conn: c, open: l.open}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		c.Close()
	}
}

type countedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close closes the connection and counts it as closed once, even if called
// again.
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
