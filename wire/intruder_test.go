package wire

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/binary"
	"errors"
	"io"
	mathrand "math/rand/v2"
	"net"
	"net/rpc"
	"os"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"
)

// heapBound is the maximum growth of the heap under attack, in bytes.
const heapBound = 64 << 20

// An unauthenticated host tries to run a call on an agent without the shared
// secret. Nothing may run, and the connection must be closed.
func TestUnauthenticatedConnectionsAreRejected(t *testing.T) {
	a := &countingAgent{}
	s, l := startAgent(t, a)
	request := validFrame(t)
	old := recordProof(t, l.Addr().String())
	for _, c := range []struct {
		name   string
		answer func(nonce []byte) []byte
	}{
		{"RPC without a handshake", func([]byte) []byte { return nil }},
		{"zeros", func([]byte) []byte { return make([]byte, nonceSize+sha256.Size) }},
		{"wrong secret", func(nonce []byte) []byte {
			mine := make([]byte, nonceSize)
			return append(mine, proof([]byte("another secret, as long"), "client", nonce, mine)...)
		}},
		{"proof of an earlier connection", func([]byte) []byte { return old }},
		{"proof with the roles swapped", func(nonce []byte) []byte {
			mine := make([]byte, nonceSize)
			return append(mine, proof([]byte(testSecret), "server", nonce, mine)...)
		}},
		{"proof of the nonce alone", func(nonce []byte) []byte {
			return append(nonce, proof(nil, "client", nonce, nonce)...)
		}},
	} {
		before := s.Rejected.Load()
		conn := dialRaw(t, l.Addr().String())
		nonce := make([]byte, nonceSize)
		io.ReadFull(conn, nonce)
		conn.Write(append(c.answer(bytes.Clone(nonce)), request...))
		conn.(*net.TCPConn).CloseWrite()
		if rest, _ := io.ReadAll(conn); len(rest) > 0 {
			t.Errorf("%s: got %d bytes", c.name, len(rest))
		}
		eventually(t, c.name+" is counted", func() bool { return s.Rejected.Load() == before+1 })
	}
	if a.calls.Load() != 0 {
		t.Errorf("%d calls ran", a.calls.Load())
	}
}

// A process with the wrong secret dials an agent, and a client dials a false
// agent: neither may send a request.
func TestBothSidesProveTheSecret(t *testing.T) {
	a := &countingAgent{}
	_, l := startAgent(t, a)
	wrong := NewClient([]byte("not the secret at all"), nil, nil)
	defer wrong.Close()
	_, err := wrong.Agent(l.Addr().String()).Call(context.Background(), CallRequest{})
	var peerErr *PeerError
	if !errors.As(err, &peerErr) || peerErr.Sent || a.calls.Load() != 0 {
		t.Errorf("got %v after %d calls", err, a.calls.Load())
	}
	impostor := listenLocal(t)
	go func() {
		c, err := impostor.Accept()
		if err == nil {
			serverHandshake(c, [][]byte{[]byte("a guess of the secret")})
			c.Write(make([]byte, sha256.Size))
			c.Close()
		}
	}()
	right := NewClient([]byte(testSecret), nil, nil)
	defer right.Close()
	_, err = right.Agent(impostor.Addr().String()).Call(context.Background(), CallRequest{})
	if !errors.Is(err, ErrPeerSecret) || !errors.As(err, &peerErr) || peerErr.Sent {
		t.Errorf("got %v", err)
	}
}

// 10,000 connections send malformed frames, half of them after a valid
// handshake. The process must continue to serve and leak no memory.
func TestMalformedFramesLeakNothing(t *testing.T) {
	s, l := startAgent(t, &countingAgent{})
	random := mathrand.New(mathrand.NewPCG(3, 4))
	frame := validFrame(t)
	before := heapBytes()
	frames := make(chan []byte)
	var running sync.WaitGroup
	for i := range 16 {
		running.Go(func() {
			for f := range frames {
				sendFrame(t, l.Addr().String(), f, i%2 == 0)
			}
		})
	}
	for range 10_000 {
		frames <- corruptFrame(random, frame)
	}
	close(frames)
	running.Wait()
	eventually(t, "no connection is left", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.conns) == 0
	})
	if grown := heapBytes() - before; grown > heapBound {
		t.Errorf("the heap grew by %d bytes", grown)
	}
	c := NewClient([]byte(testSecret), nil, nil)
	defer c.Close()
	if _, err := c.Agent(l.Addr().String()).Call(context.Background(), CallRequest{}); err != nil {
		t.Errorf("call after the malformed frames: %v", err)
	}
}

func sendFrame(t *testing.T, address string, frame []byte, authenticate bool) {
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	if authenticate {
		if err := clientHandshake(c, []byte(testSecret)); err != nil {
			t.Error(err)
			return
		}
	}
	c.SetDeadline(time.Now().Add(testBound))
	c.Write(frame)
	c.(*net.TCPConn).CloseWrite()
	io.Copy(io.Discard, c)
}

