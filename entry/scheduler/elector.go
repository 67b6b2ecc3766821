package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/wait"
	"persimmonrock.example/wire/dispatch"
)

const (
	// pollEvery is the time between two looks at the lease.
	pollEvery = 400 * time.Millisecond
	// stillFor is how long the lease row must have stood still, by looks
	// that all succeeded, before it is taken over. The holder renews it
	// every half second; a slow store takes up to 0.9 s a transaction.
	stillFor = 2200 * time.Millisecond
	// goneFor replaces stillFor where nothing listens at the holder's
	// address any more.
	goneFor = 600 * time.Millisecond
	// silentFor replaces it where the holder has answered no question for so
	// long: it is frozen, cut off, or its machine is gone. A holder that only
	// waits for a slow store answers.
	silentFor = time.Second
	// looksPerTxn is how many times as long as a look a transaction may take.
	looksPerTxn = 4
	// pingTimeout bounds the question to the holder, leastPing one that is
	// asked shortly before its silence has lasted for long enough.
	pingTimeout = 350 * time.Millisecond
	leastPing   = 100 * time.Millisecond
	// weakerWait is how long an entry leaves a free lease to the stronger
	// machines that the last holder's shows to be there: they look within
	// pollEvery.
	weakerWait = 600 * time.Millisecond
	// freePoll is the time between two looks at a lease that may soon be
	// taken.
	freePoll = 100 * time.Millisecond
	// takeJitter spreads the entries that find the lease free.
	takeJitter = 60 * time.Millisecond
	// lookGap is the longest time between two successful looks that still
	// count as one watch.
	lookGap = 1200 * time.Millisecond
)

// Elector watches the lease and serves terms.
type Elector struct {
	cfg  Config
	deps Deps

	mu sync.Mutex
	// leader is the latest lease row that was read.
	leader  leaseRow
	version uint64
	// link leads to the leader.
	link *dispatch.Link
	term *Term
}

// NewElector returns an elector.
func NewElector(cfg Config, deps Deps) *Elector {
	return &Elector{cfg: cfg, deps: deps}
}

// watch is what an elector has seen of the lease so far.
type watch struct {
	version uint64
	// since is when this version was first seen, last the latest look.
	since time.Duration
	last  time.Duration
	// begun is when the looks that all succeeded began, asked when the lease
	// was last asked for, heirUntil until when it is expected.
	begun     time.Duration
	asked     time.Duration
	heirUntil time.Duration
	// refused is when the holder's address first refused a connection, silent
	// when it first left a question without an answer.
	refused time.Duration
	silent  time.Duration
	// free is since when the lease may be taken.
	free time.Duration
	// took is how long the latest look took.
	took time.Duration
}

// forget drops what was seen of a holder.
func (w *watch) forget() { w.refused, w.silent, w.free = 0, 0, 0 }

// patience is how long a question to the holder at now waits for its answer:
// not much beyond the moment in which its silence has lasted for long enough.
func (w *watch) patience(now time.Duration) time.Duration {
	if w.silent == 0 {
		return pingTimeout
	}
	return min(pingTimeout, max(leastPing, w.silent+silentFor-now))
}

// pause is the time to the next look.
func (w *watch) pause() time.Duration {
	if w.silent > 0 || w.free > 0 {
		return freePoll
	}
	return pollEvery
}

// Run watches the lease and serves terms until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	var w watch
	for ctx.Err() == nil {
		asked := e.deps.Now()
		row, err := rowstore.Get(ctx, e.deps.Store, leaseKey)
		if err != nil {
			wait.For(ctx, pollEvery/2)
			continue
		}
		w.took = e.deps.Now() - asked
		lease, ok := e.saw(&w, row)
		if ok && e.due(ctx, &w, lease) {
			if term := e.take(ctx, row); term != nil {
				e.serve(ctx, term)
				w = watch{}
				continue
			}
		}
		if ok && e.askForLease(ctx, &w, lease) {
			w.heirUntil = e.deps.Now() + heirFor
		}
		if e.deps.Now() < w.heirUntil {
			wait.For(ctx, heirPoll)
			continue
		}
		wait.For(ctx, w.pause())
	}
}

// Follow keeps the knowledge of who leads up to date without ever taking the
// lease, for a process that stops and still answers calls.
func (e *Elector) Follow(ctx context.Context) {
	var w watch
	for ctx.Err() == nil {
		if row, err := rowstore.Get(ctx, e.deps.Store, leaseKey); err == nil {
			e.saw(&w, row)
		}
		wait.For(ctx, pollEvery/4)
	}
}

// saw takes one look into account. ok is false if the row can't be read.
func (e *Elector) saw(w *watch, row rowstore.Row) (leaseRow, bool) {
	now := e.deps.Now()
	if row.Version != w.version || w.since == 0 || now-w.last > lookGap {
		w.version, w.since = row.Version, now
		w.forget()
	}
	if w.begun == 0 || now-w.last > lookGap {
		w.begun = now
	}
	w.last = now
	var lease leaseRow
	if row.Version == 0 {
		return lease, true
	}
	if err := json.Unmarshal(row.Value, &lease); err != nil {
		e.deps.Log.Error().Err(err).Msg("lease can't be read")
		return lease, false
	}
	e.follow(lease, row.Version)
	return lease, true
}

