// Package remote implements both sides of the platform's interfaces over HTTP:
// the clients implement the interfaces by requests to a base URL, the handlers
// serve any implementation. The protocol is described in
// docs/notes/platform.md.
package remote

import (
	"errors"
	"net/http"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// MaxBody is the maximum size of the body of a request or an answer, in bytes. A
// scan whose answer would be larger fails; it is never truncated, since a short
// scan means that there are no more rows.
const MaxBody = 32 << 20

// Paths of the protocol, below the base URL.
const (
	pathGet        = "/v1/table/get"
	pathScan       = "/v1/table/scan"
	pathCommit     = "/v1/table/commit"
	pathObjects    = "/v1/objects"
	pathFence      = "/v1/worker/fence"
	pathStart      = "/v1/worker/start"
	pathRenew      = "/v1/worker/renew"
	pathCheckpoint = "/v1/worker/checkpoint"
	pathThrottle   = "/v1/worker/throttle"
	pathStop       = "/v1/worker/stop"
	pathList       = "/v1/worker/list"
	pathForget     = "/v1/worker/forget"
	pathUsage      = "/v1/worker/usage"
)

const (
	contentJSON    = "application/json"
	contentProblem = "application/problem+json"
	contentBytes   = "application/octet-stream"
	headerContent  = "Content-Type"
	paramKey       = "key"
)

// problemType identifies the cause in a problem document.
type problemType string

const (
	problemNotFound    problemType = "urn:persimmonrock:platform:not-found"
	problemConflict    problemType = "urn:persimmonrock:platform:conflict"
	problemFenced      problemType = "urn:persimmonrock:platform:fenced"
	problemInvalid     problemType = "urn:persimmonrock:platform:invalid"
	problemUnavailable problemType = "urn:persimmonrock:platform:unavailable"
	problemUnknown     problemType = "urn:persimmonrock:platform:unknown"
)

// problem is an RFC 9457 problem document.
type problem struct {
	Type   problemType `json:"type"`
	Title  string      `json:"title"`
	Status int         `json:"status"`
	Detail string      `json:"detail,omitempty"`
	// Current is the row on which a condition failed.
	Current *row `json:"current,omitempty"`
}

// problemOf returns the document for an error of a platform service. An error
// without a type in the protocol has an unknown outcome.
func problemOf(err error) problem {
	p := problem{Type: problemUnknown, Status: http.StatusGatewayTimeout}
	var conflict *infra.ConflictError
	switch {
	case errors.As(err, &conflict):
		current := rowOf(conflict.Current)
		p = problem{Type: problemConflict, Status: http.StatusConflict, Current: &current}
	case errors.Is(err, infra.ErrNotFound):
		p = problem{Type: problemNotFound, Status: http.StatusNotFound}
	case errors.Is(err, infra.ErrFenced):
		p = problem{Type: problemFenced, Status: http.StatusPreconditionFailed}
	case errors.Is(err, infra.ErrInvalid):
		p = problem{Type: problemInvalid, Status: http.StatusBadRequest}
	case errors.Is(err, infra.ErrUnavailable):
		p = problem{Type: problemUnavailable, Status: http.StatusServiceUnavailable}
	}
	p.Title = http.StatusText(p.Status)
	p.Detail = err.Error()
	return p
}

// cause returns the platform's error that the document names, or nil if it names
// none.
func (p problem) cause() error {
	switch p.Type {
	case problemConflict:
		if p.Current == nil {
			return nil
		}
		return &infra.ConflictError{Current: p.Current.row()}
	case problemNotFound:
		return infra.ErrNotFound
	case problemFenced:
		return infra.ErrFenced
	case problemInvalid:
		return infra.ErrInvalid
	case problemUnavailable:
		return infra.ErrUnavailable
	case problemUnknown:
		return infra.ErrUnknown
	}
	return nil
}

type row struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version uint64 `json:"version"`
	Op      string `json:"op"`
}

func rowOf(r infra.Row) row      { return row(r) }
func (r row) row() infra.Row     { return infra.Row(r) }
func rowsOf(rs []infra.Row) rows { return rows{Rows: mapSlice(rs, rowOf)} }

func mapSlice[A, B any](in []A, f func(A) B) []B {
	out := make([]B, len(in))
	for i, a := range in {
		out[i] = f(a)
	}
	return out
}

type rows struct {
	Rows []row `json:"rows"`
}

type getRequest struct {
	Key string `json:"key"`
}

type scanRequest struct {
	Prefix string `json:"prefix"`
	After  string `json:"after"`
	Limit  int    `json:"limit"`
}

type condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

type put struct {
	Key   string `json:"key"`
	Value []byte `json:"value"`
}

type commitRequest struct {
	Op      string      `json:"op"`
	Conds   []condition `json:"conds,omitempty"`
	Puts    []put       `json:"puts,omitempty"`
	Deletes []string    `json:"deletes,omitempty"`
}

func commitOf(t infra.Txn) commitRequest {
	return commitRequest{
		Op:      t.Op,
		Conds:   mapSlice(t.Conds, func(c infra.Cond) condition { return condition(c) }),
		Puts:    mapSlice(t.Puts, func(p infra.Put) put { return put(p) }),
		Deletes: t.Deletes,
	}
}

func (r commitRequest) txn() infra.Txn {
	return infra.Txn{
		Op:      r.Op,
		Conds:   mapSlice(r.Conds, func(c condition) infra.Cond { return infra.Cond(c) }),
		Puts:    mapSlice(r.Puts, func(p put) infra.Put { return infra.Put(p) }),
		Deletes: r.Deletes,
	}
}

type commitAnswer struct {
	Versions []uint64 `json:"versions"`
}

type empty struct{}

type holderRequest struct {
	Holder structs.Incarnation `json:"holder"`
	Lease  structs.Duration    `json:"lease,omitempty"`
}

type taskRequest struct {
	Job   structs.JobID `json:"job"`
	Epoch structs.Epoch `json:"epoch"`
	Speed float64       `json:"speed,omitempty"`
}

type startRequest struct {
	Job        structs.JobID       `json:"job"`
	Epoch      structs.Epoch       `json:"epoch"`
	Customer   structs.Customer    `json:"customer"`
	Kind       structs.Kind        `json:"kind"`
	Payload    []byte              `json:"payload"`
	Checkpoint []byte              `json:"checkpoint"`
	Declared   structs.Resources   `json:"declared"`
	Holder     structs.Incarnation `json:"holder"`
	Lease      structs.Duration    `json:"lease"`
}

func startOf(t infra.TaskStart) startRequest {
	return startRequest{
		Job: t.Job, Epoch: t.Epoch, Customer: t.Customer, Kind: t.Kind,
		Payload: t.Payload, Checkpoint: t.Checkpoint, Declared: t.Declared,
		Holder: t.Holder, Lease: structs.Duration(t.Lease),
	}
}

func (r startRequest) start() infra.TaskStart {
	return infra.TaskStart{
		Job: r.Job, Epoch: r.Epoch, Customer: r.Customer, Kind: r.Kind,
		Payload: r.Payload, Checkpoint: r.Checkpoint, Declared: r.Declared,
		Holder: r.Holder, Lease: r.Lease.Std(),
	}
}

type stateAnswer struct {
	// State is null if there is no state, which differs from an empty state.
	State []byte `json:"state"`
}

type status struct {
	Job      structs.JobID       `json:"job"`
	Epoch    structs.Epoch       `json:"epoch"`
	Kind     structs.Kind        `json:"kind"`
	Holder   structs.Incarnation `json:"holder"`
	Declared structs.Resources   `json:"declared"`
	Phase    infra.TaskPhase     `json:"phase"`
	Progress float64             `json:"progress"`
	Result   []byte              `json:"result"`
	Error    string              `json:"error,omitempty"`
}

type listAnswer struct {
	Tasks []status `json:"tasks"`
}

type usage struct {
	Job         structs.JobID    `json:"job"`
	Epoch       structs.Epoch    `json:"epoch"`
	From        structs.Duration `json:"from"`
	To          structs.Duration `json:"to"`
	MilliCores  int              `json:"milli_cores"`
	MemoryBytes int64            `json:"memory_bytes"`
	Slowdown    float64          `json:"slowdown"`
}

func usageOf(u infra.Usage) usage {
	return usage{
		Job: u.Job, Epoch: u.Epoch,
		From: structs.Duration(u.From), To: structs.Duration(u.To),
		MilliCores: u.MilliCores, MemoryBytes: u.MemoryBytes, Slowdown: u.Slowdown,
	}
}

func (u usage) usage() infra.Usage {
	return infra.Usage{
		Job: u.Job, Epoch: u.Epoch,
		From: time.Duration(u.From), To: time.Duration(u.To),
		MilliCores: u.MilliCores, MemoryBytes: u.MemoryBytes, Slowdown: u.Slowdown,
	}
}

type usageAnswer struct {
	Usage []usage `json:"usage"`
}
