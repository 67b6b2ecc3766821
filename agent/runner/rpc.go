package runner

import (
	"context"

	"persimmonrock.example/wire/dispatch"
)

// RPC is the runner's net/rpc service for the scheduler.
type RPC struct {
	ctx    context.Context
	runner *Runner
}

// NewRPC returns the service of r; orders are carried out until ctx ends.
func NewRPC(ctx context.Context, r *Runner) *RPC { return &RPC{ctx: ctx, runner: r} }

// Order implements the RPC of that name.
func (a *RPC) Order(args dispatch.OrderArgs, reply *dispatch.OrderReply) error {
	*reply = a.runner.Order(a.ctx, args)
	return nil
}

// Watch implements the RPC of that name.
func (a *RPC) Watch(args dispatch.WatchArgs, reply *dispatch.WatchReply) error {
	*reply = a.runner.Watch(a.ctx, args)
	return nil
}
