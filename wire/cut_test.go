package wire

import (
	"bytes"
	"context"
	"crypto/sha256"
	"errors"
	"io"
	"net"
	"net/rpc"
	"os"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// cuttingProxy relays between a client and an agent and closes the connection
// after a number of the client's bytes beyond the handshake.
type cuttingProxy struct {
	net.Listener
	target string
	// remaining counts down to the cut; a negative value disables the cut.
	remaining atomic.Int64
	// forwarded counts request bytes that reached the agent.
	forwarded atomic.Int64
}

func newCuttingProxy(t testing.TB, target string) *cuttingProxy {
	c := &cuttingProxy{Listener: listenLocal(t), target: target}
	go func() {
		for {
			conn, err := c.Accept()
			if err != nil {
				return
			}
			go c.forward(conn)
		}
	}()
	return c
}

func (c *cuttingProxy) forward(client net.Conn) {
	defer client.Close()
	agent, err := net.Dial("tcp", c.target)
	if err != nil {
		return
	}
	defer agent.Close()
	go func() {
		io.Copy(client, agent)
		client.Close()
	}()
	handshake := make([]byte, 64)
	if _, err := io.ReadFull(client, handshake); err != nil {
		return
	}
	agent.Write(handshake)
	b := make([]byte, 1)
	for c.remaining.Add(-1) != -1 {
		if _, err := client.Read(b); err != nil {
			return
		}
		c.forwarded.Add(1)
		agent.Write(b)
	}
}

// Guards against a call that runs twice: a call that reached the agent fails as
// "not sent", and the entry retries the call at another agent. The connection
// may be cut before, during or after the sending of a call, at any byte.
func TestNotSentCallsNeverRan(t *testing.T) {
	size := int64(len(validFrame(t)))
	var notSent, sent, answered int
	rapid.Check(t, func(rt *rapid.T) {
		a := &countingAgent{}
		s, l := startAgent(t, a)
		defer s.Close()
		defer l.Close()
		proxy := newCuttingProxy(t, l.Addr().String())
		defer proxy.Close()
		c := NewClient([]byte(testSecret), nil, nil)
		defer c.Close()
		for range rapid.IntRange(1, 4).Draw(rt, "calls") {
			proxy.remaining.Store(rapid.Int64Range(-1, size+50).Draw(rt, "cut after"))
			ran, forwarded := a.calls.Load(), proxy.forwarded.Load()
			ctx, cancel := context.WithTimeout(context.Background(), testBound)
			_, err := c.Agent(proxy.Addr().String()).Call(ctx, CallRequest{Request: "r", Body: []byte("body")})
			cancel()
			var peerErr *PeerError
			switch {
			case err == nil:
				answered++
				if a.calls.Load() != ran+1 {
					rt.Fatalf("an answered call ran %d times", a.calls.Load()-ran)
				}
			case !errors.As(err, &peerErr):
				rt.Fatalf("got %v", err)
			case peerErr.Sent:
				sent++
			default:
				notSent++
				if a.calls.Load() != ran || proxy.forwarded.Load() != forwarded {
					rt.Fatalf("not sent, but %d bytes and %d calls arrived", proxy.forwarded.Load()-forwarded, a.calls.Load()-ran)
				}
			}
		}
	})
	t.Logf("answered %d, cut as sent %d, cut as not sent %d", answered, sent, notSent)
}

// An agent was restarted while the connection to it was idle. The next call
// must be sent once, on a new connection, and not fail as if it might have run.
func TestClosedIdleConnectionIsReplaced(t *testing.T) {
	a := &countingAgent{}
	s, l := startAgent(t, a)
	c := NewClient([]byte(testSecret), nil, nil)
	defer c.Close()
	peer := c.Agent(l.Addr().String())
	for i := range 20 {
		if _, err := peer.Call(context.Background(), CallRequest{}); err != nil {
			t.Fatalf("call %d: %v", i, err)
		}
		s.mu.Lock()
		for conn := range s.conns {
			conn.Close()
		}
		s.mu.Unlock()
		link := c.link(l.Addr().String())
		eventually(t, "the client has detected the closed connection", func() bool {
			probe := <-link.rpc.Go("Agent.Load", Empty{}, &Load{}, nil).Done
			return errors.Is(probe.Error, rpc.ErrShutdown)
		})
	}
	if a.calls.Load() != 20 {
		t.Errorf("%d calls ran, want 20", a.calls.Load())
	}
}

// An agent's machine hangs: its kernel accepts connections, but the agent
// neither handshakes nor reads. Each caller with 50 ms left must get a not-sent
// error in time. Otherwise the callers wait one after the other for the
// handshake's time-out, which is seconds.
func TestHungPeerDoesNotDelayCallersBeyondDeadline(t *testing.T) {
	hung := listenLocal(t)
	c := NewClient([]byte(testSecret), nil, nil)
	defer c.Close()
	start := time.Now()
	results := make(chan error)
	for range 8 {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			defer cancel()
			_, err := c.Agent(hung.Addr().String()).Call(ctx, CallRequest{})
			results <- err
		}()
	}
	for range 8 {
		err := <-results
		var peerErr *PeerError
		if !errors.As(err, &peerErr) || peerErr.Sent || !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v", err)
		}
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("callers were blocked for %s", took)
	}
}

