// Package serve runs a process's HTTP server: limits on clients, health,
// counters, the process's events, TLS and graceful shutdown.
package serve

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/ops/certs"
	"persimmonrock.example/ops/connlimit"
	"persimmonrock.example/ops/events"
	"persimmonrock.example/ops/problem"
	"persimmonrock.example/ops/settings"
	"persimmonrock.example/structs"
)

// Paths that every process serves.
const (
	HealthPath = "/healthz"
	ReadyPath  = "/readyz"
	VarsPath   = "/debug/vars"
	EventsPath = "/debug/events"
)

// readyRetry is the Retry-After of a process that isn't ready.
const readyRetry = time.Second

// Options configures a server.
type Options struct {
	// Mux holds the process's own paths; New adds the common ones to it.
	Mux    *http.ServeMux
	Limits settings.Limits
	// TLS is nil for plain HTTP.
	TLS *settings.TLS
	// Ready returns nil when the process can serve; a nil Ready means always.
	Ready func() error
	// Vars is created if nil; Events may be nil.
	Vars   *Vars
	Events *events.Ring
	// Guard may refuse requests for counters and events; nil allows all.
	Guard func(*http.Request) *structs.Refusal
	Log   zerolog.Logger
}

// Server is one HTTP server with its limits.
type Server struct {
	http        *http.Server
	limits      settings.Limits
	certificate *certs.Certificate
	log         zerolog.Logger

	mu        sync.Mutex
	listeners []net.Listener
	// listenersClosed is set when a planned stop has closed the listeners.
	listenersClosed bool
	// stopping makes responses tell callers not to use their connections again.
	stopping atomic.Bool

	// pool bounds what clients' connections use together. stopPool ends its watch
	// over their time.
	pool     *connlimit.Pool
	stopPool context.CancelFunc

	requests, tooLarge, panics, unrouted atomic.Int64
}

// New creates a server. Its counters are added to o.Vars as "http".
func New(o Options) (*Server, error) {
	s := &Server{limits: o.Limits, log: o.Log}
	if o.Vars == nil {
		o.Vars = NewVars()
	}
	o.Vars.Func("http", s.vars)
	if o.TLS != nil {
		// HTTP/1.1 only: the limits on slow clients are per connection. One
		// HTTP/2 connection would carry many requests and so evade the limits.
		certificate, err := certs.New(*o.TLS, "http/1.1")
		if err != nil {
			return nil, err
		}
		s.certificate = certificate
		o.Vars.Func("tls", certificate.Vars)
	}
	addCommon(o)
	s.http = &http.Server{
		Handler:           s.guard(s.route(o.Mux)),
		ReadHeaderTimeout: o.Limits.ReadHeader.Std(),
		// The deadline of ReadTimeout does not end requests in progress:
		// net/http removes it from the connection once the body is read.
		ReadTimeout:    o.Limits.ReadHeader.Std() + o.Limits.ReadBody.Std(),
		IdleTimeout:    o.Limits.Idle.Std(),
		MaxHeaderBytes: o.Limits.HeaderBytes,
		// net/http logs client errors here; the counters already cover them.
		ErrorLog: stdlog.New(io.Discard, "", 0),
	}
	s.pool = newPool(o)
	s.pool.Configure(s.http)
	ctx, cancel := context.WithCancel(context.Background())
	s.stopPool = cancel
	go s.pool.Run(ctx, o.Log)
	return s, nil
}

func newPool(o Options) *connlimit.Pool {
	l := o.Limits
	client := connlimit.ClientLimits{
		HeaderBytes: l.HeaderBytes, Header: l.ReadHeader.Std(), Idle: l.Idle.Std(), Body: l.ReadBody.Std(), Send: l.Write.Std(),
	}
	return connlimit.New(connlimit.Limits{Connections: l.Connections, Memory: l.MemoryBytes, TLS: o.TLS != nil},
		func() connlimit.ClientLimits { return client })
}

func addCommon(o Options) {
	o.Mux.HandleFunc("GET "+HealthPath, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "ok")
	})
	o.Mux.HandleFunc("GET "+ReadyPath, func(w http.ResponseWriter, r *http.Request) {
		if o.Ready != nil {
			if err := o.Ready(); err != nil {
				problem.Write(w, notReady(err), r.URL.Path)
				return
			}
		}
		fmt.Fprintln(w, "ready")
	})
	o.Mux.Handle("GET "+VarsPath, guarded(o.Guard, o.Vars))
	if o.Events != nil {
		o.Mux.Handle("GET "+EventsPath, guarded(o.Guard, eventsHandler(o.Events)))
	}
}

func notReady(err error) *structs.Refusal {
	return &structs.Refusal{
		Type:       structs.RefusedNotReady,
		Status:     http.StatusServiceUnavailable,
		Outcome:    structs.NotRun,
		Detail:     err.Error(),
		RetryAfter: readyRetry,
		Step:       "ready",
	}
}

func guarded(guard func(*http.Request) *structs.Refusal, next http.Handler) http.Handler {
	if guard == nil {
		return next
	}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if refusal := guard(r); refusal != nil {
			problem.Write(w, refusal, r.URL.Path)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// EventList is the JSON form of a time line.
type EventList struct {
	Events []structs.Event `json:"events"`
}

// eventsHandler responds with the process's own events that match the request's
// query (ParseEventQuery).
func eventsHandler(ring *events.Ring) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		query, refusal := ParseEventQuery(r)
		if refusal != nil {
			problem.Write(w, refusal, r.URL.Path)
			return
		}
		WriteJSON(w, EventList{Events: ring.Select(query.Request, query.Job, query.After)})
	})
}

// EventQuery selects events.
type EventQuery struct {
	Request structs.RequestID
	Job     structs.JobID
	After   uint64
}

// ParseEventQuery reads the query parameters request, job and after of r.
func ParseEventQuery(r *http.Request) (EventQuery, *structs.Refusal) {
	values := r.URL.Query()
	q := EventQuery{Request: structs.RequestID(values.Get("request")), Job: structs.JobID(values.Get("job"))}
	after := values.Get("after")
	if after == "" {
		return q, nil
	}
	n, err := strconv.ParseUint(after, 10, 64)
	if err != nil {
		return q, &structs.Refusal{
			Type:    structs.RefusedBadRequest,
			Status:  http.StatusBadRequest,
			Outcome: structs.NotRun,
			Detail:  fmt.Sprintf("after: want a logical time, a whole number, got %.40q", after),
			Step:    "events",
		}
	}
	q.After = n
	return q, nil
}

// WriteJSON responds with status 200 and v as JSON.
func WriteJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.Header().Set("Cache-Control", "no-store")
	json.NewEncoder(w).Encode(v)
}

func (s *Server) vars() any {
	c := s.pool.Counters()
	return map[string]int64{
		"connections_open":    int64(s.pool.Open()),
		"connections_refused": int64(c.Refused),
		"connections_yielded": int64(c.Yielded),
		"connections_expired": int64(c.Expired),
		"headers_too_large":   int64(c.HeadersTooLarge),
		"client_memory_bytes": s.pool.Held(),
		"requests":            s.requests.Load(),
		"bodies_too_large":    s.tooLarge.Load(),
		"unrouted":            s.unrouted.Load(),
		"panics":              s.panics.Load(),
	}
}

func bytesText(n int64) string { return strconv.FormatInt(n, 10) + " bytes" }
