// Package node runs one entry or one agent with its listeners, from reading its
// settings to its planned stop. Both binaries and `persimmonrock dev` use it.
package node

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"persimmonrock.example/infra"
	"persimmonrock.example/ops/certs"
	"persimmonrock.example/ops/events"
	"persimmonrock.example/ops/serve"
	"persimmonrock.example/ops/settings"
	"persimmonrock.example/wire"
)

// Platform holds the clients of the platform's services that one process uses.
// Only agents use Worker and AnnounceEvery.
type Platform struct {
	Table   infra.Table
	Objects infra.Objects
	Worker  infra.Worker
	// AnnounceEvery is the interval between a backend server's announcements to
	// the agent; 0 selects the agent's default. A new agent admits no calls for
	// twice this interval.
	AnnounceEvery time.Duration
}

// listeners are a process's two sockets.
type listeners struct {
	http net.Listener
	rpc  net.Listener
}

func listen(httpAddress, rpcAddress string) (listeners, error) {
	h, err := net.Listen("tcp", httpAddress)
	if err != nil {
		return listeners{}, eris.Wrapf(err, "listen for http at %s", httpAddress)
	}
	r, err := net.Listen("tcp", rpcAddress)
	if err != nil {
		h.Close()
		return listeners{}, eris.Wrapf(err, "listen for rpc at %s", rpcAddress)
	}
	return listeners{http: h, rpc: r}, nil
}

func (l listeners) close() {
	l.http.Close()
	l.rpc.Close()
}

// advertised returns the address that other processes use: the configured one,
// or the listener's, whose port may have been chosen by the system.
func advertised(configured string, l net.Listener) string {
	if configured != "" {
		return configured
	}
	return l.Addr().String()
}

// common holds the state that entries and agents share.
type common struct {
	log     zerolog.Logger
	sockets listeners
	rpc     *wire.Server
	http    *serve.Server
	client  *wire.Client
	ring    *events.Ring
	bytes   *wire.ByteCount
	// peerTLS is nil if the processes communicate without TLS.
	peerTLS  *certs.Certificate
	cancel   context.CancelFunc
	ended    chan error
	shutdown time.Duration
}

// newCommon opens the sockets and creates the peers' client and server.
func newCommon(name string, peers settings.Peers, h settings.HTTP, r settings.RPC, ring int, shutdown time.Duration, log zerolog.Logger) (common, error) {
	c := common{log: log, ring: events.New(name, ring), bytes: &wire.ByteCount{}, shutdown: shutdown}
	if err := c.setUpPeers(peers); err != nil {
		return common{}, err
	}
	sockets, err := listen(h.Listen, r.Listen)
	if err != nil {
		return common{}, err
	}
	c.sockets = sockets
	return c, nil
}

// setUpPeers creates the client and the server of the peers' protocol.
func (c *common) setUpPeers(peers settings.Peers) error {
	secret, err := peers.Load()
	if err != nil {
		return eris.Wrap(err, "read the peers' secret")
	}
	second, err := peers.LoadAlsoAccept()
	if err != nil {
		return eris.Wrap(err, "read the peers' second secret")
	}
	var clientTLS *tls.Config
	if peers.TLS != nil {
		c.peerTLS, err = certs.New(peers.TLS.Files())
		if err != nil {
			return err
		}
		clientTLS = c.peerTLS.Client()
	}
	c.client = wire.NewClient(secret, clientTLS, c.bytes).WithClock(c.ring)
	c.rpc = wire.NewServer(secret, c.bytes).WithClock(c.ring).AlsoAccept(second)
	return nil
}

// serveRPC serves the peers' protocol until its listener is closed.
func (c *common) serveRPC() {
	var serverTLS *tls.Config
	if c.peerTLS != nil {
		serverTLS = c.peerTLS.Server()
	}
	_ = c.rpc.Serve(c.sockets.rpc, serverTLS)
}

// HTTPAddress returns the address at which the process serves HTTP.
func (c *common) HTTPAddress() string { return c.sockets.http.Addr().String() }

// RPCAddress returns the address at which the process serves its peers.
func (c *common) RPCAddress() string { return c.sockets.rpc.Addr().String() }

// Ended returns a channel that receives an error if the HTTP server or the
// background work fails.
func (c *common) Ended() <-chan error { return c.ended }

// start starts the servers and the background work.
func (c *common) start(run func(context.Context) error) {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.ended = make(chan error, 3)
	go c.serveRPC()
	go func() { c.reportEnd(c.http.Serve(c.sockets.http)) }()
	go func() { c.reportEnd(run(ctx)) }()
}

func (c *common) reportEnd(err error) {
	if err != nil && !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, context.Canceled) {
		c.ended <- err
	}
}

// stop carries out a planned stop. drain refuses new work and waits for work in
// progress. The sockets are closed afterwards, so that no answer is truncated.
func (c *common) stop(ctx context.Context, drain func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, c.shutdown)
	defer cancel()
	err := drain(ctx)
	c.sockets.rpc.Close()
	err = errors.Join(err, c.http.Shutdown(ctx), c.rpc.Shutdown(ctx))
	c.cancel()
	c.client.Close()
	return err
}

// kill ends the node at once, as if its process had been killed.
func (c *common) kill() {
	c.cancel()
	c.sockets.http.Close()
	c.sockets.rpc.Close()
	c.rpc.Close()
	c.client.Close()
}

// peerVars is the part of /debug/vars about the traffic between the system's
// own processes and about rejected connections.
type peerVars struct {
	In           int64 `json:"in_bytes"`
	Out          int64 `json:"out_bytes"`
	Rejected     int64 `json:"rejected"`
	AcceptFailed int64 `json:"accept_failed"`
	// TLS holds the counts of reads of the certificate files; nil without TLS.
	TLS any `json:"tls,omitempty"`
}

func (c *common) peerVars() any {
	v := peerVars{In: c.bytes.In.Load(), Out: c.bytes.Out.Load(), Rejected: c.rpc.Rejected.Load(), AcceptFailed: c.rpc.AcceptFailed.Load()}
	if c.peerTLS != nil {
		v.TLS = c.peerTLS.Vars()
	}
	return v
}

// Process is a running entry or agent.
type Process interface {
	Stop(ctx context.Context) error
	Ended() <-chan error
}

// Wait waits until ctx ends, carries out a planned stop and returns its error.
// If the process fails first, Wait returns that failure.
func Wait(ctx context.Context, p Process) error {
	select {
	case err := <-p.Ended():
		return err
	case <-ctx.Done():
		return p.Stop(context.WithoutCancel(ctx))
	}
}
