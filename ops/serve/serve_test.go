package serve

import (
	"bufio"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/json"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/ops/connlimit"
	"persimmonrock.example/ops/events"
	"persimmonrock.example/ops/keys"
	"persimmonrock.example/ops/problem"
	"persimmonrock.example/ops/settings"
	"persimmonrock.example/structs"
)

const operatorKey = "prk_operator"

// testServer is a running server with handlers that misbehave on purpose.
type testServer struct {
	*Server
	address string
	// entered receives a value when a request is in /slow; closing release ends
	// such requests.
	entered chan struct{}
	release chan struct{}
	// bodies receives the error of reading each body of /read.
	bodies chan error
}

func start(t testing.TB, change func(*Options)) *testServer {
	t.Helper()
	s := &testServer{entered: make(chan struct{}, 16), release: make(chan struct{}), bodies: make(chan error, 16)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /read", func(w http.ResponseWriter, r *http.Request) {
		_, err := io.Copy(io.Discard, r.Body)
		select {
		case s.bodies <- err:
		default:
		}
		var tooLarge *http.MaxBytesError
		if errors.As(err, &tooLarge) {
			problem.Write(w, TooLarge(s.limits), "")
		}
	})
	mux.HandleFunc("POST /slow", func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		select {
		case s.entered <- struct{}{}:
		default:
		}
		select {
		case <-s.release:
			io.WriteString(w, "whole")
		case <-r.Context().Done():
			io.WriteString(w, "cancelled")
		}
	})
	mux.HandleFunc("GET /panic", func(http.ResponseWriter, *http.Request) { panic("no") })
	options := Options{
		Mux:    mux,
		Limits: settings.DefaultLimits(),
		Events: events.New("p", 64),
		Guard: func(r *http.Request) *structs.Refusal {
			if keys.Match([]string{keys.Hash(operatorKey)}, keys.Bearer(r)) {
				return nil
			}
			return &structs.Refusal{Type: structs.RefusedUnauthorised, Status: 401, Outcome: structs.NotRun}
		},
		Ready: func() error { return errors.New("no configuration yet") },
		Log:   zerolog.Nop(),
	}
	if change != nil {
		change(&options)
	}
	server, err := New(options)
	if err != nil {
		t.Fatal(err)
	}
	s.Server = server
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s.address = l.Addr().String()
	go s.Serve(l)
	t.Cleanup(func() { s.http.Close() })
	return s
}

func (s *testServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	c.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { c.Close() })
	return c
}

func TestCommonPathsAndRefusals(t *testing.T) {
	s := start(t, nil)
	for _, c := range []struct {
		method, path, key, body string
		status                  int
		want                    string
	}{
		{"GET", HealthPath, "", "", 200, "ok\n"},
		{"GET", ReadyPath, "", "", 503, `"detail": "no configuration yet"`},
		{"GET", VarsPath, "", "", 401, `"outcome": "not_run"`},
		{"GET", VarsPath, "prk_other", "", 401, `problems/unauthorised`},
		{"GET", VarsPath, operatorKey, "", 200, `"requests":`},
		{"GET", EventsPath, operatorKey, "", 200, `{"events":[]}`},
		{"GET", EventsPath + "?after=x", operatorKey, "", 400, `problems/bad-request`},
		{"GET", "/absent", "", "", 404, `problems/not-found`},
		{"DELETE", "/read", "", "", 405, `this path allows POST`},
		{"GET", "/panic", "", "", 500, `"outcome": "unknown"`},
		{"POST", "/read", "", strings.Repeat("x", 1<<20+1), 413, `problems/too-large`},
	} {
		r, _ := http.NewRequest(c.method, "http://"+s.address+c.path, strings.NewReader(c.body))
		r.Header.Set("Authorization", "Bearer "+c.key)
		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		response.Body.Close()
		if response.StatusCode != c.status || !strings.Contains(string(body), c.want) {
			t.Errorf("%s %s: %d %s, want %d %s", c.method, c.path, response.StatusCode, body, c.status, c.want)
		}
		if c.path == VarsPath && c.status == 200 && json.Unmarshal(body, &map[string]any{}) != nil {
			t.Errorf("counters are not JSON: %s", body)
		}
	}
}

// A caller sends its body within the limit and then waits for a handler that
// runs longer than the limit. The limit is only for slow senders. Guards
// against a read deadline that stays on the connection and cancels the request.
func TestBodyLimitDoesNotEndRequestsInProgress(t *testing.T) {
	const limit = 50 * time.Millisecond
	s := start(t, func(o *Options) {
		o.Limits.ReadHeader = structs.Duration(limit)
		o.Limits.ReadBody = structs.Duration(limit)
	})
	c := s.dial(t)
	fmt.Fprintf(c, "POST /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nhi")
	<-s.entered
	time.AfterFunc(4*limit, func() { close(s.release) })
	if body := readAll(c); !strings.HasSuffix(body, "whole") {
		t.Errorf("got %q", body)
	}
}

