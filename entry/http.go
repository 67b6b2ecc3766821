package entry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
	"unicode/utf8"

	"persimmonrock.example/ops/connlimit"
	"persimmonrock.example/ops/keys"
	"persimmonrock.example/ops/problem"
	"persimmonrock.example/structs"
)

// Header names of the callers' and operators' interface.
const (
	headerRequest   = "Persimmonrock-Request"
	headerRevision  = "Persimmonrock-Revision"
	headerInstance  = "Persimmonrock-Instance"
	headerReplayed  = "Persimmonrock-Replayed"
	headerTimeout   = "Request-Timeout"
	headerKey       = "Idempotency-Key"
	headerOperation = "Operation-Id"
)

// Limits of a caller's request.
const (
	maxTimeout  = time.Hour
	maxKey      = 200
	maxCustomer = 100
)

// Mux returns the HTTP interface.
func (e *Entry) Mux() *http.ServeMux {
	mux := http.NewServeMux()
	customer := map[string]customerHandler{
		"POST /v1/services/{service}/call": e.serveCall,
		"POST /v1/jobs":                    e.serveSubmit,
		"GET /v1/jobs":                     e.serveList,
		"GET /v1/jobs/{id}":                e.serveJob,
		"DELETE /v1/jobs/{id}":             e.serveCancel,
		"GET /v1/jobs/{id}/result":         e.serveResult,
	}
	for pattern, h := range customer {
		mux.Handle(pattern, e.asCustomer(h))
	}
	operator := map[string]operatorHandler{
		"GET /v1/admin/contracts":                             e.adminList,
		"GET /v1/admin/contracts/{customer}":                  e.adminGet,
		"PUT /v1/admin/contracts/{customer}":                  e.adminPut,
		"DELETE /v1/admin/contracts/{customer}":               e.adminDelete,
		"GET /v1/admin/config":                                e.adminConfig,
		"GET /v1/admin/backends":                              e.adminBackends,
		"GET /v1/admin/instances":                             e.adminInstances,
		"POST /v1/admin/instances/{instance}/stop":            e.adminStop,
		"POST /v1/admin/instances/{instance}/resume":          e.adminResume,
		"POST /v1/admin/backends/{instance}/{service}/retire": e.adminRetire,
		"GET /v1/admin/events":                                e.adminEvents,
		"POST /v1/admin/jobs/{customer}/{id}/release":         e.adminRelease,
	}
	for pattern, h := range operator {
		mux.Handle(pattern, e.asOperator(h))
	}
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		e.refuse(w, r, &structs.Refusal{Type: structs.RefusedNotFound, Status: 404, Outcome: structs.NotRun,
			Detail: fmt.Sprintf("there is no %s %s", r.Method, r.URL.Path), Step: "http.route"})
	})
	return mux
}

type customerHandler func(w http.ResponseWriter, r *http.Request, c structs.Contract) *structs.Refusal

type operatorHandler func(w http.ResponseWriter, r *http.Request) *structs.Refusal

// asCustomer checks the entry's state and the caller's key before it calls h.
func (e *Entry) asCustomer(h customerHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		end, refused := e.begin()
		if refused != nil {
			e.refuse(w, r, refused)
			return
		}
		defer end()
		if refused := e.contracts.Serve(r.Context()); refused != nil {
			e.refuse(w, r, refused)
			return
		}
		contract, ok := e.contracts.ByKey(keys.Bearer(r))
		if !ok {
			e.refuse(w, r, unauthorised())
			return
		}
		if refused := checkPath(r); refused != nil {
			e.refuse(w, r, refused)
			return
		}
		if refused := h(w, r, contract); refused != nil {
			e.refuse(w, r, refused)
		}
	})
}

// asOperator checks the operator's key before it calls h. Operators are served
// during a planned stop, too, so that they can follow it.
func (e *Entry) asOperator(h operatorHandler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key := keys.Bearer(r)
		if !keys.Match(e.config.OperatorKeyHashes, key) {
			refused := unauthorised()
			if _, customer := e.contracts.ByKey(key); customer {
				refused.Type, refused.Status = structs.RefusedForbidden, http.StatusForbidden
				refused.Detail = "a customer's key does not open the operators' interface"
			}
			e.refuse(w, r, refused)
			return
		}
		if refused := checkPath(r); refused != nil {
			e.refuse(w, r, refused)
			return
		}
		if refused := h(w, r); refused != nil {
			e.refuse(w, r, refused)
		}
	})
}

// checkPath refuses paths with names that can't be used in a row's key.
func checkPath(r *http.Request) *structs.Refusal {
	if !isText(r.URL.Path) {
		return badRequest("http.path", "the path is not UTF-8 text")
	}
	return nil
}

