// Package relay reaches the store through another entry where the store
// turns this machine away or does not answer it: it may serve others.
package relay

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/wait"
	"persimmonrock.example/wire/dispatch"
)

const (
	// callTimeout bounds a call through another entry beside its own wait.
	callTimeout = 900 * time.Millisecond
	// probeEvery is the time between two tries of the direct way while it is
	// lost. They are made beside the calls: a machine that is cut off from
	// the store learns so only by a time-out, for which calls would wait.
	probeEvery = 300 * time.Millisecond
	// avoidFor is how long an entry that could not help is left alone; it
	// doubles with each failure in a row, up to maxAvoid.
	avoidFor = time.Second
	maxAvoid = 8 * time.Second
	// listEvery is the time between two looks at the list of entries. The
	// first ones follow each other sooner: entries that start together miss
	// each other at first, and one that is cut off from the store then could
	// ask nobody.
	listEvery = 5 * time.Second
	listFirst = 500 * time.Millisecond
	// listRetry is the pause after a look that failed.
	listRetry = 500 * time.Millisecond
)

// Table and part of the list of entries.
const (
	entriesTable = "entries"
	entriesPart  = "e"
)

// entryRow is where an entry can be called.
type entryRow struct {
	Address string `json:"a"`
}

// Store is a rowstore.Store that falls back to other entries.
type Store struct {
	direct rowstore.Store
	log    zerolog.Logger
	own    string
	link   func(address string) *dispatch.Link

	mu    sync.Mutex
	peers map[string]*peer
	// lost says that the direct way has failed, and is tried beside the calls.
	lost bool
	// last is the entry that helped last.
	last *peer

	// wake tells Run's probe that the direct way is lost.
	wake chan struct{}

	relayed atomic.Int64
}

type peer struct {
	link *dispatch.Link
	// avoid is until when it is left alone, failures how often it failed in
	// a row.
	avoid    time.Time
	failures int
}

var _ rowstore.Store = (*Store)(nil)

// New returns a store that uses direct first. address is this entry's own.
// link makes the link to another entry.
func New(direct rowstore.Store, address string, link func(address string) *dispatch.Link, log zerolog.Logger) *Store {
	return &Store{direct: direct, own: address, log: log, link: link, peers: map[string]*peer{}, wake: make(chan struct{}, 1)}
}

// Relayed counts the calls that other entries made for this one.
func (s *Store) Relayed() int64 { return s.relayed.Load() }

// Run registers this entry under node and keeps the list of the others until
// ctx ends.
func (s *Store) Run(ctx context.Context, node string) {
	go s.probeLoop(ctx)
	registered := false
	pause := listFirst
	for ctx.Err() == nil {
		err := s.look(ctx, node, &registered)
		if err != nil {
			wait.For(ctx, listRetry)
			continue
		}
		wait.For(ctx, pause)
		pause = min(listEvery, 2*pause)
	}
}

func (s *Store) look(ctx context.Context, node string, registered *bool) error {
	if !*registered {
		value, err := json.Marshal(entryRow{Address: s.own})
		if err != nil {
			return err
		}
		key := rowstore.Key{Table: entriesTable, Part: entriesPart, Key: node}
		if _, err := s.direct.Apply(ctx, rowstore.Txn{Puts: []rowstore.Put{{Key: key, Value: value}}}); err != nil {
			return err
		}
		*registered = true
	}
	rows, _, err := rowstore.ListAll(ctx, s.direct, entriesTable, entriesPart)
	if err != nil {
		return err
	}
	s.setPeers(rows)
	return nil
}

func (s *Store) setPeers(rows []rowstore.Row) {
	s.mu.Lock()
	defer s.mu.Unlock()
	seen := map[string]bool{}
	for _, row := range rows {
		var e entryRow
		if err := json.Unmarshal(row.Value, &e); err != nil {
			s.log.Error().Err(err).Str("entry", row.Key.Key).Msg("entry can't be read")
			continue
		}
		if e.Address == s.own || e.Address == "" {
			continue
		}
		seen[e.Address] = true
		if s.peers[e.Address] == nil {
			s.peers[e.Address] = &peer{link: s.link(e.Address)}
		}
	}
	for address, p := range s.peers {
		if !seen[address] {
			p.link.Close()
			delete(s.peers, address)
		}
	}
}

// Apply implements rowstore.Store.
func (s *Store) Apply(ctx context.Context, t rowstore.Txn) (rowstore.Stamp, error) {
	var at rowstore.Stamp
	err := s.either(ctx, func() error {
		var err error
		at, err = s.direct.Apply(ctx, t)
		return err
	}, func(l *dispatch.Link) error {
		var reply dispatch.RowsReply
		err := l.Call(ctx, "Relay.Apply", dispatch.ApplyArgs{Txn: t}, &reply, callTimeout)
		if err != nil {
			return sent(err)
		}
		at = reply.At
		return reply.Err()
	})
	return at, err
}

