// Package directory holds what one entry knows of agents and other entries.
//
// Agents register by heartbeats; there is no list of backend servers anywhere.
// The directory is an estimate: the agent's own ledger decides on admission.
package directory

import (
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Intervals of heartbeats and limits for agents without contact.
const (
	// MinHeartbeat is the default heartbeat interval while agents are few.
	MinHeartbeat = 2 * time.Second
	// MaxHeartbeat bounds the age of an idle agent's load.
	MaxHeartbeat = 3 * time.Minute
	// overdueHeartbeats is the number of missed heartbeats after which an agent
	// is excluded while others are available: the agent may be paused, and a
	// call to it would wait for its deadline without an answer.
	overdueHeartbeats = 2
	// missedHeartbeats is the number of missed heartbeats until removal.
	missedHeartbeats = 3
	// suspectTime is how long an agent that could not be reached is excluded,
	// unless its heartbeat arrives sooner.
	suspectTime = 2 * time.Second
	// serviceRetention is how long a service stays known without agents.
	serviceRetention = time.Hour
)

// Steps recorded in the time line.
const (
	StepAgentKnown structs.Step = "agent-known"
	StepAgentLost  structs.Step = "agent-lost"
)

// Agent is a copy of the directory's state of one agent.
type Agent struct {
	Instance structs.InstanceID
	Address  string
	Zone     structs.DataCentre
	Load     wire.Load
	// Lease is the incarnation of the agent's batch lease, 0 without a lease.
	Lease    structs.Incarnation
	Revision structs.Revision
	// Age is the time since the agent's last heartbeat or newer load.
	Age time.Duration
	// Outstanding counts calls of this entry that the agent has not answered.
	Outstanding int
	// Suspect agents could not be reached recently or are unresponsive. Overdue
	// agents have sent nothing for overdueHeartbeats intervals.
	Suspect, Overdue bool
}

// record is the directory's internal state of an agent.
type record struct {
	mu    sync.Mutex
	agent Agent
	// lastHello is the last heartbeat. It supplies the parts that the next
	// heartbeat omits. Answers may have brought newer loads since.
	lastHello    wire.HelloRequest
	lastContact  time.Time
	interval     time.Duration
	suspectUntil time.Time
	// unresponsive is set while calls stay unanswered; a heartbeat or newer
	// load clears it.
	unresponsive bool
}

// Directory is safe for concurrent use.
type Directory struct {
	// minInterval is the heartbeat interval while agents are few.
	minInterval time.Duration
	sizes       sizes
	self        string
	peers       wire.Dialer
	events      structs.Recorder
	log         zerolog.Logger

	mu       sync.RWMutex
	agents   map[structs.InstanceID]*record
	services map[structs.Service][]*record
	// withdrawn holds the time of the removal of a service's last agent.
	withdrawn map[structs.Service]time.Time
	seeds     []string
	entries   map[string]bool

	// Stale counts loads that Update dropped, Lost the agents removed for lack
	// of contact, HeartbeatCount the heartbeats.
	Stale          atomic.Int64
	Lost           atomic.Int64
	HeartbeatCount atomic.Int64
}

// New returns an empty directory of the entry at address self; seeds are other
// entries' addresses from the settings.
func New(self string, seeds []string, peers wire.Dialer, events structs.Recorder, log zerolog.Logger) *Directory {
	d := &Directory{
		minInterval: MinHeartbeat,
		self:        self, peers: peers, events: events, log: log,
		agents:    make(map[structs.InstanceID]*record),
		services:  make(map[structs.Service][]*record),
		withdrawn: make(map[structs.Service]time.Time),
		seeds:     seeds,
	}
	d.SetEntries(nil)
	return d
}

// SetHeartbeatInterval sets the interval of heartbeats while agents are few. It
// must precede the first heartbeat.
func (d *Directory) SetHeartbeatInterval(minInterval time.Duration) { d.minInterval = minInterval }

// Hello records an agent's complete heartbeat and returns the time until the
// next.
func (d *Directory) Hello(r wire.HelloRequest) time.Duration {
	d.HeartbeatCount.Add(1)
	rec := d.recordOf(r.Load.Instance)
	interval := d.heartbeatInterval()
	rec.mu.Lock()
	rec.agent.Address = r.Address
	rec.agent.Zone = r.Zone
	rec.agent.Lease = max(rec.agent.Lease, r.Lease)
	rec.agent.Revision = r.Revision
	rec.lastHello = r
	rec.lastContact = time.Now()
	rec.interval = interval
	rec.suspectUntil = time.Time{}
	rec.unresponsive = false
	if r.Load.Process != rec.agent.Load.Process {
		// Sequence numbers are per process; those of a new process start anew.
		rec.agent.Load.Process = r.Load.Process
		rec.agent.Load.Sequence = 0
	}
	rec.mu.Unlock()
	d.Update(r.Load)
	return interval
}

func (d *Directory) recordOf(id structs.InstanceID) *record {
	d.mu.RLock()
	rec := d.agents[id]
	d.mu.RUnlock()
	if rec != nil {
		return rec
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if rec = d.agents[id]; rec == nil {
		rec = &record{agent: Agent{Instance: id}}
		d.agents[id] = rec
		d.events.Record(structs.Event{Step: StepAgentKnown, Peer: string(id)})
		d.log.Info().Str("instance", string(id)).Msg("agent joined the directory")
	}
	return rec
}

// Update records a load, which may have arrived with an answer. A load is
// dropped if it is not newer than the recorded one or comes from another
// process than the last heartbeat. So a delayed answer can't restore an old
// state.
func (d *Directory) Update(l wire.Load) {
	if l.Instance == "" {
		return
	}
	rec := d.recordOf(l.Instance)
	rec.mu.Lock()
	held := rec.agent.Load
	if l.Process != held.Process || l.Sequence <= held.Sequence {
		rec.mu.Unlock()
		d.Stale.Add(1)
		return
	}
	changed := !sameServices(held.Services, l.Services)
	rec.agent.Load = l
	rec.lastContact = time.Now()
	rec.unresponsive = false
	rec.mu.Unlock()
	if changed {
		d.index()
	}
}

func sameServices(a, b []wire.ServiceLoad) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i].Service != b[i].Service {
			return false
		}
	}
	return true
}

