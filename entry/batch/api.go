package batch

import (
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// AgentView is the entry's latest state of one agent.
type AgentView struct {
	Instance structs.InstanceID
	Zone     structs.DataCentre
	Address  string
	// Lease is the incarnation of the agent's batch lease, 0 if the agent has no
	// lease. Jobs are claimed only for agents with a lease.
	Lease structs.Incarnation
	Load  wire.Load
	// Age is the time since Load was received.
	Age time.Duration
}

// Directory is the entry's view of agents and of the other entries.
type Directory interface {
	// Agents returns the agents whose reports arrived recently.
	Agents() []AgentView
	// Entries returns the entries that count as alive, this one included.
	Entries() []structs.EntryID
	// Observe records a load that came with an agent's answer or report.
	Observe(load wire.Load)
}

// Contracts provides contracts and the configuration in force at this entry.
type Contracts interface {
	Contract(structs.Customer) (structs.Contract, bool)
	Config() structs.Config
}

// Snapshot is the input of one round of placement.
type Snapshot struct {
	// Queue holds the queued jobs that may start, oldest first within a
	// customer.
	Queue []structs.Job
	// Agents are the agents that accept claims. Load.Free excludes the
	// reservations of claims whose start is not answered yet.
	Agents []AgentView
	// HeldSlots counts the slots that each customer's running tasks hold.
	HeldSlots map[structs.Customer]int
	// ShareSlots is each customer's share of all slots. Every customer in Queue
	// has a value.
	ShareSlots map[structs.Customer]int
	// Max bounds the number of claims.
	Max int
}

// Placement is the decision on one queued job.
type Placement struct {
	Job structs.JobID
	// Instance shall run the job; "" leaves the job queued with Reason.
	Instance structs.InstanceID
	// Borrowed allows the claim to go beyond the customer's share.
	Borrowed bool
	// Park takes the job out of the queue, with Reason, until the job is released.
	Park   bool
	Reason string
}

// End describes the end of a claim for the placer.
type End struct {
	Job      structs.Job
	Instance structs.InstanceID
	End      wire.TaskEnd
	Used     structs.Resources
	// Ran is the running time of the claim, 0 if unknown.
	Ran time.Duration
}

// Placer decides where queued jobs run. It is called from several goroutines.
type Placer interface {
	Place(Snapshot) []Placement
	Ended(End)
}

// Defaults of Config.
const (
	DefaultShardLease   = 6 * time.Second
	DefaultLeaseMargin  = time.Second
	DefaultFlushEvery   = 50 * time.Millisecond
	DefaultScanEvery    = time.Second
	DefaultAgentScan    = 10 * time.Second
	DefaultPlanEvery    = 100 * time.Millisecond
	DefaultResendEvery  = 2 * time.Second
	DefaultStoreTimeout = 2 * time.Second
	DefaultMaxFailures  = 3
	DefaultRetain       = 5000
	DefaultJobRetention = 72 * time.Hour
)

// Config configures a Manager. A zero duration or number means its default.
type Config struct {
	Entry structs.EntryID
	// Address is this entry's own RPC address, "ip:port".
	Address string
	// ShardLease is the length of this entry's shard leases. Another entry may
	// take a shard over after reading its row unchanged for this time plus
	// LeaseMargin.
	ShardLease time.Duration
	// LeaseMargin is added to a lease's length before this entry treats an
	// unchanged lease as lapsed.
	LeaseMargin time.Duration
	// FlushEvery is the time for which a transaction gathers a shard's changes.
	FlushEvery time.Duration
	// ScanEvery is the interval of reading the shard rows.
	ScanEvery time.Duration
	// AgentScanEvery is the interval of reading the agents' lease rows; with
	// more than maxUnstretchedRows rows the interval is longer.
	AgentScanEvery time.Duration
	// PlanEvery is the interval of checks whether a round of placement is due.
	PlanEvery time.Duration
	// ResendEvery is the interval at which an unanswered start or stop is
	// sent again. The interval doubles with further failed exchanges, up to
	// maxResendPause.
	ResendEvery time.Duration
	// StoreTimeout bounds one request to the table service.
	StoreTimeout time.Duration
	// MaxFailures is the number of failed runs after which a job ends as failed.
	MaxFailures int
	// Retain is the number of ended jobs (final, but not parked) that a shard's
	// owner keeps in memory.
	Retain int
	// JobRetention is the least time for which rows of ended jobs are kept, with
	// their results and checkpoints.
	JobRetention time.Duration
}

func (c Config) withDefaults() Config {
	for _, d := range []struct {
		value *time.Duration
		std   time.Duration
	}{
		{&c.ShardLease, DefaultShardLease},
		{&c.LeaseMargin, DefaultLeaseMargin},
		{&c.FlushEvery, DefaultFlushEvery},
		{&c.ScanEvery, DefaultScanEvery},
		{&c.AgentScanEvery, DefaultAgentScan},
		{&c.PlanEvery, DefaultPlanEvery},
		{&c.ResendEvery, DefaultResendEvery},
		{&c.StoreTimeout, DefaultStoreTimeout},
		{&c.JobRetention, DefaultJobRetention},
	} {
		if *d.value <= 0 {
			*d.value = d.std
		}
	}
	if c.MaxFailures <= 0 {
		c.MaxFailures = DefaultMaxFailures
	}
	if c.Retain <= 0 {
		c.Retain = DefaultRetain
	}
	return c
}

// Deps are the dependencies of a Manager. All but Events are required.
type Deps struct {
	Table     infra.Table
	Objects   infra.Objects
	Directory Directory
	Contracts Contracts
	Peers     wire.Dialer
	Placer    Placer
	Events    structs.Recorder
	Log       zerolog.Logger
}
