// Package dispatch holds the messages between the scheduler, the agents and
// the other entries about jobs of steps, and the connections that carry them.
package dispatch

import (
	"time"

	"persimmonrock.example/structs/workload"
)

// Claim identifies the scheduler's term in the scheduler's calls to an agent.
type Claim struct {
	// Epoch identifies the term; agents obey the highest epoch received.
	Epoch uint64
	// Process is the agent process that last answered the scheduler.
	Process uint64
	// Echo is that process's clock in its latest answer. The agent counts Grant
	// from this time, so that a delayed call does not extend the lease.
	Echo time.Duration
	// Grant is the time after Echo for which the worker's lease may last.
	Grant time.Duration
	// Drained says that nothing may start on the agent's worker, since its data
	// centre is drained as of DrainsVersion. The agent keeps the value of the
	// highest DrainsVersion; version 0 carries no value.
	Drained       bool
	DrainsVersion uint64
}

// ReasonDrained is RunReport.Reason if a drain of the data centre prevented the
// run's start.
const ReasonDrained = "the data centre is drained"

// StartOrder orders the agent to start one run that the store has recorded.
type StartOrder struct {
	Run   workload.RunID
	Need  workload.Resources
	Fills bool
	// Image names the program; tasks of one image behave alike.
	Image      string
	TailTarget time.Duration
	Checkpoint string
	Ticket     string
	// Pace is the pace, in percent, at which a filling run starts beside serving
	// tasks on which it presses; 0 for full pace.
	Pace int
	// Gang says that the run works only together with the gang's other runs.
	Gang bool
	// Watched requests a report once RunReport.Proven holds. It is set if an
	// earlier run of the task was on a worker that crashed.
	Watched bool
	// Estimate is the client's estimate of the run time; 0 for lasting, filling
	// and gang tasks.
	Estimate time.Duration
}

// OrderArgs carries orders for one incarnation of a worker.
type OrderArgs struct {
	Claim
	Worker workload.WorkerID
	// Seen is the End.Number up to which the ends of the incarnation's runs are
	// stored.
	Seen uint64
	// Payloads holds the payloads of the started tasks, by job.
	Payloads map[workload.JobID]string
	Starts   []StartOrder
	Stops    []workload.RunID
}

// OrderReply says whether the agent accepted the orders. The result of each
// order follows in a WatchReply.
type OrderReply struct {
	Refused Refusal
}

// Refusal is the reason for which an agent refuses a scheduler's call.
type Refusal string

// The refusals of an agent.
const (
	// RefusedEpoch: the agent has received a call of a newer scheduler.
	RefusedEpoch Refusal = "newer scheduler"
	// RefusedProcess: the orders are meant for another process of the agent.
	RefusedProcess Refusal = "another process"
	// RefusedWorker: the worker is another incarnation, or none is known.
	RefusedWorker Refusal = "another life of the worker"
	// RefusedGrant: the grant has expired, or the orders are too old.
	RefusedGrant Refusal = "grant has run out"
)

// WatchArgs requests the changes at an agent.
type WatchArgs struct {
	Claim
	// Since is the version of Process's last answer; 0 requests all changes.
	Since uint64
	// Worker is the incarnation to which Seen refers; see OrderArgs.
	Worker workload.WorkerID
	Seen   uint64
	// Wait bounds the time for which the answer may wait for a change.
	Wait time.Duration
	// SampleEvery is the time between samples of tail latency; 0 disables them.
	SampleEvery time.Duration
	// SampleUnknown replaces SampleEvery while it is unknown whether a filling
	// task slows a serving task beside it.
	SampleUnknown time.Duration
	// Pressure holds the learnt PairWeights of the worker's images, if changed.
	Pressure []PairWeight
	// Base is the lowest observed tail latency by serving image, in ms.
	Base map[string]float64
	// Order lists the jobs with filling runs on the worker in the scheduler's
	// order, if the order has changed.
	Order []workload.JobID
	// Work requests RunReport.Work.
	Work bool
}

// PairWeight is how strongly a filling image slows a serving one.
type PairWeight struct {
	Serving string
	Filling string
	Value   float64
	Known   bool
}

// TailSample covers the tasks that ran on a worker over about half a second.
type TailSample struct {
	Serving []ServingSample
	Filling []FillingSample
}

// ServingSample is the tail latency of the tasks of one job.
type ServingSample struct {
	Job   workload.JobID
	Image string
	// Tail is in milliseconds.
	Tail float64
}

// FillingSample is the share of the worker's CPU that a filling image used.
type FillingSample struct {
	Image string
	Used  float64
}

