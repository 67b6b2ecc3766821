package wire

import (
	"context"
	"fmt"
)

// AgentPeer is the remote interface of an agent. Every method returns a
// *PeerError if the exchange itself failed. A refusal by the agent is a field
// of the reply.
type AgentPeer interface {
	Call(ctx context.Context, r CallRequest) (CallReply, error)
	Cancel(ctx context.Context, r CancelRequest) error
	Start(ctx context.Context, r StartRequest) (StartReply, error)
	Stop(ctx context.Context, r StopRequest) error
	Drain(ctx context.Context, r DrainRequest) (Load, error)
	Load(ctx context.Context) (Load, error)
	Events(ctx context.Context, r EventsRequest) (EventsReply, error)
}

// EntryPeer is the remote interface of an entry, with the same errors as
// AgentPeer.
type EntryPeer interface {
	Hello(ctx context.Context, r HelloRequest) (HelloReply, error)
	Report(ctx context.Context, r ReportRequest) (ReportReply, error)
	Submit(ctx context.Context, r SubmitRequest) (SubmitReply, error)
	CancelJobs(ctx context.Context, r CancelJobsRequest) (CancelJobsReply, error)
	ReleaseJob(ctx context.Context, r ReleaseJobRequest) (ReleaseJobReply, error)
	Config(ctx context.Context, r ConfigRequest) (ConfigReply, error)
	Events(ctx context.Context, r EventsRequest) (EventsReply, error)
}

// Dialer returns peers by address ("ip:port"). Its methods never block: a peer
// connects at its first call and again after a failure.
type Dialer interface {
	Agent(address string) AgentPeer
	Entry(address string) EntryPeer
}

// PeerError says that an exchange with another process failed.
type PeerError struct {
	// Step is the RPC method, Peer the address.
	Step string
	Peer string
	// Sent is false only if provably no byte of the request left this process,
	// so that the request cannot have run.
	Sent bool
	Err  error
}

// Error implements error.
func (e *PeerError) Error() string {
	sent := "not sent"
	if e.Sent {
		sent = "sent"
	}
	return fmt.Sprintf("%s to %s (%s): %v", e.Step, e.Peer, sent, e.Err)
}

// Unwrap returns the cause.
func (e *PeerError) Unwrap() error { return e.Err }