// readAll returns the body of one HTTP/1.1 response, or the text of the error.
func readAll(c net.Conn) string {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err.Error()
	}
	body, _ := io.ReadAll(response.Body)
	return string(body)
}

// Clients stop half way through a header and half way through a body. Without
// limits they would hold the process's connections for ever.
func TestSlowClientsAreCut(t *testing.T) {
	s := start(t, func(o *Options) {
		o.Limits.ReadHeader = structs.Duration(50 * time.Millisecond)
		o.Limits.ReadBody = structs.Duration(50 * time.Millisecond)
	})
	header, body := s.dial(t), s.dial(t)
	fmt.Fprint(header, "POST /read HTTP/1.1\r\nHo")
	fmt.Fprint(body, "POST /read HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf")
	io.Copy(io.Discard, header)
	select {
	case err := <-s.bodies:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("reading half a body gave %v", err)
		}
	case <-time.After(10 * time.Second):
		t.Error("connection with half a body still open after 10 s")
	}
}

// Guards against clients that stop half way through a header or a body and use all
// connections, so that nobody else is served.
func TestSlowClientYieldsToANewcomer(t *testing.T) {
	s := start(t, func(o *Options) { o.Limits.Connections = 2 })
	header, body := s.dial(t), s.dial(t)
	fmt.Fprint(header, "POST /read HTTP/1.1\r\nHo")
	s.awaitHeld(t, 2*connlimit.ConnectionBytes+1)
	fmt.Fprint(body, "POST /read HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\nhalf")
	s.awaitHeld(t, 2*connlimit.ConnectionBytes+500)
	third := s.dial(t)
	fmt.Fprint(third, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
	if got := readAll(third); got != "ok\n" {
		t.Errorf("the third connection received %q", got)
	}
	if n, err := header.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("the connection with the oldest incomplete request received %d bytes, %v", n, err)
	}
	if n := s.pool.Open(); n > 2 {
		t.Errorf("%d connections are open, want 2", n)
	}
	if c := s.pool.Counters(); c.Yielded != 1 || c.Refused != 0 {
		t.Errorf("%d connections yielded and %d were refused, want 1 and 0", c.Yielded, c.Refused)
	}
}

// awaitHeld waits until the connections hold at least so many bytes.
func (s *testServer) awaitHeld(t *testing.T, bytes int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); s.pool.Held() < bytes; runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("connections hold %d bytes, want %d", s.pool.Held(), bytes)
		}
	}
}

// Guards against a newcomer that ends a request in progress, and against one that
// waits for a connection until its deadline.
func TestConnectionBeyondTheLimitIsClosedIfAllAreServed(t *testing.T) {
	s := start(t, func(o *Options) { o.Limits.Connections = 1 })
	c := s.dial(t)
	fmt.Fprint(c, "POST /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	<-s.entered
	second := s.dial(t)
	if n, err := second.Read(make([]byte, 1)); n != 0 || err == nil {
		t.Errorf("the second connection received %d bytes, %v", n, err)
	}
	if n := s.pool.Counters().Refused; n != 1 {
		t.Errorf("refused %d connections, want 1", n)
	}
	close(s.release)
	if body := readAll(c); body != "whole" {
		t.Errorf("got %q", body)
	}
}

func TestShutdownWaitsForRequestsAndIsBounded(t *testing.T) {
	s := start(t, nil)
	c := s.dial(t)
	fmt.Fprint(c, "POST /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	<-s.entered
	ended := make(chan error)
	go func() { ended <- s.Shutdown(context.Background()) }()
	for refused := false; !refused; runtime.Gosched() {
		probe, err := net.Dial("tcp", s.address)
		if refused = err != nil; !refused {
			probe.Close()
		}
	}
	close(s.release)
	if body := readAll(c); body != "whole" {
		t.Errorf("got %q", body)
	}
	if err := <-ended; err != nil {
		t.Error(err)
	}

	for range 50 {
		idle := start(t, nil)
		waitUntilServing(t, idle)
		if err := idle.Shutdown(t.Context()); err != nil {
			t.Fatalf("an idle server: %v", err)
		}
	}

	stuck := start(t, nil)
	fmt.Fprint(stuck.dial(t), "POST /slow HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n")
	<-stuck.entered
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	if err := stuck.Shutdown(ctx); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v", err)
	}
}

// waitUntilServing returns once Serve has the listener.
func waitUntilServing(t *testing.T, s *testServer) {
	t.Helper()
	c := s.dial(t)
	fmt.Fprint(c, "GET /healthz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
	readAll(c)
	c.Close()
}

// Callers keep calling on kept connections while the server is stopped. Each
// call must be answered or be refused a connection. If the server closes idle
// connections without notice, the next call on one of them is cut off.
func TestShutdownCutsNoCallOnKeptConnections(t *testing.T) {
	s := start(t, nil)
	var answered, cut atomic.Int64
	var running sync.WaitGroup
	for range 16 {
		running.Go(func() {
			client := &http.Client{Transport: &http.Transport{}}
			for {
				response, err := client.Post("http://"+s.address+"/read", "", strings.NewReader("x"))
				if errors.Is(err, syscall.ECONNREFUSED) {
					return
				}
				if err != nil {
					t.Log(err)
					cut.Add(1)
					continue
				}
				io.Copy(io.Discard, response.Body)
				response.Body.Close()
				answered.Add(1)
			}
		})
	}
	for answered.Load() < 1000 {
		runtime.Gosched()
	}
	if err := s.Shutdown(t.Context()); err != nil {
		t.Error(err)
	}
	running.Wait()
	if cut.Load() > 0 {
		t.Errorf("%d calls cut off, %d answered", cut.Load(), answered.Load())
	}
}

// A client sends 10,000 requests of invalid or almost valid HTTP. No handler
// may panic, none of the requests may read the counters, and the process must
// continue to serve with no connection left open.
func TestMalformedRequestsLeakNothing(t *testing.T) {
	s := start(t, func(o *Options) { o.Limits.ReadHeader = structs.Duration(time.Second) })
	random := mathrand.New(mathrand.NewPCG(1, 2))
	texts := make(chan string, 16)
	var running sync.WaitGroup
	for range 16 {
		running.Go(func() {
			for text := range texts {
				s.sendRaw(t, text)
			}
		})
	}
	for range 10_000 {
		texts <- malformed(random)
	}
	close(texts)
	running.Wait()
	s.http.SetKeepAlivesEnabled(false)
	for end := time.Now().Add(10 * time.Second); s.pool.Open() > 0; runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatalf("%d connections left open", s.pool.Open())
		}
	}
	response, err := http.Get("http://" + s.address + HealthPath)
	if err != nil || response.StatusCode != 200 || s.panics.Load() != 0 {
		t.Errorf("afterwards: %v %v, %d panics", response, err, s.panics.Load())
	}
}