// follow keeps the link to the leader.
func (e *Elector) follow(lease leaseRow, version uint64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if version <= e.version {
		return
	}
	if lease.Process != e.leader.Process {
		e.deps.Log.Info().Str("leader", lease.Node).Str("address", lease.Address).Uint64("version", version).Msg("scheduler known")
		if e.link != nil {
			e.link.Close()
		}
		e.link = e.deps.Link(lease.Address)
	}
	e.leader, e.version = lease, version
}

// due reports whether this entry is to take the lease now.
//
// Failure guarded against: a weak machine takes the lease because it looked
// first. It reads the jobs of hundreds of workers for a second, falls behind,
// and some seconds later hands the lease to a stronger one with another pause.
// So it leaves the stronger ones time to look; if none takes the lease, it does.
func (e *Elector) due(ctx context.Context, w *watch, lease leaseRow) bool {
	if !e.free(ctx, w, lease) {
		w.free = 0
		return false
	}
	now := e.deps.Now()
	if w.free == 0 {
		w.free = now
	}
	weaker := e.cfg.Power > 0 && lease.Power >= strongerBy*e.cfg.Power
	return !weaker || now-w.free >= weakerWait
}

// free reports whether the lease may be taken: it is released, or its holder
// is gone or has not renewed it for long enough.
func (e *Elector) free(ctx context.Context, w *watch, lease leaseRow) bool {
	still := e.deps.Now() - w.since
	if lease.Released && e.keptForHeir(lease, still) {
		return false
	}
	// A lease of an earlier process of this machine is free, too: a machine
	// runs one process of an entry.
	if w.version == 0 || lease.Released || lease.Process == e.cfg.Process || lease.Node == e.cfg.Node {
		wait.For(ctx, rand.N(takeJitter))
		return true
	}
	if still >= stillFor {
		return true
	}
	return e.holderGone(ctx, w, lease, still)
}

// holderGone asks the holder whether it is there.
func (e *Elector) holderGone(ctx context.Context, w *watch, lease leaseRow, still time.Duration) bool {
	e.mu.Lock()
	link := e.link
	e.mu.Unlock()
	asked := e.deps.Now()
	var reply dispatch.StateReply
	err := link.Call(ctx, "Scheduler.State", dispatch.StateArgs{}, &reply, w.patience(asked))
	if err == nil && reply.Process != lease.Process {
		// The holder was killed, and its machine runs another process now.
		wait.For(ctx, rand.N(takeJitter))
		return true
	}
	if err == nil {
		w.refused, w.silent = 0, 0
		return false
	}
	if w.silent == 0 {
		w.silent = asked
	}
	now := e.deps.Now()
	if refusedConnection(err) {
		if w.refused == 0 {
			w.refused = now
		}
		return now-w.refused >= goneFor && still >= goneFor
	}
	w.refused = 0
	return now-w.silent >= silentFor && still >= silentFor+looksPerTxn*w.took
}

// take writes the lease under the condition of the version that was seen.
func (e *Elector) take(ctx context.Context, row rowstore.Row) *Term {
	lease := leaseRow{Node: e.cfg.Node, Process: e.cfg.Process, Address: e.cfg.Address, Count: rand.Uint64() >> 1, Power: e.cfg.Power}
	sent := e.deps.Now()
	stamp, err := e.deps.Store.Apply(ctx, rowstore.Txn{
		Conds: []rowstore.Cond{{Key: leaseKey, Version: row.Version}},
		Puts:  []rowstore.Put{{Key: leaseKey, Value: encode(lease)}},
	})
	version := stamp.Version
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		// Two attempts may have been made, of which one has taken effect.
		if v := ownVersion(conflict, lease); v != 0 {
			version, err = v, nil
		}
	}
	if errors.Is(err, rowstore.ErrUnknown) {
		// Applied or not: if the row shows this very attempt, it was.
		now, getErr := rowstore.Get(ctx, e.deps.Store, leaseKey)
		var have leaseRow
		if getErr != nil || now.Version == 0 || json.Unmarshal(now.Value, &have) != nil || have != lease {
			return nil
		}
		version, err = now.Version, nil
	}
	if err != nil {
		e.deps.Log.Info().Err(err).Msg("lease not taken")
		return nil
	}
	e.follow(lease, version)
	e.deps.Counters.Terms.Add(1)
	e.deps.Log.Warn().Uint64("epoch", version).Msg("lease taken")
	return newTerm(ctx, e.cfg, e.deps, lease, version, sent, stamp)
}

func (e *Elector) serve(ctx context.Context, term *Term) {
	e.mu.Lock()
	e.term = term
	e.mu.Unlock()
	term.run()
	e.mu.Lock()
	e.term = nil
	e.mu.Unlock()
	e.deps.Log.Warn().Uint64("epoch", term.epoch).Msg("term ended")
	if ctx.Err() != nil || term.heirNode() != "" {
		released, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		term.release(released)
	}
}

// releaseTimeout bounds the release of the lease by a process that stops.
const releaseTimeout = 600 * time.Millisecond

// Term returns the term that this process serves, or nil.
func (e *Elector) Term() *Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term == nil || !e.term.ready() {
		return nil
	}
	return e.term
}

// Note passes on what an entry has stored to the term that this process serves,
// even while that may not speak for its jobs: it may again. It reports whether
// there is one.
func (e *Elector) Note(args dispatch.NoteArgs) bool {
	e.mu.Lock()
	term := e.term
	e.mu.Unlock()
	if term != nil {
		term.Note(args)
	}
	return term != nil
}

// Leader returns the link to the process that holds the lease, or nil if
// none is known or it is this one.
func (e *Elector) Leader() *dispatch.Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Process == e.cfg.Process {
		return nil
	}
	return e.link
}