// As in the test above, but the agent hangs after the connection was made. The
// bodies fill the sockets' buffers, so that writing blocks, too.
func TestNonReadingPeerDoesNotDelayCallers(t *testing.T) {
	l := listenLocal(t)
	go func() {
		conn, err := l.Accept()
		if err == nil {
			serverHandshake(conn, [][]byte{[]byte(testSecret)})
			<-t.Context().Done()
			conn.Close()
		}
	}()
	c := NewClient([]byte(testSecret), nil, nil)
	defer c.Close()
	body := bytes.Repeat([]byte("x"), 16<<20)
	start := time.Now()
	for range 2 {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, err := c.Agent(l.Addr().String()).Call(ctx, CallRequest{Body: body})
		cancel()
		if !errors.Is(err, context.DeadlineExceeded) {
			t.Errorf("got %v", err)
		}
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("callers were blocked for %s", took)
	}
}

// The peer hangs permanently while a message is written to it. The write must
// fail within a bound and close the connection. Otherwise later messages wait
// forever.
func TestStalledWriteClosesTheConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer far.Close()
		c := (&ByteCount{}).wrap(near)
		start := time.Now()
		_, err := c.Write([]byte("x"))
		if took := time.Since(start); !errors.Is(err, os.ErrDeadlineExceeded) || took > 2*stallTimeout {
			t.Errorf("got %v after %s", err, took)
		}
		if _, err := near.Read(make([]byte, 1)); !errors.Is(err, io.ErrClosedPipe) {
			t.Errorf("the connection is open: %v", err)
		}
	})
}

// Shutdown is called during a handshake, at whose end the server removes the
// read deadline. Shutdown must not wait for this idle connection until the
// context ends: it would then close the connections of running calls.
func TestShutdownDuringAHandshake(t *testing.T) {
	s, _ := startAgent(t, &countingAgent{})
	client, server := net.Pipe()
	defer client.Close()
	s.add(server)
	go s.serve(server)
	nonce, mine := make([]byte, nonceSize), make([]byte, nonceSize)
	io.ReadFull(client, nonce)
	client.Write(append(mine, proof([]byte(testSecret), "client", nonce, mine)...))
	ended := make(chan error)
	ctx, cancel := context.WithTimeout(context.Background(), testBound/2)
	defer cancel()
	go func() { ended <- s.Shutdown(ctx) }()
	eventually(t, "the shutdown has begun", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.closing
	})
	io.ReadFull(client, make([]byte, sha256.Size))
	if err := <-ended; err != nil {
		t.Errorf("the shutdown returned %v", err)
	}
}

func TestShutdownLetsCallsInProgressFinish(t *testing.T) {
	a := &countingAgent{entered: make(chan struct{}), release: make(chan struct{})}
	s, l := startAgent(t, a)
	c := NewClient([]byte(testSecret), nil, nil)
	defer c.Close()
	answered := make(chan error)
	go func() {
		_, err := c.Agent(l.Addr().String()).Call(context.Background(), CallRequest{})
		answered <- err
	}()
	<-a.entered
	ended := make(chan error)
	go func() { ended <- s.Shutdown(context.Background()) }()
	eventually(t, "the shutdown has begun", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.closing
	})
	close(a.release)
	if err := <-answered; err != nil {
		t.Errorf("the call failed: %v", err)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}
}

// steppingClock advances at each read, as if an event preceded each message.
type steppingClock struct{ now atomic.Uint64 }

func (c *steppingClock) Now() uint64 { return c.now.Add(1) }

func (c *steppingClock) Observe(logical uint64) { c.now.Store(max(logical, c.now.Load())) }

// Two processes record events of one call. The time line must show the agent's
// events between the entry's events, so request and reply carry the clocks.
func TestMessagesCarryLogicalClocks(t *testing.T) {
	entry, agent := &steppingClock{}, &steppingClock{}
	entry.now.Store(40)
	s := NewServer([]byte(testSecret), nil).WithClock(agent)
	s.ServeAgent(&countingAgent{})
	l := listenLocal(t)
	go s.Serve(l, nil)
	defer s.Close()
	c := NewClient([]byte(testSecret), nil, nil).WithClock(entry)
	defer c.Close()
	if _, err := c.Agent(l.Addr().String()).Call(context.Background(), CallRequest{}); err != nil {
		t.Fatal(err)
	}
	if agent.now.Load() != 42 || entry.now.Load() != 42 {
		t.Errorf("the agent's clock is at %d and the entry's at %d, want 42", agent.now.Load(), entry.now.Load())
	}
}

func BenchmarkCall(b *testing.B) {
	_, l := startAgent(b, &countingAgent{})
	c := NewClient([]byte(testSecret), nil, nil)
	defer c.Close()
	peer := c.Agent(l.Addr().String())
	request := CallRequest{Body: make([]byte, 1000)}
	for b.Loop() {
		if _, err := peer.Call(context.Background(), request); err != nil {
			b.Fatal(err)
		}
	}
}
