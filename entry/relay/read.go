package relay

import (
	"context"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/wire/dispatch"
)

// Reader reads the store by whichever way answers first. An attempt that has
// shown no sign of an answer is not given up; another one, by another way, is
// begun beside it. The first sign of an answer ends the others.
//
// A bound on a whole read, from which it is begun anew, would let none end while
// the store is slow or the answer large for the link.
type Reader struct {
	relay *Store
	// direct is the direct way.
	direct rowstore.Reader
	// directFirst is that of its reads.
	directFirst bool
}

var _ rowstore.Reader = (*Reader)(nil)

// Reader returns a reader whose direct way is the given one, which may be more
// patient. Its answers are large, so other entries are asked only if the direct
// way fails, or is seen to be silent where theirs is not.
func (s *Store) Reader(direct rowstore.Reader) *Reader {
	return &Reader{relay: s, direct: direct, directFirst: true}
}

// reader reads for the Store itself.
func (s *Store) reader() *Reader { return &Reader{relay: s, direct: s.direct} }

// List implements rowstore.Reader.
func (r *Reader) List(ctx context.Context, table, part, from, to string) ([]rowstore.Row, bool, rowstore.Stamp, error) {
	direct := func(ctx context.Context) (a answer) {
		begun := time.Now()
		a.rows, a.more, a.at, a.err = r.direct.List(ctx, table, part, from, to)
		r.relay.observe(a.err, time.Since(begun))
		return a
	}
	through := func(ctx context.Context, l *dispatch.Link) answer {
		var reply dispatch.RowsReply
		args := dispatch.ListArgs{Table: table, Part: part, From: from, To: to}
		return relayed(&reply, l.Call(ctx, "Relay.List", args, &reply, readTimeout))
	}
	a := r.relay.race(ctx, read{patience: againAfter, directFirst: r.directFirst, direct: direct, through: through})
	return a.rows, a.more, a.at, a.err
}

// Feed implements rowstore.Reader. All attempts together wait for changes no
// longer than one would.
//
// A feed answers after its wait at the latest, and one is always under way, so
// it is the first to miss the answers of a store that has fallen silent towards
// this machine.
func (r *Reader) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Row, rowstore.Stamp, error) {
	end := time.Now().Add(wait)
	left := func() time.Duration { return max(0, time.Until(end)) }
	direct := func(ctx context.Context) (a answer) {
		begun, wait := time.Now(), left()
		a.rows, a.at, a.err = r.direct.Feed(ctx, table, after, wait)
		if len(a.rows) == 0 {
			r.relay.observe(a.err, time.Since(begun)-wait)
		}
		return a
	}
	through := func(ctx context.Context, l *dispatch.Link) answer {
		var reply dispatch.RowsReply
		args := dispatch.FeedArgs{Table: table, After: after, Wait: left()}
		return relayed(&reply, l.Call(ctx, "Relay.Feed", args, &reply, args.Wait+readTimeout))
	}
	a := r.relay.race(ctx, read{patience: wait + r.relay.patience(), feed: true, directFirst: r.directFirst, direct: direct, through: through})
	return a.rows, a.at, a.err
}
