package intake

import (
	"context"
	"errors"
	"maps"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra/progress"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/wait"
	"persimmonrock.example/ops/histogram"
	"persimmonrock.example/structs/workload"
)

const (
	// configWait bounds how long the store holds the feed back, and so how
	// long a connection that fell silent goes unnoticed. A change has to be
	// in force within 2 s.
	configWait = 500 * time.Millisecond
	// feedSilence bounds the silence of the store beyond the wait of a feed.
	// After it the rows themselves are read: a feed brings each change of the
	// meantime, and a list the latest one alone.
	feedSilence = 400 * time.Millisecond
	// configLate is how long a read takes until it is said that the feed is
	// lost, and its answer no longer sets the clock of the store.
	configLate = 1300 * time.Millisecond
	// configCall bounds a read: what goes on for so long is begun anew.
	configCall = 20 * time.Second
	// configRetry is the pause after a read that failed.
	configRetry = 100 * time.Millisecond
)

// ConfigSource tells where the operator's rows are and how to read them.
type ConfigSource struct {
	// Key is the row of the configuration. The drains are rows of the same
	// part of the same table.
	Key   rowstore.Key
	Parse func([]byte) (*workload.Config, error)
	// Drained names the data centre that is drained for as long as a row is
	// there. ok is false for a row of another kind, and err is set for the row
	// of a drain that names no data centre. Nil if there are no such rows.
	Drained func(rowstore.Key) (dataCentre string, ok bool, err error)
}

// Follower keeps the newest configuration, and the drained data centres.
// Versions only go up within a process.
type Follower struct {
	store   rowstore.Reader
	source  ConfigSource
	log     zerolog.Logger
	current atomic.Pointer[workload.Config]
	drains  atomic.Pointer[workload.Drains]
	// heard is when the store last answered, on now's clock, confirmed the
	// latest moment of which its answers told.
	heard, confirmed atomic.Int64
	// lost says that it was said that the feed is lost.
	lost  atomic.Bool
	now   func() time.Duration
	clock *StoreClock
	// Counters are the figures of the reads.
	Counters FollowerCounters
}

// FollowerCounters are the figures of a follower: reads of the operator's rows
// begun and failed, and the bytes of their values.
type FollowerCounters struct {
	Reads, Failed, Bytes atomic.Int64
	// Took is the time of a read that succeeded, with the wait of the feed.
	Took histogram.Latency
}

// Figures are the counters as they are shown, with the version in force and the
// time since the store last answered.
func (f *Follower) Figures() map[string]any {
	version := uint64(0)
	if c := f.current.Load(); c != nil {
		version = c.Version
	}
	return map[string]any{
		"version": version, "heard_ms": f.Heard().Milliseconds(), "reads": f.Counters.Reads.Load(),
		"reads_failed": f.Counters.Failed.Load(), "bytes": f.Counters.Bytes.Load(), "read_ms": f.Counters.Took.Summary(),
	}
}

// NewFollower returns a follower without a configuration. It sets clock by each
// answer.
//
// Failure guarded against: an entry that has written no job yet knows no time
// of the store, and stamps its first job with its own machine's, hours off. The
// job then counts as overdue, and waits behind all others, or stays in time for
// ever. No job is accepted without a configuration, so the answer that brought
// it has set the clock.
func NewFollower(store rowstore.Reader, source ConfigSource, log zerolog.Logger, clock *StoreClock) *Follower {
	f := &Follower{store: store, source: source, log: log, now: clock.now, clock: clock}
	f.drains.Store(&workload.Drains{})
	return f
}

// Current returns the configuration in force, or nil.
func (f *Follower) Current() *workload.Config { return f.current.Load() }

// Drains returns the drained data centres, and how long ago the store last
// confirmed that they are the ones.
func (f *Follower) Drains() (workload.Drains, time.Duration) {
	// The age is read first: it must not be that of a later answer.
	age := f.now() - time.Duration(f.confirmed.Load())
	return *f.drains.Load(), age
}

// Heard returns how long ago the store last answered.
func (f *Follower) Heard() time.Duration { return f.now() - time.Duration(f.heard.Load()) }

