package agent

import (
	"net/http"
	"runtime"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"
	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Config describes one agent. Instance, Address and Seeds are required.
type Config struct {
	Instance structs.InstanceID
	Zone     structs.DataCentre
	// Address is the agent's address for entries.
	Address string
	// Seeds are the addresses of the entries to which the agent reports at
	// first; their answers name the other entries.
	Seeds []string
	// Total is the instance's capacity.
	Total structs.Resources
	// Kinds are the kinds of batch tasks that the instance runs; an empty list
	// means all kinds.
	Kinds []structs.Kind
	// Lease is the time for which the agent's tasks may run after a renewal of
	// its lease row was sent. See docs/notes/agent-leases.md.
	Lease time.Duration
	// WorkerLease is the time for which the worker runs a task without a
	// renewal.
	WorkerLease time.Duration
	// MaxBody bounds the body of a request and of an answer, in bytes.
	MaxBody int64
	// AnnounceEvery is the time between a backend server's announcements. When
	// the last one is older than AnnounceTimeout, the server gets no new calls.
	AnnounceEvery, AnnounceTimeout time.Duration
	// Settle is the time after its start in which the agent admits nothing, so
	// that every backend server can announce what it still runs. The default is
	// twice AnnounceEvery.
	Settle time.Duration
	// Notice bounds the time for which a planned stop waits for the entries to
	// acknowledge it, and the time for which it tries to release the lease.
	Notice time.Duration
	// Timeout bounds one exchange with a worker, a store or an entry.
	Timeout time.Duration
}

// Defaults of a Config.
const (
	DefaultSlots         = 8
	DefaultConnections   = 64
	DefaultMemoryBytes   = 16 << 30
	DefaultLease         = 10 * time.Minute
	DefaultWorkerLease   = 15 * time.Second
	DefaultMaxBody       = 16 << 20
	DefaultAnnounceEvery = time.Second
	DefaultNotice        = 3 * time.Second
	DefaultTimeout       = 5 * time.Second
	// missedAnnouncements is the number of announcements a server may miss.
	missedAnnouncements = 4
	// settleAnnouncements is the default of Settle in announcement intervals.
	settleAnnouncements = 2
	// serverRetention is the age of the last announcement above which an idle
	// server is removed.
	serverRetention = 10 * time.Minute
)

// WithDefaults returns c with the defaults in place of zeroes. MilliCores
// defaults to the machine's processors.
func (c Config) WithDefaults() Config {
	setDefault(&c.Total.Slots, DefaultSlots)
	setDefault(&c.Total.Connections, DefaultConnections)
	setDefault(&c.Total.MemoryBytes, DefaultMemoryBytes)
	setDefault(&c.Total.MilliCores, 1000*runtime.NumCPU())
	setDefault(&c.Lease, DefaultLease)
	setDefault(&c.WorkerLease, min(DefaultWorkerLease, c.Lease/6))
	setDefault(&c.MaxBody, DefaultMaxBody)
	setDefault(&c.AnnounceEvery, DefaultAnnounceEvery)
	setDefault(&c.AnnounceTimeout, missedAnnouncements*c.AnnounceEvery)
	setDefault(&c.Settle, settleAnnouncements*c.AnnounceEvery)
	setDefault(&c.Notice, DefaultNotice)
	setDefault(&c.Timeout, DefaultTimeout)
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// minLeases is the least ratio of Lease to WorkerLease: two worker leases are
// reserved for a late renewal, the rest let tasks survive a store outage.
const minLeases = 4

func (c Config) check() error {
	switch {
	case c.Instance == "":
		return eris.New("agent: instance: want a name")
	case c.Address == "":
		return eris.New("agent: address: want ip:port")
	case c.Lease < minLeases*c.WorkerLease:
		return eris.Errorf("agent: lease: want at least %d times worker_lease (%s)", minLeases, c.WorkerLease)
	}
	return nil
}

// Deps are an agent's dependencies. Events and HTTP may be nil; Log may be the
// zero Logger.
type Deps struct {
	Table   infra.Table
	Objects infra.Objects
	Worker  infra.Worker
	Peers   wire.Dialer
	Events  structs.Recorder
	Log     zerolog.Logger
	// HTTP reaches the backend server; it must not limit a call's time.
	HTTP *http.Client
}

// selector is a Recorder that can be read, such as the process's time line.
type selector interface {
	Select(structs.RequestID, structs.JobID, uint64) []structs.Event
}