// FuzzRequest checks that no bytes make a handler panic or return the counters.
func FuzzRequest(f *testing.F) {
	f.Add("GET /debug/vars HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer prk_guess\r\n\r\n")
	f.Add("POST /read HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n")
	s := start(f, nil)
	f.Fuzz(func(t *testing.T, text string) {
		panics := s.panics.Load()
		s.sendRaw(t, text)
		if s.panics.Load() != panics && !strings.Contains(text, "/panic") {
			t.Errorf("a handler panicked on %q", text)
		}
	})
}

func (s *testServer) sendRaw(t *testing.T, text string) {
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Error(err)
		return
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(10 * time.Second))
	io.WriteString(c, text)
	c.(*net.TCPConn).CloseWrite()
	response, _ := io.ReadAll(c)
	if strings.Contains(string(response), `"memstats"`) {
		t.Errorf("counters returned without a key for %q", text)
	}
}

// malformed alters one of a few requests at random positions.
func malformed(random *mathrand.Rand) string {
	seeds := []string{
		"GET /debug/vars HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer \r\n\r\n",
		"POST /read HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello",
		"POST /read HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"GET /debug/events?after=1&job=%20 HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\n\r\n",
	}
	text := []byte(seeds[random.IntN(len(seeds))])
	for range 1 + random.IntN(6) {
		at := random.IntN(len(text))
		switch random.IntN(4) {
		case 0:
			text[at] = byte(random.IntN(256))
		case 1:
			text = append(text[:at:at], text[at+random.IntN(len(text)-at):]...)
		case 2:
			text = append(text[:at:at], append([]byte(strings.Repeat("9", random.IntN(40))), text[at:]...)...)
		default:
			text = append(text, text[at:]...)
		}
		if len(text) == 0 {
			return "\x00"
		}
	}
	return string(text)
}

func TestServesOnlyTLSWhereSet(t *testing.T) {
	dir := t.TempDir()
	files := settings.TLS{Cert: filepath.Join(dir, "cert"), Key: filepath.Join(dir, "key")}
	writePair(t, files, "first")
	s := start(t, func(o *Options) { o.TLS = &files })
	if got := s.serverName(t); got != "first" {
		t.Errorf("got %q", got)
	}
	if response, err := http.Get("http://" + s.address + HealthPath); err == nil && response.StatusCode == http.StatusOK {
		t.Error("served without TLS")
	}
}

func (s *testServer) serverName(t *testing.T) string {
	t.Helper()
	c, err := tls.Dial("tcp", s.address, &tls.Config{InsecureSkipVerify: true})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.ConnectionState().PeerCertificates[0].Subject.CommonName
}

func writePair(t *testing.T, files settings.TLS, name string) {
	t.Helper()
	key, _ := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	der, _ := x509.MarshalPKCS8PrivateKey(key)
	os.WriteFile(files.Cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}), 0o600)
	os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}), 0o600)
}
