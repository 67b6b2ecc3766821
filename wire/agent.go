package wire

import (
	"time"

	"persimmonrock.example/structs"
)

// Header is one forwarded HTTP header field.
type Header struct {
	Name  string
	Value string
}

// CallRequest carries one attempt of an urgent call from entry to agent.
type CallRequest struct {
	Request  structs.RequestID
	Attempt  int
	Customer structs.Customer
	Service  structs.Service
	Headers  []Header
	Body     []byte
	// Budget is how much longer the caller will wait.
	Budget time.Duration
	// Revision is the configuration under which the entry schedules the call.
	Revision structs.Revision
}

// CallReply is the complete answer of a backend server, or a refusal.
type CallReply struct {
	// Request repeats the request's ID; an entry drops a reply with another ID.
	Request structs.RequestID
	Status  int
	Headers []Header
	Body    []byte
	Refused *structs.Refusal
	// Load is part of every reply, so that no separate report is needed.
	Load Load
}

// Load is an agent's report on its instance, exact at the time of the report.
type Load struct {
	Instance structs.InstanceID
	// Process is a random name that the agent process chose at its start.
	Process     string
	Incarnation structs.Incarnation
	// Sequence orders the reports of one process.
	Sequence uint64
	Draining bool
	Services []ServiceLoad
	Free     structs.Resources
	Total    structs.Resources
	// Batch is the number of batch tasks by customer and kind.
	Batch []BatchLoad
}

// ServiceLoad is the state of one service on an instance.
type ServiceLoad struct {
	Service    structs.Service
	Idempotent bool
	Slots      int
	InUse      int
	// ServiceTime is the recent median duration of a call.
	ServiceTime time.Duration
	Leaving     bool
}

// BatchLoad counts the running batch tasks of one customer and kind.
type BatchLoad struct {
	Customer structs.Customer
	Kind     structs.Kind
	Running  int
}

// CancelRequest notifies an agent that the caller of an urgent call no longer
// waits. Only the backend server's answer frees the slot.
type CancelRequest struct {
	Request structs.RequestID
}

// Empty is a message without content.
type Empty struct{}

// StartRequest sends claimed tasks to an agent.
type StartRequest struct {
	Tasks []TaskGrant
}

// TaskGrant is one claimed task. Its job row already records that Incarnation
// of this instance runs the task at Epoch.
type TaskGrant struct {
	Job         structs.JobID
	Shard       structs.ShardID
	Epoch       structs.Epoch
	Incarnation structs.Incarnation
	// Instance is the instance that the claim names. An agent of another
	// instance refuses the grant: the address may have been reassigned since
	// the claim. An empty Instance is not checked.
	Instance   structs.InstanceID
	Customer   structs.Customer
	Spec       structs.JobSpec
	Checkpoint string
}

// StartReply has one entry in Refused for each task, nil if it was admitted.
type StartReply struct {
	Refused Refusals
	Load    Load
}

// StopReason is the reason for stopping a task before its end.
type StopReason string

// The reasons for stopping a task.
const (
	StopCancelled StopReason = "cancelled"
	StopEvicted   StopReason = "evicted"
)

// TaskRef names one claim of a task.
type TaskRef struct {
	Job structs.JobID
	// Shard is used to route the report of a claim that the agent doesn't know.
	Shard structs.ShardID
	Epoch structs.Epoch
}

// StopRequest asks an agent to stop tasks. The end of each task is reported by
// a TaskReport, never by this call's reply.
type StopRequest struct {
	Tasks  []TaskRef
	Reason StopReason
}

// DrainRequest starts a planned stop of the instance, or of one service on it.
type DrainRequest struct {
	// Service names the one service to retire; "" means the whole instance.
	Service structs.Service
	// Cancel ends the drain and returns the instance to service.
	Cancel bool
}

// EventsRequest reads a process's time line.
type EventsRequest struct {
	Request structs.RequestID
	Job     structs.JobID
	// After skips events up to and including this logical time.
	After uint64
}

// EventsReply is the matching part of a process's time line.
type EventsReply struct {
	Events []structs.Event
}

// AgentAPI is the API that an agent serves under the net/rpc name "Agent".
type AgentAPI interface {
	Call(CallRequest, *CallReply) error
	Cancel(CancelRequest, *Empty) error
	Start(StartRequest, *StartReply) error
	Stop(StopRequest, *Empty) error
	Drain(DrainRequest, *Load) error
	Load(Empty, *Load) error
	Events(EventsRequest, *EventsReply) error
}
