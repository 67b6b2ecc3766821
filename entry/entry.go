// Package entry assembles one entry process: callers' and operators' HTTP
// interface, the urgent path, the queue shards it owns, and what it serves to
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

// Config is what one entry is told by its settings.
type Config struct {
	ID   structs.EntryID
	Zone structs.DataCentre
	// Address is the advertised RPC address.
	Address string
	// Seeds are RPC addresses of other entries, for the time before the table
	// service has been read.
	Seeds []string
	// OperatorKeyHashes are the hex SHA-256 hashes of the operators' keys.
	OperatorKeyHashes []string
	// MaxBody is the greatest request body in bytes.
	MaxBody int64
	// ConfigPoll is the pause between two reads of the revision.
	ConfigPoll time.Duration
	// ShardLease is the length of a queue shard's lease.
	ShardLease time.Duration
	// Heartbeat is the shortest time between two reports of one agent; 0 means
	// directory.MinHeartbeat.
	Heartbeat time.Duration
	// AgentScan is the time between two looks at the agents' lease rows.
	AgentScan time.Duration
	// CallRetention is how long the record of a keyed call is kept at least; 0
	// means DefaultCallRetention.
	CallRetention time.Duration
	// JobRetention is how long final jobs are kept at least.
	JobRetention time.Duration
}

// Steps of the time line.
const (
	StepDraining structs.Step = "entry-draining"
	StepDrained  structs.Step = "entry-drained"
)

// DefaultMaxBody is the limit of request bodies where none is set.
const DefaultMaxBody = 1 << 20

// DefaultCallRetention is how long records of keyed calls are kept where it
// isn't set.
const DefaultCallRetention = 24 * time.Hour

// Timeline is the part of a process's event ring that an entry needs.
type Timeline interface {
	structs.Recorder
	Select(request structs.RequestID, job structs.JobID, after uint64) []structs.Event
}

// Deps are what an entry works with.
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

// New returns an entry that does nothing until Run.
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
		e.directory.SetPace(c.Heartbeat)
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
		Table: d.Table, Objects: d.Objects, Directory: agentsOf{e.directory, e.members}, Contracts: e.contracts,
		Peers: d.Peers, Placer: newPlacer(e.learnt, e.contracts), Events: d.Events, Log: d.Log,
	})
	return e
}

func random() uint64 {
	var b [8]byte
	crand.Read(b[:])
	return binary.LittleEndian.Uint64(b[:])
}

// sweepEvery is how often silent agents are looked for.
const sweepEvery = time.Second

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
	ticker := time.NewTicker(sweepEvery)
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

// ownsCustomer reports whether this entry owns the customer's queue shard, and
// so looks after its records.
func (e *Entry) ownsCustomer(c structs.Customer) bool {
	return e.batch.Owner(structs.ShardOf(c)) == e.config.Address
}

// Ready returns nil once the entry may be given requests: it has a
// configuration and no planned stop has begun.
func (e *Entry) Ready() error {
	switch {
	case e.requests.closing():
		return errors.New("a planned stop has begun")
	case e.contracts.Config().Revision == 0:
		return errors.New("no configuration has been read yet")
	}
	return nil
}

// lastCalls is how long a planned stop goes on answering before its sockets
// may be closed.
//
// Failure guarded against: a caller sends its next request on a connection
// that was kept open, just as the server closes it; the caller sees a reset.
// During lastCalls each such request gets a refusal that closes the connection
// in order, and the balancer sees that the entry is not ready.
const lastCalls = time.Second

// Drain carries out a planned stop: it refuses new requests with proof that
// they did not run, lets those in progress finish, writes what is pending and
// hands its queue shards over. Run must still be running.
func (e *Entry) Drain(ctx context.Context) error {
	e.requests.close()
	last := time.After(lastCalls)
	e.deps.Events.Record(structs.Event{Step: StepDraining})
	e.deps.Log.Info().Msg("planned stop: no new requests")
	err := e.handOver(ctx)
	select {
	case <-last:
	case <-ctx.Done():
	}
	e.deps.Events.Record(structs.Event{Step: StepDrained})
	return err
}

// handOver waits for what is in progress and gives up what this entry owns.
// An error of one part does not keep the others from being handed over.
func (e *Entry) handOver(ctx context.Context) error {
	return errors.Join(
		eris.Wrap(e.requests.wait(ctx), "wait for requests in progress"),
		eris.Wrap(e.urgent.Records().Wait(ctx), "write the ends of keyed calls"),
		eris.Wrap(e.batch.Drain(ctx), "hand over the queue shards"),
		eris.Wrap(e.members.Leave(ctx), "delete the own row"),
	)
}

// agentsOf shows the directory to package batch in its own terms.
type agentsOf struct {
	*directory.Directory
	members *directory.Members
}

// Agents implements batch.Directory.
func (a agentsOf) Agents() []batch.AgentView {
	known := a.Directory.Agents()
	out := make([]batch.AgentView, 0, len(known))
	for _, k := range known {
		out = append(out, batch.AgentView{Instance: k.Instance, Zone: k.Zone, Address: k.Address, Lease: k.Lease, Load: k.Load, Age: k.Age})
	}
	return out
}

// Entries implements batch.Directory.
func (a agentsOf) Entries() []structs.EntryID { return a.members.Alive() }

// Observe implements batch.Directory.
func (a agentsOf) Observe(l wire.Load) { a.Update(l) }
