package infra

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"time"

	"github.com/rotisserie/eris"
)

// Backoff between the attempts of one write, which doubles up to the maximum.
// The time-outs of attempts double, too, so that a lost answer doesn't use up
// the whole context, and a later attempt waits long enough for a slow answer.
const (
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = time.Second
	initialTimeout = 2 * time.Second
	maxTimeout     = 16 * time.Second
)

// SupersededError means that a write of unknown outcome can't take effect any
// more, but that later writes to its rows hide whether it took effect or which
// versions it wrote. The caller has to read the rows again before another
// write. errors.Is reports a SupersededError as ErrUnknown.
type SupersededError struct {
	// Applied means that the write took effect before others changed some of
	// its rows; if false, it may have taken effect.
	Applied bool
	// Current is the row on which the last attempt failed.
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
// Failure guarded against: the store applies a write and its answer is lost, or
// applies it after the time-out. The attempt returns ErrUnknown, and its repeat
// a conflict: on a row changed by the first attempt or by another process, or
// on a row that t only checks. CommitOnce can distinguish these cases: a
// condition on a version is met at most once, and each row names the operation
// that wrote it. A row with t.Op proves that t was applied. A row that t puts
// and that still has the version of its condition proves that t was not
// applied.
//
// Errors: ErrUnavailable, ErrInvalid and *ConflictError prove that t has not
// been applied. *SupersededError means that later writes hide the outcome.
// ErrUnknown means that ctx ended first and that t may still take effect.
//
// A condition on absence is met again once the row is deleted, so a row that is
// inserted on absence alone must not be deleted before the store's longest
// delay has passed.
func CommitOnce(ctx context.Context, tab Table, t Txn) ([]uint64, error) {
	return commit(ctx, tab, t, false)
}

// CommitAgain is CommitOnce for a transaction whose earlier commit returned
// ErrUnknown. The answers to the new attempts alone do not prove that t was not
// applied.
func CommitAgain(ctx context.Context, tab Table, t Txn) ([]uint64, error) {
	return commit(ctx, tab, t, true)
}

// commit repeats t; uncertain is set if an earlier attempt may have been, or may
// still be, applied.
func commit(ctx context.Context, tab Table, t Txn, uncertain bool) ([]uint64, error) {
	if err := t.checkRepeatable(); err != nil {
		return nil, err
	}
	for attempt := 0; ; attempt++ {
		versions, err := tryCommit(ctx, tab, t, attempt)
		var conflict *ConflictError
		switch {
		case err == nil:
			return versions, nil
		case errors.As(err, &conflict):
			if uncertain || conflict.Current.Op == t.Op {
				return resolveOutcome(ctx, tab, t, conflict)
			}
			return nil, err
		case errors.Is(err, ErrInvalid):
			return nil, err
		case !errors.Is(err, ErrUnavailable):
			uncertain = true
		case !uncertain:
			return nil, err
		}
		if !backOff(ctx, t.Op, attempt) {
			return nil, eris.Wrapf(ErrUnknown, "commit %s: %v after %d attempts", t.Op, ctx.Err(), attempt+1)
		}
	}
}

// checkRepeatable returns ErrInvalid unless a repeat of t can be distinguished
// from its first attempt.
func (t Txn) checkRepeatable() error {
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

// cond returns the version that t requires of the row under key.
func (t Txn) cond(key string) (version uint64, ok bool) {
	for _, c := range t.Conds {
		if c.Key == key {
			return c.Version, true
		}
	}
	return 0, false
}

func tryCommit(ctx context.Context, tab Table, t Txn, attempt int) ([]uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, doubled(initialTimeout, attempt, maxTimeout))
	defer cancel()
	return tab.Commit(ctx, t)
}

// resolveOutcome determines the outcome of t after a conflict of a repeat.
// After the conflict no attempt of t can take effect, so the outcome is final.
//
// Failure guarded against: the caller uses another process's version as its
// own, and its next conditional write overwrites the other's change, such as a
// new owner's lease. So resolveOutcome returns versions only if all rows put by
// t still name t.Op.
func resolveOutcome(ctx context.Context, tab Table, t Txn, conflict *ConflictError) ([]uint64, error) {
	applied := conflict.Current.Op == t.Op
	changed := false
	versions := make([]uint64, 0, len(t.Puts))
	for _, p := range t.Puts {
		row, err := readRow(ctx, tab, p.Key)
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

// readRow reads a row until the store answers or ctx ends; an absent row has
// version 0.
func readRow(ctx context.Context, tab Table, key string) (Row, error) {
	for attempt := 0; ; attempt++ {
		row, err := tryRead(ctx, tab, key, attempt)
		switch {
		case err == nil:
			return row, nil
		case errors.Is(err, ErrNotFound):
			return Row{Key: key}, nil
		case !backOff(ctx, key, attempt):
			return Row{}, err
		}
	}
}

func tryRead(ctx context.Context, tab Table, key string, attempt int) (Row, error) {
	ctx, cancel := context.WithTimeout(ctx, doubled(initialTimeout, attempt, maxTimeout))
	defer cancel()
	return tab.Get(ctx, key)
}

// backOff waits before the next attempt and reports whether ctx is still
// active.
//
// Failure guarded against: a recovering store is overloaded again because all
// processes repeat their writes at once. The backoff grows, and a hash of id
// shortens the backoff by up to half, so that processes repeat at different
// times. A random source would have to be controlled by tests.
func backOff(ctx context.Context, id string, attempt int) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	d := doubled(initialBackoff, attempt, maxBackoff)
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

func doubled(d time.Duration, n int, limit time.Duration) time.Duration {
	for ; n > 0 && d < limit; n-- {
		d *= 2
	}
	return min(d, limit)
}
