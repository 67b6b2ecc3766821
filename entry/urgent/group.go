package urgent

import (
	"context"
	"crypto/rand"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra"
)

const (
	// promptDelay bounds the wait of a prompt write while a transaction is in
	// flight. If none is in flight, the write is sent at once.
	promptDelay = 5 * time.Millisecond
	// deferrableDelay bounds the time for which a deferrable write (of an answer
	// that the caller already has) waits to join a prompt write's transaction.
	deferrableDelay = 50 * time.Millisecond
	// maxGroupBytes bounds a transaction, so that a prompt write doesn't wait
	// for the transfer of long answers.
	maxGroupBytes = 64 << 10
)

type recordWrite struct {
	ctx   context.Context
	cond  infra.Cond
	value []byte
	done  chan writeOutcome
	// dequeued is set when the write goes into a transaction, or is dropped.
	dequeued bool
}

type writeOutcome struct {
	version uint64
	err     error
}

// groupWriter gathers the writes of several records into one transaction. Each
// write has its own outcome, as if it had been sent alone.
type groupWriter struct {
	table    infra.Table
	lifetime context.Context
	// maxRows bounds the records of one transaction.
	maxRows int

	mu sync.Mutex
	// prompt and deferred are queues; committing counts active calls of run.
	prompt, deferred []*recordWrite
	committing       int

	// Transactions counts the transactions sent, Resolved the records that were
	// written separately after an unknown outcome.
	Transactions, Resolved atomic.Int64
}

func newGroupWriter(lifetime context.Context, table infra.Table) *groupWriter {
	return &groupWriter{table: table, lifetime: lifetime, maxRows: infra.MaxTxnRows}
}

// write writes a record on the condition of its version and returns the new
// version. Errors are those of infra.CommitOnce. A deferrable write may wait
// longer for others to join its transaction.
func (g *groupWriter) write(ctx context.Context, cond infra.Cond, value []byte, deferrable bool) (uint64, error) {
	// The store refuses a whole transaction for one invalid key.
	if err := infra.CheckKey(cond.Key); err != nil {
		return 0, err
	}
	w := &recordWrite{ctx: ctx, cond: cond, value: value, done: make(chan writeOutcome, 1)}
	g.add(w, deferrable)
	select {
	case o := <-w.done:
		return o.version, o.err
	case <-ctx.Done():
		return 0, eris.Wrapf(infra.ErrUnknown, "write record %s: %v", cond.Key, ctx.Err())
	}
}

func (g *groupWriter) add(w *recordWrite, deferrable bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if deferrable {
		g.deferred = append(g.deferred, w)
		g.flushAfter(deferrableDelay, w)
		return
	}
	g.prompt = append(g.prompt, w)
	if g.committing == 0 {
		g.committing++
		go g.run()
		return
	}
	g.flushAfter(promptDelay, w)
}

// flushAfter sends the queued writes if w is still queued after d, even while a
// transaction is in flight. So a transaction that the store doesn't answer delays
// no other writes.
func (g *groupWriter) flushAfter(d time.Duration, w *recordWrite) {
	time.AfterFunc(d, func() {
		g.mu.Lock()
		if w.dequeued {
			g.mu.Unlock()
			return
		}
		g.committing++
		g.mu.Unlock()
		g.run()
	})
}

// run commits transactions until no prompt write is queued.
func (g *groupWriter) run() {
	for {
		g.commit(g.dequeue())
		g.mu.Lock()
		if len(g.prompt) == 0 {
			g.committing--
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
	}
}

// dequeue returns the writes of one transaction, prompt ones first, with each key
// at most once. A write whose context has ended is dropped without effect.
func (g *groupWriter) dequeue() []*recordWrite {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*recordWrite
	keys := make(map[string]bool)
	bytes := 0
	pick := func(waiting []*recordWrite) (left []*recordWrite) {
		for _, w := range waiting {
			fits := len(out) == 0 || len(out) < g.maxRows && bytes+len(w.value) <= maxGroupBytes
			w.dequeued = true
			switch {
			case w.ctx.Err() != nil:
			case !fits || keys[w.cond.Key]:
				w.dequeued = false
				left = append(left, w)
			default:
				out = append(out, w)
				keys[w.cond.Key] = true
				bytes += len(w.value)
			}
		}
		return left
	}
	g.prompt = pick(g.prompt)
	g.deferred = pick(g.deferred)
	if len(g.deferred) > 0 {
		g.flushAfter(deferrableDelay, g.deferred[0])
	}
	return out
}

// commit writes ws in one transaction.
//
// Failures guarded against: one record was changed by another attempt, and the
// conflict fails all writes; or the answer is lost, and a record is reported as
// written though it is not, or as not written though it is. After a conflict,
// which proves that nothing was applied, the conflicting write fails and the rest
// is sent again. After an unknown outcome each record is written separately,
// under the same operation ID and the same condition on its version. So at most
// one of the two, transaction or separate write, changes the record, however late
// the transaction is applied. A row that names the operation proves that one did.
func (g *groupWriter) commit(ws []*recordWrite) {
	for len(ws) > 0 {
		op := "calls/" + rand.Text()
		g.Transactions.Add(1)
		ctx, cancel := context.WithTimeout(g.lifetime, writeTimeout)
		versions, err := g.table.Commit(ctx, transaction(op, ws))
		cancel()
		var conflict *infra.ConflictError
		switch {
		case err == nil:
			for i, w := range ws {
				w.done <- writeOutcome{version: versions[i]}
			}
			return
		case errors.As(err, &conflict) && conflict.Current.Op != op && hasKey(ws, conflict.Current.Key):
			ws = failConflicting(ws, conflict)
		case errors.Is(err, infra.ErrUnavailable):
			for _, w := range ws {
				w.done <- writeOutcome{err: err}
			}
			return
		default:
			for _, w := range ws {
				go g.resolve(op, w)
			}
			return
		}
	}
}

// resolve writes one record of a transaction of unknown outcome, unless the
// transaction has written it.
func (g *groupWriter) resolve(op string, w *recordWrite) {
	g.Resolved.Add(1)
	versions, err := infra.CommitAgain(w.ctx, g.table, transaction(op, []*recordWrite{w}))
	if err != nil {
		w.done <- writeOutcome{err: err}
		return
	}
	w.done <- writeOutcome{version: versions[0]}
}

func transaction(op string, ws []*recordWrite) infra.Txn {
	t := infra.Txn{Op: op}
	for _, w := range ws {
		t.Conds = append(t.Conds, w.cond)
		t.Puts = append(t.Puts, infra.Put{Key: w.cond.Key, Value: w.value})
	}
	return t
}

func hasKey(ws []*recordWrite, key string) bool {
	for _, w := range ws {
		if w.cond.Key == key {
			return true
		}
	}
	return false
}

// failConflicting fails the conflicting write and returns the rest.
func failConflicting(ws []*recordWrite, conflict *infra.ConflictError) (rest []*recordWrite) {
	for _, w := range ws {
		if w.cond.Key == conflict.Current.Key {
			w.done <- writeOutcome{err: conflict}
			continue
		}
		rest = append(rest, w)
	}
	return rest
}
