package agent

import (
	"sync/atomic"
	"time"

	"persimmonrock.example/agent/configuration"
	"persimmonrock.example/agent/lease"
	"persimmonrock.example/agent/ledger"
	"persimmonrock.example/agent/tasks"
	"persimmonrock.example/decide"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// rpcServer is the agent's RPC service for entries.
type rpcServer struct{ a *Agent }

// RPC returns the agent's net/rpc service.
func (a *Agent) RPC() wire.AgentAPI { return rpcServer{a} }

// Call implements wire.AgentAPI.
func (s rpcServer) Call(r wire.CallRequest, reply *wire.CallReply) error {
	s.a.counters.serving.Add(1)
	defer s.a.counters.serving.Add(-1)
	s.a.counters.calls.Add(1)
	s.a.contracts.NoteRevision(r.Revision)
	*reply = s.a.call(r)
	return nil
}

// Cancel implements wire.AgentAPI. It frees no slot: the backend server may
// continue to work on the call, and reports the call's end itself.
func (s rpcServer) Cancel(wire.CancelRequest, *wire.Empty) error {
	s.a.counters.cancels.Add(1)
	return nil
}

// Start implements wire.AgentAPI.
func (s rpcServer) Start(r wire.StartRequest, reply *wire.StartReply) error {
	reply.Refused = make([]*structs.Refusal, len(r.Tasks))
	var grants []wire.TaskGrant
	var at []int
	for i, g := range r.Tasks {
		if !s.a.runsKind(g.Spec.Kind) {
			reply.Refused[i] = s.a.refusal(structs.RefusedUnsupportedKind, structs.NotRun, "the instance does not run this kind", 0)
			continue
		}
		grants = append(grants, g)
		at = append(at, i)
	}
	for i, refused := range s.a.tasks.Start(grants) {
		reply.Refused[at[i]] = refused
	}
	reply.Load = s.a.load()
	return nil
}

// Stop implements wire.AgentAPI.
func (s rpcServer) Stop(r wire.StopRequest, _ *wire.Empty) error {
	s.a.tasks.Stop(r.Tasks, r.Reason)
	return nil
}

// Drain implements wire.AgentAPI.
func (s rpcServer) Drain(r wire.DrainRequest, reply *wire.Load) error {
	if r.Service != "" {
		s.a.retire(r.Service)
	} else {
		s.a.setPlannedStop(r.Cancel)
	}
	*reply = s.a.load()
	return nil
}

// Load implements wire.AgentAPI.
func (s rpcServer) Load(_ wire.Empty, reply *wire.Load) error {
	*reply = s.a.load()
	return nil
}

// Events implements wire.AgentAPI.
func (s rpcServer) Events(r wire.EventsRequest, reply *wire.EventsReply) error {
	if line, ok := s.a.deps.Events.(selector); ok {
		reply.Events = line.Select(r.Request, r.Job, r.After)
	}
	return nil
}

type counters struct {
	calls, answered, refused, cancels, overBudget atomic.Int64
	cut, dialFailed, guardRefused, foreignAnswers atomic.Int64
	hellos, helloFailed, configs                  atomic.Int64
	// serving is the number of calls for which rpcServer.Call has not returned.
	serving atomic.Int64
}

// Vars are the agent's counters and state, for expvar.
type Vars struct {
	Calls           map[string]int64            `json:"calls"`
	Ledger          ledger.Counters             `json:"ledger"`
	Config          map[string]int64            `json:"config"`
	Lease           map[string]int64            `json:"lease"`
	Tasks           map[string]int64            `json:"tasks"`
	Interference    decide.InterferenceCounters `json:"interference"`
	Incarnation     uint64                      `json:"lease_incarnation"`
	LeaseLeft       string                      `json:"lease_left"`
	Revision        uint64                      `json:"revision"`
	Running         int                         `json:"tasks_running"`
	Unsettled       int                         `json:"tasks_unsettled"`
	InvariantBroken int64                       `json:"invariant_broken"`
	Load            wire.Load                   `json:"load"`
}

// Vars returns the agent's counters and state, for expvar.
func (a *Agent) Vars() any {
	held, left := a.lease.Held(time.Now())
	counters := a.ledger.Counters()
	return Vars{
		Calls: a.counters.values(), Ledger: counters, Config: configValues(a.contracts),
		Lease: lease.Values(&a.lease.Counters), Tasks: tasks.Values(&a.tasks.Counters),
		Interference: a.relief.Counters(),
		Incarnation:  uint64(held), LeaseLeft: left.Round(time.Second).String(),
		Revision: uint64(a.ledger.Revision()), Running: a.tasks.Running(), Unsettled: a.tasks.Unsettled(),
		InvariantBroken: counters.InvariantBroken, Load: a.load(),
	}
}

func (c *counters) values() map[string]int64 {
	return map[string]int64{
		"calls": c.calls.Load(), "answered": c.answered.Load(), "refused": c.refused.Load(),
		"cancels": c.cancels.Load(), "over_budget": c.overBudget.Load(), "cut": c.cut.Load(),
		"dial_failed": c.dialFailed.Load(), "guard_refused": c.guardRefused.Load(),
		"foreign_answers": c.foreignAnswers.Load(), "hellos": c.hellos.Load(),
		"hello_failed": c.helloFailed.Load(), "configs": c.configs.Load(), "serving": c.serving.Load(),
	}
}

func configValues(f *configuration.Follower) map[string]int64 {
	return map[string]int64{
		"reads": f.Reads.Load(), "reads_failed": f.Failed.Load(), "entries_asked": f.Asked.Load(),
		"older_refused": f.Older.Load(), "changes_unfit": f.Unfit.Load(),
	}
}
