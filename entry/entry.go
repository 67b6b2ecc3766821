// Package entry assembles one entry process: the HTTP interface of callers and
// operators, the urgent path, the queue shards it owns, and the RPC service for
// agents and other entries.
package entry

import (
	"context"
	"encoding/binary"
	"errors"
	"sync"
	"time"

	crand "crypto/rand"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"persimmonrock.example/entry/batch"
	"persimmonrock.example/entry/contracts"
	"persimmonrock.example/entry/directory"
	"persimmonrock.example/entry/model"
	"persimmonrock.example/entry/retention"
	"persimmonrock.example/entry/urgent"
	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Config holds the settings of one entry.
type Config struct {
	ID   structs.EntryID
	Zone structs.DataCentre
	// Address is the advertised RPC address.
	Address string
	// Seeds are RPC addresses of other entries, known without the table
	// service.
	Seeds []string
	// OperatorKeyHashes are the hex SHA-256 hashes of the operators' keys.
	OperatorKeyHashes []string
	// MaxBody is the largest request body in bytes.
	MaxBody int64
	// ConfigPoll is the pause between two reads of the revision row.
	ConfigPoll time.Duration
	// ShardLease is the length of a queue shard's lease.
	ShardLease time.Duration
	// Heartbeat is the shortest time between two heartbeats of one agent; 0
	// means directory.MinHeartbeat.
	Heartbeat time.Duration
	// AgentScan is the time between two scans of the agents' lease rows.
	AgentScan time.Duration
	// CallRetention is the least time for which the record of a keyed call is
	// kept; 0 means DefaultCallRetention.
	CallRetention time.Duration
	// JobRetention is the least time for which final jobs are kept.
	JobRetention time.Duration
}

// Steps recorded in the time line.
const (
	StepDraining structs.Step = "entry-draining"
	StepDrained  structs.Step = "entry-drained"
)

// DefaultMaxBody is the default of Config.MaxBody.
const DefaultMaxBody = 1 << 20

// DefaultCallRetention is the default of Config.CallRetention.
const DefaultCallRetention = 24 * time.Hour

// Timeline is the part of a process's event ring that an entry needs.
type Timeline interface {
	structs.Recorder
	Select(request structs.RequestID, job structs.JobID, after uint64) []structs.Event
}

// Deps are the dependencies of an entry.
type Deps struct {
	Table   infra.Table
	Objects infra.Objects
	Peers   wire.Dialer
	Events  Timeline
	Log     zerolog.Logger
}

// Entry is one entry process without its listeners.
type Entry struct {
	config    Config
	deps      Deps
	directory *directory.Directory
	members   *directory.Members
	contracts *contracts.Store
	urgent    *urgent.Server
	batch     *batch.Manager
	epochs    *retention.Counter
	learnt    *model.Shared
	started   time.Time

	requests inflight
}

// New returns an entry; Run starts its background work.
func New(c Config, d Deps) *Entry {
	if c.MaxBody == 0 {
		c.MaxBody = DefaultMaxBody
	}
	if c.CallRetention == 0 {
		c.CallRetention = DefaultCallRetention
	}
	e := &Entry{config: c, deps: d, started: time.Now()}
	e.directory = directory.New(c.Address, c.Seeds, d.Peers, d.Events, d.Log)
	if c.Heartbeat > 0 {
		e.directory.SetHeartbeatInterval(c.Heartbeat)
	}
	e.members = directory.NewMembers(c.ID, c.Address, d.Table, e.directory)
	e.contracts = contracts.New(d.Table, e.directory, d.Events, d.Log, contracts.Options{Poll: c.ConfigPoll})
	e.epochs = retention.New(d.Table, "calls", c.CallRetention)
	e.learnt = model.New()
	e.urgent = urgent.New(urgent.Deps{
		Directory: e.directory, Peers: d.Peers, Table: d.Table, Epochs: e.epochs, Zone: c.Zone,
		Model: e.learnt, Events: d.Events, Log: d.Log, Random: random,
	})
	e.batch = batch.New(batch.Config{Entry: c.ID, Address: c.Address, ShardLease: c.ShardLease, AgentScanEvery: c.AgentScan, JobRetention: c.JobRetention}, batch.Deps{
		Table: d.Table, Objects: d.Objects, Directory: agentDirectory{e.directory, e.members}, Contracts: e.contracts,
		Peers: d.Peers, Placer: newPlacer(e.learnt, e.contracts), Events: d.Events, Log: d.Log,
	})
	return e
}

func random() uint64 {
	var b [8]byte
	crand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// sweepInterval is the time between two calls of Directory.Sweep.
const sweepInterval = time.Second

// Run does the entry's background work until ctx ends.
func (e *Entry) Run(ctx context.Context) error {
	var wait sync.WaitGroup
	wait.Go(func() { e.contracts.Run(ctx) })
	wait.Go(func() { e.members.Run(ctx) })
	wait.Go(func() { e.sweep(ctx) })
	wait.Go(func() { e.epochs.Run(ctx) })
	wait.Go(func() { e.urgent.Records().Sweep(ctx, e.ownsCustomer) })
	err := e.batch.Run(ctx)
	wait.Wait()
	e.urgent.Close()
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}

func (e *Entry) sweep(ctx context.Context) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			e.directory.Sweep()
		}
	}
}

