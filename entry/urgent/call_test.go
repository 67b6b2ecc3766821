package urgent

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"persimmonrock.example/entry/directory"
	"persimmonrock.example/entry/model"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// fakePeers is a Directory, a Dialer and the peer of every agent at once: answer
// returns the result of the n-th attempt, counted from 0.
type fakePeers struct {
	wire.AgentPeer
	agents   []directory.Agent
	answer   func(ctx context.Context, n int, r wire.CallRequest) (wire.CallReply, error)
	attempts int
	cancels  int
	suspects int
}

func (s *fakePeers) Service(structs.Service) ([]directory.Agent, bool) { return s.agents, true }
func (s *fakePeers) Begin(structs.InstanceID) func()                   { return func() {} }
func (s *fakePeers) Suspect(structs.InstanceID)                        { s.suspects++ }
func (s *fakePeers) Update(wire.Load)                                  {}
func (s *fakePeers) Age(structs.InstanceID) (time.Duration, bool)      { return 0, true }
func (s *fakePeers) SetUnresponsive(structs.InstanceID, bool)          {}
func (s *fakePeers) Agent(string) wire.AgentPeer                       { return s }
func (s *fakePeers) Entry(string) wire.EntryPeer                       { return nil }

func (s *fakePeers) Call(ctx context.Context, r wire.CallRequest) (wire.CallReply, error) {
	s.attempts++
	return s.answer(ctx, s.attempts-1, r)
}

func (s *fakePeers) Cancel(context.Context, wire.CancelRequest) error {
	s.cancels++
	return nil
}

func newServer(s *fakePeers, agents int, idempotent bool) *Server {
	for i := range agents {
		s.agents = append(s.agents, directory.Agent{Instance: structs.InstanceID(fmt.Sprint(i)), Load: wire.Load{
			Free: structs.Resources{Slots: 8}, Services: []wire.ServiceLoad{{Service: "claims", Idempotent: idempotent, Slots: 8}}}})
	}
	n := uint64(0)
	return New(Deps{Directory: s, Peers: s, Table: memory.NewTable(), Model: model.New(), Events: structs.NoEvents{}, Log: zerolog.Nop(),
		Random: func() uint64 { n++; return n }})
}

func call(s *Server, id, key string) (Answer, *structs.Refusal) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return s.Call(ctx, Request{ID: structs.RequestID(id), Contract: structs.Contract{Customer: "kowhai"}, Service: "claims", Key: key})
}

func okReply(r wire.CallRequest) (wire.CallReply, error) {
	return wire.CallReply{Request: r.Request, Status: 200}, nil
}

func refusing(o structs.Outcome) func(context.Context, wire.CallRequest) (wire.CallReply, error) {
	return func(_ context.Context, r wire.CallRequest) (wire.CallReply, error) {
		return wire.CallReply{Request: r.Request, Refused: &structs.Refusal{Type: structs.RefusedNotReady, Outcome: o}}, nil
	}
}

func failing(sent, late bool) func(context.Context, wire.CallRequest) (wire.CallReply, error) {
	return func(ctx context.Context, _ wire.CallRequest) (wire.CallReply, error) {
		if late {
			<-ctx.Done()
		}
		return wire.CallReply{}, &wire.PeerError{Sent: sent, Err: errors.New("broken")}
	}
}

// firstAttempts are the results of a first attempt. A second one may follow if
// the first is proved not to have started or the call is idempotent, but never
// after the deadline.
var firstAttempts = []struct {
	name         string
	do           func(context.Context, wire.CallRequest) (wire.CallReply, error)
	proved, late bool
}{
	{"not sent", failing(false, false), true, false},
	{"refused, not run", refusing(structs.NotRun), true, false},
	{"refused, unknown", refusing(structs.Unknown), false, false},
	{"refused without an outcome", refusing(""), false, false},
	{"answer lost", failing(true, false), false, false},
	{"error of another kind", func(context.Context, wire.CallRequest) (wire.CallReply, error) {
		return wire.CallReply{}, errors.New("other")
	}, false, false},
	{"reply to another request", func(context.Context, wire.CallRequest) (wire.CallReply, error) {
		return wire.CallReply{Request: "other", Status: 200}, nil
	}, false, false},
	{"deadline while connecting", failing(false, true), true, true},
	{"deadline while waiting", failing(true, true), false, true},
}

func TestRetryAfterFirstAttempt(t *testing.T) {
	for _, first := range firstAttempts {
		for _, idempotent := range []bool{false, true} {
			for _, agents := range []int{1, 2} {
				t.Run(fmt.Sprintf("%s, idempotent %t, %d agents", first.name, idempotent, agents), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := &fakePeers{answer: func(ctx context.Context, n int, r wire.CallRequest) (wire.CallReply, error) {
							if n == 0 {
								return first.do(ctx, r)
							}
							return okReply(r)
						}}
						_, refused := call(newServer(s, agents, idempotent), "r-1", "")
						synctest.Wait()
						again := agents > 1 && !first.late && (first.proved || idempotent)
						want := structs.Unknown
						if first.proved {
							want = structs.NotRun
						}
						switch {
						case again && (refused != nil || s.attempts != 2):
							t.Errorf("%d attempts, %v; want the second one's answer", s.attempts, refused)
						case !again && (refused == nil || s.attempts != 1 || refused.Outcome != want || refused.RetryAfter <= 0):
							t.Errorf("%d attempts, %+v; want one, %s, with Retry-After", s.attempts, refused, want)
						case first.late && (refused.Type != structs.RefusedDeadline || s.cancels != 1 || s.suspects != 0):
							t.Errorf("%v, %d cancels, %d suspects; want one cancel, and the agent not suspected", refused, s.cancels, s.suspects)
						}
					})
				})
			}
		}
	}
}

