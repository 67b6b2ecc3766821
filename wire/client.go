package wire

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"time"
)

// dialTimeout bounds one connection attempt; a caller may stop waiting sooner.
const dialTimeout = 2 * time.Second

// Client is the Dialer over TCP. It keeps one connection for each address.
type Client struct {
	secret []byte
	tls    *tls.Config
	bytes  *ByteCount
	clock  Clock

	mu    sync.Mutex
	links map[string]*link
}

// NewClient returns a Dialer that authenticates itself with secret. A nil
// tlsConfig means plain TCP. count may be nil.
func NewClient(secret []byte, tlsConfig *tls.Config, count *ByteCount) *Client {
	if count == nil {
		count = &ByteCount{}
	}
	return &Client{secret: secret, tls: tlsConfig, bytes: count, clock: noClock{}, links: make(map[string]*link)}
}

// WithClock makes every message carry the process's logical time. It is called
// before the first use of c and returns c.
func (c *Client) WithClock(clock Clock) *Client {
	c.clock = clock
	return c
}

// Agent implements Dialer.
func (c *Client) Agent(address string) AgentPeer { return agentPeer{c.link(address)} }

// Entry implements Dialer.
func (c *Client) Entry(address string) EntryPeer { return entryPeer{c.link(address)} }

// Close closes all connections; calls in flight fail with Sent set.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, l := range c.links {
		l.disconnect()
	}
	c.links = make(map[string]*link)
}

func (c *Client) link(address string) *link {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[address]
	if l == nil {
		l = &link{client: c, address: address}
		c.links[address] = l
	}
	return l
}

// link is the connection to one address.
type link struct {
	client  *Client
	address string

	mu          sync.Mutex
	conn        net.Conn
	rpc         *rpc.Client
	dialAttempt *dialAttempt
}

// dialAttempt is one attempt to connect; any number of callers wait for it.
type dialAttempt struct {
	done chan struct{}
	rpc  *rpc.Client
	err  error
}

// connect returns the link's open client, dialling if there is none.
//
// Failure guarded against: a peer hangs and never answers, but its kernel still
// accepts connections. Every caller would wait for the handshake's time-out,
// whatever the caller's own deadline. So one attempt runs separately for all
// callers, and each caller waits no longer than its context.
func (l *link) connect(ctx context.Context) (*rpc.Client, error) {
	l.mu.Lock()
	if l.rpc != nil {
		defer l.mu.Unlock()
		return l.rpc, nil
	}
	if l.dialAttempt == nil {
		l.dialAttempt = &dialAttempt{done: make(chan struct{})}
		go l.dial(l.dialAttempt)
	}
	d := l.dialAttempt
	l.mu.Unlock()
	select {
	case <-d.done:
		return d.rpc, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// dial connects and wakes the waiting callers. If the link was disconnected
// meanwhile, it closes the new connection.
func (l *link) dial(d *dialAttempt) {
	conn, err := l.open()
	l.mu.Lock()
	defer l.mu.Unlock()
	defer close(d.done)
	current := l.dialAttempt == d
	if current {
		l.dialAttempt = nil
	}
	switch {
	case err != nil:
		d.err = err
	case !current:
		conn.Close()
		d.err = net.ErrClosed
	default:
		l.conn = conn
		l.rpc = rpc.NewClientWithCodec(newCodec(conn, l.client.clock))
		d.rpc = l.rpc
	}
}

// open connects and runs the handshake.
func (l *link) open() (net.Conn, error) {
	conn, err := net.DialTimeout("tcp", l.address, dialTimeout)
	if err != nil {
		return nil, err
	}
	if l.client.tls != nil {
		conn = tls.Client(conn, l.client.tls)
	}
	conn = l.client.bytes.wrap(conn)
	if err := clientHandshake(conn, l.client.secret); err != nil {
		conn.Close()
		return nil, err
	}
	return conn, nil
}

// drop removes a failed client from the link. It closes the connection but
// never calls rpc.Client.Close, which would end calls in flight with
// ErrShutdown: that error must remain proof that a call was not sent.
func (l *link) drop(failed *rpc.Client) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.rpc != failed {
		return
	}
	l.conn.Close()
	l.conn = nil
	l.rpc = nil
}

func (l *link) disconnect() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != nil {
		l.conn.Close()
	}
	l.conn = nil
	l.rpc = nil
	l.dialAttempt = nil
}

