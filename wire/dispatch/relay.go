package dispatch

import (
	"errors"
	"time"

	"persimmonrock.example/infra/rowstore"
)

// ApplyArgs asks an entry to make a transaction for another one that the
// store turns away.
type ApplyArgs struct{ Txn rowstore.Txn }

// ListArgs asks it to read rows.
type ListArgs struct{ Table, Part, From, To string }

// FeedArgs asks it to wait for changes.
type FeedArgs struct {
	Table string
	After uint64
	Wait  time.Duration
}

// RowsReply is the store's answer.
type RowsReply struct {
	Rows   []rowstore.Row
	More   bool
	At     rowstore.Stamp
	Status StoreStatus
}

// StoreStatus is how a relayed call ended.
type StoreStatus uint8

// The ways in which a relayed call ends; see the errors of package rowstore.
const (
	StoreOK StoreStatus = iota
	StoreUnavailable
	StoreUnknown
	StoreConflict
	StoreCompacted
)

// SetError notes err in the reply.
func (r *RowsReply) SetError(err error) {
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		r.Status = StoreOK
	case errors.As(err, &conflict):
		r.Status = StoreConflict
		r.Rows = conflict.Rows
	case errors.Is(err, rowstore.ErrCompacted):
		r.Status = StoreCompacted
	case errors.Is(err, rowstore.ErrUnavailable):
		r.Status = StoreUnavailable
	default:
		r.Status = StoreUnknown
	}
}

// Err returns the error that the reply carries.
func (r *RowsReply) Err() error {
	switch r.Status {
	case StoreOK:
		return nil
	case StoreConflict:
		return &rowstore.ConflictError{Rows: r.Rows}
	case StoreCompacted:
		return rowstore.ErrCompacted
	case StoreUnavailable:
		return rowstore.ErrUnavailable
	default:
		return rowstore.ErrUnknown
	}
}
