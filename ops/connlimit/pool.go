// Package connlimit bounds the memory and the descriptors that an HTTP server's
// clients use together. Package decide/connbudget decides which connections
// yield when either is short; this package keeps the accounts of real
// connections and closes those that yield or take too long.
package connlimit

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/decide/connbudget"
)

const (
	// ConnectionBytes is the memory of an open connection without a request: its
	// goroutine's stack, the buffers of net/http, and what the kernel has received
	// for it.
	ConnectionBytes = 32 << 10
	// headerCost is the memory in bytes that a header byte takes, if all header lines
	// are as short as possible: parsed, and as garbage of the parsing.
	headerCost = 16
	// readAhead is the number of bytes after the header that net/http may read
	// with it.
	readAhead = 4 << 10
	// handshakeBytes bounds what a client sends in a TLS handshake.
	handshakeBytes = 64 << 10
	// socketBuffer is the size in bytes of each of a connection's buffers in the
	// kernel. The bytes that it holds are memory of the process.
	socketBuffer = 8 << 10
	// patience is the time after which an incomplete request counts as slow. It
	// matters only if memory or descriptors are short.
	patience = time.Second
	// sweepInterval is the time between two looks for connections whose time is
	// over.
	sweepInterval = 250 * time.Millisecond
	// logInterval is the least time between two log lines on closed connections.
	logInterval = time.Second
)

// ClientLimits bounds one client. They may change while the server runs.
type ClientLimits struct {
	// HeaderBytes is the maximum size of a header.
	HeaderBytes int
	// Header is the time from the first byte of a request to the end of its
	// header, Idle the time without a request.
	Header, Idle time.Duration
	// Body bounds the time from the header to the end of the body, Send the time
	// from the first byte of a response until it is sent.
	Body, Send time.Duration
}

// Limits bounds what all clients use together.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// Memory is the memory in bytes that connections and requests hold.
	Memory int64
	// TLS says that connections begin with a handshake.
	TLS bool
}

// Counters count the connections that were closed before their clients did so.
type Counters struct {
	// Refused were closed at once since no other could yield, Yielded made room
	// for others, Expired took too long, HeadersTooLarge exceeded the limit.
	Refused, Yielded, Expired, HeadersTooLarge uint64
}

// Pool holds the connections of a server's clients.
type Pool struct {
	limits       Limits
	clientLimits func() ClientLimits
	begun        time.Time
	// decoding is held while a large body is decoded.
	decoding sync.Mutex

	mu       sync.Mutex
	budget   *connbudget.Budget
	counters Counters
}

// New returns a pool. It asks clientLimits for the current limits on one client.
func New(l Limits, clientLimits func() ClientLimits) *Pool {
	return &Pool{limits: l, clientLimits: clientLimits, begun: time.Now(), budget: connbudget.New(connbudget.Limits{
		Connections: l.Connections, Memory: l.Memory, PerConnection: ConnectionBytes, Patience: patience,
	})}
}

// Figures returns the pool's state and counters for display.
func (p *Pool) Figures() map[string]any {
	p.mu.Lock()
	defer p.mu.Unlock()
	return map[string]any{
		"open": p.budget.Open(), "held_bytes": p.budget.Held(), "refused": p.counters.Refused, "yielded": p.counters.Yielded,
		"expired": p.counters.Expired, "headers_too_large": p.counters.HeadersTooLarge,
	}
}

// Open returns the number of open connections.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Open()
}

// Held returns the memory in bytes that is in use.
func (p *Pool) Held() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget.Held()
}

// Counters returns the counters.
func (p *Pool) Counters() Counters {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counters
}

// Configure makes s report its connections to the pool. The listener of s must
// come from Listen.
func (p *Pool) Configure(s *http.Server) {
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if conn := accounted(c); conn != nil && state == http.StateIdle {
			conn.rest()
		}
	}
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, accounted(c))
	}
	next := s.Handler
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn := connOf(r); conn != nil && conn.beginBody(r.Body == http.NoBody) {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

type connKey struct{}

// connOf returns the connection of a request, or nil if it is not in a pool.
func connOf(r *http.Request) *conn {
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

// accounted returns the pool's connection below c, or nil.
func accounted(c net.Conn) *conn {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	conn, _ := c.(*conn)
	return conn
}

// Run closes connections whose time is over until ctx ends, and logs how many were
// closed for which reason.
func (p *Pool) Run(ctx context.Context, log zerolog.Logger) {
	tick := time.NewTicker(sweepInterval)
	defer tick.Stop()
	var logged Counters
	var loggedAt time.Duration
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			p.sweep()
		}
		if c := p.Counters(); c != logged && p.now()-loggedAt >= logInterval {
			log.Warn().Uint64("yielded", c.Yielded-logged.Yielded).Uint64("refused", c.Refused-logged.Refused).
				Uint64("expired", c.Expired-logged.Expired).Uint64("headers_too_large", c.HeadersTooLarge-logged.HeadersTooLarge).
				Int("open", p.Open()).Int64("held_bytes", p.Held()).Msg("connections of clients closed")
			logged, loggedAt = c, p.now()
		}
	}
}

func (p *Pool) sweep() {
	p.mu.Lock()
	expired := p.budget.Expired(p.now())
	p.counters.Expired += uint64(len(expired))
	p.mu.Unlock()
	closeAll(expired)
}

func (p *Pool) now() time.Duration { return time.Since(p.begun) }

// listener accepts connections within the pool's limits.
type listener struct {
	net.Listener
	pool *Pool
	once sync.Once
}

// Listen returns a listener whose connections belong to the pool.
func (p *Pool) Listen(l net.Listener) net.Listener { return &listener{Listener: l, pool: p} }

// Close closes the listener once; later calls return nil. A planned stop closes
// the listener before http.Server.Shutdown does, which would report the error
// of a second close.
func (l *listener) Close() error {
	var err error
	l.once.Do(func() { err = l.Listener.Close() })
	return err
}

// Accept returns the next connection. If there is no room for it, others are
// closed; if none can yield, it is closed at once instead of waiting in the
// kernel's queue, so that a load balancer tries another process.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		// Accepted connections read what has arrived for them before a newcomer
		// displaces one of them as idle.
		runtime.Gosched()
		if c := l.pool.admit(inner); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

func (p *Pool) admit(inner net.Conn) *conn {
	c := &conn{Conn: inner, pool: p, handshake: p.limits.TLS}
	p.mu.Lock()
	now := p.now()
	account, yield, ok := p.budget.Accept(c, now, now+p.clientLimits().Idle)
	p.counters.Yielded += uint64(len(yield))
	if !ok {
		p.counters.Refused++
	}
	c.account = account
	p.mu.Unlock()
	closeAll(yield)
	if !ok {
		return nil
	}
	return c
}

// take adds n bytes to what c holds and reports whether it got them.
func (p *Pool) take(c *conn, n int64) bool {
	p.mu.Lock()
	yield, ok := p.budget.Take(c.account, n, p.now())
	p.counters.Yielded += uint64(len(yield))
	p.mu.Unlock()
	closeAll(yield)
	return ok
}

func closeAll(accounts []*connbudget.Conn) {
	for _, a := range accounts {
		_ = a.Owner.(*conn).Conn.Close() // its server notices by the next read or write
	}
}

// errNoMemory says that other requests hold the memory that a request needs.
var errNoMemory = errors.New("connection closed: the memory for clients' requests is used up")

// errHeaderTooLarge says that a header exceeds the limit.
var errHeaderTooLarge = errors.New("connection closed: the header is too large")
