package connlimit

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
)

// pipes is a listener whose connections are pipes.
type pipes struct {
	conns chan net.Conn
	done  chan struct{}
}

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.done:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error {
	close(p.done)
	return nil
}

func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial() net.Conn {
	client, server := net.Pipe()
	p.conns <- server
	return client
}

const (
	maxBody     = 64 << 10
	bodyTimeout = 5 * time.Second
)

var clientLimits = ClientLimits{HeaderBytes: 8 << 10, Header: 3 * time.Second, Idle: 15 * time.Second, Body: 10 * time.Second, Send: 10 * time.Second}

// bench is a server with a pool, in fake time. Its handler responds with the size
// of the body, or with the error.
type bench struct {
	t       *testing.T
	pool    *Pool
	pipes   *pipes
	release chan struct{}
}

func run(t *testing.T, l Limits, test func(*testing.T, *bench)) {
	synctest.Test(t, func(t *testing.T) {
		b := &bench{t: t, pool: New(l, func() ClientLimits { return clientLimits }), pipes: &pipes{conns: make(chan net.Conn), done: make(chan struct{})}, release: make(chan struct{})}
		s := &http.Server{Handler: http.HandlerFunc(b.serve)}
		b.pool.Configure(s)
		ctx, cancel := context.WithCancel(t.Context())
		go b.pool.Run(ctx, zerolog.Nop())
		go s.Serve(b.pool.Listen(b.pipes))
		test(t, b)
		cancel()
		_ = s.Close()
		synctest.Wait()
		if f := b.pool.Figures(); f["open"] != 0 || f["held_bytes"] != int64(0) {
			t.Errorf("after the last connection: %v", f)
		}
	})
}

func (b *bench) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/wait" {
		<-b.release
	}
	body, err := ReadBody(w, r, maxBody, bodyTimeout)
	switch {
	case errors.Is(err, ErrNoMemory):
		w.WriteHeader(http.StatusServiceUnavailable)
	case errors.Is(err, ErrTimeout):
		w.WriteHeader(http.StatusRequestTimeout)
	case err != nil:
		w.WriteHeader(http.StatusBadRequest)
	default:
		fmt.Fprint(w, len(body))
	}
}

func head(path string, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", path, length)
}

// write sends text without waiting for the server to read it.
func (b *bench) write(c net.Conn, text string) {
	go func() { _, _ = io.WriteString(c, text) }() // fails if the server closes the connection
	synctest.Wait()
}

// status returns the status of the next response, 0 if the connection is closed.
func status(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

func (b *bench) expect(c net.Conn, want int) {
	b.t.Helper()
	if got := status(c); got != want {
		b.t.Errorf("status %d, want %d (0 is a closed connection)", got, want)
	}
}

var roomy = Limits{Connections: 10, Memory: 10 << 20}

// Guards against requests over TLS that escape the account, or keep it.
func TestRequestsOverTLSAreAccounted(t *testing.T) {
	pool := New(Limits{Connections: 10, Memory: 10 << 20, TLS: true}, func() ClientLimits { return clientLimits })
	held := make(chan int64, 1)
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := ReadBody(w, r, maxBody, bodyTimeout); err != nil {
			t.Error(err)
		}
		held <- pool.Held()
	}))
	s.Listener = pool.Listen(s.Listener)
	pool.Configure(s.Config)
	s.StartTLS()
	defer s.Close()
	resp, err := s.Client().Post(s.URL, "text/plain", strings.NewReader(strings.Repeat("x", maxBody)))
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	if got, least := <-held, int64(ConnectionBytes+bodyCost*maxBody); got < least {
		t.Errorf("%d bytes were held while a body was served, want %d at least", got, least)
	}
	for end := time.Now().Add(10 * time.Second); pool.Held() != ConnectionBytes; time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("%d bytes are held after the response, want those of the connection, %d", pool.Held(), ConnectionBytes)
		}
	}
}

// Guards against requests that keep their memory after their response.
func TestMemoryIsReturnedAfterTheResponse(t *testing.T) {
	run(t, roomy, func(t *testing.T, b *bench) {
		c := b.pipes.dial()
		for range 3 {
			b.write(c, head("/", maxBody)+strings.Repeat("x", maxBody))
			b.expect(c, http.StatusOK)
			synctest.Wait()
			if held := b.pool.Figures()["held_bytes"]; held != int64(ConnectionBytes) {
				t.Errorf("%v bytes held, want those of the connection, %d", held, ConnectionBytes)
			}
		}
	})
}

// Guards against headers above the limit that the server goes on to read.
func TestHeaderAboveTheLimitIsRefused(t *testing.T) {
	run(t, roomy, func(t *testing.T, b *bench) {
		c := b.pipes.dial()
		b.write(c, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("b", 2*clientLimits.HeaderBytes))
		b.expect(c, http.StatusRequestHeaderFieldsTooLarge)
		b.expect(c, 0)
		if n := b.pool.Counters().HeadersTooLarge; n != 1 {
			t.Errorf("%d headers counted as too large", n)
		}
		within := b.pipes.dial()
		b.write(within, "GET / HTTP/1.1\r\nHost: h\r\nA: "+strings.Repeat("b", clientLimits.HeaderBytes-100)+"\r\n\r\n")
		b.expect(within, http.StatusOK)
	})
}