// WatchReply reports the changes at an agent.
type WatchReply struct {
	Refused Refusal
	Process uint64
	// At is the agent's clock when it sent the answer.
	At      time.Duration
	Version uint64
	// Worker is the current worker; its ID is empty while no worker is known.
	Worker workload.Worker
	// Listed says that the worker answers and that its lists were read.
	Listed bool
	// Lapsed says that the worker was unresponsive until its last lease
	// expired, so that nothing runs there.
	Lapsed bool
	// Stopping says that Process is about to exit: it renews the worker's lease no
	// more and starts nothing. All leases have expired at LeaseEnd, on the clock of
	// At.
	Stopping bool
	LeaseEnd time.Duration
	// EndsUnknown says that the worker may have ended runs that Ends does not hold
	// yet, also such of orders to its former lives under the same instance.
	EndsUnknown bool
	// Former lists earlier incarnations that are known to have ended.
	Former []workload.WorkerID
	// Fresh lists the runs that may have crashed an incarnation in Former, the
	// lapsed worker, or one that does not answer while the agent is stopping. The list is repeated until WatchArgs.Since covers it.
	Fresh []SuspectRun
	Runs  []RunReport
	Ends  []workload.End
	// Sample is set once in each WatchArgs.SampleEvery.
	Sample *TailSample
}

// SuspectRun is a run that may have crashed its worker. Begun says that the run
// was certainly on the worker, and not for long; without Begun, one of the two
// is uncertain. Soon says that the worker stopped answering shortly after the
// run's start. Last says that the run was among the last that were started there.
type SuspectRun struct {
	Run   workload.RunID
	Begun bool
	Soon  bool
	Last  bool
}

// RunState is the state of a run as known to its agent.
type RunState uint8

// The states of a run at its agent.
const (
	// RunPending: the run is ordered, and the worker has not confirmed it.
	RunPending RunState = iota
	// RunPresent: the run is on the worker.
	RunPresent
	// RunVoid: the run is not on the worker and never will be.
	RunVoid
)

// RunReport is an agent's report on a run.
type RunReport struct {
	Run        workload.RunID
	State      RunState
	Checkpoint string
	// Reason explains why a run is void.
	Reason string
	// Slow says that the run progresses far more slowly than estimated.
	Slow bool
	// Proven says that the run has not crashed its worker: the worker still
	// answered some time after the run's start.
	Proven bool
	// Work is set for a filling run, if WatchArgs.Work requests it.
	Work *RunWork
}

// RunWork is how a filling run gets on. It is reported when the pace has changed
// noticeably.
type RunWork struct {
	// Pace is the mean pace over the last second or two, 0 to 1.
	Pace float64
	// Worked is the work so far, and Left the remaining work, as time at full pace.
	// Left is 0 while it is unknown; Worked then lacks what a checkpoint holds.
	Worked, Left time.Duration
}

// NoteArgs notifies the scheduler of a job that was stored or cancelled.
type NoteArgs struct {
	Job       *workload.Job
	Cancelled workload.JobID
	// Undecided says that it is not known whether a job of the caller is stored.
	Undecided bool
	Mark      OutlookMark
}

// NoteReply carries an outlook if the scheduler has a newer one than the caller.
type NoteReply struct {
	Outlook *Outlook
	Memory  Memory
}

// Memory says how much memory further jobs may take at the scheduler.
type Memory struct {
	// Known is false if the answering process is not the scheduler or has no limit.
	Known bool
	// Free is in bytes.
	Free int64
	// Unsettled says that submissions of unknown outcome may still be carried out,
	// so that nobody can say that a job does not run.
	Unsettled bool
}

// StateArgs requests a job's state.
type StateArgs struct {
	ID   workload.JobID
	Mark OutlookMark
	// Refusal is set before the caller refuses the job.
	Refusal *RefusalNotice
}

// StateReply is the state known to the answering process. Leading is false if
// that process is not the scheduler. Known is false if the process has no such
// job, which does not prove that none exists.
type StateReply struct {
	// Process is the answering process.
	Process string
	Leading bool
	Known   bool
	State   workload.State
	// Outlook is set if the scheduler has a newer one than the caller.
	Outlook *Outlook
	Memory  Memory
	// RefusalConfirmed answers StateArgs.Refusal: the process has no such job, and
	// its outlook holds. Booked is the time until which room is promised to jobs
	// that were refused before.
	RefusalConfirmed bool
	Booked           time.Duration
}

// LeaseArgs asks a process whether it holds the scheduler's lease.
type LeaseArgs struct{}

// LeaseReply is what the answering process knows of its own lease.
type LeaseReply struct {
	// Process is the answering process.
	Process string
	// Version is the version of the lease that the process last took or renewed,
	// and Age the time since it sent that transaction; Version is 0 if the process
	// does not hold the lease.
	Version uint64
	Age     time.Duration
}

// YieldArgs asks the scheduler to release its lease to an entry on a stronger
// machine.
type YieldArgs struct {
	// Process is the scheduler process to which the request is addressed.
	Process string
	// Heir is the node of the requesting entry.
	Heir string
}

// YieldReply says whether the lease is about to be released.
type YieldReply struct{ Agreed bool }

// WaitingArgs requests the number of a queue's jobs that have no started task.
type WaitingArgs struct {
	Queue string
	Mark  OutlookMark
}

// WaitingReply is the number that WaitingArgs requests.
type WaitingReply struct {
	Leading bool
	Waiting int
	// Outlook is set if the scheduler has a newer one than the caller.
	Outlook *Outlook
}
