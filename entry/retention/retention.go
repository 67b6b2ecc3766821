// Package retention says how old rows are without comparing clocks.
//
// One row of the table service counts periods, for each sort of rows with a time
// of its own. An entry raises it only after
// it has seen the count unchanged for a whole period by its own clock, so each
// step takes at least a period, however many entries there are and whatever
// their clocks say. A row stamped e was written in epoch e or e+1 (see
// Counter.Epoch), and the step after that may come at once; so one that is
// deleted in epoch e+Keep+2 has stood for Keep whole periods at least.
package retention

import (
	"context"
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

const (
	// Keep is how many whole periods a stamped row is kept at least.
	Keep = 24
	// readsAPeriod is how often an entry looks at the count in each period.
	readsAPeriod = 4
	readTimeout  = 2 * time.Second
)

// row is the value of structs.RetentionKey. Period is the longest of those
// that entries were set to, so that a wrong setting of one can't shorten it.
type row struct {
	Epoch  structs.RetentionEpoch `json:"epoch"`
	Period structs.Duration       `json:"period"`
}

// instant is a time by both of the process's own clocks.
//
// Failure guarded against: the machine is suspended for a day, in which the
// monotonic clock stands still; the process wakes, takes its old epoch for the
// present one, and rows that it stamps are deleted at once. The wall clock
// shows the pause, and the longer of the two counts.
type instant struct {
	monotonic time.Time
	wall      time.Time
}

func now() instant {
	t := time.Now()
	return instant{monotonic: t, wall: t.Round(0)}
}

// since is the longest time that may have passed since i.
func (i instant) since() time.Duration {
	n := now()
	return max(n.monotonic.Sub(i.monotonic), n.wall.Sub(i.wall))
}

// Counter is one entry's view of the count. It is safe for concurrent use.
type Counter struct {
	table  infra.Table
	key    string
	period time.Duration

	mu      sync.Mutex
	row     row
	version uint64
	known   bool
	// changed is by the monotonic clock alone: it must never be early.
	changed time.Time
	read    instant

	// Raised counts the steps that this entry made, Failed the reads and
	// writes that the table service did not answer.
	Raised, Failed atomic.Int64
}

// New returns a counter for one sort of rows, which are kept for at least the
// given time.
func New(table infra.Table, sort string, kept time.Duration) *Counter {
	return &Counter{table: table, key: structs.RetentionKey(sort), period: kept / Keep}
}

// Epoch returns the epoch to stamp on a row that is written now. It is 0, false
// while it isn't known, or may have been raised more than once since.
func (c *Counter) Epoch() (structs.RetentionEpoch, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || c.read.since() > c.row.Period.Std() {
		return 0, false
	}
	return c.row.Epoch, true
}

// Expired reports whether a row stamped with the given epoch may be deleted. A
// row without a stamp never may: its reader stamps it first.
func (c *Counter) Expired(written structs.RetentionEpoch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// An old view only makes this later: the count never goes down.
	return c.known && written != 0 && c.row.Epoch >= written+Keep+2
}

// Run follows the count, and raises it, until ctx ends.
func (c *Counter) Run(ctx context.Context) {
	for {
		if err := c.step(ctx); err != nil && ctx.Err() == nil {
			c.Failed.Add(1)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.period / readsAPeriod):
		}
	}
}

// step reads the count and raises it when it has stood for a whole period.
func (c *Counter) step(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := now()
	found, err := c.table.Get(ctx, c.key)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return eris.Wrap(err, "retention: read the count from table")
	}
	next, due, err := c.take(found, began)
	if err != nil || !due {
		return err
	}
	return c.raise(ctx, next, found.Version)
}

// take notes what was read and returns the next row if it is due.
func (c *Counter) take(found infra.Row, began instant) (next row, due bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var read row
	if found.Version != 0 {
		if err := json.Unmarshal(found.Value, &read); err != nil {
			return row{}, false, eris.Wrap(err, "retention: decode the count")
		}
	}
	if found.Version != c.version || !c.known {
		c.changed = time.Now()
	}
	c.row, c.version, c.known, c.read = read, found.Version, found.Version != 0, began
	next = row{Epoch: read.Epoch + 1, Period: max(read.Period, structs.Duration(c.period))}
	return next, !c.known || time.Since(c.changed) > next.Period.Std(), nil
}

// raise writes the next count on the condition that nobody else has. Whether it
// took effect is learnt from the next reading.
func (c *Counter) raise(ctx context.Context, next row, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "retention: encode the count")
	}
	_, err = c.table.Commit(ctx, infra.Txn{
		Op:    fmt.Sprintf("%s/%d", c.key, next.Epoch),
		Conds: []infra.Cond{{Key: c.key, Version: version}},
		Puts:  []infra.Put{{Key: c.key, Value: value}},
	})
	var conflict *infra.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	if err != nil {
		return eris.Wrap(err, "retention: raise the count in table")
	}
	c.Raised.Add(1)
	return nil
}
