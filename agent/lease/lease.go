// Package lease keeps the one row of the table service that covers all batch
// tasks of an agent. See docs/notes/agent-leases.md.
package lease

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// Config describes the holder.
type Config struct {
	Instance structs.InstanceID
	Address  string
	Zone     structs.DataCentre
	// Length is the time from sending a renewal to the end of all tasks.
	Length time.Duration
	// Renew is the time between renewals, Timeout that of one attempt, Retry
	// the pause after a failed one.
	Renew, Timeout, Retry time.Duration
}

// Fencer stops all tasks of holders below h for good and returns once they
// have stopped; infra.Worker is one.
type Fencer interface {
	Fence(ctx context.Context, h structs.Incarnation) error
}

// Counters are what a keeper counts.
type Counters struct {
	Taken, Renewed, RenewFailed, Lost, Lapsed, Released atomic.Int64
}

// ErrNotHeld says that no lease is held.
var ErrNotHeld = errors.New("lease: not held")

// errLost says that another process has taken or fenced the row.
var errLost = errors.New("lease: taken over")

// Keeper takes the row, renews it, and takes it again when it was lost.
type Keeper struct {
	config Config
	table  infra.Table
	worker Fencer
	// Counters may be read at any time.
	Counters Counters
	// Lost is called when the row was taken over or fenced. It is set before
	// Run.
	Lost func(structs.Incarnation)
	// Floor, if set, returns an incarnation that the next one taken must be
	// above, so that loads of the agent before compare as older.
	Floor func() structs.Incarnation
	// Taken is called with each new incarnation, after the worker was fenced.
	Taken func(structs.Incarnation)

	id  string
	ops atomic.Uint64

	mu      sync.Mutex
	row     structs.AgentLease
	version uint64
	// since is when the last successful renewal was first sent; zero when
	// nothing is held.
	since time.Time
}

// New returns a keeper that holds nothing.
func New(c Config, table infra.Table, worker Fencer) *Keeper {
	return &Keeper{config: c, table: table, worker: worker, id: rand.Text()}
}

// Held returns the incarnation and how long the lease still runs; 0 and a
// negative or zero time when it is not held.
func (k *Keeper) Held(now time.Time) (structs.Incarnation, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.since.IsZero() {
		return 0, 0
	}
	return k.row.Incarnation, k.config.Length - Elapsed(k.since, now)
}

// Elapsed is the greater of what the monotonic and the wall clock say.
//
// Failure guarded against: an instance is suspended, its monotonic clock
// stands still, and on waking the agent believes that its lease still runs
// while another agent already runs its tasks. The wall clock is set right
// after a pause, so the greater of the two shows the gap. A wall clock that
// jumps ahead for no reason only ends the lease early.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Run keeps the lease until ctx ends. It does not release it.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := k.config.Renew
		if err := k.step(ctx); err != nil {
			pause = k.config.Retry
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return ctx.Err()
}

// step takes or renews the lease, once.
func (k *Keeper) step(ctx context.Context) error {
	k.mu.Lock()
	held := !k.since.IsZero()
	k.mu.Unlock()
	if !held {
		return k.take(ctx)
	}
	err := k.renew(ctx)
	if err == nil {
		k.Counters.Renewed.Add(1)
		return nil
	}
	k.Counters.RenewFailed.Add(1)
	if errors.Is(err, errLost) {
		k.drop()
		return k.take(ctx)
	}
	return err
}

func (k *Keeper) drop() {
	k.mu.Lock()
	n := k.row.Incarnation
	k.since = time.Time{}
	k.mu.Unlock()
	k.Counters.Lost.Add(1)
	if k.Lost != nil {
		k.Lost(n)
	}
}

