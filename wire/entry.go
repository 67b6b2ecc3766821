package wire

import (
	"time"

	"persimmonrock.example/structs"
)

// HelloRequest is an agent's heartbeat to an entry.
type HelloRequest struct {
	Address string
	Zone    structs.DataCentre
	Load    Load
	// Omitted identifies the parts that are left out of this message because
	// the entry has kept them from an earlier message.
	Omitted HelloSums
	// Entries is the EntriesSum of the list that the receiving entry sent last.
	Entries uint64
	// Revision is the revision of the configuration that the agent holds.
	Revision structs.Revision
	// Want is the form in which the agent wants a newer configuration.
	Want ConfigWant
	// Lease is the incarnation of the agent's batch lease, 0 without a lease.
	Lease structs.Incarnation
	// Samples are measurements since the last heartbeat to this entry, at most
	// one for each service.
	Samples []Sample
}

// Sample is one measurement of a service on the agent's instance and the tasks
// beside it in the measured window; decide.Sample defines the values.
type Sample struct {
	Service     structs.Service
	Band        uint8
	ServiceTime time.Duration
	Calls       int
	Together    []KindCount
}

// KindCount is the mean number of running tasks of one kind in a window.
type KindCount struct {
	Kind  structs.Kind
	Count float64
}

// HelloReply schedules the next heartbeat and carries newer configuration.
type HelloReply struct {
	// Next is the time until the agent's next heartbeat. The entry increases it
	// with the number of agents, to stay within its traffic budget.
	Next time.Duration
	// Entries are the addresses of all entries that this entry knows. Entries
	// is empty if this entry has already sent the list to the agent.
	Entries []string
	// Kept says that the entry has stored the heartbeat, so that the next ones
	// may omit parts of it. Without Kept, the agent repeats an incomplete
	// heartbeat in full: the entry lacks an omitted part, or it is of an earlier
	// release, which never sets Kept.
	Kept bool
	// Config or Change is set if the entry's configuration is newer than the
	// agent's; the agent's Want selects which.
	Config *structs.Config
	Change *structs.ConfigChange
}

// ConfigWant is the form in which a process wants a newer configuration.
type ConfigWant uint8

// The forms. A process of an earlier release sends no form and receives the
// whole configuration.
const (
	// WantWhole: the whole configuration.
	WantWhole ConfigWant = iota
	// WantChange: the change from the revision held, or the whole configuration
	// if the answering entry can't determine the change.
	WantChange
	// WantOnlyChange: the change or nothing; without a change, the process
	// reads the table service itself.
	WantOnlyChange
)

// TaskEnd is the way in which a claim of a task ended.
type TaskEnd string

// The ends of a claim. All but EndDone put the job back in the queue, unless
// the job was cancelled or has failed too often.
const (
	EndDone       TaskEnd = "done"
	EndFailed     TaskEnd = "failed"
	EndEvicted    TaskEnd = "evicted"
	EndCancelled  TaskEnd = "cancelled"
	EndNotStarted TaskEnd = "not_started"
	// EndLost: the worker no longer has the task; the task may have crashed it.
	EndLost TaskEnd = "lost"
)

// TaskReport notifies the shard's owner that a claim has ended and that the
// task has provably stopped.
type TaskReport struct {
	Job        structs.JobID
	Shard      structs.ShardID
	Epoch      structs.Epoch
	End        TaskEnd
	Result     string
	Checkpoint string
	Error      string
	// Used is the peak measured use of the task, for learning task sizes.
	Used structs.Resources
	// Ran is the run time of this claim, for learning run times; 0 if unknown.
	Ran time.Duration
}

// ReportRequest carries the ends of claims that have not been acknowledged yet.
// The agent repeats each end until it is acknowledged.
type ReportRequest struct {
	Instance structs.InstanceID
	Reports  []TaskReport
	// Load is measured after the tasks' slots were freed, so that the next
	// claim need not wait for a heartbeat.
	Load Load
}

// ReportReply acknowledges reports by index. Settled is set once the end is
// stored or if the claim no longer holds, never for another entry's shard.
type ReportReply struct {
	Settled []bool
}

// SubmitRequest forwards a job to the owner of its shard.
type SubmitRequest struct {
	Job structs.Job
}

// SubmitReply is the stored job, or the refusal.
type SubmitReply struct {
	Job     structs.Job
	Refused *structs.Refusal
}

// CancelJobsRequest forwards cancellations to the owner of a shard.
type CancelJobsRequest struct {
	Customer structs.Customer
	Shard    structs.ShardID
	Jobs     []structs.JobID
}

// CancelJobsReply has one entry in each slice for each job.
type CancelJobsReply struct {
	Jobs    []structs.Job
	Refused Refusals
}

// ConfigRequest informs an entry of the revision that the sender holds and asks
// for a newer configuration.
type ConfigRequest struct {
	Revision structs.Revision
	Want     ConfigWant
}

// ConfigReply has Config or Change set when the answering entry has a newer
// configuration.
type ConfigReply struct {
	Revision structs.Revision
	Config   *structs.Config
	Change   *structs.ConfigChange
}

// Newer returns the newer configuration, with a change applied to held, or nil.
func (r ConfigReply) Newer(held structs.Config) *structs.Config {
	if r.Change == nil {
		return r.Config
	}
	if next, ok := held.With(*r.Change); ok {
		return &next
	}
	return nil
}

// EntryAPI is the API that an entry serves under the net/rpc name "Entry".
type EntryAPI interface {
	Hello(HelloRequest, *HelloReply) error
	Report(ReportRequest, *ReportReply) error
	Submit(SubmitRequest, *SubmitReply) error
	CancelJobs(CancelJobsRequest, *CancelJobsReply) error
	ReleaseJob(ReleaseJobRequest, *ReleaseJobReply) error
	Config(ConfigRequest, *ConfigReply) error
	Events(EventsRequest, *EventsReply) error
}

// ReleaseJobRequest forwards an operator's release of a parked job to the
// owner of its shard.
type ReleaseJobRequest struct {
	Customer structs.Customer
	Job      structs.JobID
}

// ReleaseJobReply is the current job, or the refusal.
type ReleaseJobReply struct {
	Job     structs.Job
	Refused *structs.Refusal
}
