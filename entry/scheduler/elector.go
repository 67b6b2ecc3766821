package scheduler

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"persimmonrock.example/entry/watch"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/wait"
	"persimmonrock.example/structs/scheduling"
	"persimmonrock.example/wire/dispatch"
)

const (
	// pollEvery is the time between two looks at the lease.
	pollEvery = 400 * time.Millisecond
	// staleAfter is the time without a renewal after which the lease is taken
	// over, if successful reads in that time were at most maxReadGap apart. The
	// holder renews the lease every half second; a slow store takes up to 0.9 s
	// for a transaction.
	staleAfter = 2200 * time.Millisecond
	// refusedAfter replaces staleAfter if the holder's address refuses connections
	// for this long: nothing listens there.
	refusedAfter = 600 * time.Millisecond
	// unansweredAfter replaces staleAfter if the holder has answered no request
	// for this long: it is frozen, cut off, or its machine is gone. A holder that
	// only waits for a slow store answers.
	unansweredAfter = time.Second
	// readsPerTxn is the longest duration of a transaction, in durations of a
	// read. If the holder does not answer, its lease must also stay unchanged for
	// unansweredAfter plus the duration of a transaction.
	readsPerTxn = 4
	// pingTimeout is the timeout of a request to the holder, minPingTimeout the
	// least timeout of a request sent when unansweredAfter has nearly passed.
	pingTimeout    = 350 * time.Millisecond
	minPingTimeout = 100 * time.Millisecond
	// weakerWait is the time for which an entry leaves a free lease to stronger
	// machines, if the last holder's machine was at least strongerBy times as
	// strong as the entry's. Stronger machines read the lease within pollEvery.
	weakerWait = 600 * time.Millisecond
	// freePoll is the time between two reads of a lease that may soon be taken.
	freePoll = 100 * time.Millisecond
	// takeJitter spreads the attempts of entries that find the lease free.
	takeJitter = 60 * time.Millisecond
	// maxReadGap is the time without a successful read after which earlier
	// observations of the lease are discarded.
	maxReadGap = 1200 * time.Millisecond
)

// Elector watches the lease, takes it if free, and then serves a term.
type Elector struct {
	cfg  Config
	deps Deps

	mu sync.Mutex
	// leader is the latest lease row that was read or written.
	leader  leaseRow
	version uint64
	// link connects to the leader.
	link *dispatch.Link
	term *Term
}

// NewElector returns an elector.
func NewElector(cfg Config, deps Deps) *Elector {
	return &Elector{cfg: cfg, deps: deps}
}

// observations are what an elector has seen of the lease.
type observations struct {
	version uint64
	// firstRead is when version was first read. versionSince is the same, but it
	// starts anew after maxReadGap without a read, like watchedSince; lastRead is
	// the latest read.
	firstRead    time.Duration
	versionSince time.Duration
	lastRead     time.Duration
	// watchedSince is when the lease was first read.
	// requestedAt is when this entry last requested the lease, successorUntil the
	// latest time at which the release of the lease is expected.
	watchedSince   time.Duration
	requestedAt    time.Duration
	successorUntil time.Duration
	// The holder's address has refused connections since refusedSince, and no
	// request was answered since unansweredSince; each is 0 otherwise.
	refusedSince    time.Duration
	unansweredSince time.Duration
	// sentBefore is the local time before which the write of version was sent; 0 if
	// only firstRead bounds it. sentAfter is when the version before was first read; 0
	// if there was none.
	sentBefore, sentAfter time.Duration
	// freeSince is when the lease was first found free.
	freeSince time.Duration
	// readTime is the duration of the latest read.
	readTime time.Duration
}

func (o *observations) resetHolder() { o.refusedSince, o.unansweredSince, o.freeSince = 0, 0, 0 }

// answerTimeout returns the timeout of a request sent at now. After an
// unanswered request, the timeout ends about when unansweredAfter has passed.
func (o *observations) answerTimeout(now time.Duration) time.Duration {
	if o.unansweredSince == 0 {
		return pingTimeout
	}
	return min(pingTimeout, max(minPingTimeout, o.unansweredSince+unansweredAfter-now))
}

// pause returns the time until the next look at the lease.
func (o *observations) pause(now time.Duration) time.Duration {
	switch {
	case now < o.successorUntil:
		return successorPoll
	case o.unansweredSince > 0 || o.freeSince > 0:
		return freePoll
	}
	return pollEvery
}

