package relay

import (
	"context"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/wire/dispatch"
)

// Service makes calls to the store for other entries, only by the direct path.
type Service struct {
	relay *Store
	store rowstore.Store
	large *sharedReads
}

// Service returns the RPC service for other entries.
func (s *Store) Service() *Service {
	return &Service{relay: s, store: s.direct, large: newSharedReads()}
}

// Peers implements the RPC method of that name.
func (r *Service) Peers(args dispatch.PeersArgs, reply *dispatch.PeersReply) error {
	reply.Addresses = r.relay.peersFor(args.Address, args.Most)
	return nil
}

// Apply implements the RPC method of that name.
func (r *Service) Apply(args dispatch.ApplyArgs, reply *dispatch.RowsReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	at, err := r.store.Apply(ctx, args.Txn)
	reply.At = at
	reply.SetError(err)
	return nil
}

// List implements the RPC method of that name.
func (r *Service) List(args dispatch.ListArgs, reply *dispatch.RowsReply) error {
	read := func() (a answer) {
		ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
		defer cancel()
		a.rows, a.more, a.at, a.err = r.store.List(ctx, args.Table, args.Part, args.From, args.To)
		return a
	}
	if args.Large {
		setReply(reply, r.large.do(args, read))
	} else {
		setReply(reply, read())
	}
	return nil
}

// Feed implements the RPC method of that name.
func (r *Service) Feed(args dispatch.FeedArgs, reply *dispatch.RowsReply) error {
	end := time.Now().Add(args.Wait)
	read := func() (a answer) {
		wait := max(0, time.Until(end))
		ctx, cancel := context.WithTimeout(context.Background(), wait+readTimeout)
		defer cancel()
		a.rows, a.at, a.err = r.store.Feed(ctx, args.Table, args.After, wait)
		return a
	}
	if args.Large {
		setReply(reply, r.large.do(dispatch.FeedArgs{Table: args.Table, After: args.After}, read))
	} else {
		setReply(reply, read())
	}
	return nil
}

func setReply(reply *dispatch.RowsReply, a answer) {
	reply.Rows, reply.More, reply.At = a.rows, a.more, a.at
	reply.SetError(a.err)
}
