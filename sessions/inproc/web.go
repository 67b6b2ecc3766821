package inproc

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"sync"
	"syscall"
	"time"
)

// WebFault is a fault that Web injects into one HTTP exchange between an agent
// and a backend server.
type WebFault int

// The faults of an HTTP exchange. WebCutBody delivers half of the body.
const (
	WebDeliver WebFault = iota
	WebRefuse
	WebLoseAnswer
	WebCutBody
)

// Web routes HTTP requests to handlers by host name.
type Web struct {
	mu       sync.Mutex
	handlers map[string]http.Handler
	script   func(*http.Request) WebFault
}

// NewWeb returns a Web without hosts.
func NewWeb() *Web { return &Web{handlers: make(map[string]http.Handler)} }

// Serve makes h reachable as http://host; nil removes the host.
func (w *Web) Serve(host string, h http.Handler) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.handlers[host] = h
}

// Script sets a function that chooses the fault of each request; nil removes
// it.
func (w *Web) Script(f func(*http.Request) WebFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.script = f
}

// Client returns an HTTP client that sends its requests through w.
func (w *Web) Client() *http.Client { return &http.Client{Transport: w} }

func (w *Web) route(r *http.Request) (http.Handler, WebFault) {
	w.mu.Lock()
	defer w.mu.Unlock()
	h := w.handlers[r.URL.Host]
	if h == nil {
		return nil, WebRefuse
	}
	if w.script == nil {
		return h, WebDeliver
	}
	return h, w.script(r)
}

// RoundTrip implements http.RoundTripper. The handler keeps running after the
// client times out, as in a server that does not notice closed connections.
func (w *Web) RoundTrip(r *http.Request) (*http.Response, error) {
	handler, fault := w.route(r)
	if fault == WebRefuse {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	body, err := readAll(r.Body)
	if err != nil {
		return nil, err
	}
	request := httptest.NewRequest(r.Method, r.URL.String(), bytes.NewReader(body))
	request.Header = r.Header.Clone()
	done := make(chan *http.Response, 1)
	go func() {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		time.Sleep(latency)
		done <- recorder.Result()
	}()
	select {
	case <-r.Context().Done():
		return nil, r.Context().Err()
	case answer := <-done:
		return applyFault(answer, fault)
	}
}

func readAll(r io.ReadCloser) ([]byte, error) {
	if r == nil {
		return nil, nil
	}
	defer r.Close()
	return io.ReadAll(r)
}

func applyFault(answer *http.Response, fault WebFault) (*http.Response, error) {
	body, err := io.ReadAll(answer.Body)
	if err != nil {
		return nil, err
	}
	answer.ContentLength = int64(len(body))
	switch fault {
	case WebLoseAnswer:
		return nil, &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	case WebCutBody:
		answer.Body = io.NopCloser(io.MultiReader(bytes.NewReader(body[:len(body)/2]), truncated{}))
	default:
		answer.Body = io.NopCloser(bytes.NewReader(body))
	}
	return answer, nil
}

// truncated stands for the rest of a body whose connection was cut; reading it
// fails.
type truncated struct{}

func (truncated) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