// List implements rowstore.Store.
func (s *Store) List(ctx context.Context, table, part, from, to string) ([]rowstore.Row, bool, rowstore.Stamp, error) {
	var rows []rowstore.Row
	var more bool
	var at rowstore.Stamp
	err := s.either(ctx, func() error {
		var err error
		rows, more, at, err = s.direct.List(ctx, table, part, from, to)
		return err
	}, func(l *dispatch.Link) error {
		var reply dispatch.RowsReply
		err := l.Call(ctx, "Relay.List", dispatch.ListArgs{Table: table, Part: part, From: from, To: to}, &reply, callTimeout)
		if err != nil {
			return sent(err)
		}
		rows, more, at = reply.Rows, reply.More, reply.At
		return reply.Err()
	})
	return rows, more, at, err
}

// Feed implements rowstore.Store.
func (s *Store) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Row, rowstore.Stamp, error) {
	var rows []rowstore.Row
	var at rowstore.Stamp
	err := s.either(ctx, func() error {
		var err error
		rows, at, err = s.direct.Feed(ctx, table, after, wait)
		return err
	}, func(l *dispatch.Link) error {
		var reply dispatch.RowsReply
		err := l.Call(ctx, "Relay.Feed", dispatch.FeedArgs{Table: table, After: after, Wait: wait}, &reply, wait+callTimeout)
		if err != nil {
			return sent(err)
		}
		rows, at = reply.Rows, reply.At
		return reply.Err()
	})
	return rows, at, err
}

// sent tells a call that never left from one that may have been carried out.
func sent(err error) error {
	if errors.Is(err, dispatch.ErrNotSent) {
		return rowstore.ErrUnavailable
	}
	return rowstore.ErrUnknown
}

// away reports whether err says that the store could not be used, rather
// than what it answered.
func away(err error) bool {
	return errors.Is(err, rowstore.ErrUnavailable) || errors.Is(err, rowstore.ErrUnknown)
}

// either tries the direct way, and then another entry; while the direct way is
// lost, two other entries. A transaction that is tried twice carries
// conditions, so that at most one attempt takes effect.
func (s *Store) either(ctx context.Context, direct func() error, through func(*dispatch.Link) error) error {
	straight := func() error { return s.straight(ctx, direct) }
	p := s.choose(nil)
	if p == nil {
		return straight()
	}
	first, second := straight, func() error { return s.via(p, through) }
	if s.isLost() {
		first = second
		second = straight
		if other := s.choose(p); other != nil {
			second = func() error { return s.via(other, through) }
		}
	}
	err := first()
	if !away(err) || ctx.Err() != nil {
		return err
	}
	again := second()
	if away(again) && errors.Is(err, rowstore.ErrUnknown) {
		return err
	}
	return again
}

func (s *Store) straight(ctx context.Context, direct func() error) error {
	err := direct()
	s.mu.Lock()
	defer s.mu.Unlock()
	if away(err) && ctx.Err() == nil && !s.lost {
		s.lost = true
		s.log.Warn().Err(err).Msg("store lost; other entries are asked")
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return err
}

// probeLoop probes the direct way whenever it is lost.
func (s *Store) probeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
			s.probe(ctx)
		}
	}
}

// probe tries the direct way until it works again.
func (s *Store) probe(ctx context.Context) {
	key := rowstore.Key{Table: entriesTable, Part: entriesPart, Key: s.own}
	for ctx.Err() == nil {
		wait.For(ctx, probeEvery)
		if _, err := rowstore.Get(ctx, s.direct, key); err != nil {
			continue
		}
		s.mu.Lock()
		s.lost = false
		s.mu.Unlock()
		s.log.Warn().Msg("store regained")
		return
	}
}

func (s *Store) isLost() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

func (s *Store) via(p *peer, through func(*dispatch.Link) error) error {
	s.relayed.Add(1)
	err := through(p.link)
	s.mu.Lock()
	defer s.mu.Unlock()
	if away(err) {
		p.avoid = time.Now().Add(min(maxAvoid, avoidFor<<min(p.failures, 3)))
		p.failures++
		return err
	}
	p.failures = 0
	s.last = p
	return err
}

// choose returns another entry that is not known to be of no help, the one
// that helped last first, or nil.
func (s *Store) choose(except *peer) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var usable []*peer
	for _, p := range s.peers {
		if p == except || now.Before(p.avoid) {
			continue
		}
		if p == s.last {
			return p
		}
		usable = append(usable, p)
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[rand.IntN(len(usable))]
}
