// Package machines is a stand-in of the users' machines in one process: their
// store, their workers and the network between the programs, with the faults
// that they have. It runs the code of entries and agents as it is, over
// connections in memory, so that whole days of jobs can be played in the fake
// time of testing/synctest. Rules watches what must never happen.
package machines

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
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
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// Options describe a world.
type Options struct {
	Seed     uint64
	Entries  int
	Machines int
	// Power is the processor of each entry's machine in cores; an entry
	// without one has none named.
	Power []float64
	// DataCentres is the number of data centres, dc-0 and so on, to which the
	// workers belong in turn; 0 gives them none.
	DataCentres int
	// Capacity is that of each worker.
	Capacity workload.Resources
	// BackAfter is how long a worker that was crashed by a run is away; 0
	// stands for three seconds.
	BackAfter time.Duration
	// Outcome tells how runs behave.
	Outcome func(workload.RunID) Outcome
	// Log takes the programs' logs; nil drops them.
	Log io.Writer
	// LogLines bounds the lines of a process in a second; 0 does not.
	LogLines int
}

// usuallyBack is how long a worker is away that was crashed by a run.
const usuallyBack = 3 * time.Second

func (o Options) backAfter() time.Duration { return cmp.Or(o.BackAfter, usuallyBack) }

// World is a deployment.
type World struct {
	Store *memstore.Store
	Rules *Rules
	// advisor is the policy service.
	advisor *advisor
	opt     Options
	began   time.Time
	log     zerolog.Logger

	mu      sync.Mutex
	entries []*Entry
	agents  []*Agent
	servers map[string]*server
	cut     map[string]bool
	// hidden lists the machines that can't read the operator's rows.
	hidden map[string]bool
	lives  int
	closed bool
	// configs is what the operator has confirmed; nil before the first one.
	configs *configWatch
}

// server is what listens at an address.
type server struct {
	rpc   *rpc.Server
	conns map[net.Conn]bool
}

// Service is the service of all workers of a world.
const Service = "svc"

// dialSilence is how long a dial to a machine that is gone hangs.
const dialSilence = 600 * time.Millisecond

// heartbeat is the time between two reports of a worker.
const heartbeat = 1100 * time.Millisecond

// configSilence bounds the silence of the store in one attempt to read the
// operator's rows.
const configSilence = 10 * time.Second

// grant is the grant of the scheduler.
const grant = 6 * time.Second

// New returns a world whose programs run.
func New(opt Options) *World {
	w := &World{
		Store: memstore.New(opt.Seed), Rules: NewRules(), advisor: newAdvisor(), opt: opt, began: time.Now(), log: zerolog.Nop(),
		servers: map[string]*server{}, cut: map[string]bool{}, hidden: map[string]bool{},
	}
	w.Rules.readsFineFor = w.Store.ReadsFineFor
	if opt.Log != nil {
		w.log = zerolog.New(opt.Log).With().Timestamp().Logger()
	}
	for i := range opt.Entries {
		e := &Entry{world: w, Node: fmt.Sprintf("entry-%d", i)}
		w.entries = append(w.entries, e)
		e.Start()
	}
	for i := range opt.Machines {
		a := &Agent{world: w, Node: fmt.Sprintf("machine-%d", i), dataCentre: w.DataCentre(i)}
		w.agents = append(w.agents, a)
		a.NewWorker()
		a.Start()
	}
	return w
}

// logOf is the log of a new process of a machine.
func (w *World) logOf(node string) zerolog.Logger {
	log := w.log.With().Str("process", node).Logger()
	if w.opt.LogLines == 0 {
		return log
	}
	return log.Hook(&logs.Limit{PerSecond: w.opt.LogLines, Tell: logs.TellLeftOut(log)})
}

func (w *World) isClosed() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closed
}

// Close ends all programs and workers.
func (w *World) Close() {
	w.mu.Lock()
	w.closed = true
	w.mu.Unlock()
	for _, e := range w.entries {
		e.Kill()
	}
	for _, a := range w.agents {
		a.Kill()
		a.Worker().Crash()
	}
	// What is still on its way ends within the longest time-out.
	time.Sleep(time.Minute)
}

// KillAll ends all programs at once. The workers live on.
func (w *World) KillAll() {
	for _, e := range w.entries {
		e.Kill()
	}
	for _, a := range w.agents {
		a.Kill()
	}
}

