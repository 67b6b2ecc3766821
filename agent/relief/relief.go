// Package relief keeps batch tasks from disturbing the services of an instance. It
// learns how much each kind of task disturbs each service, from the tasks that ran
// in each measured window. It throttles tasks first and evicts them last.
package relief

import (
	"context"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"persimmonrock.example/agent/ledger"
	"persimmonrock.example/agent/tasks"
	"persimmonrock.example/decide"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Tuning of the controller.
const (
	// Every is the time between checks and the length of the measured window.
	Every = time.Second
	// historyRetention is the time for which the history of tasks is kept.
	historyRetention = time.Minute
)

// StepRelief marks an applied action in a job's timeline.
const StepRelief structs.Step = "task-relief"

// Controller throttles and evicts the tasks of one instance.
type Controller struct {
	ledger      *ledger.Ledger
	tasks       *tasks.Manager
	events      structs.Recorder
	log         zerolog.Logger
	memoryBytes int64

	mu        sync.Mutex
	start     time.Time
	lastCheck time.Duration
	history   *decide.History
	model     *decide.Interference
	state     decide.ReliefTracker
	buffer    []decide.KindCount
	samples   samples
}

// New returns a controller for an instance with the given memory in bytes, and
// sets m.Changed to track the speeds of the tasks of m.
func New(l *ledger.Ledger, m *tasks.Manager, memoryBytes int64, events structs.Recorder, log zerolog.Logger) *Controller {
	c := &Controller{
		ledger: l, tasks: m, events: events, log: log, memoryBytes: memoryBytes, start: time.Now(),
		history: decide.NewHistory(historyRetention), model: decide.NewInterference(), samples: newSamples(),
	}
	m.Changed = c.recordSpeedChange
	return c
}

// recordSpeedChange records that the total speed of the tasks of kind k changed
// by delta.
func (c *Controller) recordSpeedChange(k structs.Kind, delta float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.history.Add(time.Since(c.start), k, delta)
}

// Run checks the instance every Every until ctx ends.
func (c *Controller) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(Every):
			c.check(ctx)
		}
	}
}

func (c *Controller) check(ctx context.Context) {
	windows := c.ledger.Windows()
	running := c.tasks.States()
	for i := range running {
		running[i].Borrowed = c.ledger.Borrows(running[i].Customer)
	}
	actions := c.decide(windows, running, c.ledger.Owed())
	for _, a := range actions {
		if !c.tasks.Apply(ctx, a) {
			continue
		}
		c.events.Record(structs.Event{Step: StepRelief, Job: a.Job, Epoch: a.Epoch, Detail: string(a.Kind) + ": " + a.Reason})
		if a.Kind == decide.ActionEvict {
			c.log.Info().Str("job", string(a.Job)).Str("reason", a.Reason).Msg("task eviction requested")
		}
	}
}

// decide learns from the windows and returns the actions to take.
func (c *Controller) decide(windows []ledger.Window, running []decide.RunningTask, owed ledger.Owed) []decide.Action {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Since(c.start)
	state := decide.ReliefState{Tasks: running, MemoryBytes: c.memoryBytes, SlotsOwed: owed.Slots, CallsOwed: owed.Calls}
	for _, w := range windows {
		c.history.SetLoad(now, w.Service, w.InUse)
		c.learn(now, w)
		state.Services = append(state.Services, decide.ServicePressure{
			Service: w.Service, Target: w.Target, Time: w.Median, InUse: w.InUse, Slots: w.Slots,
		})
	}
	c.lastCheck = now
	return append([]decide.Action(nil), decide.Relieve(now, state, c.model, &c.state)...)
}

// learn adds a sample of the calls of w and the tasks that ran beside them. Tasks are
// counted from one median duration before w, since calls may have begun before w.
func (c *Controller) learn(now time.Duration, w ledger.Window) {
	if w.Calls == 0 || c.lastCheck == 0 {
		return
	}
	from := max(0, c.lastCheck-w.Median)
	together, inUse, ok := c.history.Window(now, from, now, w.Service, c.buffer)
	c.buffer = together
	if !ok {
		return
	}
	sample := decide.Sample{
		Service: w.Service, Band: decide.BandOf(int(inUse+0.5), w.Slots),
		ServiceTime: w.Median, Calls: w.Calls, Together: together,
	}
	if c.model.Observe(sample) {
		c.samples.record(now, sample)
	}
}

// Sample returns at most one unsent measurement and records its number in sent.
func (c *Controller) Sample(sent Sent) []wire.Sample {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.samples.next(sent)
}

// Counters returns the counts of learnt and dropped samples.
func (c *Controller) Counters() decide.InterferenceCounters {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.model.Counters()
}