// Run follows the operator's rows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	after, listed := uint64(0), false
	for ctx.Err() == nil {
		asked := f.now()
		rows, at, err := f.read(ctx, after, listed)
		if err != nil {
			f.sayLost(ctx, err)
			f.Counters.Failed.Add(1)
			f.log.Info().Err(err).Bool("feed", listed).Dur("took", f.now()-asked).Msg("configuration not read")
			// After any fault of the feed the rows themselves are read: a feed
			// may have been silent while changes were made.
			listed = listed && !errors.Is(err, rowstore.ErrCompacted) && !errors.Is(err, rowstore.ErrUnknown)
			wait.For(ctx, configRetry)
			continue
		}
		if f.lost.Swap(false) {
			f.log.Warn().Dur("took", f.now()-asked).Msg("configuration feed regained")
		}
		f.Counters.Took.Observe(f.now() - asked)
		f.takeDrains(rows, at, listed)
		f.answered(asked, listed, len(rows) > 0)
		if f.now()-asked < configLate || f.current.Load() == nil {
			f.clock.Set(at)
		}
		after, listed = max(after, at.Version), true
		for _, row := range rows {
			if row.Key == f.source.Key && !row.Deleted {
				f.take(row, f.now()-asked)
			}
		}
	}
}

// read lists the operator's rows, or waits for their changes after a version.
func (f *Follower) read(ctx context.Context, after uint64, listed bool) ([]rowstore.Row, rowstore.Stamp, error) {
	f.Counters.Reads.Add(1)
	call, cancel := context.WithTimeout(ctx, configCall)
	defer cancel()
	late := time.AfterFunc(configLate, func() { f.sayLost(ctx, errLate) })
	defer late.Stop()
	if listed {
		call, cancel := progress.Bound(call, configWait+feedSilence)
		defer cancel()
		return f.store.Feed(call, f.source.Key.Table, after, configWait)
	}
	return rowstore.ListAll(call, f.store, f.source.Key.Table, f.source.Key.Part)
}

var errLate = errors.New("no answer yet")

// sayLost says once that the feed is lost, until it is regained.
func (f *Follower) sayLost(ctx context.Context, err error) {
	if ctx.Err() == nil && !f.lost.Swap(true) {
		f.log.Warn().Err(err).Msg("configuration feed lost")
	}
}

// answered notes an answer of the store. A list, or a feed with changes, may tell
// of the moment in which it was asked for; a feed without any has waited.
func (f *Follower) answered(asked time.Duration, feed, changes bool) {
	now := f.now()
	f.heard.Store(int64(now))
	if feed && !changes {
		asked = min(now, asked+configWait)
	}
	f.confirmed.Store(int64(asked))
}

// takeDrains takes the changes of the drains, or all of them from a list. A list
// counts as newer even if it changes nothing here: agents may have heard of a
// drain from another process that ended since.
func (f *Follower) takeDrains(rows []rowstore.Row, at rowstore.Stamp, changes bool) {
	if f.source.Drained == nil {
		return
	}
	before := f.drains.Load()
	next := workload.Drains{Version: max(before.Version, at.Version), DataCentres: map[string]bool{}}
	if changes {
		next.Version = before.Version
		maps.Copy(next.DataCentres, before.DataCentres)
	}
	for _, row := range rows {
		if row.Key.Table != f.source.Key.Table || row.Key.Part != f.source.Key.Part {
			continue
		}
		name, ok, err := f.source.Drained(row.Key)
		switch {
		case err != nil:
			f.log.Error().Err(err).Uint64("row", row.Version).Msg("drain can't be read; it is ignored")
		case !ok:
		case row.Deleted:
			next.Version = max(next.Version, row.Version)
			delete(next.DataCentres, name)
		default:
			next.Version = max(next.Version, row.Version)
			next.DataCentres[name] = true
		}
	}
	same := maps.Equal(before.DataCentres, next.DataCentres)
	if same && changes {
		return
	}
	f.drains.Store(&next)
	if same {
		return
	}
	f.log.Info().Strs("data_centres", next.Names()).Uint64("version", next.Version).Msg("drained data centres")
}

// take puts a configuration into force that a read of this duration brought.
func (f *Follower) take(row rowstore.Row, took time.Duration) {
	f.Counters.Bytes.Add(int64(len(row.Value)))
	c, err := f.source.Parse(row.Value)
	if err != nil {
		f.log.Error().Err(err).Uint64("row", row.Version).Msg("configuration can't be read; the last one stays in force")
		return
	}
	if now := f.current.Load(); now != nil && c.Version <= now.Version {
		return
	}
	f.current.Store(c)
	f.log.Info().Uint64("version", c.Version).Int("queues", len(c.Queues)).Int("services", len(c.Services)).
		Int("bytes", len(row.Value)).Uint64("row", row.Version).Dur("took", took).Msg("configuration in force")
}