// record records that the lease had the version at now.
func (o *observations) record(version uint64, now time.Duration) {
	if version != o.version || o.firstRead == 0 {
		o.firstRead, o.sentBefore, o.sentAfter = now, 0, o.firstRead
	}
	if version != o.version || o.versionSince == 0 || now-o.lastRead > maxReadGap {
		o.version, o.versionSince = version, now
		o.resetHolder()
	}
	if o.watchedSince == 0 || now-o.lastRead > maxReadGap {
		o.watchedSince = now
	}
	o.lastRead = now
}

// Run watches the lease and serves terms until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	var o observations
	for ctx.Err() == nil {
		q := e.ask(ctx, o.answerTimeout(e.deps.Now()))
		if e.confirmed(&o, q) {
			if e.requestLease(ctx, &o, e.knownLease()) {
				o.successorUntil = e.deps.Now() + successorWait
			}
			wait.For(ctx, o.pause(e.deps.Now()))
			continue
		}
		asked := e.deps.Now()
		row, at, err := rowstore.GetAt(ctx, e.deps.Store, leaseKey)
		if err != nil {
			wait.For(ctx, pollEvery/2)
			continue
		}
		o.readTime = e.deps.Now() - asked
		lease := e.observe(&o, row)
		o.boundSending(lease, at, e.deps.Now())
		if e.shouldTake(ctx, &o, lease, q) {
			if term := e.acquire(ctx, row, e.earlierGrants(&o, lease), storeBound{store: at.Now, asked: asked}); term != nil {
				e.serve(ctx, term)
				o = observations{}
				continue
			}
		}
		if e.requestLease(ctx, &o, lease) {
			o.successorUntil = e.deps.Now() + successorWait
		}
		wait.For(ctx, o.pause(e.deps.Now()))
	}
}

// Follow tracks the leader without ever taking the lease, for a process that is
// stopping but still answers calls.
func (e *Elector) Follow(ctx context.Context) {
	var o observations
	for ctx.Err() == nil {
		if !e.confirmed(&o, e.ask(ctx, pingTimeout)) {
			if row, err := rowstore.Get(ctx, e.deps.Store, leaseKey); err == nil {
				e.observe(&o, row)
			}
		}
		wait.For(ctx, pollEvery/4)
	}
}

// observe records one read. A row that can't be decoded names no holder: no process
// can renew the lease by it, or one of another version does, which changes the row.
// So it counts as the lease of an unknown process, and the known leader stays.
func (e *Elector) observe(o *observations, row rowstore.Row) leaseRow {
	changed := row.Version != o.version
	o.record(row.Version, e.deps.Now())
	var lease leaseRow
	if row.Version == 0 {
		return lease
	}
	if err := json.Unmarshal(row.Value, &lease); err != nil {
		if changed {
			e.deps.Counters.RowsRejected.Add(1)
			e.deps.Log.Error().Err(err).Uint64("version", row.Version).Msg("lease row not used: it can't be decoded")
		}
		return leaseRow{}
	}
	e.setLeader(lease, row.Version)
	return lease
}

