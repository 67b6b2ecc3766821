package urgent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/entry/directory"
	"persimmonrock.example/entry/model"
	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Steps that are recorded as events.
const (
	StepReceived structs.Step = "call-received"
	StepSent     structs.Step = "call-sent"
	StepAnswered structs.Step = "call-answered"
	StepRefused  structs.Step = "call-refused"

	StepAgentSilent   structs.Step = "agent-silent"
	StepAgentReturned structs.Step = "agent-returned"
)

// Directory is the part of the agent directory that this package uses.
type Directory interface {
	Service(s structs.Service) (agents []directory.Agent, known bool)
	Begin(id structs.InstanceID) (end func())
	Age(id structs.InstanceID) (age time.Duration, known bool)
	Suspect(id structs.InstanceID)
	// SetUnresponsive excludes an agent until it sends a message, or, with
	// false, ends the exclusion.
	SetUnresponsive(id structs.InstanceID, unresponsive bool)
	Update(l wire.Load)
}

// Counters counts calls and attempts.
type Counters struct {
	Calls, Answered, Refused, Attempts, Retries atomic.Int64
	NotRun, Unknown                             atomic.Int64
	// Mismatched counts replies that carried another request's ID.
	Mismatched atomic.Int64
	// Hedges counts second attempts parallel to a slow first one, HedgesWon
	// those that answered first.
	Hedges, HedgesWon atomic.Int64
	// Dropped counts replies that arrived after their call had ended.
	Dropped atomic.Int64
}

// Server serves urgent calls for one entry.
type Server struct {
	dir       Directory
	peers     wire.Dialer
	records   *Records
	liveness  *liveness
	stop      context.CancelFunc
	zone      structs.DataCentre
	model     *model.Shared
	budget    *Budgets
	latencies *latencies
	events    structs.Recorder
	log       zerolog.Logger
	random    func() uint64

	Counters Counters
}

// Deps are the dependencies of a Server.
type Deps struct {
	Directory Directory
	Peers     wire.Dialer
	Table     infra.Table
	// Epochs provides the retention epochs that determine when the records of
	// keyed calls may be deleted.
	Epochs Epochs
	Zone   structs.DataCentre
	Model  *model.Shared
	Events structs.Recorder
	Log    zerolog.Logger
	// Random returns an unpredictable number that spreads the choices of agents.
	Random func() uint64
}

// New returns a Server.
func New(d Deps) *Server {
	lifetime, stop := context.WithCancel(context.Background())
	return &Server{
		dir: d.Directory, peers: d.Peers, records: NewRecords(d.Table, d.Epochs, d.Events, d.Log),
		liveness: newLiveness(lifetime, d), stop: stop, zone: d.Zone,
		model: d.Model, budget: NewBudgets(), latencies: newLatencies(), events: d.Events, log: d.Log, random: d.Random,
	}
}

// Records returns the store of keyed calls' records. The entry must run
// Records.Sweep.
func (s *Server) Records() *Records { return s.records }

// Close ends the background work of s.
func (s *Server) Close() {
	s.stop()
	s.records.Close()
}

// LivenessChecks returns the number of liveness checks, and of those without an
// answer in time.
func (s *Server) LivenessChecks() (checks, unresponsive int64) {
	return s.liveness.Checks.Load(), s.liveness.Unresponsive.Load()
}
