package relay

import (
	"context"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/wire/dispatch"
)

// Reader reads the store by the path that answers first. An attempt without a
// sign of an answer continues while another is started in parallel, usually by
// another path. The first sign of an answer ends the other attempts.
//
// A time-out for the whole read would let no read complete while the store is
// slow or the answer large for the link.
type Reader struct {
	relay *Store
	// direct reads from the store directly.
	direct rowstore.Reader
	// directFirst limits the use of other entries; see plan.
	directFirst bool
}

var _ rowstore.Reader = (*Reader)(nil)

// Reader returns a reader with the given direct path, which may have longer
// time-outs. It is for large answers, so other entries are used only if the
// direct path fails or gets no answer while another entry does.
func (s *Store) Reader(direct rowstore.Reader) *Reader {
	return &Reader{relay: s, direct: direct, directFirst: true}
}

// reader returns a reader for the Store's own reads.
func (s *Store) reader() *Reader { return &Reader{relay: s, direct: s.direct} }

// List implements rowstore.Reader.
func (r *Reader) List(ctx context.Context, table, part, from, to string) ([]rowstore.Row, bool, rowstore.Stamp, error) {
	direct := func(ctx context.Context) (a answer) {
		begun := time.Now()
		a.rows, a.more, a.at, a.err = r.direct.List(ctx, table, part, from, to)
		r.relay.observe(a.err, time.Since(begun))
		return a
	}
	viaPeer := func(ctx context.Context, l *dispatch.Link) answer {
		var reply dispatch.RowsReply
		args := dispatch.ListArgs{Table: table, Part: part, From: from, To: to, Large: r.directFirst}
		return peerAnswer(&reply, l.Call(ctx, "Relay.List", args, &reply, readTimeout))
	}
	a := r.relay.race(ctx, plan{answerTimeout: hedgeDelay, directFirst: r.directFirst, direct: direct, viaPeer: viaPeer})
	return a.rows, a.more, a.at, a.err
}

// Feed implements rowstore.Reader. Later attempts wait for changes only for the
// rest of wait.
//
// A feed answers after its wait at the latest, and one feed is always pending.
// So a feed is the first call to time out when the store stops answering this
// machine.
func (r *Reader) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Row, rowstore.Stamp, error) {
	end := time.Now().Add(wait)
	remaining := func() time.Duration { return max(0, time.Until(end)) }
	direct := func(ctx context.Context) (a answer) {
		begun, wait := time.Now(), remaining()
		a.rows, a.at, a.err = r.direct.Feed(ctx, table, after, wait)
		if len(a.rows) == 0 {
			r.relay.observe(a.err, time.Since(begun)-wait)
		}
		return a
	}
	viaPeer := func(ctx context.Context, l *dispatch.Link) answer {
		var reply dispatch.RowsReply
		args := dispatch.FeedArgs{Table: table, After: after, Wait: remaining(), Large: r.directFirst}
		return peerAnswer(&reply, l.Call(ctx, "Relay.Feed", args, &reply, args.Wait+readTimeout))
	}
	a := r.relay.race(ctx, plan{answerTimeout: wait + r.relay.answerTimeout(), feed: true, directFirst: r.directFirst, direct: direct, viaPeer: viaPeer})
	return a.rows, a.at, a.err
}
