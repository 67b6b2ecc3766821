// Package lease maintains an agent's row in the table service, which is the
// lease for all of its batch tasks. See docs/notes/agent-leases.md.
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

// Config holds the settings of a Keeper.
type Config struct {
	Instance structs.InstanceID
	Address  string
	Zone     structs.DataCentre
	// Length is the time after a renewal was sent by which all tasks have ended.
	Length time.Duration
	// Renew is the time between renewals, Timeout bounds one attempt, and Retry
	// is the pause after a failed one.
	Renew, Timeout, Retry time.Duration
}

// Fencer stops all tasks of holders below incarnation h, refuses these holders
// from then on, and returns once the tasks have stopped. infra.Worker is one.
type Fencer interface {
	Fence(ctx context.Context, h structs.Incarnation) error
}

// Counters are a Keeper's counters.
type Counters struct {
	Taken, Renewed, RenewFailed, Lost, Lapsed, Released atomic.Int64
	// Unreadable counts the rows that held no lease of the instance.
	Unreadable atomic.Int64
}

// ErrNotHeld is returned when no lease is held.
var ErrNotHeld = errors.New("lease: not held")

// errLost says that another process has taken over or fenced the row.
var errLost = errors.New("lease: taken over")

// Keeper takes the row, renews it, and takes it again after its loss.
type Keeper struct {
	config Config
	table  infra.Table
	worker Fencer
	// Counters may be read at any time.
	Counters Counters
	// OnLost is called after the row was taken over or fenced. It is set before
	// Run.
	OnLost func(structs.Incarnation)
	// HighestUsed, if set, returns an incarnation that the next one must
	// exceed, so that loads of the previous agent compare as older.
	HighestUsed func() structs.Incarnation
	// OnTaken is called with each new incarnation, after the worker was fenced.
	OnTaken func(structs.Incarnation)

	id  string
	ops atomic.Uint64

	mu      sync.Mutex
	row     structs.AgentLease
	version uint64
	// renewalSent is the time at which the last successful renewal was first
	// sent; zero when the lease is not held.
	renewalSent time.Time
}

// New returns a keeper that holds nothing.
func New(c Config, table infra.Table, worker Fencer) *Keeper {
	return &Keeper{config: c, table: table, worker: worker, id: rand.Text()}
}

// Held returns the incarnation and the time left. The time is negative or zero
// when the lease has lapsed; both are 0 when the lease is not held.
func (k *Keeper) Held(now time.Time) (structs.Incarnation, time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.renewalSent.IsZero() {
		return 0, 0
	}
	return k.row.Incarnation, k.config.Length - Elapsed(k.renewalSent, now)
}

// Elapsed returns the greater of the monotonic and the wall clock's difference.
//
// Guards against an agent that believes its lease still holds while another
// agent already runs its tasks. It comes about when the instance is suspended
// and its monotonic clock stands still. The wall clock is corrected after a
// pause, so the greater difference shows the gap. A wall clock that jumps ahead
// without a pause only ends the lease early.
func Elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}

// Run takes and renews the lease until ctx ends. It does not release the lease.
func (k *Keeper) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		pause := k.config.Renew
		if err := k.takeOrRenew(ctx); err != nil {
			pause = k.config.Retry
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	return ctx.Err()
}

// takeOrRenew takes the lease, or renews it if it is held, once.
func (k *Keeper) takeOrRenew(ctx context.Context) error {
	k.mu.Lock()
	held := !k.renewalSent.IsZero()
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
		k.recordLoss()
		return k.take(ctx)
	}
	return err
}

func (k *Keeper) recordLoss() {
	k.mu.Lock()
	n := k.row.Incarnation
	k.renewalSent = time.Time{}
	k.mu.Unlock()
	k.Counters.Lost.Add(1)
	if k.OnLost != nil {
		k.OnLost(n)
	}
}

// take reads the row, fences the worker and writes the next incarnation.
//
// Guards against tasks that run in two places. It comes about when the previous
// agent left tasks running: the entry takes a new incarnation as proof that
// they have ended and runs them elsewhere. Therefore the worker stops them and
// refuses the previous holder before the new incarnation is written.
func (k *Keeper) take(ctx context.Context) error {
	key := structs.AgentLeaseKey(k.config.Instance)
	ctx, cancel := context.WithTimeout(ctx, k.config.Timeout)
	defer cancel()
	row, err := k.table.Get(ctx, key)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return eris.Wrapf(err, "read lease of %s", k.config.Instance)
	}
	old := k.previous(row)
	above := old.Incarnation
	if k.HighestUsed != nil {
		above = max(above, k.HighestUsed())
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
	k.row, k.version, k.renewalSent = next, version, sent
	k.mu.Unlock()
	k.Counters.Taken.Add(1)
	if k.OnTaken != nil {
		k.OnTaken(next.Incarnation)
	}
	return nil
}

// maxIncarnation bounds the incarnations of a row that can be used.
const maxIncarnation = 1 << 62

// previous returns the lease that the row holds. A row that another writer left, which
// holds no lease of this instance, has the row's version as its incarnation: each
// incarnation was written with a version of its own, so none was higher.
//
// Guards against one odd row, after which the instance takes its lease never again.
func (k *Keeper) previous(row infra.Row) structs.AgentLease {
	var old structs.AgentLease
	if row.Version == 0 {
		return old
	}
	if err := json.Unmarshal(row.Value, &old); err != nil || old.Instance != k.config.Instance || old.Incarnation > maxIncarnation {
		k.Counters.Unreadable.Add(1)
		return structs.AgentLease{Incarnation: structs.Incarnation(row.Version)}
	}
	return old
}

// write stores the row if its version is still the given one.
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

// renew raises the row's counter. The lease's length counts from before the
// first attempt.
//
// Guards against a lease that is given up without need. It comes about when an
// earlier renewal timed out and took effect later: the next one conflicts with
// a row that this keeper wrote. Such a row is adopted and the renewal repeated.
// Only a row that another process wrote means that the lease is lost.
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
			k.recordRenewal(next, written, sent)
			return nil
		case !errors.As(err, &conflict):
			return eris.Wrapf(err, "renew lease of %s", k.config.Instance)
		}
		if err := k.adopt(conflict.Current); err != nil {
			return err
		}
	}
}

func (k *Keeper) recordRenewal(row structs.AgentLease, version uint64, sent time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if Elapsed(k.renewalSent, time.Now()) > k.config.Length {
		k.Counters.Lapsed.Add(1)
	}
	k.row, k.version, k.renewalSent = row, version, sent
}

// adopt continues from a row that this keeper wrote earlier.
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

// Release marks the lease row as released, if the lease is held: no task of this
// incarnation runs any more. The caller has stopped all tasks and ended Run.
func (k *Keeper) Release(ctx context.Context) error {
	k.mu.Lock()
	next, version, held := k.row, k.version, !k.renewalSent.IsZero()
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
	k.renewalSent = time.Time{}
	k.mu.Unlock()
	k.Counters.Released.Add(1)
	return nil
}

// Values returns the counters by name.
func Values(c *Counters) map[string]int64 {
	return map[string]int64{
		"taken": c.Taken.Load(), "renewed": c.Renewed.Load(), "renew_failed": c.RenewFailed.Load(),
		"lost": c.Lost.Load(), "lapsed": c.Lapsed.Load(), "released": c.Released.Load(),
		"unreadable": c.Unreadable.Load(),
	}
}
