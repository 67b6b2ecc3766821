package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// stallTimeout is the time after which a write to a peer counts as stalled.
const stallTimeout = 10 * time.Second

// ByteCount counts the bytes that a process exchanges with its peers.
type ByteCount struct {
	In, Out atomic.Int64
}

func (b *ByteCount) wrap(c net.Conn) net.Conn { return &countedConn{Conn: c, count: b} }

type countedConn struct {
	net.Conn
	count *ByteCount
	// deadlineMoved is the Unix time of the last deadline change, in ns.
	deadlineMoved atomic.Int64
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count.In.Add(int64(n))
	return n, err
}

// Write fails if the peer does not accept p in time. The time is between one and
// two stallTimeouts, because not every write moves the deadline.
//
// Failure guarded against: a peer that hangs no longer reads. The first write
// that fills the sockets' buffers would block forever while holding the
// connection's lock, and every later message would wait behind it. A failed
// write closes the connection, so that the reading side notices and the next
// call uses a new connection.
func (c *countedConn) Write(p []byte) (int, error) {
	now := time.Now()
	if now.UnixNano()-c.deadlineMoved.Load() > int64(stallTimeout) {
		c.deadlineMoved.Store(now.UnixNano())
		c.Conn.SetWriteDeadline(now.Add(2 * stallTimeout))
	}
	n, err := c.Conn.Write(p)
	c.count.Out.Add(int64(n))
	if err != nil {
		c.Conn.Close()
	}
	return n, err
}

const (
	// maxHandshakes bounds the unauthenticated connections, each of which may
	// last until the handshake's time-out. Even if all agents reconnect at
	// once, their connections stay well below the limit.
	maxHandshakes = 2048
	// acceptRetryDelay is the delay after a temporary failure to accept.
	acceptRetryDelay = 10 * time.Millisecond
)

// expired is a deadline in the past.
var expired = time.Unix(1, 0)

// Server serves an AgentAPI or EntryAPI to peers that know the secret.
type Server struct {
	secrets [][]byte
	rpc     *rpc.Server
	bytes   *ByteCount
	clock   Clock

	mu      sync.Mutex
	conns   map[net.Conn]struct{}
	closing bool
	wait    sync.WaitGroup

	// handshakes is the number of connections in their handshake.
	handshakes atomic.Int64

	// Rejected counts connections that failed the handshake or exceeded
	// maxHandshakes, AcceptFailed temporary failures to accept.
	Rejected, AcceptFailed atomic.Int64
}

// NewServer returns a server without services. count may be nil.
func NewServer(secret []byte, count *ByteCount) *Server {
	if count == nil {
		count = &ByteCount{}
	}
	return &Server{secrets: [][]byte{secret}, rpc: rpc.NewServer(), bytes: count, clock: noClock{}, conns: make(map[net.Conn]struct{})}
}

// WithClock makes every message carry the process's logical time. It is called
// before Serve and returns s.
func (s *Server) WithClock(clock Clock) *Server {
	s.clock = clock
	return s
}

// AlsoAccept admits peers that prove a second secret, during a change of the
// secret. It is called before Serve and returns s; nil changes nothing.
func (s *Server) AlsoAccept(secret []byte) *Server {
	if secret != nil {
		s.secrets = append(s.secrets, secret)
	}
	return s
}

// agentService and entryService expose only the declared API to net/rpc, which
// would log other methods of a receiver as unsuitable.
type agentService struct{ AgentAPI }
type entryService struct{ EntryAPI }

// ServeAgent registers a under the name "Agent".
func (s *Server) ServeAgent(a AgentAPI) error { return s.rpc.RegisterName("Agent", agentService{a}) }

// ServeEntry registers e under the name "Entry".
func (s *Server) ServeEntry(e EntryAPI) error { return s.rpc.RegisterName("Entry", entryService{e}) }

// transient reports whether a later accept may succeed.
//
// Failure guarded against: somebody opens so many connections that the process
// temporarily has no file descriptor left. If this error ended the listener,
// the process would be unreachable for its peers until it is restarted.
func transient(err error) bool {
	for _, temporary := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED} {
		if errors.Is(err, temporary) {
			return true
		}
	}
	return false
}

// Serve accepts connections until the listener is closed. A nil tlsConfig
// means plain TCP.
func (s *Server) Serve(l net.Listener, tlsConfig *tls.Config) error {
	for {
		conn, err := l.Accept()
		if transient(err) {
			s.AcceptFailed.Add(1)
			time.Sleep(acceptRetryDelay)
			continue
		}
		if err != nil {
			return err
		}
		if s.handshakes.Load() >= maxHandshakes {
			s.Rejected.Add(1)
			conn.Close()
			continue
		}
		if tlsConfig != nil {
			conn = tls.Server(conn, tlsConfig)
		}
		if !s.add(conn) {
			conn.Close()
			continue
		}
		go s.serve(conn)
	}
}

func (s *Server) add(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		return false
	}
	s.conns[c] = struct{}{}
	s.wait.Add(1)
	return true
}

func (s *Server) serve(c net.Conn) {
	defer s.wait.Done()
	defer s.remove(c)
	counted := s.bytes.wrap(c)
	s.handshakes.Add(1)
	err := serverHandshake(counted, s.secrets)
	s.handshakes.Add(-1)
	if err != nil {
		s.Rejected.Add(1)
		c.Close()
		return
	}
	s.expireIfClosing(c)
	s.rpc.ServeCodec(newCodec(counted, s.clock))
}

// expireIfClosing ends reads from c if Shutdown was called.
//
// Failure guarded against: Shutdown is called during a handshake, which removes
// the read deadline at its end. Shutdown would wait for this idle connection
// until its context ends, and then close the connections of running calls.
func (s *Server) expireIfClosing(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closing {
		c.SetReadDeadline(expired)
	}
}

func (s *Server) remove(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Shutdown stops reading requests and lets running handlers write their
// replies. It returns when all have finished, or with ctx's error. The caller
// must first have notified the peers to send no more requests.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.closing = true
	for c := range s.conns {
		// An expired read deadline ends the read loop of net/rpc, which then
		// waits for its handlers and closes the connection itself.
		c.SetReadDeadline(expired)
	}
	s.mu.Unlock()
	done := make(chan struct{})
	go func() {
		s.wait.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		s.Close()
		return ctx.Err()
	}
}

// Close closes every connection.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closing = true
	for c := range s.conns {
		c.Close()
	}
}
