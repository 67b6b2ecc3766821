package serve

import (
	"net/http"

	"persimmonrock.example/ops/problem"
	"persimmonrock.example/structs"
)

// route responds with a problem document for paths and methods that mux doesn't
// handle; net/http's own response is plain text.
func (s *Server) route(mux *http.ServeMux) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		handler, pattern := mux.Handler(r)
		if pattern != "" {
			mux.ServeHTTP(w, r)
			return
		}
		s.unrouted.Add(1)
		probe := &statusProbe{header: make(http.Header)}
		handler.ServeHTTP(probe, r)
		refusal := &structs.Refusal{
			Type:    structs.RefusedNotFound,
			Status:  http.StatusNotFound,
			Outcome: structs.NotRun,
			Detail:  "no such path",
			Step:    "http",
		}
		if probe.status == http.StatusMethodNotAllowed {
			w.Header().Set("Allow", probe.header.Get("Allow"))
			refusal.Type = structs.RefusedMethod
			refusal.Status = probe.status
			refusal.Detail = "this path allows " + probe.header.Get("Allow")
		}
		problem.Write(w, refusal, r.URL.Path)
	})
}

// statusProbe records the header and status of the mux's response.
type statusProbe struct {
	header http.Header
	status int
}

// Header implements http.ResponseWriter.
func (p *statusProbe) Header() http.Header { return p.header }

// Write discards b.
func (p *statusProbe) Write(b []byte) (int, error) { return len(b), nil }

// WriteHeader implements http.ResponseWriter.
func (p *statusProbe) WriteHeader(status int) { p.status = status }
