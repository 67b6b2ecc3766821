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
	// preferFor is how long after a failure of the direct way another entry
	// is asked first.
	preferFor = time.Second
	// avoidFor is how long an entry that could not help is left alone.
	avoidFor = time.Second
	// listEvery is the time between two looks at the list of entries.
	listEvery = 5 * time.Second
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
	// badUntil is until when the direct way is tried last.
	badUntil time.Time

	relayed atomic.Int64
}

type peer struct {
	link  *dispatch.Link
	avoid time.Time
}

var _ rowstore.Store = (*Store)(nil)

// New returns a store that uses direct first. address is this entry's own.
// link makes the link to another entry.
func New(direct rowstore.Store, address string, link func(address string) *dispatch.Link, log zerolog.Logger) *Store {
	return &Store{direct: direct, own: address, log: log, link: link, peers: map[string]*peer{}}
}

// Relayed counts the calls that other entries made for this one.
func (s *Store) Relayed() int64 { return s.relayed.Load() }

// Run registers this entry under node and keeps the list of the others until
// ctx ends.
func (s *Store) Run(ctx context.Context, node string) {
	registered := false
	for ctx.Err() == nil {
		err := s.look(ctx, node, &registered)
		if err != nil {
			wait.For(ctx, listRetry)
			continue
		}
		wait.For(ctx, listEvery)
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

// either tries both ways, the direct one first unless it has just failed. A
// transaction that is tried twice carries conditions, so that at most one
// attempt takes effect.
func (s *Store) either(ctx context.Context, direct func() error, through func(*dispatch.Link) error) error {
	p := s.choose()
	if p == nil {
		return direct()
	}
	ways := [2]func() error{func() error { return s.straight(ctx, direct) }, func() error { return s.via(p, through) }}
	if s.bad() {
		ways[0], ways[1] = ways[1], ways[0]
	}
	first := ways[0]()
	if !away(first) || ctx.Err() != nil {
		return first
	}
	second := ways[1]()
	if away(second) && errors.Is(first, rowstore.ErrUnknown) {
		return first
	}
	return second
}

func (s *Store) straight(ctx context.Context, direct func() error) error {
	err := direct()
	s.mu.Lock()
	defer s.mu.Unlock()
	was := !s.badUntil.IsZero()
	switch {
	case away(err) && ctx.Err() == nil:
		s.badUntil = time.Now().Add(preferFor)
		if !was {
			s.log.Warn().Err(err).Msg("store lost; other entries are asked")
		}
	case err == nil && was:
		s.badUntil = time.Time{}
		s.log.Info().Msg("store regained")
	}
	return err
}

func (s *Store) bad() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.badUntil)
}

func (s *Store) via(p *peer, through func(*dispatch.Link) error) error {
	s.relayed.Add(1)
	err := through(p.link)
	if away(err) {
		s.mu.Lock()
		p.avoid = time.Now().Add(avoidFor)
		s.mu.Unlock()
	}
	return err
}

// choose returns another entry that is not known to be of no help, or nil.
func (s *Store) choose() *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var usable []*peer
	for _, p := range s.peers {
		if now.After(p.avoid) {
			usable = append(usable, p)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[rand.IntN(len(usable))]
}