// A faulty peer that knows the secret announces huge messages and sends none of
// their bytes. For each message encoding/gob may allocate 10 MiB in advance,
// but not the announced length.
func TestHugeLengthsDoNotExhaustMemory(t *testing.T) {
	s, l := startAgent(t, &countingAgent{})
	before := heapBytes()
	var conns []net.Conn
	for bits := 16; bits < 64; bits++ {
		c := dialAuthenticated(t, l.Addr().String())
		length := binary.BigEndian.AppendUint64([]byte{0xf8}, 1<<bits)
		c.Write(append(length, make([]byte, 1000)...))
		conns = append(conns, c)
	}
	eventually(t, "the server has read them", func() bool { return s.bytes.In.Load() >= int64(len(conns))*1009 })
	const step = 10 << 20
	if grown := heapBytes() - before; grown > int64(len(conns))*step {
		t.Errorf("the heap grew by %d bytes", grown)
	}
}

// failingListener fails the first Accept for lack of file descriptors.
type failingListener struct {
	net.Listener
	failed bool
}

func (l *failingListener) Accept() (net.Conn, error) {
	if !l.failed {
		l.failed = true
		return nil, &net.OpError{Op: "accept", Err: os.NewSyscallError("accept4", syscall.EMFILE)}
	}
	return l.Listener.Accept()
}

// Unauthenticated hosts exhaust the file descriptors for a moment and then open
// connections without sending. Peers must be served again afterwards, and
// connections beyond the limit must be closed at once.
func TestConnectionFloodDoesNotEndServing(t *testing.T) {
	s := NewServer([]byte(testSecret), nil)
	s.ServeAgent(&countingAgent{})
	l := &failingListener{Listener: listenLocal(t)}
	go s.Serve(l, nil)
	defer s.Close()
	c := NewClient([]byte(testSecret), nil, nil)
	defer c.Close()
	if _, err := c.Agent(l.Addr().String()).Call(context.Background(), CallRequest{}); err != nil {
		t.Fatalf("after a temporary failure to accept: %v", err)
	}
	if s.AcceptFailed.Load() != 1 {
		t.Errorf("counted %d", s.AcceptFailed.Load())
	}
	s.handshakes.Store(maxHandshakes)
	if rest, err := io.ReadAll(dialRaw(t, l.Addr().String())); len(rest) > 0 || err != nil {
		t.Errorf("a connection beyond the limit got %d bytes, %v", len(rest), err)
	}
}

func heapBytes() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// validFrame returns the bytes of a client's call after its handshake.
func validFrame(t testing.TB) []byte {
	t.Helper()
	var sent bytes.Buffer
	c := rpc.NewClientWithCodec(newCodec(struct {
		io.Reader
		io.Writer
		io.Closer
	}{bytes.NewReader(nil), &sent, io.NopCloser(nil)}, noClock{}))
	request := CallRequest{Request: "r", Headers: []Header{{"a", "b"}}, Body: []byte("body"), Budget: time.Second}
	<-c.Go("Agent.Call", request, &CallReply{}, nil).Done
	if sent.Len() == 0 {
		// The client read the end of its empty input before it sent the call.
		return validFrame(t)
	}
	return sent.Bytes()
}

// recordProof returns the bytes that a valid client sent in its handshake.
func recordProof(t *testing.T, address string) []byte {
	t.Helper()
	conn := dialRaw(t, address)
	recorded := &recorder{Conn: conn}
	if err := clientHandshake(recorded, []byte(testSecret)); err != nil {
		t.Fatal(err)
	}
	return recorded.sent
}

type recorder struct {
	net.Conn
	sent []byte
}

func (r *recorder) Write(p []byte) (int, error) {
	r.sent = append(r.sent, p...)
	return r.Conn.Write(p)
}

// corruptFrame changes, truncates or repeats parts of a frame.
func corruptFrame(random *mathrand.Rand, frame []byte) []byte {
	f := bytes.Clone(frame)
	for range 1 + random.IntN(4) {
		at := random.IntN(len(f))
		switch random.IntN(4) {
		case 0:
			f[at] = byte(random.IntN(256))
		case 1:
			f = f[:at+1]
		case 2:
			f = append(f[:at:at], append(binary.AppendUvarint(nil, random.Uint64()), f[at:]...)...)
		default:
			f = append(f, f[at:]...)
		}
	}
	return f
}

// FuzzGreeting checks that no bytes pass as proof of the secret.
func FuzzGreeting(f *testing.F) {
	f.Add(make([]byte, nonceSize+sha256.Size))
	f.Fuzz(func(t *testing.T, answer []byte) {
		near, far := net.Pipe()
		go func() {
			io.CopyN(io.Discard, far, nonceSize)
			far.Write(answer)
			far.Close()
		}()
		if err := serverHandshake(near, [][]byte{[]byte(testSecret)}); err == nil {
			t.Errorf("%x passed", answer)
		}
		near.Close()
	})
}

// FuzzFrames checks that no bytes of an authenticated peer cause a panic.
func FuzzFrames(f *testing.F) {
	f.Add(validFrame(f))
	f.Fuzz(func(t *testing.T, frames []byte) {
		s := NewServer([]byte(testSecret), nil)
		s.ServeAgent(&countingAgent{})
		s.rpc.ServeCodec(newCodec(struct {
			io.Reader
			io.Writer
			io.Closer
		}{bytes.NewReader(frames), io.Discard, io.NopCloser(nil)}, noClock{}))
	})
}
