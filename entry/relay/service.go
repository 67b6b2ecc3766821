package relay

import (
	"context"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/wire/dispatch"
)

// Service makes calls to the store for other entries, only by the direct path.
type Service struct{ store rowstore.Store }

// Service returns the RPC service for other entries.
func (s *Store) Service() *Service { return &Service{store: s.direct} }

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
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	defer cancel()
	rows, more, at, err := r.store.List(ctx, args.Table, args.Part, args.From, args.To)
	reply.Rows, reply.More, reply.At = rows, more, at
	reply.SetError(err)
	return nil
}

// Feed implements the RPC method of that name.
func (r *Service) Feed(args dispatch.FeedArgs, reply *dispatch.RowsReply) error {
	ctx, cancel := context.WithTimeout(context.Background(), args.Wait+readTimeout)
	defer cancel()
	rows, at, err := r.store.Feed(ctx, args.Table, args.After, args.Wait)
	reply.Rows, reply.At = rows, at
	reply.SetError(err)
	return nil
}