// call runs one RPC. The caller may read reply only if the error is nil: a late
// answer may still be written into reply. args must not be changed after the
// call, since they may not have been sent yet.
func (l *link) call(ctx context.Context, method string, args, reply any) error {
	for attempt := 0; ; attempt++ {
		c, err := l.connect(ctx)
		if err == nil {
			err = ctx.Err()
		}
		if err != nil {
			return &PeerError{Step: method, Peer: l.address, Err: err}
		}
		done := make(chan *rpc.Call, 1)
		// Go writes the request before it returns. If the peer no longer reads,
		// the write blocks beyond the caller's deadline.
		go c.Go(method, args, reply, done)
		select {
		case <-ctx.Done():
			return &PeerError{Step: method, Peer: l.address, Sent: true, Err: ctx.Err()}
		case finished := <-done:
			err = finished.Error
		}
		if err == nil {
			return nil
		}
		if errors.Is(err, rpc.ErrShutdown) && attempt == 0 {
			// The connection failed before this call: nothing was sent, so the
			// call is retried on one new connection.
			l.drop(c)
			continue
		}
		var serverErr rpc.ServerError
		if !errors.As(err, &serverErr) {
			l.drop(c)
		}
		return &PeerError{Step: method, Peer: l.address, Sent: !errors.Is(err, rpc.ErrShutdown), Err: err}
	}
}

func invoke[Q, R any](ctx context.Context, l *link, method string, request Q) (R, error) {
	reply := new(R)
	if err := l.call(ctx, method, request, reply); err != nil {
		var zero R
		return zero, err
	}
	return *reply, nil
}

type agentPeer struct{ *link }

func (p agentPeer) Call(ctx context.Context, r CallRequest) (CallReply, error) {
	return invoke[CallRequest, CallReply](ctx, p.link, "Agent.Call", r)
}

func (p agentPeer) Cancel(ctx context.Context, r CancelRequest) error {
	_, err := invoke[CancelRequest, Empty](ctx, p.link, "Agent.Cancel", r)
	return err
}

func (p agentPeer) Start(ctx context.Context, r StartRequest) (StartReply, error) {
	return invoke[StartRequest, StartReply](ctx, p.link, "Agent.Start", r)
}

func (p agentPeer) Stop(ctx context.Context, r StopRequest) error {
	_, err := invoke[StopRequest, Empty](ctx, p.link, "Agent.Stop", r)
	return err
}

func (p agentPeer) Drain(ctx context.Context, r DrainRequest) (Load, error) {
	return invoke[DrainRequest, Load](ctx, p.link, "Agent.Drain", r)
}

func (p agentPeer) Load(ctx context.Context) (Load, error) {
	return invoke[Empty, Load](ctx, p.link, "Agent.Load", Empty{})
}

func (p agentPeer) Events(ctx context.Context, r EventsRequest) (EventsReply, error) {
	return invoke[EventsRequest, EventsReply](ctx, p.link, "Agent.Events", r)
}

type entryPeer struct{ *link }

func (p entryPeer) Hello(ctx context.Context, r HelloRequest) (HelloReply, error) {
	return invoke[HelloRequest, HelloReply](ctx, p.link, "Entry.Hello", r)
}

func (p entryPeer) Report(ctx context.Context, r ReportRequest) (ReportReply, error) {
	return invoke[ReportRequest, ReportReply](ctx, p.link, "Entry.Report", r)
}

func (p entryPeer) Submit(ctx context.Context, r SubmitRequest) (SubmitReply, error) {
	return invoke[SubmitRequest, SubmitReply](ctx, p.link, "Entry.Submit", r)
}

func (p entryPeer) CancelJobs(ctx context.Context, r CancelJobsRequest) (CancelJobsReply, error) {
	return invoke[CancelJobsRequest, CancelJobsReply](ctx, p.link, "Entry.CancelJobs", r)
}

func (p entryPeer) ReleaseJob(ctx context.Context, r ReleaseJobRequest) (ReleaseJobReply, error) {
	return invoke[ReleaseJobRequest, ReleaseJobReply](ctx, p.link, "Entry.ReleaseJob", r)
}

func (p entryPeer) Config(ctx context.Context, r ConfigRequest) (ConfigReply, error) {
	return invoke[ConfigRequest, ConfigReply](ctx, p.link, "Entry.Config", r)
}

func (p entryPeer) Events(ctx context.Context, r EventsRequest) (EventsReply, error) {
	return invoke[EventsRequest, EventsReply](ctx, p.link, "Entry.Events", r)
}
