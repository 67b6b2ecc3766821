package serve

import (
	"net/http"
	"sync/atomic"
	"time"

	"persimmonrock.example/ops/problem"
	"persimmonrock.example/ops/settings"
	"persimmonrock.example/structs"
)

// guard returns a handler that passes requests to next within the limits.
func (s *Server) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.requests.Add(1)
		control := http.NewResponseController(w)
		response := &limitedResponse{ResponseWriter: w, control: control, limit: s.limits.Write.Std(), stopping: &s.stopping}
		if r.Body != nil && r.Body != http.NoBody {
			r.Body = http.MaxBytesReader(response, r.Body, s.limits.BodyBytes)
		}
		if r.ContentLength > s.limits.BodyBytes {
			s.tooLarge.Add(1)
			problem.Write(response, TooLarge(s.limits), r.URL.Path)
			return
		}
		defer s.recoverPanic(response, r)
		next.ServeHTTP(response, r)
		response.begin()
	})
}

// recoverPanic responds for a handler that panicked before its response.
// net/http would cut the connection, which callers can't tell from a crash.
func (s *Server) recoverPanic(w *limitedResponse, r *http.Request) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler {
		panic(cause)
	}
	s.panics.Add(1)
	s.log.Error().Interface("panic", cause).Str("path", r.URL.Path).Msg("handler panicked")
	if w.begun {
		panic(http.ErrAbortHandler)
	}
	problem.Write(w, &structs.Refusal{
		Type:    structs.RefusedInternal,
		Status:  http.StatusInternalServerError,
		Outcome: structs.Unknown,
		Detail:  "internal error",
		Step:    "http",
	}, r.URL.Path)
}

// TooLarge returns the refusal of a body above the limit. Handlers use it when
// a read of the body fails with *http.MaxBytesError.
func TooLarge(l settings.Limits) *structs.Refusal {
	return &structs.Refusal{
		Type:    structs.RefusedTooLarge,
		Status:  http.StatusRequestEntityTooLarge,
		Outcome: structs.NotRun,
		Detail:  "the request body is above the limit of " + bytesText(l.BodyBytes),
		Step:    "http",
	}
}

// limitedResponse limits the time in which a client reads its response, counted
// from the first byte written: a handler may run until its caller's deadline,
// but a client that doesn't read can't hold the connection.
type limitedResponse struct {
	http.ResponseWriter
	control *http.ResponseController
	limit   time.Duration
	begun   bool
	// stopping is set by a planned stop; responses then tell the caller not to
	// use its connection again.
	stopping *atomic.Bool
}

// WriteHeader implements http.ResponseWriter.
func (l *limitedResponse) WriteHeader(status int) {
	l.begin()
	l.ResponseWriter.WriteHeader(status)
}

// Write implements io.Writer.
func (l *limitedResponse) Write(p []byte) (int, error) {
	l.begin()
	return l.ResponseWriter.Write(p)
}

// Unwrap gives http.ResponseController access to the connection.
func (l *limitedResponse) Unwrap() http.ResponseWriter { return l.ResponseWriter }

func (l *limitedResponse) begin() {
	if l.begun {
		return
	}
	l.begun = true
	if l.stopping.Load() {
		l.Header().Set("Connection", "close")
	}
	l.control.SetWriteDeadline(time.Now().Add(l.limit))
}
