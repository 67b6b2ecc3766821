package agent

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Intervals of the heartbeats to one entry.
const (
	minInterval = 50 * time.Millisecond
	// maxInterval is the longest interval that an entry may request.
	maxInterval = 3 * time.Minute
	// firstRetry and lastRetry bound the pause after a failed heartbeat.
	firstRetry = 200 * time.Millisecond
	lastRetry  = 5 * time.Second
	// entryRetention is the time without an answer after which an entry that is
	// not a seed is removed.
	entryRetention = 2 * time.Minute
)

// entries sends heartbeats to every known entry.
type entries struct {
	agent *Agent
	seeds map[string]bool

	mu    sync.Mutex
	known map[string]*entry
	ctx   context.Context
	wait  sync.WaitGroup
	asked atomic.Uint32
}

type entry struct {
	address string
	wakeup  chan struct{}

	mu sync.Mutex
	// acknowledged is the sequence of the last load that the entry confirmed.
	acknowledged uint64
	// kept are the checksums of the heartbeat parts that the entry has kept,
	// entriesSum that of the list of entries that the entry sent last.
	kept       wire.HelloSums
	entriesSum uint64
	// answered is closed and replaced at each answer.
	answered    chan struct{}
	lastContact time.Time

	sampling sampling
}

func newEntries(a *Agent, seeds []string) *entries {
	e := &entries{agent: a, seeds: make(map[string]bool), known: make(map[string]*entry)}
	for _, s := range seeds {
		e.seeds[s] = true
		e.known[s] = newEntry(s)
	}
	return e
}

func newEntry(address string) *entry {
	return &entry{address: address, wakeup: make(chan struct{}, 1), answered: make(chan struct{}), lastContact: time.Now()}
}

func (e *entries) run(ctx context.Context) {
	e.mu.Lock()
	e.ctx = ctx
	for _, one := range e.known {
		e.wait.Go(func() { e.sendHeartbeats(ctx, one) })
	}
	e.mu.Unlock()
	<-ctx.Done()
	e.wait.Wait()
}

func (e *entries) addresses() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]string, 0, len(e.known))
	for address := range e.known {
		out = append(out, address)
	}
	return out
}

// wakeAll sends a heartbeat to every entry now.
func (e *entries) wakeAll() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, one := range e.known {
		one.wake()
	}
}

func (o *entry) wake() {
	select {
	case o.wakeup <- struct{}{}:
	default:
	}
}

// add starts to send heartbeats to those of the entries that are new.
func (e *entries) add(addresses []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, address := range addresses {
		if e.known[address] != nil || address == "" || e.ctx.Err() != nil {
			continue
		}
		one := newEntry(address)
		e.known[address] = one
		e.wait.Go(func() { e.sendHeartbeats(e.ctx, one) })
	}
}

// sendHeartbeats sends heartbeats to one entry at the intervals that its
// answers request.
func (e *entries) sendHeartbeats(ctx context.Context, one *entry) {
	failures := 0
	for {
		next, err := e.heartbeat(ctx, one)
		if err == nil {
			failures = 0
		} else {
			failures++
			e.agent.counters.helloFailed.Add(1)
			next = retryPause(failures)
		}
		if e.dropUnreachable(one) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-one.wakeup:
		case <-time.After(next):
		}
	}
}

// retryPause doubles with each failure and has a random part, so that agents
// don't reconnect to a restarted entry all at once.
func retryPause(failures int) time.Duration {
	pause := min(firstRetry<<min(failures-1, 8), lastRetry)
	return pause/2 + time.Duration(rand.Int64N(int64(pause)))
}

func (e *entries) heartbeat(ctx context.Context, one *entry) (time.Duration, error) {
	a := e.agent
	ctx, cancel := context.WithTimeout(ctx, a.config.Timeout)
	defer cancel()
	held, _ := a.lease.Held(time.Now())
	if !a.ledger.Settled(time.Now()) {
		held = 0 // prevents claims, which the agent would refuse
	}
	load := a.load()
	a.counters.hellos.Add(1)
	request := wire.HelloRequest{
		Address: a.config.Address, Zone: a.config.Zone, Load: load,
		Revision: a.ledger.Revision(), Want: a.contracts.Wants(), Lease: held, Samples: one.sampling.next(a.relief),
	}
	sent := one.omitKept(request)
	reply, err := a.deps.Peers.Entry(one.address).Hello(ctx, sent)
	if err != nil {
		return 0, eris.Wrapf(err, "heartbeat to %s", one.address)
	}
	a.contracts.Receive(reply.Config, reply.Change)
	if !one.recordReply(request, sent.Omitted, reply) {
		return minInterval, nil
	}
	e.add(reply.Entries)
	one.acknowledge(load.Sequence)
	return min(max(reply.Next, minInterval), maxInterval), nil
}

