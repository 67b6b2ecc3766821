package wire

import (
	"flag"
	"io"
	"log"
	"net"
	"sync/atomic"
	"testing"
	"time"
)

const testSecret = "a secret for tests only"

// testBound is the longest time that a test waits for anything.
const testBound = 10 * time.Second

// countingAgent counts the calls that reach it. If entered is set, each call
// sends a value to it and then waits for release.
type countingAgent struct {
	calls   atomic.Int64
	entered chan struct{}
	release chan struct{}
}

func (a *countingAgent) Call(r CallRequest, reply *CallReply) error {
	a.calls.Add(1)
	if a.entered != nil {
		a.entered <- struct{}{}
		<-a.release
	}
	reply.Request, reply.Body = r.Request, r.Body
	return nil
}

func (a *countingAgent) Cancel(CancelRequest, *Empty) error { return nil }

func (a *countingAgent) Start(StartRequest, *StartReply) error { return nil }

func (a *countingAgent) Stop(StopRequest, *Empty) error { return nil }

func (a *countingAgent) Drain(DrainRequest, *Load) error { return nil }

func (a *countingAgent) Load(Empty, *Load) error { return nil }

func (a *countingAgent) Events(EventsRequest, *EventsReply) error { return nil }

func startAgent(t testing.TB, a *countingAgent) (*Server, net.Listener) {
	t.Helper()
	s := NewServer([]byte(testSecret), nil)
	if err := s.ServeAgent(a); err != nil {
		t.Fatal(err)
	}
	l := listenLocal(t)
	go s.Serve(l, nil)
	t.Cleanup(s.Close)
	return s, l
}

func listenLocal(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return l
}

func dialRaw(t testing.TB, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testBound))
	t.Cleanup(func() { c.Close() })
	return c
}

func dialAuthenticated(t testing.TB, address string) net.Conn {
	t.Helper()
	c := dialRaw(t, address)
	if err := clientHandshake(c, []byte(testSecret)); err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(testBound))
	return c
}

// eventually waits until holds returns true.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(testBound); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %s: %s", testBound, what)
		}
	}
}

func TestMain(m *testing.M) {
	// net/rpc logs each malformed frame.
	log.SetOutput(io.Discard)
	// Every run draws the same cases; -rapid.seed=0 draws others.
	flag.Set("rapid.seed", "1")
	m.Run()
}