// setLeader records the holder of the lease, and opens a link to a new holder.
func (e *Elector) setLeader(lease leaseRow, version uint64) {
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

// shouldTake reports whether this entry is to take the lease now.
//
// Failure guarded against: a weak machine takes the lease because it read the
// row first. It needs a second to read the jobs of hundreds of workers, falls
// behind, and some seconds later hands the lease to a stronger machine. The
// handover pauses scheduling again. So an entry on a weaker machine than the
// last holder's waits until the lease has been free for weakerWait.
func (e *Elector) shouldTake(ctx context.Context, o *observations, lease leaseRow, q *watch.Question) bool {
	if !e.leaseFree(ctx, o, lease, q) {
		o.freeSince = 0
		return false
	}
	now := e.deps.Now()
	if o.freeSince == 0 {
		o.freeSince = now
	}
	weaker := e.cfg.Power > 0 && lease.Power >= strongerBy*e.cfg.Power
	return !weaker || now-o.freeSince >= weakerWait
}

// leaseFree reports whether the lease may be taken: it was never taken, is
// released and not reserved for another entry, belongs to this machine, or its
// holder is gone or has not renewed it for staleAfter.
func (e *Elector) leaseFree(ctx context.Context, o *observations, lease leaseRow, q *watch.Question) bool {
	unchanged := e.deps.Now() - o.versionSince
	if lease.Released && e.reservedForSuccessor(lease, unchanged) {
		return false
	}
	// A lease of an earlier process of this machine is free, too: a machine runs
	// only one entry process at a time.
	if o.version == 0 || lease.Released || lease.Process == e.cfg.Process || lease.Node == e.cfg.Node {
		wait.For(ctx, rand.N(takeJitter))
		return true
	}
	if unchanged >= staleAfter {
		return true
	}
	// A row without a process names no holder that could be asked.
	return lease.Process != "" && e.holderGone(ctx, o, lease, q)
}

// holderGone awaits the holder's answer to q, or asks it if q went to another
// process. It reports whether the holder counts as gone: another process
// answers, or refusedAfter or unansweredAfter has passed.
func (e *Elector) holderGone(ctx context.Context, o *observations, lease leaseRow, q *watch.Question) bool {
	unchanged := e.deps.Now() - o.versionSince
	if q == nil || q.Process != lease.Process {
		q = e.ask(ctx, o.answerTimeout(e.deps.Now()))
	}
	if q == nil {
		return false
	}
	answered := q.Err() == nil
	if answered && q.Replier() != lease.Process {
		// The holder was killed, and its machine runs another process now.
		wait.For(ctx, rand.N(takeJitter))
		return true
	}
	if answered || q.Unknown() {
		o.refusedSince, o.unansweredSince = 0, 0
		return false
	}
	if o.unansweredSince == 0 {
		o.unansweredSince = q.Asked
	}
	now := e.deps.Now()
	if q.Refused() {
		if o.refusedSince == 0 {
			o.refusedSince = now
		}
		return now-o.refusedSince >= refusedAfter && unchanged >= refusedAfter
	}
	o.refusedSince = 0
	return now-o.unansweredSince >= unansweredAfter && unchanged >= unansweredAfter+readsPerTxn*o.readTime
}

// acquire takes the lease if row is still current. It returns the term, or nil.
func (e *Elector) acquire(ctx context.Context, row rowstore.Row, earlier earlierGrants, clock storeBound) *Term {
	sent := e.deps.Now()
	lease := leaseRow{
		Node: e.cfg.Node, Process: e.cfg.Process, Address: e.cfg.Address, Count: rand.Uint64() >> 1, Power: e.cfg.Power, SentBy: clock.boundMs(sent),
	}
	stamp, err := e.deps.Store.Apply(ctx, rowstore.Txn{
		Conds: []rowstore.Cond{{Key: leaseKey, Version: row.Version}},
		Puts:  []rowstore.Put{{Key: leaseKey, Value: encode(lease)}},
	})
	version := stamp.Version
	var conflict *rowstore.ConflictError
	if errors.As(err, &conflict) {
		// An earlier attempt of the same write may have been applied.
		if v := ownVersion(conflict, lease); v != 0 {
			version, err = v, nil
		}
	}
	if errors.Is(err, rowstore.ErrUnknown) {
		// The write was applied if the row holds exactly this lease.
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
	e.setLeader(lease, version)
	e.deps.Counters.Terms.Add(1)
	e.deps.Log.Warn().Uint64("epoch", version).Bool("answered", stamp.Version > 0).Int64("store_ms", stamp.Now.Milliseconds()).Msg("lease taken")
	return newTerm(ctx, e.cfg, e.deps, earlier, lease, version, sent, stamp)
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
	if ctx.Err() != nil || term.successorNode() != "" {
		released, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		term.release(released)
	}
}

// releaseTimeout bounds the release of the lease at the end of a term.
const releaseTimeout = 600 * time.Millisecond

// knownLease returns the lease as last read or written; its count may be older
// than the last renewal.
func (e *Elector) knownLease() leaseRow {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.leader
}

// Term returns the term that this process serves, or nil without a ready term.
func (e *Elector) Term() *Term {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.term == nil || !e.term.ready() {
		return nil
	}
	return e.term
}

// Note passes a job or a cancellation that an entry has stored to the term that
// this process serves, even while the term is not ready, since it may become
// ready again. Note reports whether there is a term.
func (e *Elector) Note(args dispatch.NoteArgs) bool {
	e.mu.Lock()
	term := e.term
	e.mu.Unlock()
	if term != nil {
		term.Note(args)
	}
	return term != nil
}

// Policies returns the scheduling policies in force.
func (e *Elector) Policies() scheduling.Policies { return e.cfg.Policies }

// RowBytes returns the longest value of a row of the store, in bytes.
func (e *Elector) RowBytes() int { return e.cfg.rowBytes() }

// Leader returns the link to the process that holds the lease, or nil if the
// holder is unknown or is this process.
func (e *Elector) Leader() *dispatch.Link {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.leader.Process == e.cfg.Process {
		return nil
	}
	return e.link
}
