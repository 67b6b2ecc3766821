package dispatch

import (
	"errors"
	"time"

	"persimmonrock.example/infra/rowstore"
)

// ApplyArgs asks an entry to apply a transaction for an entry that the store
// does not serve.
type ApplyArgs struct{ Txn rowstore.Txn }

// ListArgs asks an entry to read rows for another entry. Large says that the
// answer may occupy the link to the store for long.
type ListArgs struct {
	Table, Part, From, To string
	Large                 bool
}

// FeedArgs asks an entry to wait for changes for another entry. For Large, see
// ListArgs.
type FeedArgs struct {
	Table string
	After uint64
	Wait  time.Duration
	Large bool
}

// PeersArgs asks an entry for the addresses of other entries, at most Most of
// them. Address is the caller's.
type PeersArgs struct {
	Address string
	Most    int
}

// PeersReply holds addresses of entries, always the same ones for one caller
// while they last. It is empty if the answering entry has not listed them itself
// of late.
type PeersReply struct{ Addresses []string }

// RowsReply is the store's answer to a relayed call.
type RowsReply struct {
	Rows   []rowstore.Row
	More   bool
	At     rowstore.Stamp
	Status StoreStatus
}

// StoreStatus is the result of a relayed call.
type StoreStatus uint8

// The results of a relayed call; see the errors of package rowstore. A result that
// another version has added reads as StoreUnknown.
const (
	StoreOK StoreStatus = iota
	StoreUnavailable
	StoreUnknown
	StoreConflict
	StoreCompacted
	StoreRefused
)

// SetError records err in the reply.
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
	case errors.Is(err, rowstore.ErrRefused):
		r.Status = StoreRefused
	case errors.Is(err, rowstore.ErrUnavailable):
		r.Status = StoreUnavailable
	default:
		r.Status = StoreUnknown
	}
}

// Err returns the error recorded in the reply.
func (r *RowsReply) Err() error {
	switch r.Status {
	case StoreOK:
		return nil
	case StoreConflict:
		return &rowstore.ConflictError{Rows: r.Rows}
	case StoreCompacted:
		return rowstore.ErrCompacted
	case StoreRefused:
		return rowstore.ErrRefused
	case StoreUnavailable:
		return rowstore.ErrUnavailable
	default:
		return rowstore.ErrUnknown
	}
}
