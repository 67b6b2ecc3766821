// Package machines simulates the users' machines in one process: their store,
// their workers and the network between the programs, with their faults. It
// runs the unmodified code of entries and agents over connections in memory, so
// that whole days of jobs can be simulated in the fake time of
// testing/synctest. Rules checks the invariants.
package machines

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/rpc"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/ops/logs"
	"persimmonrock.example/structs/scheduling"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// Options describe a simulation.
type Options struct {
	Seed     uint64
	Entries  int
	Machines int
	// Power is the processor capacity of each entry's machine in cores; entries
	// beyond the end of the slice report none.
	Power []float64
	// DataCentres is the number of data centres, named dc-0 and so on, to which
	// the workers are assigned round-robin; with 0, workers belong to no data
	// centre.
	DataCentres int
	// Capacity is the capacity of each worker.
	Capacity workload.Resources
	// RestartDelay is the delay before a worker restarts after a run has
	// crashed it; 0 means three seconds.
	RestartDelay time.Duration
	// KeepInstances makes all lives of a machine's worker share one instance
	// identifier.
	KeepInstances bool
	// LateInNextLife makes orders that are carried out late reach the life that
	// the machine's worker then has. Only with KeepInstances may it act on them.
	LateInNextLife bool
	// Policies are the scheduling policies of the entries.
	Policies scheduling.Policies
	// Outcome returns the behaviour of a run.
	Outcome func(workload.RunID) Outcome
	// Log receives the programs' logs; nil discards them.
	Log io.Writer
	// LogLines limits the lines that a process logs per second; 0 means no
	// limit.
	LogLines int
}

const defaultRestartDelay = 3 * time.Second

func (o Options) restartDelay() time.Duration { return cmp.Or(o.RestartDelay, defaultRestartDelay) }

// Simulation is a simulated deployment.
type Simulation struct {
	Store *memstore.Store
	Rules *Rules
	// advisor is the policy service.
	advisor *advisor
	opt     Options
	log     zerolog.Logger

	mu      sync.Mutex
	entries []*Entry
	agents  []*Agent
	servers map[string]*server
	cut     map[string]bool
	// hidden holds the machines that can't read the operator's rows.
	hidden       map[string]bool
	incarnations int
	closed       bool
	// storeCalls counts the calls of the store by machine.
	storeCalls map[string]int
	// configs checks that entries serve the confirmed configurations; nil until
	// one is confirmed.
	configs *configWatch
}

// server is the RPC server of one address.
type server struct {
	rpc   *rpc.Server
	conns map[net.Conn]bool
}

// Service is the name of the service of all simulated workers.
const Service = "svc"

// dialTimeout is the time after which a dial to an unreachable machine fails.
const dialTimeout = 600 * time.Millisecond

// heartbeat is the time between two reports of a worker.
const heartbeat = 1100 * time.Millisecond

// configIdleTimeout bounds the time without data from the store in one attempt
// to read the operator's rows.
const configIdleTimeout = 10 * time.Second

// grant is how long a worker's lease may last after the last contact of its
// agent with the scheduler.
const grant = 6 * time.Second

// clockStarts is the random stream from which the starts of the machines' clocks
// are drawn.
const clockStarts = 5

// New returns a simulation with all its programs running.
func New(opt Options) *Simulation {
	sim := &Simulation{
		Store: memstore.New(opt.Seed), Rules: NewRules(), advisor: newAdvisor(), opt: opt, log: zerolog.Nop(),
		servers: map[string]*server{}, cut: map[string]bool{}, hidden: map[string]bool{},
	}
	sim.Rules.readsHealthyFor = sim.Store.ReadsHealthyFor
	if opt.Log != nil {
		sim.log = zerolog.New(opt.Log).With().Timestamp().Logger()
	}
	starts := rand.New(rand.NewPCG(opt.Seed, clockStarts))
	for i := range opt.Entries {
		e := &Entry{simulation: sim, Node: fmt.Sprintf("entry-%d", i), clock: newSteadyClock(starts)}
		sim.entries = append(sim.entries, e)
		e.Start()
	}
	for i := range opt.Machines {
		a := &Agent{simulation: sim, Node: fmt.Sprintf("machine-%d", i), dataCentre: sim.DataCentre(i), clock: newSteadyClock(starts)}
		sim.agents = append(sim.agents, a)
		a.NewWorker()
		a.Start()
	}
	return sim
}

func (sim *Simulation) newLog(node string) zerolog.Logger {
	log := sim.log.With().Str("process", node).Logger()
	if sim.opt.LogLines == 0 {
		return log
	}
	return log.Hook(&logs.Limit{PerSecond: sim.opt.LogLines, OnLeftOut: logs.LogLeftOut(log)})
}

func (sim *Simulation) isClosed() bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.closed
}

// Close ends all programs and workers.
func (sim *Simulation) Close() {
	sim.mu.Lock()
	sim.closed = true
	sim.mu.Unlock()
	for _, e := range sim.entries {
		e.Kill()
	}
	for _, a := range sim.agents {
		a.Kill()
		a.Worker().Crash()
	}
	// Wait for calls in flight, which end within the longest time-out.
	time.Sleep(time.Minute)
}