// index rebuilds the list of agents of each service, in instance order.
func (d *Directory) index() {
	d.mu.Lock()
	defer d.mu.Unlock()
	services := make(map[structs.Service][]*record)
	for _, id := range sortedInstances(d.agents) {
		rec := d.agents[id]
		rec.mu.Lock()
		for _, s := range rec.agent.Load.Services {
			services[s.Service] = append(services[s.Service], rec)
		}
		rec.mu.Unlock()
	}
	d.recordWithdrawn(services)
	d.services = services
}

// recordWithdrawn records services that lost their last agent and deletes
// expired records.
func (d *Directory) recordWithdrawn(next map[structs.Service][]*record) {
	now := time.Now()
	for s := range d.services {
		if next[s] == nil {
			d.withdrawn[s] = now
		}
	}
	for s, at := range d.withdrawn {
		if next[s] != nil || now.Sub(at) > serviceRetention {
			delete(d.withdrawn, s)
		}
	}
}

func sortedInstances(m map[structs.InstanceID]*record) []structs.InstanceID {
	ids := make([]structs.InstanceID, 0, len(m))
	for id := range m {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// Service returns the agents that offer s. known is false for a service that no
// agent has offered for serviceRetention.
//
// Failure guarded against: all agents of a service are removed for lack of
// contact, and callers are told that the service does not exist, so they don't
// retry.
func (d *Directory) Service(s structs.Service) (agents []Agent, known bool) {
	now := time.Now()
	d.mu.RLock()
	records, known := d.services[s]
	if at, withdrawn := d.withdrawn[s]; withdrawn && now.Sub(at) <= serviceRetention {
		known = true
	}
	d.mu.RUnlock()
	agents = make([]Agent, 0, len(records))
	for _, rec := range records {
		agents = append(agents, rec.view(now))
	}
	return agents, known
}

// Agents returns every known agent in instance order.
func (d *Directory) Agents() []Agent {
	d.mu.RLock()
	records := make([]*record, 0, len(d.agents))
	for _, id := range sortedInstances(d.agents) {
		records = append(records, d.agents[id])
	}
	d.mu.RUnlock()
	now := time.Now()
	agents := make([]Agent, 0, len(records))
	for _, rec := range records {
		agents = append(agents, rec.view(now))
	}
	return agents
}

// Agent returns one agent.
func (d *Directory) Agent(id structs.InstanceID) (Agent, bool) {
	d.mu.RLock()
	rec := d.agents[id]
	d.mu.RUnlock()
	if rec == nil {
		return Agent{}, false
	}
	return rec.view(time.Now()), true
}

func (r *record) view(now time.Time) Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.agent
	a.Age = now.Sub(r.lastContact)
	a.Suspect = r.unresponsive || now.Before(r.suspectUntil)
	a.Overdue = a.Age > overdueHeartbeats*max(r.interval, MinHeartbeat)
	return a
}

// Begin counts a call in flight to id; the returned function ends the count.
func (d *Directory) Begin(id structs.InstanceID) (end func()) {
	rec := d.recordOf(id)
	rec.addOutstanding(1)
	return func() { rec.addOutstanding(-1) }
}

func (r *record) addOutstanding(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.agent.Outstanding += n
}

// Suspect excludes an unreachable agent for suspectTime.
func (d *Directory) Suspect(id structs.InstanceID) {
	rec := d.recordOf(id)
	rec.mu.Lock()
	rec.suspectUntil = time.Now().Add(suspectTime)
	rec.mu.Unlock()
}

// Age returns the time since an agent's last heartbeat or newer load.
func (d *Directory) Age(id structs.InstanceID) (age time.Duration, known bool) {
	a, known := d.Agent(id)
	return a.Age, known
}

// SetUnresponsive excludes an agent until its next heartbeat or newer load;
// false includes it again. A removed agent stays removed.
func (d *Directory) SetUnresponsive(id structs.InstanceID, unresponsive bool) {
	d.mu.RLock()
	rec := d.agents[id]
	d.mu.RUnlock()
	if rec == nil {
		return
	}
	rec.mu.Lock()
	rec.unresponsive = unresponsive
	rec.mu.Unlock()
}

// Sweep removes agents that have sent nothing for missedHeartbeats intervals,
// unless calls to them are in flight.
func (d *Directory) Sweep() {
	now := time.Now()
	lost := 0
	d.mu.Lock()
	for id, rec := range d.agents {
		rec.mu.Lock()
		expired := now.Sub(rec.lastContact) > missedHeartbeats*max(rec.interval, MinHeartbeat)
		busy := rec.agent.Outstanding > 0
		rec.mu.Unlock()
		if expired && !busy {
			delete(d.agents, id)
			lost++
			d.events.Record(structs.Event{Step: StepAgentLost, Peer: string(id)})
			d.log.Warn().Str("instance", string(id)).Msg("agent removed: no contact for several heartbeats")
		}
	}
	d.mu.Unlock()
	if lost > 0 {
		d.Lost.Add(int64(lost))
		d.index()
	}
}
