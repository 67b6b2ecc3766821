package dispatch

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// dialTimeout bounds a new connection; data centres of one region are
	// a few milliseconds apart.
	dialTimeout = 600 * time.Millisecond
	// keepAlive is the interval of probes for dead peers on idle connections.
	keepAlive = time.Second
	// redialDelay is the time after a failed dial in which calls fail at once.
	redialDelay = 60 * time.Millisecond
)

// ErrTimeout says that a call was not answered in time; the peer may have run
// the call.
var ErrTimeout = errors.New("no answer in time")

// ErrNotSent says that there was no connection on which to send the call.
var ErrNotSent = errors.New("not sent")

// Link is a connection to one peer that is replaced when it breaks. A call that
// times out closes the connection, since a new one may work.
type Link struct {
	address string
	dial    func(ctx context.Context) (net.Conn, error)

	mu      sync.Mutex
	client  *rpc.Client
	attempt *attempt
}

// attempt is one dial, shared by all calls that need a connection during it. A
// call waits for the dial no longer than its own time-out. With separate dials,
// calls to an unreachable peer would queue up.
type attempt struct {
	done   chan struct{}
	client *rpc.Client
	err    error
	ended  time.Time
}

// NewLink returns a link to address; it dials with the first call.
func NewLink(address string) *Link {
	dialer := net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlive}
	return &Link{address: address, dial: func(ctx context.Context) (net.Conn, error) {
		return dialer.DialContext(ctx, "tcp", address)
	}}
}

// NewLinkWithDial returns a link that connects by calling dial.
func NewLinkWithDial(address string, dial func(ctx context.Context) (net.Conn, error)) *Link {
	return &Link{address: address, dial: dial}
}

// Address returns the peer's address.
func (l *Link) Address() string { return l.address }

// Close closes the connection; a later call dials again.
func (l *Link) Close() { l.drop(nil) }

// Call makes one call and waits up to timeout for its answer.
func (l *Link) Call(ctx context.Context, method string, args, reply any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	client, err := l.connect(ctx)
	if err != nil {
		return &notSentError{peer: l.address, cause: err}
	}
	call := client.Go(method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-call.Done:
		if call.Error != nil && !isServerError(call.Error) {
			l.drop(client)
		}
		return eris.Wrapf(call.Error, "%s at %s", method, l.address)
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			l.drop(client)
			return eris.Wrapf(ErrTimeout, "%s at %s", method, l.address)
		}
		return eris.Wrapf(ctx.Err(), "%s at %s", method, l.address)
	}
}

func isServerError(err error) bool {
	var server rpc.ServerError
	return errors.As(err, &server)
}

func (l *Link) connect(ctx context.Context) (*rpc.Client, error) {
	l.mu.Lock()
	if l.client != nil {
		defer l.mu.Unlock()
		return l.client, nil
	}
	a := l.attempt
	if a == nil || a.finished() && time.Since(a.ended) > redialDelay {
		a = &attempt{done: make(chan struct{})}
		l.attempt = a
		go l.runAttempt(a)
	}
	l.mu.Unlock()
	select {
	case <-a.done:
		return a.client, a.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

func (a *attempt) finished() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

func (l *Link) runAttempt(a *attempt) {
	conn, err := l.dial(context.Background())
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(a.done)
	a.ended = time.Now()
	if err != nil {
		a.err = err
		return
	}
	a.client = rpc.NewClient(conn)
	l.client = a.client
	l.attempt = nil
}

// drop closes client if the link still uses it. A nil client stands for any.
func (l *Link) drop(client *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.client == nil || client != nil && l.client != client {
		return
	}
	_ = l.client.Close() // the client is broken or no longer needed
	l.client = nil
}

// Serve accepts connections for server until l is closed.
func Serve(l net.Listener, server *rpc.Server) error {
	for {
		conn, err := l.Accept()
		if err != nil {
			return err
		}
		go server.ServeConn(conn)
	}
}

// notSentError is an ErrNotSent with its cause.
type notSentError struct {
	peer  string
	cause error
}

func (e *notSentError) Error() string { return "dial " + e.peer + ": " + e.cause.Error() }

func (e *notSentError) Unwrap() []error { return []error{ErrNotSent, e.cause} }
