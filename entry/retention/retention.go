// Package retention measures the age of rows without comparing clocks.
//
// For each kind of row, one row of the table service holds the epoch, a count of
// periods. An entry advances the epoch only after seeing it unchanged for a whole
// period by its own clock, so each epoch lasts at least a period, however many
// entries there are and however their clocks differ. A row stamped with epoch e
// was written in epoch e or e+1 (see Counter.Epoch), perhaps just before the next
// advance. So a row deleted in epoch e+Keep+2 has existed for at least Keep whole
// periods.
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
	// Keep is the least number of whole periods for which a stamped row is kept.
	Keep = 24
	// readsPerPeriod is the number of reads of the epoch per entry and period.
	readsPerPeriod = 4
	readTimeout    = 2 * time.Second
)

// row is the value of structs.RetentionKey. Period is the longest period with
// which any entry was configured, so that one entry's wrong setting can't shorten
// the retention.
type row struct {
	Epoch  structs.RetentionEpoch `json:"epoch"`
	Period structs.Duration       `json:"period"`
}

// instant is a time by the process's monotonic and wall clocks.
//
// Failure guarded against: the machine is suspended for a day, in which the
// monotonic clock stands still; the process resumes, takes its old epoch for the
// current one, and rows that it stamps are deleted at once. The guard: the wall
// clock shows the pause, and the longer of the two elapsed times counts.
type instant struct {
	monotonic time.Time
	wall      time.Time
}

func now() instant {
	t := time.Now()
	return instant{monotonic: t, wall: t.Round(0)}
}

// since returns the longest time that may have passed since i.
func (i instant) since() time.Duration {
	n := now()
	return max(n.monotonic.Sub(i.monotonic), n.wall.Sub(i.wall))
}

// Counter is one entry's view of the epoch. It is safe for concurrent use.
type Counter struct {
	table  infra.Table
	key    string
	period time.Duration

	mu      sync.Mutex
	row     row
	version uint64
	known   bool
	// changedAt is when this process first read the current row. It is compared by
	// the monotonic clock alone: a step of the wall clock must not advance the
	// epoch early.
	changedAt time.Time
	readAt    instant

	// Advanced counts this entry's advances, Failed its failed reads and writes.
	Advanced, Failed atomic.Int64
}

// New returns a counter for one kind of row, kept for at least minRetention.
func New(table infra.Table, kind string, minRetention time.Duration) *Counter {
	return &Counter{table: table, key: structs.RetentionKey(kind), period: minRetention / Keep}
}

// Epoch returns the epoch to stamp on a row that is written now. It returns 0,
// false if the epoch is unknown or may have advanced more than once since the
// last read.
func (c *Counter) Epoch() (structs.RetentionEpoch, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.known || c.readAt.since() > c.row.Period.Std() {
		return 0, false
	}
	return c.row.Epoch, true
}

// Expired reports whether a row stamped with the given epoch may be deleted. A
// row without a stamp (epoch 0) may not be deleted; it must be stamped first.
func (c *Counter) Expired(written structs.RetentionEpoch) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	// A stale view only delays the deletion: the epoch never decreases.
	return c.known && written != 0 && c.row.Epoch >= written+Keep+2
}

// Run reads the epoch, and advances it when due, until ctx ends.
func (c *Counter) Run(ctx context.Context) {
	for {
		if err := c.poll(ctx); err != nil && ctx.Err() == nil {
			c.Failed.Add(1)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(c.period / readsPerPeriod):
		}
	}
}

// poll reads the epoch. It creates a missing row, and advances the epoch after a
// whole period without a change.
func (c *Counter) poll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	began := now()
	found, err := c.table.Get(ctx, c.key)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		return eris.Wrap(err, "retention: read the epoch from table")
	}
	next, due, err := c.observe(found, began)
	if err != nil || !due {
		return err
	}
	return c.advance(ctx, next, found.Version)
}

// observe records the row read, and returns the row to write next and whether
// this write is due.
func (c *Counter) observe(found infra.Row, began instant) (next row, due bool, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var read row
	if found.Version != 0 {
		if err := json.Unmarshal(found.Value, &read); err != nil {
			return row{}, false, eris.Wrap(err, "retention: decode the epoch")
		}
	}
	if found.Version != c.version || !c.known {
		c.changedAt = time.Now()
	}
	c.row, c.version, c.known, c.readAt = read, found.Version, found.Version != 0, began
	next = row{Epoch: read.Epoch + 1, Period: max(read.Period, structs.Duration(c.period))}
	return next, !c.known || time.Since(c.changedAt) > next.Period.Std(), nil
}

// advance writes the next epoch unless another entry has written it. The
// next read shows whether the write took effect.
func (c *Counter) advance(ctx context.Context, next row, version uint64) error {
	value, err := json.Marshal(next)
	if err != nil {
		return eris.Wrap(err, "retention: encode the epoch")
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
		return eris.Wrap(err, "retention: advance the epoch in table")
	}
	c.Advanced.Add(1)
	return nil
}
