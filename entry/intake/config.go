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
	// configWait is the time after which the store answers a feed request even
	// without changes. So a broken connection is noticed soon: a change must be
	// in force within 2 s.
	configWait = 500 * time.Millisecond
	// feedIdleTimeout ends a feed request that receives nothing for this long
	// after configWait. The rows are then listed instead: a feed would deliver
	// every change made meanwhile, a list only the latest state.
	feedIdleTimeout = 400 * time.Millisecond
	// configLateAfter is the duration of a read after which the feed is logged
	// as lost. The answer of a longer read does not set the store's clock,
	// unless there is no configuration yet.
	configLateAfter = 1300 * time.Millisecond
	// configTimeout bounds a read; a new read follows.
	configTimeout = 20 * time.Second
	// configRetry is the pause after a read that failed.
	configRetry = 100 * time.Millisecond
)

// ConfigSource locates the operator's rows and parses them.
type ConfigSource struct {
	// Key is the row of the configuration. The drains are rows of the same
	// partition of the same table.
	Key   rowstore.Key
	Parse func([]byte) (*workload.Config, error)
	// Drained returns the data centre that a row drains. ok is false for a row
	// of another kind, and err is set for the row of a drain that names no data
	// centre. Drained is nil if there are no such rows.
	Drained func(rowstore.Key) (dataCentre string, ok bool, err error)
}

// Follower keeps the newest configuration and the drained data centres.
// Versions never decrease within a process.
type Follower struct {
	store   rowstore.Reader
	source  ConfigSource
	log     zerolog.Logger
	current atomic.Pointer[workload.Config]
	drains  atomic.Pointer[workload.Drains]
	// lastAnswer is the time of the store's last answer. confirmed is the time
	// at which the rows were last known to be current. Both are local times, and 0
	// before the first answer.
	lastAnswer, confirmed atomic.Int64
	// lost is set once the loss of the feed has been logged.
	lost  atomic.Bool
	now   func() time.Duration
	clock *StoreClock
	// Counters count the reads.
	Counters FollowerCounters
}

// FollowerCounters count the started and failed reads of the operator's rows,
// and the bytes of the configurations.
type FollowerCounters struct {
	Reads, Failed, Bytes atomic.Int64
	// ReadTime is the duration of a successful read, including the feed's wait.
	ReadTime histogram.Latency
}

// Figures returns the counters for display, with the version in force and the
// time since the store's last answer.
func (f *Follower) Figures() map[string]any {
	version := uint64(0)
	if c := f.current.Load(); c != nil {
		version = c.Version
	}
	return map[string]any{
		"version": version, "heard_ms": f.AnswerAge().Milliseconds(), "reads": f.Counters.Reads.Load(),
		"reads_failed": f.Counters.Failed.Load(), "bytes": f.Counters.Bytes.Load(), "read_ms": f.Counters.ReadTime.Summary(),
	}
}

// NewFollower returns a follower without a configuration. It sets clock from
// each answer that arrives in time, and from any answer while it has no
// configuration.
//
// Failure guarded against: an entry that has written no job yet has no store
// time and stamps its first job with its own machine's clock, hours off. The
// job then counts as overdue and waits behind all others, or never counts as
// overdue. No job is accepted before a configuration has arrived, and the
// answer that brings the configuration sets the clock.
func NewFollower(store rowstore.Reader, source ConfigSource, log zerolog.Logger, clock *StoreClock) *Follower {
	f := &Follower{store: store, source: source, log: log, now: clock.now, clock: clock}
	f.drains.Store(&workload.Drains{})
	return f
}

// Current returns the configuration in force, or nil.
func (f *Follower) Current() *workload.Config { return f.current.Load() }

// Drains returns the drained data centres and the time since the store last
// confirmed them.
func (f *Follower) Drains() (workload.Drains, time.Duration) {
	// Read after the drains, the age could belong to a newer answer.
	age := f.age(&f.confirmed)
	return *f.drains.Load(), age
}

// AnswerAge returns the time since the store's last answer.
func (f *Follower) AnswerAge() time.Duration { return f.age(&f.lastAnswer) }

// neverAnswered is the age of an answer that has not come yet.
const neverAnswered = 24 * time.Hour

// age returns the time since the local time at, which is 0 for never.
func (f *Follower) age(at *atomic.Int64) time.Duration {
	if x := at.Load(); x != 0 {
		return f.now() - time.Duration(x)
	}
	return neverAnswered
}