// In a long outage every attempt fails, and each call could be sent to further
// agents. Callers must be refused at once, with fewer than 1.1 attempts a call, so
// that retries don't multiply the load on the remaining agents.
func TestRetriesInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 1000
		s := &fakePeers{answer: func(ctx context.Context, _ int, r wire.CallRequest) (wire.CallReply, error) {
			return failing(false, false)(ctx, r)
		}}
		server := newServer(s, 8, true)
		for i := range calls {
			_, refused := call(server, fmt.Sprint(i), "")
			if refused == nil || refused.Outcome != structs.NotRun || refused.RetryAfter <= 0 {
				t.Fatalf("call %d: %v", i, refused)
			}
			time.Sleep(10 * time.Millisecond)
		}
		ratio := float64(s.attempts) / calls
		t.Logf("%d attempts for %d refused calls: %.3f a call", s.attempts, calls, ratio)
		if ratio >= 1.1 || ratio <= 1 {
			t.Errorf("%.3f attempts a call", ratio)
		}
	})
}

// The last load of every agent reports that all slots are taken, by calls of
// another entry or by batch tasks. While the report is recent, callers must be
// refused without an attempt. An older report may be wrong: one call at a time
// must be sent, or free slots stay unused until a heartbeat.
func TestStaleReportOfNoFreeSlots(t *testing.T) {
	for name, c := range map[string]struct {
		inUse, free, outstanding int
		age                      time.Duration
		sent                     bool
	}{
		"calls, just now":               {8, 4, 0, fullReportMaxAge, false},
		"calls, long ago":               {8, 4, 0, fullReportMaxAge + 1, true},
		"tasks, just now":               {0, 0, 0, fullReportMaxAge, false},
		"tasks, long ago":               {0, 0, 0, fullReportMaxAge + 1, true},
		"more than all slots, long ago": {9, -3, 0, fullReportMaxAge + 1, true},
		"long ago, one outstanding":     {8, 4, 1, fullReportMaxAge + 1, false},
	} {
		s := &fakePeers{answer: func(_ context.Context, _ int, r wire.CallRequest) (wire.CallReply, error) { return okReply(r) }}
		server := newServer(s, 1, true)
		a := &s.agents[0]
		a.Load.Services[0].InUse, a.Load.Free.Slots, a.Outstanding, a.Age = c.inUse, c.free, c.outstanding, c.age
		_, refused := call(server, "r-1", "")
		if (refused == nil) != c.sent || (s.attempts == 1) != c.sent {
			t.Errorf("%s: %d attempts, %v; want one: %t", name, s.attempts, refused, c.sent)
		}
	}
}

// A caller repeats a call that isn't idempotent under one Idempotency-Key. If the
// first attempt is proved not to have run, the repeat must run; if it may have
// run, the repeat must be refused; if it was answered, the answer must be
// replayed. For a key that can't be a row's name, no write may stay pending.
func TestRepeatOfAKeyedCall(t *testing.T) {
	for name, c := range map[string]struct {
		do       func(context.Context, wire.CallRequest) (wire.CallReply, error)
		attempts int
		repeated structs.RefusalType
		replayed bool
	}{
		"not run":  {refusing(structs.NotRun), 2, "", false},
		"unknown":  {refusing(structs.Unknown), 1, structs.RefusedInProgress, false},
		"lost":     {failing(true, false), 1, structs.RefusedInProgress, false},
		"answered": {func(_ context.Context, r wire.CallRequest) (wire.CallReply, error) { return okReply(r) }, 1, "", true},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakePeers{answer: func(ctx context.Context, n int, r wire.CallRequest) (wire.CallReply, error) {
				if n == 0 {
					return c.do(ctx, r)
				}
				return okReply(r)
			}}
			server := newServer(s, 1, false)
			defer server.Records().Close()
			call(server, "r-1", "key")
			if name == "not run" {
				// The caller retries before a deferrable write would be sent.
				time.Sleep(deferrableDelay / 2)
			} else {
				time.Sleep(time.Second)
			}
			var kind structs.RefusalType
			answer, refused := call(server, "r-2", "key")
			if refused != nil {
				kind = refused.Type
			}
			if diff := cmp.Diff([]any{c.attempts, c.repeated, c.replayed}, []any{s.attempts, kind, answer.Replayed}); diff != "" {
				t.Errorf("%s: %s", name, diff)
			}
			_, refused = call(server, "r-3", "\xff")
			if time.Sleep(2 * time.Second); refused == nil || refused.Type != structs.RefusedBadRequest || server.Records().Pending.Load() != 0 {
				t.Errorf("%s: %v, %d records pending", name, refused, server.Records().Pending.Load())
			}
		})
	}
}
