// Package rowstore declares the store of all state that must outlive every
// process: rows in tables that are split into partitions (Part), changed by
// conditional transactions, with a feed of changes.
package rowstore

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"time"
)

// Key addresses a row. All rows of one transaction are in one partition, named
// by Part.
type Key struct {
	Table string
	Part  string
	Key   string
}

// Spread assigns a key to one of n partitions, numbered from 0. A partition
// executes one transaction at a time, so rows that many processes write at once
// are spread over several partitions.
func Spread(key string, n int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(key)) // a hash never fails
	return int(h.Sum32() % uint32(n))
}

// Row is one row. Versions come from one counter of the whole store, so a later
// write of any row has a higher version.
type Row struct {
	Key     Key
	Value   []byte
	Version uint64
	// Deleted marks a deleted row in a feed.
	Deleted bool
}

// Cond requires that a row has exactly this version; 0 requires its absence.
type Cond struct {
	Key     Key
	Version uint64
}

// Put writes a row.
type Put struct {
	Key   Key
	Value []byte
}

// Txn is applied whole or not at all.
type Txn struct {
	Conds   []Cond
	Puts    []Put
	Deletes []Key
}

// Documented limits of one transaction in the users' store.
const (
	MaxTxnEntries = 100
	MaxTxnBytes   = 1 << 20
)

// DefaultRowBytes is the longest value of a row, in bytes, of a store that does not
// say.
const DefaultRowBytes = 64 << 10

// Stamp is the store's newest version and its clock at the time of an answer.
type Stamp struct {
	Version uint64
	// Now is a monotonic clock of the store.
	Now time.Duration
	// Age is the time since the store's answer arrived at the process that has
	// passed it on, and Lag the time before that for which the state may have been
	// out of date; both are 0 for an answer that came from the store.
	Age, Lag time.Duration
}

// Store is the client's view of the store. Errors: *ConflictError,
// ErrUnavailable, ErrRefused and ErrCompacted prove that nothing was done; ErrUnknown
// proves nothing: a transaction may still be applied seconds later, if its
// conditions hold then.
type Store interface {
	Reader
	// Apply applies t and returns the version of all rows that it put.
	Apply(ctx context.Context, t Txn) (Stamp, error)
}

// Reader holds the reads of a Store. Its errors are those of Store.
type Reader interface {
	// List returns the rows of one partition of a table, as of one moment, with
	// from <= key < to; an empty to sets no bound. more is set if further rows
	// were left out.
	List(ctx context.Context, table, part, from, to string) (rows []Row, more bool, at Stamp, err error)
	// Feed waits up to wait for changes of a table after a version and
	// returns them in order.
	Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]Row, Stamp, error)
}

// Errors of a Store.
var (
	// ErrUnavailable means that the call had no effect and never will.
	ErrUnavailable = errors.New("row store: unavailable")
	// ErrUnknown means that the effect is not known and may come later.
	ErrUnknown = errors.New("row store: outcome unknown")
	// ErrRefused means that the call had no effect and that the store will not take
	// the same call at any time: it is malformed, or exceeds a limit.
	ErrRefused = errors.New("row store: refused for good")
	// ErrCompacted means that the feed no longer has all of the changes.
	ErrCompacted = errors.New("row store: history dropped")
)

// errLeftOut means that a page without rows has left out some: it proves no row's
// absence.
var errLeftOut = fmt.Errorf("a page without rows, though more are left: %w", ErrUnknown)

// ConflictError means that a condition did not hold. Rows holds the rows of the
// conditions as they are now, without absent ones.
type ConflictError struct {
	Rows []Row
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row store: a condition on %d rows does not hold", len(e.Rows))
}

// Find returns the row under k among the current rows; a row that is absent
// has version 0.
func (e *ConflictError) Find(k Key) Row {
	for _, r := range e.Rows {
		if r.Key == k && !r.Deleted {
			return r
		}
	}
	return Row{Key: k}
}

// Get reads one row; a row that is absent has version 0.
func Get(ctx context.Context, s Reader, k Key) (Row, error) {
	row, _, err := GetAt(ctx, s, k)
	return row, err
}

// GetAt is Get with the stamp of the answer.
func GetAt(ctx context.Context, s Reader, k Key) (Row, Stamp, error) {
	rows, more, at, err := s.List(ctx, k.Table, k.Part, k.Key, k.Key+"\x00")
	if err != nil {
		return Row{}, Stamp{}, err
	}
	for _, r := range rows {
		if r.Key.Key == k.Key {
			return r, at, nil
		}
	}
	if more {
		return Row{}, Stamp{}, errLeftOut
	}
	return Row{Key: k}, at, nil
}

// ListAll reads a whole partition of a table, page by page. It returns the
// stamp of the first page, so a feed that starts at the stamp misses no change.
func ListAll(ctx context.Context, s Reader, table, part string) ([]Row, Stamp, error) {
	var all []Row
	var first Stamp
	from := ""
	for page := 0; ; page++ {
		rows, more, at, err := s.List(ctx, table, part, from, "")
		if err != nil {
			return nil, Stamp{}, err
		}
		if page == 0 {
			first = at
		}
		all = append(all, rows...)
		if !more {
			return all, first, nil
		}
		if len(rows) == 0 {
			return nil, Stamp{}, errLeftOut
		}
		from = rows[len(rows)-1].Key.Key + "\x00"
	}
}
