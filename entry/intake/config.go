package intake

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/wait"
	"persimmonrock.example/structs/workload"
)

const (
	// configWait bounds how long the store holds the feed back, and so how
	// long a connection that fell silent goes unnoticed. A change has to be
	// in force within 2 s.
	configWait = 500 * time.Millisecond
	// configCall bounds a call with its wait: a store that does not answer is
	// to be noticed, and its return, too.
	configCall = 1300 * time.Millisecond
	// configRetry is the pause after a read that failed.
	configRetry = 100 * time.Millisecond
)

// ConfigSource tells where the operator's configuration is and how to read
// it.
type ConfigSource struct {
	Key   rowstore.Key
	Parse func([]byte) (*workload.Config, error)
}

// Follower keeps the newest configuration. Versions only go up within a
// process.
type Follower struct {
	store   rowstore.Store
	source  ConfigSource
	log     zerolog.Logger
	current atomic.Pointer[workload.Config]
	// heard is when the store last answered, on now's clock.
	heard atomic.Int64
	now   func() time.Duration
	clock *StoreClock
}

// NewFollower returns a follower without a configuration. It sets clock by each
// answer.
//
// Failure guarded against: an entry that has written no job yet knows no time
// of the store, and stamps its first job with its own machine's, hours off. The
// job then counts as overdue, and waits behind all others, or stays in time for
// ever. No job is accepted without a configuration, so the answer that brought
// it has set the clock.
func NewFollower(store rowstore.Store, source ConfigSource, log zerolog.Logger, clock *StoreClock) *Follower {
	return &Follower{store: store, source: source, log: log, now: clock.now, clock: clock}
}

// Current returns the configuration in force, or nil.
func (f *Follower) Current() *workload.Config { return f.current.Load() }

// Heard returns how long ago the store last answered.
func (f *Follower) Heard() time.Duration { return f.now() - time.Duration(f.heard.Load()) }

// Run follows the configuration until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	after, listed, failing := uint64(0), false, false
	for ctx.Err() == nil {
		var rows []rowstore.Row
		var at rowstore.Stamp
		var err error
		call, cancel := context.WithTimeout(ctx, configCall)
		if listed {
			rows, at, err = f.store.Feed(call, f.source.Key.Table, after, configWait)
		} else {
			rows, _, at, err = f.store.List(call, f.source.Key.Table, f.source.Key.Part, f.source.Key.Key, f.source.Key.Key+"\x00")
		}
		cancel()
		if err != nil {
			if !failing && ctx.Err() == nil {
				f.log.Warn().Err(err).Msg("configuration feed lost")
			}
			failing = true
			// After any fault of the feed the row itself is read: a feed may
			// have been silent while changes were made.
			listed = listed && !errors.Is(err, rowstore.ErrCompacted) && !errors.Is(err, rowstore.ErrUnknown)
			wait.For(ctx, configRetry)
			continue
		}
		if failing {
			failing = false
			f.log.Warn().Msg("configuration feed regained")
		}
		f.heard.Store(int64(f.now()))
		f.clock.Set(at)
		after, listed = max(after, at.Version), true
		for _, row := range rows {
			if row.Key == f.source.Key && !row.Deleted {
				f.take(row)
			}
		}
	}
}

func (f *Follower) take(row rowstore.Row) {
	c, err := f.source.Parse(row.Value)
	if err != nil {
		f.log.Error().Err(err).Uint64("row", row.Version).Msg("configuration can't be read; the last one stays in force")
		return
	}
	if now := f.current.Load(); now != nil && c.Version <= now.Version {
		return
	}
	f.current.Store(c)
	f.log.Info().Uint64("version", c.Version).Int("queues", len(c.Queues)).Int("services", len(c.Services)).Msg("configuration in force")
}
