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

// Steps of the time line.
const (
	StepReceived structs.Step = "call-received"
	StepSent     structs.Step = "call-sent"
	StepAnswered structs.Step = "call-answered"
	StepRefused  structs.Step = "call-refused"

	StepAgentSilent   structs.Step = "agent-silent"
	StepAgentReturned structs.Step = "agent-returned"
)

// Directory is what this package needs to know of agents.
type Directory interface {
	Service(s structs.Service) (agents []directory.Agent, known bool)
	Begin(id structs.InstanceID) (end func())
	Age(id structs.InstanceID) (age time.Duration, known bool)
	Suspect(id structs.InstanceID)
	// SetSilent passes an agent over until it is heard, or no longer.
	SetSilent(id structs.InstanceID, silent bool)
	Update(l wire.Load)
}

// Counters of the urgent path.
type Counters struct {
	Calls, Answered, Refused, Attempts, Retries atomic.Int64
	NotRun, Unknown                             atomic.Int64
	// Mismatched counts replies that carried another request's ID.
	Mismatched atomic.Int64
	// Hedges counts second attempts beside a slow first one, HedgesWon those
	// that answered first.
	Hedges, HedgesWon atomic.Int64
	// Dropped counts answers that came after another attempt's.
	Dropped atomic.Int64
}

// Server serves urgent calls for one entry.
type Server struct {
	dir       Directory
	peers     wire.Dialer
	records   *Records
	liveness  *liveness
	end       context.CancelFunc
	zone      structs.DataCentre
	model     *model.Shared
	budget    *Budgets
	latencies *latencies
	events    structs.Recorder
	log       zerolog.Logger
	random    func() uint64

	Counters Counters
}

// Deps are what a Server works with.
type Deps struct {
	Directory Directory
	Peers     wire.Dialer
	Table     infra.Table
	// Epochs stamps the records of keyed calls.
	Epochs Epochs
	Zone   structs.DataCentre
	Model  *model.Shared
	Events structs.Recorder
	Log    zerolog.Logger
	// Random returns an unpredictable number; it spreads choices and retries.
	Random func() uint64
}

// New returns a Server.
func New(d Deps) *Server {
	life, end := context.WithCancel(context.Background())
	return &Server{
		dir: d.Directory, peers: d.Peers, records: NewRecords(d.Table, d.Epochs, d.Events, d.Log),
		liveness: newLiveness(life, d), end: end, zone: d.Zone,
		model: d.Model, budget: NewBudgets(), latencies: newLatencies(), events: d.Events, log: d.Log, random: d.Random,
	}
}

// Records returns the store of keyed calls, whose background work the entry
// runs.
func (s *Server) Records() *Records { return s.records }

// Close ends the background work of s.
func (s *Server) Close() {
	s.end()
	s.records.Close()
}

// LivenessChecks returns how many agents that owed an answer were asked whether
// they are there, and how many of them did not say so in time.
func (s *Server) LivenessChecks() (asked, silent int64) {
	return s.liveness.Checks.Load(), s.liveness.Silent.Load()
}
