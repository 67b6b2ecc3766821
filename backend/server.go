package backend

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"persimmonrock.example/structs"
)

// Config describes one backend server. Agent, Name, Service, Address and Slots
// are required.
type Config struct {
	// Agent is the base URL of the announcement API of the instance's agent.
	Agent string
	// Name identifies the server on its instance, across restarts.
	Name    string
	Service structs.Service
	// Address is the server's own base URL and CallPath the path of calls,
	// "/" if empty.
	Address    string
	CallPath   string
	Idempotent bool
	Slots      int
	// Connections defaults to Slots.
	Connections int
	MemoryBytes int64
	// MaxBody bounds a request's body in bytes; the default is 16 MiB.
	MaxBody int64
	// Interval is the time between announcements unless the agent sets another;
	// the default is one second.
	Interval time.Duration
	// Incarnation must be above that of the previous process with this name.
	// The default is the clock's time, raised if the agent knows a higher
	// incarnation.
	Incarnation uint64
	// HTTP is the client for announcements.
	HTTP *http.Client
}

const (
	defaultMaxBody  = 16 << 20
	defaultInterval = time.Second
)

// Counters are a server's counters besides those of its guard.
type Counters struct {
	CutBody, Announced, AnnounceFailed atomic.Int64
}

// Server guards a handler. Use it as the handler of the user's http.Server.
type Server struct {
	// Guard may be used at any time.
	Guard    *Guard
	Counters Counters
	config   Config
	handler  http.Handler
	wake     chan struct{}
	// announceMu is held during an announcement and its answer.
	announceMu sync.Mutex
}

// New returns a server that guards handler. Run announces the server.
func New(c Config, handler http.Handler) *Server {
	if c.Connections == 0 {
		c.Connections = c.Slots
	}
	if c.MaxBody == 0 {
		c.MaxBody = defaultMaxBody
	}
	if c.Interval == 0 {
		c.Interval = defaultInterval
	}
	if c.CallPath == "" {
		c.CallPath = "/"
	}
	if c.Incarnation == 0 {
		c.Incarnation = uint64(time.Now().UnixNano())
	}
	if c.HTTP == nil {
		c.HTTP = &http.Client{Timeout: 5 * time.Second}
	}
	return &Server{
		Guard: NewGuard(c.Incarnation, c.Slots), config: c, handler: handler, wake: make(chan struct{}, 1),
	}
}

// ServeHTTP runs the request unless the guard refuses it. It first reads the
// whole body, so that a truncated request never runs. A request counts as
// active until the handler has returned.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := structs.RequestID(r.Header.Get(HeaderRequest))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.config.MaxBody))
	if err != nil {
		s.Counters.CutBody.Add(1)
		refuse(w, id, RefusedBody)
		return
	}
	agent, _ := strconv.ParseUint(r.Header.Get(HeaderAgent), 10, 64)
	server, _ := strconv.ParseUint(r.Header.Get(HeaderBackend), 10, 64)
	if why := s.Guard.Begin(id, structs.Incarnation(agent), server); why != "" {
		refuse(w, id, why)
		return
	}
	defer s.Guard.End(id)
	r.Body = io.NopCloser(bytes.NewReader(body))
	w.Header().Set(HeaderRequest, string(id))
	s.handler.ServeHTTP(&chunkedWriter{ResponseWriter: w}, r)
}

func refuse(w http.ResponseWriter, id structs.RequestID, why Refusal) {
	w.Header().Set(HeaderRequest, string(id))
	w.Header().Set(HeaderRefused, string(why))
	http.Error(w, "refused: "+string(why), http.StatusConflict)
}

// chunkedWriter removes two headers: HeaderRefused, which only the guard may
// set, and Content-Length, so that a large answer ends only when the handler
// has returned.
//
// Failure guarded against: a handler sends its whole body and continues to
// work; the agent reads a complete answer and frees the slot although the work
// runs. net/http writes the last chunk after the handler has returned.
type chunkedWriter struct {
	http.ResponseWriter
}

// WriteHeader implements http.ResponseWriter.
func (h *chunkedWriter) WriteHeader(status int) {
	h.strip()
	h.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (h *chunkedWriter) Write(p []byte) (int, error) {
	h.strip()
	return h.ResponseWriter.Write(p)
}

func (h *chunkedWriter) strip() {
	h.Header().Del("Content-Length")
	h.Header().Del(HeaderRefused)
}

// Unwrap serves http.ResponseController.
func (h *chunkedWriter) Unwrap() http.ResponseWriter { return h.ResponseWriter }

// Leave refuses new requests at once, notifies the agent, and returns when no
// request runs and the agent has agreed, or with ctx's error. An unreachable
// agent does not delay Leave once no request runs.
func (s *Server) Leave(ctx context.Context) error {
	s.Guard.Leave()
	if err := s.announceLeaving(ctx); err != nil {
		return err
	}
	return s.Guard.AwaitIdle(ctx)
}
