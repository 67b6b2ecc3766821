package urgent

import (
	"context"
	"errors"
	"fmt"
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/entry/directory"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// permanent reports whether another agent would give the same refusal.
func permanent(r *structs.Refusal) bool {
	return r.Type == structs.RefusedDeadline || r.Type == structs.RefusedTooLarge
}

func holdRefusal(h decide.Hold) *structs.Refusal {
	return &structs.Refusal{Type: h.Refusal, Status: 503, Outcome: structs.NotRun, Detail: h.Reason,
		RetryAfter: h.RetryAfter, Step: "call.choose"}
}

// noAgentsRetryAfter is the Retry-After for a service without agents. An agent
// that can reach this entry reports within a heartbeat, 2 s while agents are few.
const noAgentsRetryAfter = 2 * time.Second

// noAgents refuses a call to a service that lost its last agent recently.
func noAgents(service structs.Service) *structs.Refusal {
	return &structs.Refusal{Type: structs.RefusedUnreachable, Status: 503, Outcome: structs.NotRun,
		Detail: fmt.Sprintf("no backend server of %q is heard now", service), RetryAfter: noAgentsRetryAfter, Step: "call.choose"}
}

// final converts the last refusal into the one for the caller, whose outcome
// covers every attempt.
func (s *Server) final(a *attempts, r *structs.Refusal) *structs.Refusal {
	out := *r
	out.Outcome = structs.NotRun
	if a.mayHaveRun {
		out.Outcome = structs.Unknown
	}
	if out.Status == 0 {
		out.Status = 503
	}
	if out.RetryAfter == 0 && out.Type != structs.RefusedTooLarge {
		out.RetryAfter = defaultRetryAfter
	}
	return &out
}

// defaultRetryAfter is the Retry-After of refusals that don't set another.
const defaultRetryAfter = time.Second

// exchangeFailed returns the refusal for an attempt that ended without a reply.
func (s *Server) exchangeFailed(ctx context.Context, a *attempts, x *exchange, err error) *structs.Refusal {
	agent := x.agent
	var failed *wire.PeerError
	sent := !errors.As(err, &failed) || failed.Sent
	refused := &structs.Refusal{Type: structs.RefusedUnreachable, Status: 502, Outcome: structs.NotRun,
		Detail: "the agent could not be reached", Step: "call.send", Peer: string(agent.Instance)}
	if sent {
		a.mayHaveRun = true
		refused.Type = structs.RefusedAnswerLost
		refused.Outcome = structs.Unknown
		refused.Detail = "the connection to the agent ended before its answer"
	}
	if ctx.Err() != nil {
		refused.Type = structs.RefusedDeadline
		refused.Status = 504
		refused.Detail = "the deadline passed before the answer"
		s.cancel(a.request.ID, agent)
		s.liveness.checkAfterLoss(agent, time.Since(x.sent))
		return refused
	}
	s.dir.Suspect(agent.Instance)
	return refused
}

const cancelTimeout = time.Second

func (s *Server) cancel(id structs.RequestID, agent directory.Agent) {
	go func() {
		ctx, stop := context.WithTimeout(context.Background(), cancelTimeout)
		defer stop()
		// A lost cancel needs no repeat: only the backend server's answer frees the
		// slot.
		_ = s.peers.Agent(agent.Address).Cancel(ctx, wire.CancelRequest{Request: id})
	}()
}

// evaluate returns the answer or refusal in a reply. A reply to another request
// violates an invariant. It is never given to the caller, and the call counts as
// one that may have run.
func (s *Server) evaluate(a *attempts, agent directory.Agent, reply wire.CallReply) (Answer, *structs.Refusal) {
	if reply.Request != a.request.ID {
		s.Counters.Mismatched.Add(1)
		s.log.Error().Str("request", string(a.request.ID)).Str("got", string(reply.Request)).Msg("reply to another request dropped")
		a.mayHaveRun = true
		return Answer{}, &structs.Refusal{Type: structs.RefusedAnswerLost, Status: 502, Outcome: structs.Unknown,
			Detail: "the agent sent another request's answer", Step: "call.judge", Peer: string(agent.Instance)}
	}
	if reply.Refused != nil {
		if reply.Refused.Outcome != structs.NotRun {
			a.mayHaveRun = true
		}
		return Answer{}, reply.Refused
	}
	return Answer{Status: reply.Status, Headers: reply.Headers, Body: reply.Body, Instance: agent.Instance}, nil
}
