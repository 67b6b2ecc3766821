// Package configuration keeps an agent at the newest accepted configuration.
//
// The agent reads the table service's revision row every few seconds, and then
// the changes since the revision in force. While the table service doesn't
// answer, the agent asks an entry. It also accepts configurations that entries
// send with their answers to heartbeats. From every source, the configuration
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

// Timing of the reads. With 1,000 agents they cost the table service 167 reads
// a second. Even if the table service fails, a change is in force within the
// longest pause, one timeout and two requests to entries: 10 s.
const (
	pollInterval = 6 * time.Second
	// pollJitter is the largest random deviation of a pause from pollInterval.
	pollJitter = time.Second
	// wakeJitter bounds the random pause before a read that is caused by a call
	// with a newer revision. All entries receive a change within about a
	// second, and without the pause 1,000 agents would read at once.
	wakeJitter = 2 * time.Second
	// timeout bounds one read and one request to an entry.
	timeout = time.Second
	// entryAttempts bounds the entries that are asked after a failed read.
	entryAttempts = 2
)

// Ask requests the changes above r from one entry; a further call asks another.
type Ask func(ctx context.Context, r structs.Revision) (wire.ConfigReply, error)

// Follower is safe for use by many goroutines.
type Follower struct {
	table infra.Table
	ask   Ask
	// apply puts a configuration into force. It returns false if the
	// configuration is not newer than the one in force; the follower never
	// passes such a configuration.
	apply       func(structs.Config) bool
	onBroken    func(what string)
	wake        chan struct{}
	tableFailed atomic.Bool

	mu      sync.Mutex
	current structs.Config
	// known is the highest revision that this process knows to exist.
	known structs.Revision

	// Reads counts reads, Failed the failed ones, Asked the requests to
	// entries. Older counts configurations that were dropped because they were
	// not above the one in force, Unfit the changes that don't lead from the one
	// in force to a higher revision.
	Reads, Failed, Asked, Older, Unfit atomic.Int64
}

// New returns a follower without a configuration.
func New(table infra.Table, ask Ask, apply func(structs.Config) bool, onBroken func(what string)) *Follower {
	return &Follower{table: table, ask: ask, apply: apply, onBroken: onBroken, wake: make(chan struct{}, 1)}
}

// Run reads every pollInterval, and soon after a wake, until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		f.read(ctx)
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval - pollJitter + rand.N(2*pollJitter)):
		case <-f.wake:
			pause(ctx, rand.N(wakeJitter))
		}
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// Wants returns the form of configuration that an entry is to send with its
// answer to a heartbeat.
func (f *Follower) Wants() wire.ConfigWant {
	if f.tableFailed.Load() {
		return wire.WantChange
	}
	return wire.WantOnlyChange
}

// NoteRevision records that revision r exists; Run reads soon if r is new.
func (f *Follower) NoteRevision(r structs.Revision) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.noteRevision(r)
}

func (f *Follower) noteRevision(r structs.Revision) {
	if r <= f.known {
		return
	}
	f.known = r
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// Receive applies a configuration or a change of it that an entry sent; either
// may be nil.
func (f *Follower) Receive(whole *structs.Config, change *structs.ConfigChange) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if whole != nil {
		f.install(*whole)
	}
	if change == nil {
		return
	}
	next, ok := f.current.With(*change)
	if ok {
		f.install(next)
		return
	}
	f.Unfit.Add(1)
	f.noteRevision(change.Revision)
}

// install puts c into force if it is newer.
//
// Guards against a contract that reverts. It comes about when a slow read or an
// overtaken answer returns an older configuration after a newer one is in
// force. Comparison, swap and apply are therefore one step under the lock.
func (f *Follower) install(c structs.Config) {
	if c.Revision <= f.current.Revision {
		f.Older.Add(1)
		return
	}
	f.current = c
	f.known = max(f.known, c.Revision)
	if !f.apply(c) {
		f.onBroken("the configuration went back to an older revision")
	}
}

func (f *Follower) inForce() structs.Config {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// read reads the table once, and asks entries if the read fails.
func (f *Follower) read(ctx context.Context) {
	f.Reads.Add(1)
	held := f.inForce()
	attempt, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	next, err := configtable.ReadNewer(attempt, f.table, held)
	if ctx.Err() != nil {
		return
	}
	f.tableFailed.Store(err != nil)
	if err != nil {
		f.Failed.Add(1)
		f.askEntries(ctx, held.Revision)
		return
	}
	// At FirstRevision the table has no contract to put into force.
	if next.Revision > max(held.Revision, configtable.FirstRevision) {
		f.mu.Lock()
		f.install(next)
		f.mu.Unlock()
	}
}

// askEntries asks entries one after the other until one answers.
func (f *Follower) askEntries(ctx context.Context, r structs.Revision) {
	for range entryAttempts {
		f.Asked.Add(1)
		attempt, cancel := context.WithTimeout(ctx, timeout)
		reply, err := f.ask(attempt, r)
		cancel()
		if err == nil {
			f.Receive(reply.Config, reply.Change)
			return
		}
	}
}
