package inproc

import (
	"context"

	"persimmonrock.example/wire"
)

// Dialer returns a dialer that connects from the named process.
func (n *Network) Dialer(from string) wire.Dialer { return dialer{n, from} }

type dialer struct {
	n    *Network
	from string
}

// Agent implements wire.Dialer.
func (d dialer) Agent(address string) wire.AgentPeer { return peer{d, address} }

// Entry implements wire.Dialer.
func (d dialer) Entry(address string) wire.EntryPeer { return entryPeer{peer{d, address}} }

type peer struct {
	dialer
	to string
}

func (p peer) message(method string) Message { return Message{From: p.from, To: p.to, Method: method} }

func (p peer) agent() wire.AgentAPI {
	p.n.mu.Lock()
	defer p.n.mu.Unlock()
	return p.n.agents[p.to]
}

func (p peer) entry() wire.EntryAPI {
	p.n.mu.Lock()
	defer p.n.mu.Unlock()
	return p.n.entries[p.to]
}

func callAgent[Q, R any](ctx context.Context, p peer, method string, request Q, handle func(wire.AgentAPI) func(Q, *R) error) (R, error) {
	a := p.agent()
	if a == nil {
		var none R
		return none, &wire.PeerError{Step: method, Peer: p.to, Err: errCut}
	}
	return exchange(ctx, p.n, p.message(method), request, handle(a))
}

func callEntry[Q, R any](ctx context.Context, p peer, method string, request Q, handle func(wire.EntryAPI) func(Q, *R) error) (R, error) {
	e := p.entry()
	if e == nil {
		var none R
		return none, &wire.PeerError{Step: method, Peer: p.to, Err: errCut}
	}
	return exchange(ctx, p.n, p.message(method), request, handle(e))
}

func (p peer) Call(ctx context.Context, r wire.CallRequest) (wire.CallReply, error) {
	return callAgent(ctx, p, "Agent.Call", r, func(a wire.AgentAPI) func(wire.CallRequest, *wire.CallReply) error { return a.Call })
}

func (p peer) Cancel(ctx context.Context, r wire.CancelRequest) error {
	_, err := callAgent(ctx, p, "Agent.Cancel", r, func(a wire.AgentAPI) func(wire.CancelRequest, *wire.Empty) error { return a.Cancel })
	return err
}

func (p peer) Start(ctx context.Context, r wire.StartRequest) (wire.StartReply, error) {
	return callAgent(ctx, p, "Agent.Start", r, func(a wire.AgentAPI) func(wire.StartRequest, *wire.StartReply) error { return a.Start })
}

func (p peer) Stop(ctx context.Context, r wire.StopRequest) error {
	_, err := callAgent(ctx, p, "Agent.Stop", r, func(a wire.AgentAPI) func(wire.StopRequest, *wire.Empty) error { return a.Stop })
	return err
}

func (p peer) Drain(ctx context.Context, r wire.DrainRequest) (wire.Load, error) {
	return callAgent(ctx, p, "Agent.Drain", r, func(a wire.AgentAPI) func(wire.DrainRequest, *wire.Load) error { return a.Drain })
}

func (p peer) Load(ctx context.Context) (wire.Load, error) {
	return callAgent(ctx, p, "Agent.Load", wire.Empty{}, func(a wire.AgentAPI) func(wire.Empty, *wire.Load) error { return a.Load })
}

func (p peer) Events(ctx context.Context, r wire.EventsRequest) (wire.EventsReply, error) {
	return callAgent(ctx, p, "Agent.Events", r, func(a wire.AgentAPI) func(wire.EventsRequest, *wire.EventsReply) error { return a.Events })
}

type entryPeer struct{ p peer }

func (e entryPeer) Hello(ctx context.Context, r wire.HelloRequest) (wire.HelloReply, error) {
	return callEntry(ctx, e.p, "Entry.Hello", r, func(a wire.EntryAPI) func(wire.HelloRequest, *wire.HelloReply) error { return a.Hello })
}

func (e entryPeer) Report(ctx context.Context, r wire.ReportRequest) (wire.ReportReply, error) {
	return callEntry(ctx, e.p, "Entry.Report", r, func(a wire.EntryAPI) func(wire.ReportRequest, *wire.ReportReply) error { return a.Report })
}

func (e entryPeer) Submit(ctx context.Context, r wire.SubmitRequest) (wire.SubmitReply, error) {
	return callEntry(ctx, e.p, "Entry.Submit", r, func(a wire.EntryAPI) func(wire.SubmitRequest, *wire.SubmitReply) error { return a.Submit })
}

func (e entryPeer) CancelJobs(ctx context.Context, r wire.CancelJobsRequest) (wire.CancelJobsReply, error) {
	return callEntry(ctx, e.p, "Entry.CancelJobs", r, func(a wire.EntryAPI) func(wire.CancelJobsRequest, *wire.CancelJobsReply) error { return a.CancelJobs })
}

func (e entryPeer) ReleaseJob(ctx context.Context, r wire.ReleaseJobRequest) (wire.ReleaseJobReply, error) {
	return callEntry(ctx, e.p, "Entry.ReleaseJob", r, func(a wire.EntryAPI) func(wire.ReleaseJobRequest, *wire.ReleaseJobReply) error { return a.ReleaseJob })
}

func (e entryPeer) Config(ctx context.Context, r wire.ConfigRequest) (wire.ConfigReply, error) {
	return callEntry(ctx, e.p, "Entry.Config", r, func(a wire.EntryAPI) func(wire.ConfigRequest, *wire.ConfigReply) error { return a.Config })
}

func (e entryPeer) Events(ctx context.Context, r wire.EventsRequest) (wire.EventsReply, error) {
	return callEntry(ctx, e.p, "Entry.Events", r, func(a wire.EntryAPI) func(wire.EventsRequest, *wire.EventsReply) error { return a.Events })
}
