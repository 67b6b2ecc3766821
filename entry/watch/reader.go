package watch

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra/progress"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/wire/dispatch"
)

const (
	// maxAge is the time since the store's last answer beyond which the entry
	// reads the store itself. A store that answers is read each half second, and a
	// slow one takes a third of a second to answer.
	maxAge = time.Second
	// tellTimeout bounds the answer of the other entry, in addition to the wait.
	tellTimeout = 250 * time.Millisecond
	// askAgain is the time for which an entry reads the store itself after it was
	// told nothing, askAgainOld after it was told something that was too old.
	askAgain    = 500 * time.Millisecond
	askAgainOld = 3 * time.Second
)

// Reader is a rowstore.Reader of a hub's table. It follows the table through the
// scheduler's entry, and through the store while that tells nothing.
type Reader struct {
	store rowstore.Reader
	hub   *Hub
	// source returns the link to the entry to follow, or nil if there is none.
	source func() *dispatch.Link
	// directUntil is when the other entry is asked again. Feed is not called
	// concurrently.
	directUntil time.Duration
	Counters    Counters
}

// Counters count the reads of a Reader by their source.
type Counters struct{ Told, Direct atomic.Int64 }

// Figures returns the counters for display.
func (c *Counters) Figures() map[string]any {
	return map[string]any{"told": c.Told.Load(), "direct": c.Direct.Load()}
}

var _ rowstore.Reader = (*Reader)(nil)

// NewReader returns a reader that reads from store, records all answers in hub,
// and follows the entry that source returns.
func NewReader(store rowstore.Reader, hub *Hub, source func() *dispatch.Link) *Reader {
	return &Reader{store: store, hub: hub, source: source}
}

// List implements rowstore.Reader. A list of the whole table is asked for like its
// changes.
func (r *Reader) List(ctx context.Context, table, part, from, to string) ([]rowstore.Row, bool, rowstore.Stamp, error) {
	whole := table == r.hub.table && from == "" && to == ""
	if source := r.askedSource(); source != nil && whole {
		// An older list must not hide what this entry knows already.
		rows, at, err := r.askSource(ctx, source, dispatch.ChangesArgs{Table: table, All: true, After: r.hub.lastVersion()})
		if err == nil {
			r.hub.recordList(rows, at, toldArrival(at, r.hub.now()))
			return rows, false, at, nil
		}
		r.leaveSource(err)
	}
	r.Counters.Direct.Add(1)
	asked := r.hub.now()
	rows, more, at, err := r.store.List(ctx, table, part, from, to)
	if err == nil && whole && !more {
		r.hub.recordList(rows, at, arrival{at: r.hub.now(), current: asked})
	}
	return rows, more, at, err
}

// askedSource returns the link to the other entry, or nil if the store is to be
// read.
func (r *Reader) askedSource() *dispatch.Link {
	if r.hub.now() < r.directUntil {
		return nil
	}
	return r.source()
}

// leaveSource makes the reader read the store after the other entry has failed.
func (r *Reader) leaveSource(err error) {
	pause := askAgain
	if errors.Is(err, errNotTold) {
		pause = askAgainOld
	}
	r.directUntil = r.hub.now() + pause
}

// Feed implements rowstore.Reader.
func (r *Reader) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Row, rowstore.Stamp, error) {
	if source := r.askedSource(); source != nil && table == r.hub.table {
		rows, at, err := r.askSource(ctx, source, dispatch.ChangesArgs{Table: table, After: after, Wait: wait})
		if err == nil {
			r.hub.recordChanges(after, rows, at, toldArrival(at, r.hub.now()))
		}
		if err == nil || ctx.Err() != nil || errors.Is(err, rowstore.ErrCompacted) {
			return rows, at, err
		}
		r.leaveSource(err)
		// The other entry's silence has used up the wait.
		wait = 0
		progress.Received(ctx)
	}
	r.Counters.Direct.Add(1)
	current := r.hub.now()
	rows, at, err := r.store.Feed(ctx, table, after, wait)
	if err == nil && table == r.hub.table {
		if len(rows) == 0 {
			// Without changes, the state is current at the end of the wait.
			current = min(current+wait, r.hub.now())
		}
		r.hub.recordChanges(after, rows, at, arrival{at: r.hub.now(), current: current})
	}
	return rows, at, err
}

// askSource asks the other entry.
func (r *Reader) askSource(ctx context.Context, source *dispatch.Link, args dispatch.ChangesArgs) ([]rowstore.Row, rowstore.Stamp, error) {
	var reply dispatch.ChangesReply
	asked := r.hub.now()
	if err := source.Call(ctx, "Watch.Next", args, &reply, args.Wait+tellTimeout); err != nil {
		return nil, rowstore.Stamp{}, eris.Wrapf(err, "changes of %s", args.Table)
	}
	if reply.Compacted {
		return nil, rowstore.Stamp{}, eris.Wrapf(rowstore.ErrCompacted, "changes of %s at %s", args.Table, source.Address())
	}
	// The stamp is as of the sending of the answer, Waited after asked at the
	// earliest.
	reply.At.Age += r.hub.now() - asked - reply.Waited
	if !reply.Known || reply.At.Age >= maxAge {
		return nil, rowstore.Stamp{}, eris.Wrapf(errNotTold, "changes of %s at %s", args.Table, source.Address())
	}
	for i := range reply.Rows {
		value, err := dispatch.Unpack(reply.Rows[i].Value)
		if err != nil {
			return nil, rowstore.Stamp{}, eris.Wrapf(err, "changes of %s at %s", args.Table, source.Address())
		}
		reply.Rows[i].Value = value
	}
	progress.Received(ctx)
	r.Counters.Told.Add(1)
	return reply.Rows, reply.At, nil
}