// isText reports whether s may be used in a row's key or operation ID.
//
// Failure guarded against: the table service always refuses a key that is not
// UTF-8. A caller who is told that the service does not respond would retry
// forever, so the refusal must state that the request is invalid.
func isText(s string) bool {
	return utf8.ValidString(s) && !strings.Contains(s, "\x00")
}

// begin counts a request in progress unless a planned stop has begun.
func (e *Entry) begin() (end func(), refused *structs.Refusal) {
	if e.requests.begin() {
		return e.requests.end, nil
	}
	return nil, &structs.Refusal{Type: structs.RefusedDraining, Status: 503, Outcome: structs.NotRun,
		Detail: "this entry is stopping; ask again, another one will answer", RetryAfter: time.Second, Step: "http.begin", Peer: string(e.config.ID)}
}

func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, refused *structs.Refusal) {
	if refused.Type == structs.RefusedDraining {
		w.Header().Set("Connection", "close")
	}
	if refused.Status == http.StatusUnauthorized {
		w.Header().Set("WWW-Authenticate", "Bearer")
	}
	if refused.Peer == "" {
		refused.Peer = string(e.config.ID)
	}
	problem.Write(w, refused, r.URL.Path)
}

func unauthorised() *structs.Refusal {
	return &structs.Refusal{Type: structs.RefusedUnauthorised, Status: http.StatusUnauthorized, Outcome: structs.NotRun,
		Detail: "want the header Authorization: Bearer with a valid key", Step: "http.authorise"}
}

func badRequest(step, format string, args ...any) *structs.Refusal {
	return &structs.Refusal{Type: structs.RefusedBadRequest, Status: http.StatusBadRequest, Outcome: structs.NotRun,
		Detail: fmt.Sprintf(format, args...), Step: step}
}

// readBody reads the whole body, up to MaxBody.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *structs.Refusal) {
	body, err := connlimit.ReadBody(w, r, e.config.MaxBody, 0)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, &structs.Refusal{Type: structs.RefusedTooLarge, Status: http.StatusRequestEntityTooLarge, Outcome: structs.NotRun,
			Detail: fmt.Sprintf("the body is above %d bytes", e.config.MaxBody), Step: "http.body"}
	case errors.Is(err, connlimit.ErrNoMemory):
		// An earlier attempt with the same Idempotency-Key may have run.
		return nil, &structs.Refusal{Type: structs.RefusedNoMemory, Status: http.StatusServiceUnavailable, Outcome: structs.Unknown,
			Detail: "other requests hold the memory for requests", RetryAfter: connlimit.RetryAfter, Step: "http.body"}
	case err != nil:
		return nil, badRequest("http.body", "the body could not be read: %v", err)
	}
	return body, nil
}

// decode decodes a JSON body into v and refuses unknown fields.
func (e *Entry) decode(w http.ResponseWriter, r *http.Request, v any) *structs.Refusal {
	body, refused := e.readBody(w, r)
	if refused != nil {
		return refused
	}
	decoder := json.NewDecoder(strings.NewReader(string(body)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(v); err != nil {
		return badRequest("http.decode", "the body is not the JSON that is wanted here: %v", err)
	}
	// decoder.More would overlook a surplus closing bracket.
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return badRequest("http.decode", "the body holds more than one JSON value")
	}
	return nil
}

// withDeadline sets the request's deadline from Request-Timeout or, without it,
// from the contract's latency target.
func withDeadline(r *http.Request, c structs.Contract) (context.Context, context.CancelFunc, *structs.Refusal) {
	timeout := c.LatencyTarget.Std()
	if given := r.Header.Get(headerTimeout); given != "" {
		parsed, err := time.ParseDuration(given)
		if err != nil || parsed <= 0 || parsed > maxTimeout {
			return nil, nil, badRequest("http.deadline", `%s: want a duration above 0s and up to %s such as "250ms", got %q`, headerTimeout, maxTimeout, given)
		}
		timeout = parsed
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeout)
	return ctx, cancel, nil
}

func idempotencyKey(r *http.Request) (string, *structs.Refusal) {
	key := r.Header.Get(headerKey)
	if len(key) > maxKey || strings.Contains(key, "/") || !isText(key) {
		return "", badRequest("http.key", "%s: want at most %d bytes of UTF-8 and no slash", headerKey, maxKey)
	}
	return key, nil
}

// operationID returns the operator's identifier of a change, or a new one.
func operationID(r *http.Request) (string, *structs.Refusal) {
	id := r.Header.Get(headerOperation)
	if len(id) > maxKey || !isText(id) {
		return "", badRequest("http.operation", "%s: want at most %d bytes of UTF-8", headerOperation, maxKey)
	}
	if id == "" {
		return newID(), nil
	}
	return id, nil
}

// newID returns an unpredictable identifier.
func newID() string { return strings.ToLower(rand.Text()) }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(v)
}