// take reads incarnation n, fences the worker with n+1 and writes n+1.
//
// Failure guarded against: the agent before this one left tasks running; the
// entry sees a new incarnation, takes it as proof that they have ended and
// runs them elsewhere as well. The guard holds because the worker has stopped
// them, and refuses that holder, before the new incarnation can be read.
func (k *Keeper) take(ctx context.Context) error {
	key := structs.AgentLeaseKey(k.config.Instance)
	ctx, cancel := context.WithTimeout(ctx, k.config.Timeout)
	defer cancel()
	row, err := k.table.Get(ctx, key)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return eris.Wrapf(err, "read lease of %s", k.config.Instance)
	}
	var old structs.AgentLease
	if row.Version > 0 {
		if err := json.Unmarshal(row.Value, &old); err != nil {
			return eris.Wrapf(err, "lease row of %s", k.config.Instance)
		}
	}
	above := old.Incarnation
	if k.Floor != nil {
		above = max(above, k.Floor())
	}
	next := structs.AgentLease{
		Instance: k.config.Instance, Incarnation: above + 1, Counter: old.Counter + 1,
		State: structs.LeaseActive, Length: structs.Duration(k.config.Length),
		Address: k.config.Address, Zone: k.config.Zone,
	}
	if err := k.worker.Fence(ctx, next.Incarnation); err != nil {
		return eris.Wrapf(err, "fence worker of %s", k.config.Instance)
	}
	sent := time.Now()
	version, err := k.write(ctx, next, row.Version)
	if err != nil {
		return eris.Wrapf(err, "take lease of %s", k.config.Instance)
	}
	k.mu.Lock()
	k.row, k.version, k.since = next, version, sent
	k.mu.Unlock()
	k.Counters.Taken.Add(1)
	if k.Taken != nil {
		k.Taken(next.Incarnation)
	}
	return nil
}

// write puts the row if it still has the given version.
func (k *Keeper) write(ctx context.Context, row structs.AgentLease, version uint64) (uint64, error) {
	value, err := json.Marshal(row)
	if err != nil {
		return 0, err
	}
	key := structs.AgentLeaseKey(row.Instance)
	versions, err := infra.CommitOnce(ctx, k.table, infra.Txn{
		Op:    fmt.Sprintf("%s/%d", k.id, k.ops.Add(1)),
		Conds: []infra.Cond{{Key: key, Version: version}},
		Puts:  []infra.Put{{Key: key, Value: value}},
	})
	if err != nil {
		return 0, err
	}
	return versions[0], nil
}

// renew raises the counter. The lease counts from before the first attempt.
//
// Failure guarded against: an attempt timed out, was given up, and takes
// effect later. It shows as a conflict with a row that an operation of this
// keeper wrote. The guard: such a row is adopted and the renewal repeated on
// it; only a foreign operation's row means that the lease is lost.
func (k *Keeper) renew(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, k.config.Timeout)
	defer cancel()
	sent := time.Now()
	for {
		k.mu.Lock()
		next, version := k.row, k.version
		k.mu.Unlock()
		next.Counter++
		written, err := k.write(ctx, next, version)
		var conflict *infra.ConflictError
		switch {
		case err == nil:
			k.renewed(next, written, sent)
			return nil
		case !errors.As(err, &conflict):
			return eris.Wrapf(err, "renew lease of %s", k.config.Instance)
		}
		if err := k.adopt(conflict.Current); err != nil {
			return err
		}
	}
}

func (k *Keeper) renewed(row structs.AgentLease, version uint64, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if Elapsed(k.since, time.Now()) > k.config.Length {
		k.Counters.Lapsed.Add(1)
	}
	k.row, k.version, k.since = row, version, sent
}

// adopt takes over the version of a row that this keeper wrote earlier.
func (k *Keeper) adopt(current infra.Row) error {
	var row structs.AgentLease
	if current.Version == 0 || json.Unmarshal(current.Value, &row) != nil || !k.wrote(current.Op) {
		return errLost
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if row.Incarnation != k.row.Incarnation || row.State != structs.LeaseActive {
		return errLost
	}
	k.row, k.version = row, current.Version
	return nil
}

func (k *Keeper) wrote(op string) bool {
	return len(op) > len(k.id) && op[:len(k.id)] == k.id
}

// Release writes that no task of this incarnation runs any more. The caller
// has stopped them all and ended Run.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	next, version, held := k.row, k.version, !k.since.IsZero()
	k.mu.Unlock()
	if !held {
		return nil
	}
	next.Counter++
	next.State = structs.LeaseReleased
	_, err := k.write(ctx, next, version)
	var conflict *infra.ConflictError
	if errors.As(err, &conflict) && k.adopt(conflict.Current) == nil {
		return k.Release(ctx)
	}
	if err != nil && !errors.As(err, &conflict) {
		return eris.Wrapf(err, "release lease of %s", k.config.Instance)
	}
	k.mu.Lock()
	k.since = time.Time{}
	k.mu.Unlock()
	k.Counters.Released.Add(1)
	return nil
}

// Values returns the counters by name.
func Values(c *Counters) map[string]int64 {
	return map[string]int64{
		"taken": c.Taken.Load(), "renewed": c.Renewed.Load(), "renew_failed": c.RenewFailed.Load(),
		"lost": c.Lost.Load(), "lapsed": c.Lapsed.Load(), "released": c.Released.Load(),
	}
}
