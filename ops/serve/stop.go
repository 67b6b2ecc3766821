package serve

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// maxLinger bounds the time for which a planned stop waits for idle
	// connections to close.
	maxLinger = 2 * time.Second
	// lingerPoll is the interval at which the stop checks for open connections.
	lingerPoll = 10 * time.Millisecond
)

// Serve accepts connections on l until Shutdown; it then returns nil.
func (s *Server) Serve(l net.Listener) error {
	l = s.pool.Listen(l)
	s.mu.Lock()
	s.listeners = append(s.listeners, l)
	s.mu.Unlock()
	if s.certificate != nil {
		l = tls.NewListener(l, s.certificate.Server())
	}
	err := s.http.Serve(l)
	if errors.Is(err, http.ErrServerClosed) || s.closed() {
		return nil
	}
	return eris.Wrapf(err, "serve: HTTP on %s", l.Addr())
}

// Shutdown accepts no more connections and waits until the requests in progress
// are answered. If ctx ends first, it cuts the remaining connections and
// returns an error.
//
// Failure guarded against: http.Server.Shutdown closes idle connections at
// once. A caller that sends its next request on such a connection at that
// moment gets no response and no proof that nothing ran. So each response from
// now on tells the caller not to use its connection again, and idle connections
// stay open for up to maxLinger to receive such a response.
//
// The listeners are closed before the first such response. Otherwise callers
// open new connections at once, and closing a listener resets the connections
// that wait to be accepted.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closeListeners()
	s.stopping.Store(true)
	s.waitForConnections(ctx)
	defer s.stopPool()
	if err := s.http.Shutdown(ctx); err != nil {
		s.http.Close()
		return eris.Wrapf(err, "serve: shutdown cut %d connections", s.pool.Open())
	}
	return nil
}

func (s *Server) closeListeners() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listenersClosed = true
	for _, l := range s.listeners {
		l.Close()
	}
}

func (s *Server) closed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listenersClosed
}

// waitForConnections returns when no connection is open or after maxLinger.
func (s *Server) waitForConnections(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxLinger)
	defer cancel()
	poll := time.NewTicker(lingerPoll)
	defer poll.Stop()
	for s.pool.Open() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-poll.C:
		}
	}
}