// Guards against a body that stops short and holds its connection for ever.
func TestBodyThatStopsShortTimesOut(t *testing.T) {
	for _, length := range []string{"Content-Length: 100", "Transfer-Encoding: chunked"} {
		run(t, roomy, func(t *testing.T, b *bench) {
			c, begun := b.pipes.dial(), time.Now()
			b.write(c, "POST / HTTP/1.1\r\nHost: h\r\n"+length+"\r\n\r\n1\r\n")
			b.expect(c, http.StatusRequestTimeout)
			if took := time.Since(begun); took != bodyTimeout {
				t.Errorf("responded after %v, want %v", took, bodyTimeout)
			}
			b.expect(c, 0)
		})
	}
}

// Guards against a body above the limit that is waited for although its length is
// known.
func TestBodyAboveTheLimitIsRefusedAtOnce(t *testing.T) {
	run(t, roomy, func(t *testing.T, b *bench) {
		c, begun := b.pipes.dial(), time.Now()
		b.write(c, head("/", maxBody+1))
		b.expect(c, http.StatusBadRequest)
		if took := time.Since(begun); took != 0 {
			t.Errorf("refused after %v", took)
		}
	})
}

// Guards against a body that breaks off and is taken for a whole one.
func TestBodyThatBreaksOffIsNotWhole(t *testing.T) {
	run(t, roomy, func(t *testing.T, b *bench) {
		c := b.pipes.dial()
		b.write(c, "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabcde\r\nZ\r\n")
		b.expect(c, http.StatusBadRequest)
		b.expect(c, 0)
	})
}

// Guards against headers and pauses that never end.
func TestSilentConnectionsAreClosed(t *testing.T) {
	for _, c := range []struct {
		name, text string
		after      time.Duration
	}{{"without a byte", "", clientLimits.Idle}, {"in the header", "GET / HT", clientLimits.Header}} {
		t.Run(c.name, func(t *testing.T) {
			run(t, roomy, func(t *testing.T, b *bench) {
				conn, begun := b.pipes.dial(), time.Now()
				b.write(conn, c.text)
				b.expect(conn, 0)
				if took := time.Since(begun); took < c.after || took > c.after+2*sweepInterval {
					t.Errorf("closed after %v, want %v", took, c.after)
				}
			})
		})
	}
}

// Guards against bodies that stop short and keep the memory from an ordinary
// request.
func TestStalledBodyYieldsToAWholeOne(t *testing.T) {
	run(t, Limits{Connections: 10, Memory: 3*ConnectionBytes + (bodyCost+1)*maxBody}, func(t *testing.T, b *bench) {
		stalled, ordinary := b.pipes.dial(), b.pipes.dial()
		b.write(stalled, head("/", maxBody)+strings.Repeat("x", maxBody-1))
		time.Sleep(2 * patience)
		b.write(ordinary, head("/", maxBody)+strings.Repeat("x", maxBody))
		b.expect(ordinary, http.StatusOK)
		b.expect(stalled, 0)
		if n := b.pool.Counters().Yielded; n != 1 {
			t.Errorf("%d connections yielded, want 1", n)
		}
	})
}

// Guards against a refusal that the client of a large body never sees, and
// against one that takes from requests which are served.
func TestBodyWithoutRoomIsRefused(t *testing.T) {
	run(t, Limits{Connections: 10, Memory: 4 * ConnectionBytes}, func(t *testing.T, b *bench) {
		c := b.pipes.dial()
		b.write(c, head("/", maxBody)+strings.Repeat("x", maxBody))
		b.expect(c, http.StatusServiceUnavailable)
	})
}

// Guards against newcomers that end requests which are served, and against
// newcomers that wait for nothing.
func TestNewcomerIsClosedIfAllAreServed(t *testing.T) {
	run(t, Limits{Connections: 2, Memory: 10 << 20}, func(t *testing.T, b *bench) {
		served := []net.Conn{b.pipes.dial(), b.pipes.dial()}
		for _, c := range served {
			b.write(c, "GET /wait HTTP/1.1\r\nHost: h\r\n\r\n")
		}
		b.expect(b.pipes.dial(), 0)
		close(b.release)
		for _, c := range served {
			b.expect(c, http.StatusOK)
		}
		newcomer := b.pipes.dial()
		b.write(newcomer, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		b.expect(newcomer, http.StatusOK)
	})
}

// Guards against clients whose next request always follows at once and so never
// yield.
func TestBusyConnectionsEndWhenConnectionsAreScarce(t *testing.T) {
	run(t, Limits{Connections: 1, Memory: 10 << 20}, func(t *testing.T, b *bench) {
		c := b.pipes.dial()
		const call = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
		b.write(c, call+call+call)
		in := bufio.NewReader(c)
		for n := range 2 {
			resp, err := http.ReadResponse(in, nil)
			if err != nil {
				t.Fatalf("response %d: %v", n, err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			if resp.Close != (n == 1) {
				t.Errorf("response %d closes the connection: %t", n, resp.Close)
			}
		}
		if _, err := in.ReadByte(); err == nil {
			t.Error("the connection is open after its last response")
		}
	})
}