// Run follows the operator's rows until ctx ends.
func (f *Follower) Run(ctx context.Context) {
	after, listed := uint64(0), false
	for ctx.Err() == nil {
		asked := f.now()
		rows, at, err := f.read(ctx, after, listed)
		if err != nil {
			f.reportLost(ctx, err)
			f.Counters.Failed.Add(1)
			f.log.Info().Err(err).Bool("feed", listed).Dur("took", f.now()-asked).Msg("configuration not read")
			// After these two errors the rows are listed: changes may have been made
			// while the feed gave no answer.
			listed = listed && !errors.Is(err, rowstore.ErrCompacted) && !errors.Is(err, rowstore.ErrUnknown)
			wait.For(ctx, configRetry)
			continue
		}
		if f.lost.Swap(false) {
			f.log.Warn().Dur("took", f.now()-asked).Msg("configuration feed regained")
		}
		f.Counters.ReadTime.Observe(f.now() - asked)
		f.applyDrains(rows, at, listed)
		f.recordAnswer(asked, at, listed, len(rows) > 0)
		if f.now()-asked < configLateAfter || f.current.Load() == nil {
			f.clock.Set(at)
		}
		after, listed = max(after, at.Version), true
		for _, row := range rows {
			if row.Key == f.source.Key && !row.Deleted {
				f.applyConfig(row, f.now()-asked)
			}
		}
	}
}

// read lists the operator's rows, or waits for their changes after a version.
func (f *Follower) read(ctx context.Context, after uint64, listed bool) ([]rowstore.Row, rowstore.Stamp, error) {
	f.Counters.Reads.Add(1)
	call, cancel := context.WithTimeout(ctx, configTimeout)
	defer cancel()
	late := time.AfterFunc(configLateAfter, func() { f.reportLost(ctx, errLate) })
	defer late.Stop()
	if listed {
		call, cancel := progress.WithIdleTimeout(call, configWait+feedIdleTimeout)
		defer cancel()
		return f.store.Feed(call, f.source.Key.Table, after, configWait)
	}
	return rowstore.ListAll(call, f.store, f.source.Key.Table, f.source.Key.Part)
}

var errLate = errors.New("no answer yet")

// reportLost logs the loss of the feed once, until the feed is regained.
func (f *Follower) reportLost(ctx context.Context, err error) {
	if ctx.Err() == nil && !f.lost.Swap(true) {
		f.log.Warn().Err(err).Msg("configuration feed lost")
	}
}

// recordAnswer records an answer of the store, or one that another entry has
// passed on. A list, or a feed with changes, may show the state at the time of
// the request; a feed without changes confirms the state at the end of its wait.
func (f *Follower) recordAnswer(asked time.Duration, at rowstore.Stamp, feed, changes bool) {
	now := f.now()
	f.lastAnswer.Store(max(f.lastAnswer.Load(), int64(now-at.Age)))
	if at.Age > 0 {
		f.confirmed.Store(max(f.confirmed.Load(), int64(now-at.Age-at.Lag)))
		return
	}
	if feed && !changes {
		asked = min(now, asked+configWait)
	}
	f.confirmed.Store(int64(asked))
}

// applyDrains applies drain rows. Those of a feed (changes is set) change the
// drains in force; those of a list replace them. A list counts as newer even if
// it changes nothing here: another process may have sent agents a drain that has
// ended since.
func (f *Follower) applyDrains(rows []rowstore.Row, at rowstore.Stamp, changes bool) {
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
			f.log.Error().Err(err).Uint64("row", row.Version).Msg("drain can't be parsed; it is ignored")
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
	f.log.Info().Strs("data_centres", next.Names()).Uint64("version", next.Version).Msg("set of drained data centres changed")
}

// applyConfig puts a configuration into force; took is the duration of its
// read.
func (f *Follower) applyConfig(row rowstore.Row, took time.Duration) {
	f.Counters.Bytes.Add(int64(len(row.Value)))
	c, err := f.source.Parse(row.Value)
	if err != nil {
		f.log.Error().Err(err).Uint64("row", row.Version).Msg("configuration can't be parsed; the last one stays in force")
		return
	}
	if now := f.current.Load(); now != nil && c.Version <= now.Version {
		return
	}
	f.current.Store(c)
	f.log.Info().Uint64("version", c.Version).Int("queues", len(c.Queues)).Int("services", len(c.Services)).
		Int("bytes", len(row.Value)).Uint64("row", row.Version).Dur("took", took).Msg("configuration in force")
}
