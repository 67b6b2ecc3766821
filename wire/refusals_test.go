package wire

import (
	"net"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"persimmonrock.example/structs"
)

// refusingAgent answers every Start with one refusal among the admitted tasks.
type refusingAgent struct{ AgentAPI }

func (refusingAgent) Start(r StartRequest, reply *StartReply) error {
	reply.Refused = make(Refusals, len(r.Tasks))
	reply.Refused[1] = &structs.Refusal{Type: structs.RefusedNoCapacity, Outcome: structs.NotRun, RetryAfter: time.Second}
	return nil
}

// Guards against: starts appear lost, their slots stay reserved, and jobs wait
// forever although workers are free. It came about when a reply could not be
// encoded. An entry starts three tasks; the agent admits two and refuses one.
// The entry must receive the refusal on a connection that stays open.
func TestReplyWithSomeRefusalsArrives(t *testing.T) {
	secret := []byte("0123456789abcdef")
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(secret, nil)
	defer s.Close()
	defer l.Close()
	if err := s.ServeAgent(refusingAgent{}); err != nil {
		t.Fatal(err)
	}
	go func() { _ = s.Serve(l, nil) }()
	c := NewClient(secret, nil, nil)
	defer c.Close()
	reply, err := c.Agent(l.Addr().String()).Start(t.Context(), StartRequest{Tasks: make([]TaskGrant, 3)})
	if err != nil {
		t.Fatal(err)
	}
	want := Refusals{nil, {Type: structs.RefusedNoCapacity, Outcome: structs.NotRun, RetryAfter: time.Second}, nil}
	if diff := cmp.Diff(want, reply.Refused); diff != "" {
		t.Error(diff)
	}
}
