// Package settle finds out sooner what became of a transaction whose answer
// does not come.
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
	// leastPatience and mostPatience bound how long an answer is waited for
	// before the row is looked at, by the times of earlier answers.
	leastPatience = 60 * time.Millisecond
	mostPatience  = 600 * time.Millisecond
	// quickLook is the time within which a look shows that the store is not
	// slow, so that an answer that is still missing is likely lost.
	quickLook = 100 * time.Millisecond
	// lookTimeout bounds a look.
	lookTimeout = 500 * time.Millisecond
	// maxAttempts bounds the attempts that are under way at a time.
	maxAttempts = 4
)

// Store is a rowstore.Store that looks at the row of a transaction's condition
// while the answer is missing.
//
// Failure guarded against: the store carries a transaction out and its answer
// is lost. The caller learnt that by a time-out that the slowest store has to
// fit in, and a scheduler places nothing meanwhile. If the row has another
// version than the condition wants, the transaction has been carried out or
// never will be, and the caller tells which by what the row holds. If it has
// not, and the look was answered at once, another attempt is made: under the
// same condition at most one takes effect. A store that answers looks slowly is
// left in peace.
type Store struct {
	rowstore.Store

	mu    sync.Mutex
	times rtt.Estimator
}

// New returns a store that settles the transactions of inner.
func New(inner rowstore.Store) *Store { return &Store{Store: inner} }

// Apply implements rowstore.Store. A conflict names only the row that the
// condition is about, so transactions with several are passed on as they are.
func (s *Store) Apply(ctx context.Context, t rowstore.Txn) (rowstore.Stamp, error) {
	if len(t.Conds) != 1 {
		return s.Store.Apply(ctx, t)
	}
	c := call{store: s, txn: t, answers: make(chan answer, maxAttempts), looks: make(chan look, 1)}
	return c.run(ctx)
}

// call is one transaction under way.
type call struct {
	store   *Store
	txn     rowstore.Txn
	answers chan answer
	looks   chan look
	// open counts the attempts without an answer.
	open int
	// failed is what is known of those that failed: ErrUnknown if any of them
	// may yet take effect.
	failed error
}

type answer struct {
	at  rowstore.Stamp
	err error
}

type look struct {
	row  rowstore.Row
	took time.Duration
	err  error
}

func (c *call) run(ctx context.Context) (rowstore.Stamp, error) {
	c.attempt(ctx)
	timer := time.NewTimer(c.store.patience())
	defer timer.Stop()
	for {
		select {
		case a := <-c.answers:
			c.open--
			if !uncertain(a.err) {
				return a.at, a.err
			}
			if c.failed == nil || errors.Is(a.err, rowstore.ErrUnknown) {
				c.failed = a.err
			}
			if c.open == 0 {
				return rowstore.Stamp{}, c.failed
			}
		case <-timer.C:
			go c.look(ctx)
		case l := <-c.looks:
			if l.err == nil && l.row.Version != c.txn.Conds[0].Version {
				return rowstore.Stamp{}, c.conflict(l.row)
			}
			if l.err == nil && l.took <= quickLook && c.open < maxAttempts {
				c.attempt(ctx)
			}
			timer.Reset(c.store.patience())
		case <-ctx.Done():
			return rowstore.Stamp{}, rowstore.ErrUnknown
		}
	}
}

// uncertain reports whether err leaves open what becomes of the transaction, or
// says that this attempt did nothing.
func uncertain(err error) bool {
	return errors.Is(err, rowstore.ErrUnknown) || errors.Is(err, rowstore.ErrUnavailable)
}

func (c *call) attempt(ctx context.Context) {
	c.open++
	go func() {
		begun := time.Now()
		at, err := c.store.Store.Apply(ctx, c.txn)
		if err == nil {
			c.store.observe(time.Since(begun))
		}
		c.answers <- answer{at, err}
	}()
}

// look reads the row of the condition.
func (c *call) look(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, lookTimeout)
	defer cancel()
	begun := time.Now()
	row, err := rowstore.Get(ctx, c.store.Store, c.txn.Conds[0].Key)
	c.looks <- look{row: row, took: time.Since(begun), err: err}
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

// patience is how long an answer is worth waiting for.
func (s *Store) patience() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.times.Timeout(leastPatience, mostPatience)
}
