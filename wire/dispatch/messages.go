// Package dispatch holds the messages between the scheduler, the agents and
// the other entries about jobs of steps, and the connections that carry them.
package dispatch

import (
	"time"

	"persimmonrock.example/structs/workload"
)

// Claim shows which term of which scheduler speaks.
type Claim struct {
	// Epoch of the scheduler's term; agents obey the highest that they saw.
	Epoch uint64
	// Process is the agent process that the scheduler last heard from.
	Process uint64
	// Echo is that process's clock in its latest answer. The agent counts
	// the grant from there, so that a call that was delayed on its way
	// extends nothing.
	Echo time.Duration
	// Grant is how long after Echo the worker's lease may last.
	Grant time.Duration
	// Drained says that nothing may start on the agent's worker, since its data
	// centre is drained, as of DrainsVersion. The agent keeps what the highest
	// version says; version 0 says nothing.
	Drained       bool
	DrainsVersion uint64
}

// ReasonDrained is why a run is void whose data centre was drained before it
// began.
const ReasonDrained = "the data centre is drained"

// StartOrder asks the agent for one run that the store has on record.
type StartOrder struct {
	Run   workload.RunID
	Need  workload.Resources
	Fills bool
	// Image names the program; tasks of one image behave alike.
	Image      string
	TailTarget time.Duration
	Checkpoint string
	Ticket     string
	// Gang says that the run works only together with others.
	Gang bool
	// Watched asks the agent to tell when the run is proven, since a worker has
	// crashed under an earlier one of its task.
	Watched bool
	// Estimate is the client's guess of the run time of a task that ends by
	// itself and works at its own pace; 0 for all others.
	Estimate time.Duration
}

// OrderArgs carries orders for one life of a worker.
type OrderArgs struct {
	Claim
	Worker workload.WorkerID
	// Seen: ends of this life up to Seen are stored.
	Seen uint64
	// Payloads holds what the started tasks are handed, by job.
	Payloads map[workload.JobID]string
	Starts   []StartOrder
	Stops    []workload.RunID
}

// OrderReply says whether the orders were taken. What becomes of each is told
// by Watch.
type OrderReply struct {
	Refused Refusal
}

// Refusal says why an agent takes no orders.
type Refusal string

// The refusals of an agent.
const (
	// RefusedEpoch: a newer scheduler has spoken.
	RefusedEpoch Refusal = "newer scheduler"
	// RefusedProcess: the orders are meant for another process of the agent.
	RefusedProcess Refusal = "another process"
	// RefusedWorker: the worker has begun another life.
	RefusedWorker Refusal = "another life of the worker"
	// RefusedGrant: the grant of the orders has run out.
	RefusedGrant Refusal = "grant has run out"
)

// WatchArgs asks for what has changed.
type WatchArgs struct {
	Claim
	// Since is the version of the last answer of that process; 0 asks for
	// everything.
	Since uint64
	// Worker and Seen: ends of this life up to Seen are stored.
	Worker workload.WorkerID
	Seen   uint64
	// Wait bounds how long the answer may wait for a change.
	Wait time.Duration
	// SampleEvery is the time between two samples of tails; 0 asks for none.
	SampleEvery time.Duration
	// SampleUnknown is the same while it is not known whether filling work
	// presses on a serving task beside it.
	SampleUnknown time.Duration
	// Pressure is what the scheduler has learnt of the images on the worker,
	// if it has changed.
	Pressure []PairWeight
	// Base is the lowest tail seen of each serving image, in milliseconds.
	Base map[string]float64
	// Order lists the jobs with filling runs on the worker, those that are
	// worked on first at the front, if it has changed.
	Order []workload.JobID
}

// PairWeight is how much an image of filling work presses on a serving one.
type PairWeight struct {
	Serving string
	Filling string
	Value   float64
	Known   bool
}

// TailSample is what ran together on a worker over about half a second.
type TailSample struct {
	Serving []ServingSample
	Filling []FillingSample
}

// ServingSample is the tail of the tasks of one job.
type ServingSample struct {
	Job   workload.JobID
	Image string
	// Tail is in milliseconds.
	Tail float64
}

// FillingSample is the share of the worker that an image used.
type FillingSample struct {
	Image string
	Used  float64
}

// WatchReply is what has changed at an agent.
type WatchReply struct {
	Refused Refusal
	Process uint64
	// At is the agent's clock when the answer left.
	At      time.Duration
	Version uint64
	// Worker is the living worker; its ID is empty while none is known.
	Worker workload.Worker
	// Listed says that the worker's own lists were read and that it answers.
	Listed bool
	// Lapsed says that the worker has been silent until its last lease was
	// over: nothing runs there.
	Lapsed bool
	// Former lists earlier lives that are known to have ended.
	Former []workload.WorkerID
	// Fresh lists the runs that may have crashed one of these lives, or the
	// worker that has lapsed. Those of a life are told until they were read.
	Fresh []FreshRun
	Runs  []RunReport
	Ends  []workload.End
	// Sample is set once in each WatchArgs.SampleEvery.
	Sample *TailSample
}

// FreshRun is a run that may have crashed its worker. Begun says that it was
// there for certain, and not for long; else its order may have come too late.
// Soon says that the worker ceased to answer within moments of its start.
type FreshRun struct {
	Run   workload.RunID
	Begun bool
	Soon  bool
}

// RunState is what an agent knows of a run.
type RunState uint8

// The states of a run at its agent.
const (
	// RunPending: ordered, and the worker has not confirmed it.
	RunPending RunState = iota
	// RunPresent: on the worker.
	RunPresent
	// RunVoid: it is not on the worker and never will be.
	RunVoid
)

// RunReport is what an agent says of a run.
type RunReport struct {
	Run        workload.RunID
	State      RunState
	Checkpoint string
	// Reason says why a run is void.
	Reason string
	// Slow says that the run gets on far slower than its estimate.
	Slow bool
	// Proven says that the run is on a worker that has outlived its start.
	Proven bool
}

// NoteArgs tells the scheduler of a job that was stored or cancelled.
type NoteArgs struct {
	Job       *workload.Job
	Cancelled workload.JobID
}

// NoteReply is empty.
type NoteReply struct{}

// StateArgs asks for a job's state.
type StateArgs struct{ ID workload.JobID }

// StateReply is what the scheduler knows. Leading is false if it does not
// lead; Known is false if it has no such job, which does not prove that there
// is none.
type StateReply struct {
	// Process is the one that answers.
	Process string
	Leading bool
	Known   bool
	State   workload.State
}

// YieldArgs asks the scheduler to hand its lease to an entry on a stronger
// machine.
type YieldArgs struct {
	// Process is the scheduler that is meant.
	Process string
	// Heir is the node of the entry that asks.
	Heir string
}

// YieldReply says whether the lease is about to be released.
type YieldReply struct{ Agreed bool }

// WaitingArgs asks for the jobs of a queue of which nothing has started.
type WaitingArgs struct{ Queue string }

// WaitingReply is the number of them.
type WaitingReply struct {
	Leading bool
	Waiting int
}
