// Package relay calls the store through another entry when the store refuses
// this machine or does not answer it: other machines may still be served.
package relay

import (
	"context"
	"encoding/json"
	"math"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/rtt"
	"persimmonrock.example/infra/wait"
	"persimmonrock.example/wire/dispatch"
)

const (
	// callTimeout bounds a transaction through another entry, readTimeout a
	// read after its wait for changes. Reads also try another path sooner.
	callTimeout = 900 * time.Millisecond
	readTimeout = 3 * time.Second
	// minAnswerTimeout and maxAnswerTimeout bound a feed's time-out beyond its
	// wait. The time-out is estimated from earlier reads. The slowest store
	// that users describe takes 0.3 s for a read.
	minAnswerTimeout = 100 * time.Millisecond
	maxAnswerTimeout = 800 * time.Millisecond
	// probeInterval is the time between two probes of the direct path while it
	// is lost. Probes run beside the calls: if a call had to probe a path that
	// is cut off, it would be delayed by the time-out.
	probeInterval = 300 * time.Millisecond
	// avoidTime is how long an entry that could not help is avoided; it doubles
	// with each consecutive failure, up to maxAvoidTime.
	avoidTime    = time.Second
	maxAvoidTime = 8 * time.Second
	// listInterval is the time between two reads of the list of entries. The
	// first reads follow sooner: entries that start together miss each other in
	// their first lists, and an entry that is then cut off from the store would
	// have no other entry to use.
	listInterval      = 5 * time.Second
	firstListInterval = 500 * time.Millisecond
	// listRetry is the pause after a read of the list that failed.
	listRetry = 500 * time.Millisecond
	// mostPeers bounds the entries that an entry is told of: so many that some
	// reach the store when most do not.
	mostPeers = 16
	// peersTimeout bounds the question for them.
	peersTimeout = 300 * time.Millisecond
)

// Table and partition of the list of entries.
const (
	entriesTable = "entries"
	entriesPart  = "e"
)

// entryRow holds the address at which an entry can be called.
type entryRow struct {
	Address string `json:"a"`
}

// Store is a rowstore.Store that falls back to other entries.
type Store struct {
	direct     rowstore.Store
	log        zerolog.Logger
	ownAddress string
	link       func(address string) *dispatch.Link

	// source returns the link to the entry that tells of other entries, or nil if
	// the list is to be read from the store.
	source func() *dispatch.Link

	mu    sync.Mutex
	peers map[string]*peer
	// listedAt is when all entries were last listed from the store.
	listedAt time.Time
	// lost is closed when the direct path fails, and is nil from then until a
	// probe succeeds.
	lost chan struct{}
	// reads estimates the duration of reads by the direct path.
	reads rtt.Estimator
	// lastHelpful is the entry that made the latest successful call.
	lastHelpful *peer

	// wake starts the probes of the direct path.
	wake chan struct{}

	relayed atomic.Int64
	// checking is set while checkPath runs.
	checking atomic.Bool
}

type peer struct {
	link *dispatch.Link
	// avoidUntil ends the avoidance; failures counts consecutive failures.
	avoidUntil time.Time
	failures   int
}

var _ rowstore.Store = (*Store)(nil)

// New returns a store that uses direct first. address is this entry's own; link
// opens the link to another entry.
func New(direct rowstore.Store, address string, link func(address string) *dispatch.Link, log zerolog.Logger) *Store {
	return &Store{direct: direct, ownAddress: address, log: log, link: link, source: func() *dispatch.Link { return nil }, peers: map[string]*peer{}, lost: make(chan struct{}), wake: make(chan struct{}, 1)}
}

// AskForPeers makes the store ask the entry that source returns for other
// entries, instead of listing all of them. It is called before Run.
func (s *Store) AskForPeers(source func() *dispatch.Link) { s.source = source }

// Relayed returns the number of calls made through other entries.
func (s *Store) Relayed() int64 { return s.relayed.Load() }

// Run registers this entry under node and updates the list of the others until
// ctx ends.
func (s *Store) Run(ctx context.Context, node string) {
	go s.probeLoop(ctx)
	registered := false
	pause := firstListInterval
	for ctx.Err() == nil {
		err := s.registerAndList(ctx, node, &registered)
		if err != nil {
			wait.For(ctx, listRetry)
			continue
		}
		wait.For(ctx, pause)
		pause = min(listInterval, 2*pause)
	}
}

