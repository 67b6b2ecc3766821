// Package relay reaches the store through another entry where the store
// turns this machine away or does not answer it: it may serve others.
package relay

import (
	"context"
	"encoding/json"
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
	// callTimeout bounds a transaction through another entry, and readTimeout a
	// read beside its own wait: another way is tried beside it before that.
	callTimeout = 900 * time.Millisecond
	readTimeout = 3 * time.Second
	// leastPatience and mostPatience bound how long a feed's answer is waited
	// for beyond its wait, by the times of earlier reads. The slowest store that
	// the users describe takes 0.3 s for one.
	leastPatience = 100 * time.Millisecond
	mostPatience  = 800 * time.Millisecond
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
	// lost is closed when the direct way has failed; it is nil until that
	// works again, which is tried beside the calls.
	lost chan struct{}
	// reads follows the times of reads by the direct way.
	reads rtt.Estimator
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
	return &Store{direct: direct, own: address, log: log, link: link, peers: map[string]*peer{}, lost: make(chan struct{}), wake: make(chan struct{}, 1)}
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

// answer is what a call of the store returned.
type answer struct {
	rows []rowstore.Row
	more bool
	at   rowstore.Stamp
	err  error
}

// relayed is the answer to a call through another entry.
func relayed(reply *dispatch.RowsReply, err error) answer {
	if err != nil {
		return answer{err: sent(err)}
	}
	return answer{rows: reply.Rows, more: reply.More, at: reply.At, err: reply.Err()}
}

// Apply implements rowstore.Store.
func (s *Store) Apply(ctx context.Context, t rowstore.Txn) (rowstore.Stamp, error) {
	a := s.either(ctx, func() (a answer) {
		a.at, a.err = s.direct.Apply(ctx, t)
		return a
	}, func(l *dispatch.Link) answer {
		var reply dispatch.RowsReply
		return relayed(&reply, l.Call(ctx, "Relay.Apply", dispatch.ApplyArgs{Txn: t}, &reply, callTimeout))
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

// observe takes the time of a read by the direct way.
func (s *Store) observe(err error, took time.Duration) {
	if err != nil || took < 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads.Observe(took)
}

// patience is how long a feed's answer is worth waiting for beyond its wait.
func (s *Store) patience() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads.Timeout(leastPatience, mostPatience)
}