// StartAll starts all programs that do not run.
func (w *World) StartAll() {
	for _, e := range w.entries {
		e.Start()
	}
	for _, a := range w.agents {
		a.Start()
	}
}

// Entries and Agents are the programs.
func (w *World) Entries() []*Entry { return w.entries }

// Agents returns the agents.
func (w *World) Agents() []*Agent { return w.agents }

// HideOperator sets whether a machine can't read the operator's rows, though it
// reaches the rest of the store.
func (w *World) HideOperator(node string, hidden bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.hidden[node] = hidden
}

func (w *World) isHidden(node string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.hidden[node]
}

// DataCentre names the data centre of the n-th machine.
func (w *World) DataCentre(n int) string {
	if w.opt.DataCentres == 0 {
		return ""
	}
	return fmt.Sprintf("dc-%d", n%w.opt.DataCentres)
}

// Drain drains a data centre, or takes that back. The operator reaches the
// store whatever its faults.
func (w *World) Drain(dataCentre string, drained bool) {
	key := rowstore.Key{Table: operatorRows.Key.Table, Key: drainKey + dataCentre}
	txn := rowstore.Txn{Deletes: []rowstore.Key{key}}
	if drained {
		txn = rowstore.Txn{Puts: []rowstore.Put{{Key: key, Value: []byte("{}")}}}
	}
	must(w.Store.ApplyNow(txn))
	w.Rules.drain(dataCentre, drained)
}

// Leader returns the entry whose scheduler leads, or nil.
func (w *World) Leader() *Entry {
	for _, e := range w.entries {
		if p := e.current(); p != nil && p.elector.Term() != nil {
			return e
		}
	}
	return nil
}

// leaderBut is Leader among the entries other than one that is cut off, which
// does not know yet that its term is over.
func (w *World) leaderBut(gone *Entry) *Entry {
	for _, e := range w.entries {
		if p := e.current(); e != gone && p != nil && p.elector.Term() != nil {
			return e
		}
	}
	return nil
}

// runningOn returns the machine on which a run of the job is, or nil.
func (w *World) runningOn(id workload.JobID) *Agent {
	for _, a := range w.agents {
		for _, r := range a.Worker().Running() {
			if r.Task.Job == id {
				return a
			}
		}
	}
	return nil
}

// power is the processor of an entry's machine.
func (w *World) power(e *Entry) float64 {
	for i, x := range w.entries {
		if x == e && i < len(w.opt.Power) {
			return w.opt.Power[i]
		}
	}
	return 0
}

// now is a clock of the world.
func (w *World) now() time.Duration { return time.Since(w.began) + time.Second }

// Cut cuts a machine off from all others, or heals the cut.
func (w *World) Cut(node string, cut bool) {
	w.Rules.Cut()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[node] = cut
}

func (w *World) isCut(nodes ...string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range nodes {
		if w.cut[n] {
			return true
		}
	}
	return false
}

var errNoRoute = errors.New("no route")

// link is how the programs of node reach an address.
func (w *World) link(node string) func(string) *dispatch.Link {
	return func(address string) *dispatch.Link {
		return dispatch.NewLinkOver(address, func(context.Context) (net.Conn, error) {
			return w.dial(node, address)
		})
	}
}

func (w *World) dial(from, to string) (net.Conn, error) {
	if w.isCut(from, to) {
		time.Sleep(dialSilence)
		return nil, errNoRoute
	}
	time.Sleep(time.Millisecond)
	near, far := newPipe(func() bool { return w.isCut(from, to) })
	w.mu.Lock()
	s := w.servers[to]
	if s == nil {
		w.mu.Unlock()
		return nil, syscall.ECONNREFUSED
	}
	s.conns[far] = true
	w.mu.Unlock()
	go func() {
		s.rpc.ServeConn(far)
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(s.conns, far)
	}()
	return near, nil
}

// listen serves at an address, instead of what listened there.
func (w *World) listen(address string, r *rpc.Server) *server {
	w.mu.Lock()
	defer w.mu.Unlock()
	s := &server{rpc: r, conns: map[net.Conn]bool{}}
	w.servers[address] = s
	return s
}

// unlisten ends a server, and not the one that has taken its address since.
func (w *World) unlisten(address string, s *server) {
	if s == nil {
		return
	}
	w.mu.Lock()
	if w.servers[address] == s {
		delete(w.servers, address)
	}
	conns := slices.Collect(maps.Keys(s.conns))
	w.mu.Unlock()
	for _, c := range conns {
		_ = c.Close() // a pipe always closes
	}
}