// ownsCustomer reports whether this entry owns the customer's queue shard and
// is responsible for the customer's records.
func (e *Entry) ownsCustomer(c structs.Customer) bool {
	return e.batch.Owner(structs.ShardOf(c)) == e.config.Address
}

// Ready returns nil if the entry may receive requests: it has a configuration
// and no planned stop has begun.
func (e *Entry) Ready() error {
	switch {
	case e.requests.closing():
		return errors.New("a planned stop has begun")
	case e.contracts.Config().Revision == 0:
		return errors.New("no configuration has been read yet")
	}
	return nil
}

// refusalPeriod is the least time for which a stopping entry still answers
// before its sockets may be closed.
//
// Failure guarded against: a caller sends its next request on a connection that
// was kept open, just as the server closes the connection; the caller sees a
// reset. During refusalPeriod each such request gets a refusal before the
// connection is closed, and the balancer sees that the entry is not ready.
const refusalPeriod = time.Second

// Drain carries out a planned stop. It refuses new requests with proof that
// they did not run, waits for requests in progress, writes pending records and
// hands its queue shards over. Run must still be running.
func (e *Entry) Drain(ctx context.Context) error {
	e.requests.close()
	refusalsEnd := time.After(refusalPeriod)
	e.deps.Events.Record(structs.Event{Step: StepDraining})
	e.deps.Log.Info().Msg("planned stop begins; new requests are refused")
	err := e.handOver(ctx)
	select {
	case <-refusalsEnd:
	case <-ctx.Done():
	}
	e.deps.Events.Record(structs.Event{Step: StepDrained})
	return err
}

// handOver waits for requests in progress and hands over what this entry owns.
// An error in one step does not prevent the others.
func (e *Entry) handOver(ctx context.Context) error {
	return errors.Join(
		eris.Wrap(e.requests.wait(ctx), "wait for requests in progress"),
		eris.Wrap(e.urgent.Records().Wait(ctx), "write the final records of keyed calls"),
		eris.Wrap(e.batch.Drain(ctx), "hand over the queue shards"),
		eris.Wrap(e.members.Leave(ctx), "delete this entry's membership row"),
	)
}

// agentDirectory adapts the directory to batch.Directory.
type agentDirectory struct {
	*directory.Directory
	members *directory.Members
}

// Agents implements batch.Directory.
func (a agentDirectory) Agents() []batch.AgentView {
	known := a.Directory.Agents()
	out := make([]batch.AgentView, 0, len(known))
	for _, k := range known {
		out = append(out, batch.AgentView{Instance: k.Instance, Zone: k.Zone, Address: k.Address, Lease: k.Lease, Load: k.Load, Age: k.Age})
	}
	return out
}

// Entries implements batch.Directory.
func (a agentDirectory) Entries() []structs.EntryID { return a.members.Alive() }

// Observe implements batch.Directory.
func (a agentDirectory) Observe(l wire.Load) { a.Update(l) }