// askConfig requests the changes above revision r from one entry, each time
// from another.
func (e *entries) askConfig(ctx context.Context, r structs.Revision) (wire.ConfigReply, error) {
	addresses := e.addresses()
	if len(addresses) == 0 {
		return wire.ConfigReply{}, eris.New("ask for the configuration: no entry is known")
	}
	sort.Strings(addresses)
	address := addresses[int(e.asked.Add(1))%len(addresses)]
	reply, err := e.agent.deps.Peers.Entry(address).Config(ctx, wire.ConfigRequest{Revision: r, Want: wire.WantChange})
	return reply, eris.Wrapf(err, "ask %s for the configuration", address)
}

func (o *entry) omitKept(r wire.HelloRequest) wire.HelloRequest {
	o.mu.Lock()
	defer o.mu.Unlock()
	r.Entries = o.entriesSum
	return r.Omit(o.kept)
}

// recordReply records the parts that the entry has kept, as its reply says. It
// returns false if the entry needs the whole heartbeat.
func (o *entry) recordReply(whole wire.HelloRequest, omitted wire.HelloSums, reply wire.HelloReply) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.kept = wire.HelloSums{}
	if reply.Kept {
		o.kept = whole.Sums()
	} else if omitted != (wire.HelloSums{}) {
		return false
	}
	if len(reply.Entries) > 0 {
		o.entriesSum = wire.EntriesSum(reply.Entries)
	}
	return true
}

func (o *entry) acknowledge(sequence uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acknowledged = max(o.acknowledged, sequence)
	o.lastContact = time.Now()
	close(o.answered)
	o.answered = make(chan struct{})
}

// dropUnreachable removes an entry that is not a seed after entryRetention
// without an answer. If the entry is restarted, other entries name it again.
func (e *entries) dropUnreachable(one *entry) bool {
	one.mu.Lock()
	expired := time.Since(one.lastContact) > entryRetention
	one.mu.Unlock()
	if !expired || e.seeds[one.address] {
		return false
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.known, one.address)
	return true
}

// notify sends a heartbeat to every entry now and waits until each entry has
// acknowledged a load taken after the call, or ctx ends. It returns the
// addresses of the entries that have not acknowledged such a load.
func (e *entries) notify(ctx context.Context) []string {
	from := e.agent.load().Sequence
	e.wakeAll()
	e.mu.Lock()
	known := make([]*entry, 0, len(e.known))
	for _, one := range e.known {
		known = append(known, one)
	}
	e.mu.Unlock()
	var missing []string
	for _, one := range known {
		if !one.await(ctx, from) {
			missing = append(missing, one.address)
		}
	}
	return missing
}

func (o *entry) await(ctx context.Context, from uint64) bool {
	for {
		o.mu.Lock()
		done, answered := o.acknowledged > from, o.answered
		o.mu.Unlock()
		if done {
			return true
		}
		select {
		case <-ctx.Done():
			return false
		case <-answered:
			o.wake()
		}
	}
}

// Steps of the agent's time line.
const (
	StepAdmitted    structs.Step = "call-admitted"
	StepAnswered    structs.Step = "call-answered"
	StepCallRefused structs.Step = "call-refused"
	StepAnnounced   structs.Step = "backend-changed"
	StepLeaving     structs.Step = "backend-leaving"
	StepDraining    structs.Step = "agent-draining"
	StepDrained     structs.Step = "agent-drained"
	StepResumed     structs.Step = "agent-resumed"
	StepConfig      structs.Step = "config-applied"
	StepLeaseTaken  structs.Step = "lease-taken"
	StepLeaseLost   structs.Step = "lease-lost"
)