func (s *Store) registerAndList(ctx context.Context, node string, registered *bool) error {
	if !*registered {
		value, err := json.Marshal(entryRow{Address: s.ownAddress})
		if err != nil {
			return err
		}
		key := rowstore.Key{Table: entriesTable, Part: entriesPart, Key: node}
		if _, err := s.direct.Apply(ctx, rowstore.Txn{Puts: []rowstore.Put{{Key: key, Value: value}}}); err != nil {
			return err
		}
		*registered = true
	}
	if addresses := s.askPeers(ctx); len(addresses) > 0 {
		s.setPeers(addresses)
		return nil
	}
	rows, _, err := rowstore.ListAll(ctx, s.direct, entriesTable, entriesPart)
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listedAt = time.Now()
	s.mu.Unlock()
	s.setPeers(s.addresses(rows))
	return nil
}

// askPeers returns the addresses of some entries from the entry that tells them,
// or none.
func (s *Store) askPeers(ctx context.Context) []string {
	link := s.source()
	if link == nil {
		return nil
	}
	var reply dispatch.PeersReply
	args := dispatch.PeersArgs{Address: s.ownAddress, Most: mostPeers}
	if err := link.Call(ctx, "Relay.Peers", args, &reply, peersTimeout); err != nil {
		return nil
	}
	return reply.Addresses
}

// addresses returns the addresses that rows hold.
func (s *Store) addresses(rows []rowstore.Row) []string {
	var list []string
	for _, row := range rows {
		var e entryRow
		if err := json.Unmarshal(row.Value, &e); err != nil {
			s.log.Error().Err(err).Str("entry", row.Key.Key).Msg("row of entry can't be decoded")
			continue
		}
		list = append(list, e.Address)
	}
	return list
}

// setPeers replaces the known entries.
func (s *Store) setPeers(addresses []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for _, address := range addresses {
		if address == s.ownAddress || address == "" {
			continue
		}
		seen[address] = true
		if s.peers[address] == nil {
			s.peers[address] = &peer{link: s.link(address)}
		}
	}
	for address, p := range s.peers {
		if !seen[address] {
			p.link.Close()
			delete(s.peers, address)
		}
	}
}

// peersFor returns at most most of the listed entries for the entry at address,
// or none if they were not listed of late. Each entry is given other ones, and
// the same ones each time.
func (s *Store) peersFor(address string, most int) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listedAt.IsZero() || time.Since(s.listedAt) > 2*listInterval {
		return nil
	}
	list := []string{s.ownAddress}
	for a := range s.peers {
		if a != address {
			list = append(list, a)
		}
	}
	rank := func(a string) int { return rowstore.Spread(address+" "+a, math.MaxInt32) }
	sort.Slice(list, func(i, j int) bool { return rank(list[i]) < rank(list[j]) })
	return list[:min(most, len(list))]
}

// answer is the result of a call of the store.
type answer struct {
	rows []rowstore.Row
	more bool
	at   rowstore.Stamp
	err  error
}

// peerAnswer converts the reply to a relayed call. The outcome of a call that
// succeeded is known only with the version and the time that every answer of the
// store has; an empty reply has neither.
func peerAnswer(reply *dispatch.RowsReply, err error) answer {
	if err != nil {
		return answer{err: callError(err)}
	}
	if reply.Err() == nil && (reply.At.Version == 0 || reply.At.Now == 0) {
		return answer{err: rowstore.ErrUnknown}
	}
	return answer{rows: reply.Rows, more: reply.More, at: reply.At, err: reply.Err()}
}

// Apply implements rowstore.Store.
func (s *Store) Apply(ctx context.Context, t rowstore.Txn) (rowstore.Stamp, error) {
	a := s.applyWithFallback(ctx, func() (a answer) {
		a.at, a.err = s.direct.Apply(ctx, t)
		return a
	}, func(l *dispatch.Link) answer {
		var reply dispatch.RowsReply
		return peerAnswer(&reply, l.Call(ctx, "Relay.Apply", dispatch.ApplyArgs{Txn: t}, &reply, callTimeout))
	})
	return a.at, a.err
}

// List implements rowstore.Store.
func (s *Store) List(ctx context.Context, table, part, from, to string) ([]rowstore.Row, bool, rowstore.Stamp, error) {
	return s.reader().List(ctx, table, part, from, to)
}

// Feed implements rowstore.Store.
func (s *Store) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Row, rowstore.Stamp, error) {
	return s.reader().Feed(ctx, table, after, wait)
}

// observe records the duration of a successful read by the direct path.
func (s *Store) observe(err error, duration time.Duration) {
	if err != nil || duration < 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads.Observe(duration)
}

// answerTimeout returns the time-out of a feed beyond its wait.
func (s *Store) answerTimeout() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads.Timeout(minAnswerTimeout, maxAnswerTimeout)
}
