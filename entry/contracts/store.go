package contracts

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/configtable"
	"persimmonrock.example/structs"
)

// Defaults of Options.
const (
	DefaultPoll    = time.Second
	DefaultStale   = 5 * time.Second
	attemptTimeout = time.Second
)

// Steps recorded in the time line.
const (
	StepInstalled structs.Step = "config-installed"
	StepAccepted  structs.Step = "config-accepted"
)

// Peers requests a newer configuration from other entries.
type Peers interface {
	// NewerConfig returns the newest configuration above held that any
	// reachable entry has, or nil.
	NewerConfig(ctx context.Context, held structs.Config) *structs.Config
}

// Options holds the intervals of a Store; zero fields mean the defaults.
type Options struct {
	// Poll is the pause between two reads of the revision row.
	Poll time.Duration
	// Stale is how long the view may be served after the last confirmation,
	// even a failed one. It must exceed Poll plus the time-outs of a
	// confirmation, so that only a paused process reaches it.
	Stale time.Duration
}

// Store reads and changes the configuration in the table service.
type Store struct {
	View
	table  infra.Table
	peers  Peers
	events structs.Recorder
	log    zerolog.Logger
	opts   Options

	// confirming holds one token: one confirmation runs at a time.
	confirming chan struct{}
	wake       chan struct{}

	// Reads counts the attempts to read the table service, Failed those that
	// failed. Held counts the requests that Serve refused.
	Reads  atomic.Int64
	Failed atomic.Int64
	Held   atomic.Int64
}

// New returns a store without a configuration; Run reads the first one.
func New(table infra.Table, peers Peers, events structs.Recorder, log zerolog.Logger, opts Options) *Store {
	if opts.Poll == 0 {
		opts.Poll = DefaultPoll
	}
	if opts.Stale == 0 {
		opts.Stale = DefaultStale
	}
	return &Store{table: table, peers: peers, events: events, log: log, opts: opts, wake: make(chan struct{}, 1), confirming: make(chan struct{}, 1)}
}

// Run confirms the view at the configured interval until ctx ends.
func (s *Store) Run(ctx context.Context) {
	timer := time.NewTimer(s.opts.Poll)
	defer timer.Stop()
	for {
		s.Confirm(ctx)
		timer.Reset(s.opts.Poll)
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		case <-timer.C:
		}
	}
}

// ConfirmSoon makes Run confirm at once.
func (s *Store) ConfirmSoon() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// Serve returns nil if requests may be decided under the view now.
//
// Failure guarded against: a process is paused while newer configurations are
// accepted, resumes, and decides its next request under the old one. After a
// pause no confirmation has ended within Stale, so the request waits for one. A
// confirmation that fails because the store is down still counts: meanwhile the
// store can accept no change, and other entries have been asked. A view known
// to be behind is not served at all.
func (s *Store) Serve(ctx context.Context) *structs.Refusal {
	attempted, _, behind := s.state()
	if s.Config().Revision != 0 && !behind && time.Since(attempted) <= s.opts.Stale {
		return nil
	}
	s.Confirm(ctx)
	attempted, _, behind = s.state()
	if s.Config().Revision != 0 && !behind && time.Since(attempted) <= s.opts.Stale {
		return nil
	}
	s.Held.Add(1)
	return &structs.Refusal{
		Type: structs.RefusedStaleConfig, Status: 503, Outcome: structs.NotRun,
		Detail:     "the configuration in force could not be confirmed",
		RetryAfter: time.Second, Step: "contracts.serve",
	}
}

// Confirm updates the view to the table service's revision. If the read fails,
// Confirm asks the other entries.
func (s *Store) Confirm(ctx context.Context) {
	started := time.Now()
	select {
	case s.confirming <- struct{}{}:
	case <-ctx.Done():
		return
	}
	defer func() { <-s.confirming }()
	if attempted, _, behind := s.state(); !behind && attempted.After(started) {
		return
	}
	attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	before := s.Config().Revision
	err := s.refresh(attempt)
	if err != nil && ctx.Err() != nil {
		return
	}
	if err != nil {
		s.Failed.Add(1)
		s.askPeers(ctx)
	}
	s.recordConfirmation(time.Now(), err == nil)
	if now := s.Config().Revision; now != before {
		s.events.Record(structs.Event{Step: StepInstalled, Epoch: structs.Epoch(now)})
		s.log.Info().Uint64("revision", uint64(now)).Msg("configuration in force")
	}
}

func (s *Store) askPeers(ctx context.Context) {
	if s.peers == nil {
		return
	}
	ask, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	if newer := s.peers.NewerConfig(ask, s.Config()); newer != nil {
		s.Install(*newer)
	}
}

// refresh installs what is newer in the table service.
func (s *Store) refresh(ctx context.Context) error {
	s.Reads.Add(1)
	held := s.Config()
	newer, err := configtable.ReadNewer(ctx, s.table, held)
	if err == nil && newer.Revision > held.Revision {
		s.Install(newer)
	}
	return err
}
