// Package configuration follows the accepted configuration for one agent.
//
// The agent reads the table service's revision row every few seconds, and then
// what changed. While it can't, it asks an entry. What entries send with their
// answers to heartbeats is taken as well. Whatever brings it, the configuration
// only moves to higher revisions.
package configuration

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/configtable"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Pace of the readings. With 1,000 agents it costs the table service 167 reads
// a second; a change is in force within the longest pause, one time-out and two
// questions: 10 s, if the table service fails just then.
const (
	pollEvery = 6 * time.Second
	// pollSpread is how far a pause is off pollEvery at most, at random.
	pollSpread = time.Second
	// heardWithin bounds the random pause before an agent reads because a
	// caller's entry named a newer revision: entries learn of a change within a
	// second or so, and 1,000 agents would read at once.
	heardWithin = 2 * time.Second
	// timeout bounds one reading and one question.
	timeout = time.Second
	// questions is how many entries are asked after a reading that failed.
	questions = 2
)

// Ask asks one entry for what is above r; a further call asks another.
type Ask func(ctx context.Context, r structs.Revision) (wire.ConfigReply, error)

// Follower is safe for use by many goroutines.
type Follower struct {
	table infra.Table
	ask   Ask
	// apply puts a configuration into force; false says that it was refused
	// as not newer, which the follower rules out.
	apply  func(structs.Config) bool
	broken func(what string)
	wake   chan struct{}
	cutOff atomic.Bool

	mu   sync.Mutex
	held structs.Config
	// known is the highest revision that this process has heard of.
	known structs.Revision

	// Reads counts readings, Failed those without an answer, Asked the
	// questions to entries, Older what was dropped because it was not above the
	// configuration in force, Unfit the changes that started elsewhere.
	Reads, Failed, Asked, Older, Unfit atomic.Int64
}

// New returns a follower without a configuration.
func New(table infra.Table, ask Ask, apply func(structs.Config) bool, broken func(what string)) *Follower {
	return &Follower{table: table, ask: ask, apply: apply, broken: broken, wake: make(chan struct{}, 1)}
}

// Run reads at the set pace until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.look(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pollEvery - pollSpread + rand.N(2*pollSpread)):
		case <-f.wake:
			pause(ctx, rand.N(heardWithin))
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Wants says what an entry shall send with its answer to a heartbeat.
func (f *Follower) Wants() wire.ConfigWant {
	if f.cutOff.Load() {
		return wire.WantChange
	}
	return wire.WantOnlyChange
}

// Heard notes that revision r exists; Run reads soon if that is news.
func (f *Follower) Heard(r structs.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heard(r)
}

func (f *Follower) heard(r structs.Revision) {
	if r <= f.known {
		return
	}
	f.known = r
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Take takes in what an entry sent; either may be nil.
func (f *Follower) Take(whole *structs.Config, change *structs.ConfigChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if whole != nil {
		f.install(*whole)
	}
	if change == nil {
		return
	}
	next, ok := f.held.With(*change)
	if ok {
		f.install(next)
		return
	}
	f.Unfit.Add(1)
	f.heard(change.Revision)
}

// install puts c into force if it is newer.
//
// Failure guarded against: a reading that took long, or an answer that was
// overtaken, brings an older configuration after a newer one is in force; it
// would show as a contract that reverts. The comparison, the swap and the
// putting into force are one step under the lock.
func (f *Follower) install(c structs.Config) {
	if c.Revision <= f.held.Revision {
		f.Older.Add(1)
		return
	}
	f.held = c
	f.known = max(f.known, c.Revision)
	if !f.apply(c) {
		f.broken("the configuration in force went back")
	}
}

func (f *Follower) config() structs.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.held
}

// look reads once, and asks entries if the table service doesn't answer.
func (f *Follower) look(ctx context.Context) {
	f.Reads.Add(1)
	held := f.config()
	attempt, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	next, err := configtable.Newer(attempt, f.table, held)
	if ctx.Err() != nil {
		return
	}
	f.cutOff.Store(err != nil)
	if err != nil {
		f.Failed.Add(1)
		f.question(ctx, held.Revision)
		return
	}
	// A table without a contract has nothing to put into force.
	if next.Revision > max(held.Revision, configtable.FirstRevision) {
		f.mu.Lock()
		f.install(next)
		f.mu.Unlock()
	}
}

// question asks entries until one answers.
func (f *Follower) question(ctx context.Context, r structs.Revision) {
	for range questions {
		f.Asked.Add(1)
		attempt, cancel := context.WithTimeout(ctx, timeout)
		reply, err := f.ask(attempt, r)
		cancel()
		if err == nil {
			f.Take(reply.Config, reply.Change)
			return
		}
	}
}
