package infra

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/rotisserie/eris"
)

// Pauses between the attempts of one write: the first one, and the greatest
// that doubling leads to. Attempts are bounded in the same way, so that an
// answer which never comes doesn't use up the whole context, and one which
// comes slowly is waited for in the end.
const (
	firstPause   = 20 * time.Millisecond
	longestPause = time.Second
	firstTry     = 2 * time.Second
	longestTry   = 16 * time.Second
)

// SupersededError says that a write of unknown outcome is decided and won't
// take effect from now on, but that later writes hide what became of it or
// which versions it gave. The caller has to read its rows again before it
// writes them. errors.Is reports it as ErrUnknown.
type SupersededError struct {
	// Applied says that the write did take effect before others changed some
	// of its rows; false says that it may have.
	Applied bool
	// Current is the row that refused the last attempt.
	Current Row
}

// Error implements error.
func (e *SupersededError) Error() string {
	return fmt.Sprintf("platform: rows changed since by others (applied for certain: %t), at %s, now version %d",
		e.Applied, e.Current.Key, e.Current.Version)
}

// Is reports that target is ErrUnknown.
func (e *SupersededError) Is(target error) bool { return target == ErrUnknown }

// CommitOnce commits t and repeats it with the same operation ID while its
// outcome is unknown, until ctx ends. t needs an operation ID and at least one
// condition on a key that it also puts.
//
// Failure guarded against: the store applies a write and its answer is lost,
// or applies it after the time-out. It shows as ErrUnknown, and on the repeat
// as a conflict: with our own write, with a later one of someone else's, or on
// a row that t only checks. The guard holds because a condition on a version
// can be met once at most, and each row names the operation that wrote it: a
// row with t.Op proves that t was applied, a row of t still at the version
// that t is conditional on proves that it wasn't.
//
// Errors: ErrUnavailable, ErrInvalid and *ConflictError prove that t has not
// been applied. *SupersededError: see there. Otherwise ErrUnknown: ctx ended
// first, and t may still take effect.
//
// A condition on absence is met again once the row is deleted, so a row that
// is inserted on absence alone must not be deleted before the store's longest
// delay has passed.
func CommitOnce(ctx context.Context, tab Table, t Txn) ([]uint64, error) {
	return commit(ctx, tab, t, false)
}

// CommitAgain is CommitOnce for a caller that got ErrUnknown for t earlier: no
// answer to the new attempts alone counts as proof that t was not applied.
func CommitAgain(ctx context.Context, tab Table, t Txn) ([]uint64, error) {
	return commit(ctx, tab, t, true)
}

// commit repeats t; uncertain says that an earlier attempt may have been, or
// may still be, applied.
func commit(ctx context.Context, tab Table, t Txn, uncertain bool) ([]uint64, error) {
	if err := t.repeatable(); err != nil {
		return nil, err
	}
	for attempt := 0; ; attempt++ {
		versions, err := try(ctx, tab, t, attempt)
		var conflict *ConflictError
		switch {
		case err == nil:
			return versions, nil
		case errors.As(err, &conflict):
			if uncertain || conflict.Current.Op == t.Op {
				return settle(ctx, tab, t, conflict)
			}
			return nil, err
		case errors.Is(err, ErrInvalid):
			return nil, err
		case !errors.Is(err, ErrUnavailable):
			uncertain = true
		case !uncertain:
			return nil, err
		}
		if !pause(ctx, t.Op, attempt) {
			return nil, eris.Wrapf(ErrUnknown, "commit %s: %v after %d attempts", t.Op, ctx.Err(), attempt+1)
		}
	}
}

// repeatable returns ErrInvalid unless a repeat of t can be told from its
// first attempt.
func (t Txn) repeatable() error {
	if t.Op == "" {
		return eris.Wrap(ErrInvalid, "a repeatable transaction needs an operation ID")
	}
	for _, p := range t.Puts {
		if _, ok := t.cond(p.Key); ok {
			return nil
		}
	}
	return eris.Wrapf(ErrInvalid, "transaction %s: no condition on a row that it puts", t.Op)
}

// cond returns the version that t demands of the row under key.
func (t Txn) cond(key string) (version uint64, ok bool) {
	for _, c := range t.Conds {
		if c.Key == key {
			return c.Version, true
		}
	}
	return 0, false
}

func try(ctx context.Context, tab Table, t Txn, attempt int) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, doubled(firstTry, attempt, longestTry))
	defer cancel()
	return tab.Commit(ctx, t)
}

// settle finds out what became of t after a conflict of a repeat. From the
// conflict on no attempt of t can take effect, so what the rows show is final.
//
// Failure guarded against: the caller takes a version that someone else wrote
// for its own, and its next conditional write overwrites the other's change,
// such as a new owner's lease. Only versions of rows that still name t.Op are
// returned; if one of them doesn't, there is no success to report.
func settle(ctx context.Context, tab Table, t Txn, conflict *ConflictError) ([]uint64, error) {
	applied := conflict.Current.Op == t.Op
	changed := false
	versions := make([]uint64, 0, len(t.Puts))
	for _, p := range t.Puts {
		row, err := read(ctx, tab, p.Key)
		if err != nil {
			return nil, eris.Wrapf(ErrUnknown, "commit %s: read back: %v", t.Op, err)
		}
		wanted, conditional := t.cond(p.Key)
		switch {
		case row.Op == t.Op:
			applied = true
			versions = append(versions, row.Version)
		case !applied && conditional && row.Version == wanted:
			return nil, conflict
		default:
			changed = true
		}
		if applied && changed {
			break
		}
	}
	if changed {
		return nil, &SupersededError{Applied: applied, Current: conflict.Current}
	}
	return versions, nil
}

// read gets a row until the store answers or ctx ends; an absent row has
// version 0.
func read(ctx context.Context, tab Table, key string) (Row, error) {
	for attempt := 0; ; attempt++ {
		row, err := readTry(ctx, tab, key, attempt)
		switch {
		case err == nil:
			return row, nil
		case errors.Is(err, ErrNotFound):
			return Row{Key: key}, nil
		case !pause(ctx, key, attempt):
			return Row{}, err
		}
	}
}

func readTry(ctx context.Context, tab Table, key string, attempt int) (Row, error) {
	ctx, cancel := context.WithTimeout(ctx, doubled(firstTry, attempt, longestTry))
	defer cancel()
	return tab.Get(ctx, key)
}

// pause waits before the next attempt and reports whether ctx still runs.
//
// Failure guarded against: a store that comes back is kept down by every
// process repeating its write at once. Pauses grow, and spread by a hash of
// the operation ID over half their length, so that processes fall out of step
// without a random source that tests would have to steer.
func pause(ctx context.Context, id string, attempt int) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	d := doubled(firstPause, attempt, longestPause)
	d -= d / 2 * time.Duration(h.Sum32()%1000) / 1000
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return ctx.Err() == nil
	}
}

// doubled is d doubled n times, at most limit.
func doubled(d time.Duration, n int, limit time.Duration) time.Duration {
	for ; n > 0 && d < limit; n-- {
		d *= 2
	}
	return min(d, limit)
}
