package urgent

import (
	"context"
	"fmt"

	"persimmonrock.example/entry/directory"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Request is one urgent call as received from the caller.
type Request struct {
	ID       structs.RequestID
	Contract structs.Contract
	Service  structs.Service
	Headers  []wire.Header
	Body     []byte
	// Key is the caller's Idempotency-Key, or "".
	Key string
	// Revision is that of the configuration under which the call is scheduled.
	Revision structs.Revision
}

// Answer is the complete answer of a backend server.
type Answer struct {
	Status  int
	Headers []wire.Header
	Body    []byte
	// Instance served the call; Replayed is set if the answer comes from the
	// record of an earlier attempt.
	Instance structs.InstanceID
	Replayed bool
}

// Call serves one call until it is answered or refused, or until the deadline
// of ctx, which must be set.
func (s *Server) Call(ctx context.Context, r Request) (Answer, *structs.Refusal) {
	s.Counters.Calls.Add(1)
	s.events.Record(structs.Event{Step: StepReceived, Request: r.ID, Customer: r.Contract.Customer, Detail: string(r.Service)})
	answer, refused := s.call(ctx, r)
	if refused == nil {
		s.Counters.Answered.Add(1)
		s.events.Record(structs.Event{Step: StepAnswered, Request: r.ID, Customer: r.Contract.Customer, Peer: string(answer.Instance)})
		return answer, nil
	}
	s.Counters.Refused.Add(1)
	if refused.Outcome == structs.NotRun {
		s.Counters.NotRun.Add(1)
	} else {
		s.Counters.Unknown.Add(1)
	}
	s.events.Record(structs.Event{Step: StepRefused, Request: r.ID, Customer: r.Contract.Customer,
		Detail: fmt.Sprintf("%s %s", refused.Type, refused.Outcome)})
	return Answer{}, refused
}

func (s *Server) call(ctx context.Context, r Request) (Answer, *structs.Refusal) {
	agents, known := s.dir.Service(r.Service)
	if !known {
		return Answer{}, &structs.Refusal{Type: structs.RefusedUnknownService, Status: 404, Outcome: structs.NotRun,
			Detail: fmt.Sprintf("no backend server offers %q", r.Service), Step: "call.choose"}
	}
	if len(agents) == 0 {
		return Answer{}, noAgents(r.Service)
	}
	s.budget.Call(r.Contract.Customer)
	deadline, _ := ctx.Deadline()
	a := newAttempts(r, idempotent(agents, r.Service), deadline)
	if a.idempotent || r.Key == "" {
		return s.attempt(ctx, a)
	}
	return s.keyed(ctx, a)
}

// idempotent reports whether every backend server of the service has declared the
// service idempotent.
func idempotent(agents []directory.Agent, service structs.Service) bool {
	for _, a := range agents {
		for _, l := range a.Load.Services {
			if l.Service == service && !l.Idempotent {
				return false
			}
		}
	}
	return len(agents) > 0
}

// keyed serves a non-idempotent call as its Idempotency-Key's record allows.
func (s *Server) keyed(ctx context.Context, a *attempts) (Answer, *structs.Refusal) {
	claim, earlier, refused := s.records.Begin(ctx, a.request)
	if refused != nil {
		return Answer{}, refused
	}
	if earlier != nil {
		return *earlier, nil
	}
	answer, refused := s.attempt(ctx, a)
	if refused == nil {
		s.records.Finish(claim, answer)
		return answer, nil
	}
	if refused.Outcome == structs.NotRun {
		s.records.Abandon(claim)
	}
	return Answer{}, refused
}
