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

// script is a Directory, a Dialer and the peer of every agent at once: answer
// says what becomes of the n-th attempt, counted from 0.
type script struct {
	wire.AgentPeer
	agents   []directory.Agent
	answer   func(ctx context.Context, n int, r wire.CallRequest) (wire.CallReply, error)
	attempts int
	cancels  int
	suspects int
}

func (s *script) Service(structs.Service) ([]directory.Agent, bool) { return s.agents, true }
func (s *script) Begin(structs.InstanceID) func()                   { return func() {} }
func (s *script) Suspect(structs.InstanceID)                        { s.suspects++ }
func (s *script) Update(wire.Load)                                  {}
func (s *script) Age(structs.InstanceID) (time.Duration, bool)      { return 0, true }
func (s *script) SetSilent(structs.InstanceID, bool)                {}
func (s *script) Agent(string) wire.AgentPeer                       { return s }
func (s *script) Entry(string) wire.EntryPeer                       { return nil }

func (s *script) Call(ctx context.Context, r wire.CallRequest) (wire.CallReply, error) {
	s.attempts++
	return s.answer(ctx, s.attempts-1, r)
}

func (s *script) Cancel(context.Context, wire.CancelRequest) error {
	s.cancels++
	return nil
}

func newServer(s *script, agents int, idempotent bool) *Server {
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

func answered(r wire.CallRequest) (wire.CallReply, error) {
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

// firstAttempts are the ends of a first attempt. One that is proved not to
// have started may be followed by another; one that isn't, only if the call is
// idempotent; none once the deadline has passed.
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
	{"reply of another request", func(context.Context, wire.CallRequest) (wire.CallReply, error) {
		return wire.CallReply{Request: "other", Status: 200}, nil
	}, false, false},
	{"deadline while connecting", failing(false, true), true, true},
	{"deadline while waiting", failing(true, true), false, true},
}

func TestWhatFollowsAFirstAttempt(t *testing.T) {
	for _, first := range firstAttempts {
		for _, idempotent := range []bool{false, true} {
			for _, agents := range []int{1, 2} {
				t.Run(fmt.Sprintf("%s, idempotent %t, %d agents", first.name, idempotent, agents), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := &script{answer: func(ctx context.Context, n int, r wire.CallRequest) (wire.CallReply, error) {
							if n == 0 {
								return first.do(ctx, r)
							}
							return answered(r)
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
							t.Errorf("%v, %d cancels, %d suspects; want the agent told, and not suspected", refused, s.cancels, s.suspects)
						}
					})
				})
			}
		}
	}
}

// In a lasting outage every attempt fails and other agents are always known.
// Callers are refused at once, and the attempts stay under 1.1 a call, so that
// retries don't multiply the load on what is left.
func TestRetriesInAnOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const calls = 1000
		s := &script{answer: func(ctx context.Context, _ int, r wire.CallRequest) (wire.CallReply, error) {
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

// The last load of every agent says that all slots are taken, by calls of
// another entry or by batch tasks. Shortly after, callers are refused without
// an attempt. Once the word is old it may long be wrong, and one call at a
// time finds out; otherwise free slots stayed unused until a heartbeat.
func TestOldWordThatAnAgentIsFull(t *testing.T) {
	for name, c := range map[string]struct {
		inUse, free, outstanding int
		age                      time.Duration
		sent                     bool
	}{
		"calls, just now":           {8, 4, 0, fullFor, false},
		"calls, long ago":           {8, 4, 0, fullFor + 1, true},
		"tasks, just now":           {0, 0, 0, fullFor, false},
		"tasks, long ago":           {0, 0, 0, fullFor + 1, true},
		"more than all, long ago":   {9, -3, 0, fullFor + 1, true},
		"long ago, but one is sent": {8, 4, 1, fullFor + 1, false},
	} {
		s := &script{answer: func(_ context.Context, _ int, r wire.CallRequest) (wire.CallReply, error) { return answered(r) }}
		server := newServer(s, 1, true)
		a := &s.agents[0]
		a.Load.Services[0].InUse, a.Load.Free.Slots, a.Outstanding, a.Age = c.inUse, c.free, c.outstanding, c.age
		_, refused := call(server, "r-1", "")
		if (refused == nil) != c.sent || (s.attempts == 1) != c.sent {
			t.Errorf("%s: %d attempts, %v; want one: %t", name, s.attempts, refused, c.sent)
		}
	}
}

// A caller repeats a call that isn't idempotent under one Idempotency-Key. A
// first attempt that is proved not to have run leaves the key free, one that
// may have run is never repeated, and one that was answered gives its answer
// again. A key that can't be a row's name leaves nothing to be written.
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
		"answered": {func(_ context.Context, r wire.CallRequest) (wire.CallReply, error) { return answered(r) }, 1, "", true},
	} {
		synctest.Test(t, func(t *testing.T) {
			s := &script{answer: func(ctx context.Context, n int, r wire.CallRequest) (wire.CallReply, error) {
				if n == 0 {
					return c.do(ctx, r)
				}
				return answered(r)
			}}
			server := newServer(s, 1, false)
			defer server.Records().Close()
			call(server, "r-1", "key")
			if name == "not run" {
				// Its caller comes back sooner than an answer's record is written.
				time.Sleep(endGather / 2)
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
