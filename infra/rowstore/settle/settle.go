// Package settle determines, before the caller's time-out, the outcome of a
// transaction whose answer is missing.
package settle

import (
	"context"
	"errors"
	"sync"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/rtt"
)

const (
	// minTimeout and maxTimeout bound the wait for an answer, after which the
	// row is read. The wait follows the times of earlier answers.
	minTimeout = 60 * time.Millisecond
	maxTimeout = 600 * time.Millisecond
	// quickRead is the longest read that proves the store not to be slow. An
	// answer that is still missing after such a read is likely lost.
	quickRead = 100 * time.Millisecond
	// readTimeout bounds a read of the row.
	readTimeout = 500 * time.Millisecond
	// maxAttempts bounds the attempts in flight at a time.
	maxAttempts = 4
	// followAfter is the time without an answer after which the row's changes are
	// followed, followWait the wait of one such call.
	followAfter = 60 * time.Millisecond
	followWait  = 400 * time.Millisecond
)

// Store is a rowstore.Store that reads the row of a transaction's condition
// while the answer is missing.
//
// Failure guarded against: the store executes a transaction and its answer is
// lost. The caller would wait for a time-out that fits the slowest store, and a
// scheduler would place nothing meanwhile. If the row has another version than
// the condition requires, the transaction has been executed or never will be.
// Store then returns a conflict with the row, whose value shows the caller
// which. If the row still has the required version and the read was quick,
// Store makes another attempt: the shared condition lets at most one attempt
// take effect. A store that answers reads slowly gets no further attempts.
//
// A slow store executes a transaction well before its answer arrives. So the
// changes of the row are followed, too, while the answer is missing: the change
// arrives first, and saves the caller the rest of the answer's way.
type Store struct {
	rowstore.Store

	mu    sync.Mutex
	times rtt.Estimator
}

// New returns a Store for the transactions of inner.
func New(inner rowstore.Store) *Store { return &Store{Store: inner} }

// Apply implements rowstore.Store. Only one row is read, so transactions with
// several conditions, or none, go to the inner store directly.
func (s *Store) Apply(ctx context.Context, t rowstore.Txn) (rowstore.Stamp, error) {
	if len(t.Conds) != 1 {
		return s.Store.Apply(ctx, t)
	}
	c := call{store: s, txn: t, answers: make(chan answer, maxAttempts), reads: make(chan readResult, 1), changes: make(chan rowstore.Row, 1)}
	// A row without a version has no changes to follow from.
	if t.Conds[0].Version > 0 {
		following, cancel := context.WithCancel(ctx)
		defer cancel()
		follow := time.AfterFunc(followAfter, func() { c.followRow(following) })
		defer follow.Stop()
	}
	return c.run(ctx)
}

// call is one transaction in flight.
type call struct {
	store   *Store
	txn     rowstore.Txn
	answers chan answer
	reads   chan readResult
	// changes receives the row once it has changed.
	changes chan rowstore.Row
	// pending counts the attempts without an answer.
	pending int
	// failure is the error of the failed attempts: ErrUnknown if any of them
	// may still take effect.
	failure error
}

type answer struct {
	at  rowstore.Stamp
	err error
}

type readResult struct {
	row  rowstore.Row
	took time.Duration
	err  error
}

func (c *call) run(ctx context.Context) (rowstore.Stamp, error) {
	c.attempt(ctx)
	timer := time.NewTimer(c.store.timeout())
	defer timer.Stop()
	for {
		select {
		case a := <-c.answers:
			c.pending--
			if !uncertain(a.err) {
				return a.at, a.err
			}
			if c.failure == nil || errors.Is(a.err, rowstore.ErrUnknown) {
				c.failure = a.err
			}
			if c.pending == 0 {
				return rowstore.Stamp{}, c.failure
			}
		case row := <-c.changes:
			return rowstore.Stamp{}, c.conflict(row)
		case <-timer.C:
			go c.readRow(ctx)
		case r := <-c.reads:
			if r.err == nil && r.row.Version != c.txn.Conds[0].Version {
				return rowstore.Stamp{}, c.conflict(r.row)
			}
			if r.err == nil && r.took <= quickRead && c.pending < maxAttempts {
				c.attempt(ctx)
			}
			timer.Reset(c.store.timeout())
		case <-ctx.Done():
			return rowstore.Stamp{}, rowstore.ErrUnknown
		}
	}
}

// uncertain reports whether err leaves the transaction's outcome open: the
// attempt may still take effect, or had no effect while other attempts may.
func uncertain(err error) bool {
	return errors.Is(err, rowstore.ErrUnknown) || errors.Is(err, rowstore.ErrUnavailable)
}

func (c *call) attempt(ctx context.Context) {
	c.pending++
	go func() {
		begun := time.Now()
		at, err := c.store.Store.Apply(ctx, c.txn)
		if err == nil {
			c.store.observe(time.Since(begun))
		}
		c.answers <- answer{at, err}
	}()
}

func (c *call) readRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	begun := time.Now()
	row, err := rowstore.Get(ctx, c.store.Store, c.txn.Conds[0].Key)
	c.reads <- readResult{row: row, took: time.Since(begun), err: err}
}

// followRow waits until the row has another version than the transaction
// requires.
func (c *call) followRow(ctx context.Context) {
	cond := c.txn.Conds[0]
	for ctx.Err() == nil {
		rows, _, err := c.store.Store.Feed(ctx, cond.Key.Table, cond.Version, followWait)
		if err != nil {
			return
		}
		for _, row := range rows {
			if row.Key == cond.Key && row.Version > cond.Version {
				if row.Deleted {
					row = rowstore.Row{Key: cond.Key}
				}
				c.changes <- row
				return
			}
		}
	}
}

func (c *call) conflict(row rowstore.Row) error {
	if row.Version == 0 {
		return &rowstore.ConflictError{}
	}
	return &rowstore.ConflictError{Rows: []rowstore.Row{row}}
}

func (s *Store) observe(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.times.Observe(took)
}

func (s *Store) timeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times.Timeout(minTimeout, maxTimeout)
}
