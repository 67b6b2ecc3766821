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

// How record writes are gathered.
const (
	// beginGather is how long the begin of a call waits for others at most,
	// while another write is under way; with none it is sent at once.
	beginGather = 5 * time.Millisecond
	// endGather is how long the answer of a call waits for a begin to go with.
	// Its caller has it already.
	endGather = 50 * time.Millisecond
	// groupBytes ends a transaction early, so that a begin doesn't wait for
	// the transfer of long answers.
	groupBytes = 64 << 10
)

// recordWrite is the conditional write of one record.
type recordWrite struct {
	ctx   context.Context
	cond  infra.Cond
	value []byte
	done  chan written
	// taken is set when it goes into a transaction, or is dropped.
	taken bool
}

// written is what became of a recordWrite.
type written struct {
	version uint64
	err     error
}

// groupWriter gathers the writes of several records into one transaction. Each
// write has its own outcome, as if it had been sent alone.
type groupWriter struct {
	table infra.Table
	life  context.Context
	// rows bounds the records of one transaction.
	rows int

	mu sync.Mutex
	// begins and ends wait; busy counts transactions under way.
	begins, ends []*recordWrite
	busy         int

	// Transactions counts what was sent, Alone the records whose outcome had
	// to be found by themselves.
	Transactions, Alone atomic.Int64
}

func newGroupWriter(life context.Context, table infra.Table) *groupWriter {
	return &groupWriter{table: table, life: life, rows: infra.MaxTxnRows}
}

// write writes a record on the condition of its version and returns the new
// version. Errors are those of infra.CommitOnce. An end waits longer for
// others than a begin does.
func (g *groupWriter) write(ctx context.Context, cond infra.Cond, value []byte, end bool) (uint64, error) {
	// One key that the store refuses would refuse the whole transaction.
	if err := infra.CheckKey(cond.Key); err != nil {
		return 0, err
	}
	w := &recordWrite{ctx: ctx, cond: cond, value: value, done: make(chan written, 1)}
	g.add(w, end)
	select {
	case o := <-w.done:
		return o.version, o.err
	case <-ctx.Done():
		return 0, eris.Wrapf(infra.ErrUnknown, "write record %s: %v", cond.Key, ctx.Err())
	}
}

func (g *groupWriter) add(w *recordWrite, end bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if end {
		g.ends = append(g.ends, w)
		g.flushAfter(endGather, w)
		return
	}
	g.begins = append(g.begins, w)
	if g.busy == 0 {
		g.busy++
		go g.run()
		return
	}
	g.flushAfter(beginGather, w)
}

// flushAfter sends what waits if w still does after d, also beside a transaction
// that is under way: one that the store doesn't answer holds nobody else up.
func (g *groupWriter) flushAfter(d time.Duration, w *recordWrite) {
	time.AfterFunc(d, func() {
		g.mu.Lock()
		if w.taken {
			g.mu.Unlock()
			return
		}
		g.busy++
		g.mu.Unlock()
		g.run()
	})
}

// run sends transactions until no begin waits.
func (g *groupWriter) run() {
	for {
		g.commit(g.take())
		g.mu.Lock()
		if len(g.begins) == 0 {
			g.busy--
			g.mu.Unlock()
			return
		}
		g.mu.Unlock()
	}
}

// take takes the writes of one transaction, begins first. A key can stand in it
// once, and a write whose caller has left is dropped before it has any effect.
func (g *groupWriter) take() []*recordWrite {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []*recordWrite
	keys := make(map[string]bool)
	bytes := 0
	pick := func(waiting []*recordWrite) (left []*recordWrite) {
		for _, w := range waiting {
			fits := len(out) == 0 || len(out) < g.rows && bytes+len(w.value) <= groupBytes
			w.taken = true
			switch {
			case w.ctx.Err() != nil:
			case !fits || keys[w.cond.Key]:
				w.taken = false
				left = append(left, w)
			default:
				out = append(out, w)
				keys[w.cond.Key] = true
				bytes += len(w.value)
			}
		}
		return left
	}
	g.begins = pick(g.begins)
	g.ends = pick(g.ends)
	if len(g.ends) > 0 {
		g.flushAfter(endGather, g.ends[0])
	}
	return out
}

// commit writes ws in one transaction.
//
// Failures guarded against: one record was changed by another attempt, and the
// conflict fails all; or the answer is lost, and callers are told of a record
// that was not written, or the other way round. After a conflict, which proves
// that nothing was applied, the one record gets it and the rest is sent again.
// After an unknown outcome each record is written by itself, under the same
// operation ID and the same condition on its version. So at most one of the two
// writes can change the record, however late the first one lands, and a row
// that names the operation proves that one of them did.
func (g *groupWriter) commit(ws []*recordWrite) {
	for len(ws) > 0 {
		op := "calls/" + rand.Text()
		g.Transactions.Add(1)
		ctx, cancel := context.WithTimeout(g.life, beginTimeout)
		versions, err := g.table.Commit(ctx, transaction(op, ws))
		cancel()
		var conflict *infra.ConflictError
		switch {
		case err == nil:
			for i, w := range ws {
				w.done <- written{version: versions[i]}
			}
			return
		case errors.As(err, &conflict) && conflict.Current.Op != op && names(ws, conflict.Current.Key):
			ws = refuse(ws, conflict)
		case errors.Is(err, infra.ErrUnavailable):
			for _, w := range ws {
				w.done <- written{err: err}
			}
			return
		default:
			for _, w := range ws {
				go g.alone(op, w)
			}
			return
		}
	}
}

// alone finds out what became of one record of a transaction, and writes it if
// need be.
func (g *groupWriter) alone(op string, w *recordWrite) {
	g.Alone.Add(1)
	versions, err := infra.CommitAgain(w.ctx, g.table, transaction(op, []*recordWrite{w}))
	if err != nil {
		w.done <- written{err: err}
		return
	}
	w.done <- written{version: versions[0]}
}

func transaction(op string, ws []*recordWrite) infra.Txn {
	t := infra.Txn{Op: op}
	for _, w := range ws {
		t.Conds = append(t.Conds, w.cond)
		t.Puts = append(t.Puts, infra.Put{Key: w.cond.Key, Value: w.value})
	}
	return t
}

func names(ws []*recordWrite, key string) bool {
	for _, w := range ws {
		if w.cond.Key == key {
			return true
		}
	}
	return false
}

// refuse gives the conflict to the record that it names and returns the rest.
func refuse(ws []*recordWrite, conflict *infra.ConflictError) (rest []*recordWrite) {
	for _, w := range ws {
		if w.cond.Key == conflict.Current.Key {
			w.done <- written{err: conflict}
			continue
		}
		rest = append(rest, w)
	}
	return rest
}