// KillAll ends all programs at once. The workers keep running.
func (sim *Simulation) KillAll() {
	for _, e := range sim.entries {
		e.Kill()
	}
	for _, a := range sim.agents {
		a.Kill()
	}
}

// StartAll starts all programs that are not running.
func (sim *Simulation) StartAll() {
	for _, e := range sim.entries {
		e.Start()
	}
	for _, a := range sim.agents {
		a.Start()
	}
}

// Entries returns the entries.
func (sim *Simulation) Entries() []*Entry { return sim.entries }

// Agents returns the agents.
func (sim *Simulation) Agents() []*Agent { return sim.agents }

// HideOperatorRows sets whether a machine can't read the operator's rows. The
// machine can still read the rest of the store.
func (sim *Simulation) HideOperatorRows(node string, hidden bool) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.hidden[node] = hidden
}

func (sim *Simulation) isHidden(node string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.hidden[node]
}

// DataCentre returns the name of the data centre of the n-th machine.
func (sim *Simulation) DataCentre(n int) string {
	if sim.opt.DataCentres == 0 {
		return ""
	}
	return fmt.Sprintf("dc-%d", n%sim.opt.DataCentres)
}

// Drain drains a data centre or revokes its drain. The operator's write
// succeeds whatever faults the store has.
func (sim *Simulation) Drain(dataCentre string, drained bool) {
	key := rowstore.Key{Table: operatorRows.Key.Table, Key: drainKey + dataCentre}
	txn := rowstore.Txn{Deletes: []rowstore.Key{key}}
	if drained {
		txn = rowstore.Txn{Puts: []rowstore.Put{{Key: key, Value: []byte("{}")}}}
	}
	must(sim.Store.ApplyNow(txn))
	sim.Rules.drain(dataCentre, drained)
}

// Leader returns the entry whose scheduler leads, or nil.
func (sim *Simulation) Leader() *Entry {
	for _, e := range sim.entries {
		if p := e.current(); p != nil && p.elector.Term() != nil {
			return e
		}
	}
	return nil
}

// leaderExcept is like Leader but ignores one entry, which is cut off and may
// not have noticed the end of its term.
func (sim *Simulation) leaderExcept(excluded *Entry) *Entry {
	for _, e := range sim.entries {
		if p := e.current(); e != excluded && p != nil && p.elector.Term() != nil {
			return e
		}
	}
	return nil
}

// agentRunning returns an agent whose worker runs a task of the job, or nil.
func (sim *Simulation) agentRunning(id workload.JobID) *Agent {
	for _, a := range sim.agents {
		for _, r := range a.Worker().Running() {
			if r.Task.Job == id {
				return a
			}
		}
	}
	return nil
}

func (sim *Simulation) power(e *Entry) float64 {
	for i, x := range sim.entries {
		if x == e && i < len(sim.opt.Power) {
			return sim.opt.Power[i]
		}
	}
	return 0
}

// Cut cuts a machine off from all others, or reconnects it.
func (sim *Simulation) Cut(node string, cut bool) {
	sim.Rules.Cut()
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.cut[node] = cut
}

func (sim *Simulation) countStoreCall(node string) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if sim.storeCalls == nil {
		sim.storeCalls = map[string]int{}
	}
	sim.storeCalls[node]++
}

// takeStoreCalls returns the calls of the store by machine since the last time.
func (sim *Simulation) takeStoreCalls() map[string]int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	calls := sim.storeCalls
	sim.storeCalls = nil
	return calls
}

func (sim *Simulation) isCut(nodes ...string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, n := range nodes {
		if sim.cut[n] {
			return true
		}
	}
	return false
}

var errNoRoute = errors.New("no route")

// link returns the function that links programs on node to an address.
func (sim *Simulation) link(node string) func(string) *dispatch.Link {
	return func(address string) *dispatch.Link {
		return dispatch.NewLinkWithDial(address, func(context.Context) (net.Conn, error) {
			return sim.dial(node, address)
		})
	}
}

func (sim *Simulation) dial(from, to string) (net.Conn, error) {
	if sim.isCut(from, to) {
		time.Sleep(dialTimeout)
		return nil, errNoRoute
	}
	time.Sleep(time.Millisecond)
	near, far := newPipe(func() bool { return sim.isCut(from, to) })
	sim.mu.Lock()
	s := sim.servers[to]
	if s == nil {
		sim.mu.Unlock()
		return nil, syscall.ECONNREFUSED
	}
	s.conns[far] = true
	sim.mu.Unlock()
	go func() {
		s.rpc.ServeConn(far)
		sim.mu.Lock()
		defer sim.mu.Unlock()
		delete(s.conns, far)
	}()
	return near, nil
}

// listen starts a server at an address and replaces any earlier one.
func (sim *Simulation) listen(address string, r *rpc.Server) *server {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	s := &server{rpc: r, conns: map[net.Conn]bool{}}
	sim.servers[address] = s
	return s
}

// unlisten ends a server. A later server at the same address continues.
func (sim *Simulation) unlisten(address string, s *server) {
	if s == nil {
		return
	}
	sim.mu.Lock()
	if sim.servers[address] == s {
		delete(sim.servers, address)
	}
	conns := slices.Collect(maps.Keys(s.conns))
	sim.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // a pipe always closes
	}
}
