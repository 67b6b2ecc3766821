package batch

import (
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// AgentView is what the entry last heard of one agent.
type AgentView struct {
	Instance structs.InstanceID
	Zone     structs.DataCentre
	Address  string
	// Lease is the incarnation of the agent's batch lease; 0 without one, and
	// then no claim may name it.
	Lease structs.Incarnation
	Load  wire.Load
	// Age is the time since Load was received.
	Age time.Duration
}

// Directory is the entry's view of agents and of the other entries.
type Directory interface {
	// Agents returns the agents that were heard of recently.
	Agents() []AgentView
	// Entries returns the entries that are believed alive, this one included.
	Entries() []structs.EntryID
	// Observe takes a load that rode on an answer of an agent.
	Observe(load wire.Load)
}

// Contracts gives the configuration in force at this entry.
type Contracts interface {
	Contract(structs.Customer) (structs.Contract, bool)
	Config() structs.Config
}

// Snapshot is what a placement is decided on.
type Snapshot struct {
	// Queue holds the queued jobs that may start, oldest first within a
	// customer.
	Queue []structs.Job
	// Agents have the claims that are still on their way to them subtracted
	// from Load.Free.
	Agents []AgentView
	// HeldSlots is what the running tasks of each customer hold.
	HeldSlots map[structs.Customer]int
	// ShareSlots is each customer's share of all slots; Queue names no
	// customer that is not in it.
	ShareSlots map[structs.Customer]int
	// Max bounds the number of claims.
	Max int
}

// Placement is the decision on one queued job.
type Placement struct {
	Job structs.JobID
	// Instance is where the job shall run; "" leaves it queued with Reason.
	Instance structs.InstanceID
	// Borrowed allows the claim to go beyond the customer's share.
	Borrowed bool
	// Park takes the job out of the queue for good, with Reason.
	Park   bool
	Reason string
}

// End is what the placer learns from the end of a claim.
type End struct {
	Job      structs.Job
	Instance structs.InstanceID
	End      wire.TaskEnd
	Used     structs.Resources
	// Ran is how long the claim ran, 0 if unknown.
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

// Config is the setting of a Manager. A zero duration or number takes its
// default.
type Config struct {
	Entry structs.EntryID
	// Address is this entry's own RPC address, "ip:port".
	Address string
	// ShardLease is how long a shard row must stay unchanged, in the sight of
	// another entry, before that entry may take the shard over.
	ShardLease time.Duration
	// LeaseMargin is added to every lease length that this entry waits out.
	LeaseMargin time.Duration
	// FlushEvery is how long changes of a shard are gathered.
	FlushEvery time.Duration
	// ScanEvery is the interval of reading the shard rows.
	ScanEvery time.Duration
	// AgentScanEvery is the interval of reading the agents' lease rows.
	AgentScanEvery time.Duration
	// PlanEvery is the interval of placement while jobs are queued.
	PlanEvery time.Duration
	// ResendEvery is the interval at which an unanswered start or stop is
	// sent again.
	ResendEvery time.Duration
	// StoreTimeout bounds one attempt at the table service.
	StoreTimeout time.Duration
	// MaxFailures is the number of failed runs after which a job is failed.
	MaxFailures int
	// Retain is the number of final jobs that a shard keeps in memory.
	Retain int
	// JobRetention is how long rows of final jobs are kept at least, with their
	// results and checkpoints.
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

// Deps is what a Manager works with. All are required.
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
