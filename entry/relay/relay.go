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
	"persimmonrock.example/infra/rtt"
	"persimmonrock.example/infra/wait"
	"persimmonrock.example/wire/dispatch"
)

const (
	// callTimeout bounds a call through another entry beside its own wait.
	callTimeout = 900 * time.Millisecond
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
	a := s.either(ctx, func() (a answer) {
		begun := time.Now()
		a.rows, a.more, a.at, a.err = s.direct.List(ctx, table, part, from, to)
		s.observe(a.err, time.Since(begun))
		return a
	}, func(l *dispatch.Link) answer {
		var reply dispatch.RowsReply
		args := dispatch.ListArgs{Table: table, Part: part, From: from, To: to}
		return relayed(&reply, l.Call(ctx, "Relay.List", args, &reply, callTimeout))
	})
	return a.rows, a.more, a.at, a.err
}

// Feed implements rowstore.Store.
//
// A feed answers after its wait at the latest, and one is always under way, so
// it is the first to miss the answers of a store that has fallen silent towards
// this machine. It gives up sooner than other calls for that, unless the store
// only turns out to be slow.
func (s *Store) Feed(ctx context.Context, table string, after uint64, wait time.Duration) ([]rowstore.Row, rowstore.Stamp, error) {
	a := s.either(ctx, func() (a answer) {
		bounded, cancel := context.WithTimeout(ctx, wait+s.patience())
		defer cancel()
		begun := time.Now()
		a.rows, a.at, a.err = s.direct.Feed(bounded, table, after, wait)
		if len(a.rows) == 0 {
			s.observe(a.err, time.Since(begun)-wait)
		}
		if bounded.Err() != nil && ctx.Err() == nil && errors.Is(a.err, rowstore.ErrUnknown) {
			if at, ok := s.answers(ctx); ok {
				return answer{at: rowstore.Stamp{Version: after, Now: at.Now}}
			}
		}
		return a
	}, func(l *dispatch.Link) answer {
		var reply dispatch.RowsReply
		args := dispatch.FeedArgs{Table: table, After: after, Wait: wait}
		return relayed(&reply, l.Call(ctx, "Relay.Feed", args, &reply, wait+callTimeout))
	})
	return a.rows, a.at, a.err
}

// answers asks the store by the direct way and through another entry, and
// reports whether the direct way answers about as soon: a store that is slow
// for all is not lost, and calls that were made twice would only be more work
// for it.
func (s *Store) answers(ctx context.Context) (rowstore.Stamp, bool) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct, around := make(chan answer, 1), make(chan answer, 1)
	begun := time.Now()
	go func() { direct <- s.ask(ctx) }()
	go func() { around <- s.askAround(ctx) }()
	var late <-chan time.Time
	for {
		select {
		case a := <-direct:
			return a.at, a.err == nil
		case a := <-around:
			if a.err == nil {
				timer := time.NewTimer(max(leastPatience, 2*time.Since(begun)))
				defer timer.Stop()
				late = timer.C
			}
		case <-late:
			return rowstore.Stamp{}, false
		}
	}
}

// ownKey is a row that is read to see whether the store answers.
func (s *Store) ownKey() rowstore.Key {
	return rowstore.Key{Table: entriesTable, Part: entriesPart, Key: s.own}
}

func (s *Store) ask(ctx context.Context) (a answer) {
	k := s.ownKey()
	a.rows, a.more, a.at, a.err = s.direct.List(ctx, k.Table, k.Part, k.Key, k.Key+"\x00")
	return a
}

func (s *Store) askAround(ctx context.Context) answer {
	p := s.choose(nil)
	if p == nil {
		return answer{err: rowstore.ErrUnavailable}
	}
	k := s.ownKey()
	return s.via(p, func(l *dispatch.Link) answer {
		var reply dispatch.RowsReply
		args := dispatch.ListArgs{Table: k.Table, Part: k.Part, From: k.Key, To: k.Key + "\x00"}
		return relayed(&reply, l.Call(ctx, "Relay.List", args, &reply, callTimeout))
	})
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
// conditions, so that at most one attempt takes effect, and the other is told
// of the conflict.
func (s *Store) either(ctx context.Context, direct func() answer, through func(*dispatch.Link) answer) answer {
	straight := func() answer { return s.straight(ctx, direct) }
	p := s.choose(nil)
	if p == nil {
		return straight()
	}
	around := func() answer { return s.via(p, through) }
	lost := s.lostSignal()
	if lost != nil {
		return untilLost(ctx, straight, around, lost)
	}
	second := straight
	if other := s.choose(p); other != nil {
		second = func() answer { return s.via(other, through) }
	}
	return inTurn(ctx, around(), second)
}

// inTurn tries the second way if the first was of no use.
func inTurn(ctx context.Context, first answer, second func() answer) answer {
	if !away(first.err) || ctx.Err() != nil {
		return first
	}
	return worse(first, second())
}

// worse is the answer of two attempts, of which the first was of no use: if
// both were, and one of them may yet take effect, that is what is known.
func worse(first, second answer) answer {
	if away(second.err) && errors.Is(first.err, rowstore.ErrUnknown) {
		return first
	}
	return second
}

// untilLost tries the direct way, and the other one beside it as soon as the
// direct way is lost.
//
// Failure guarded against: the store falls silent towards this machine. A call
// that was under way waited for its whole time-out, a second and a half, before
// it went another way; the scheduler placed nothing meanwhile, and clients'
// short jobs ended late. Whichever call misses its answer first now tells the
// others.
func untilLost(ctx context.Context, straight, around func() answer, lost <-chan struct{}) answer {
	answers := make(chan answer, 2)
	go func() { answers <- straight() }()
	select {
	case first := <-answers:
		return inTurn(ctx, first, around)
	case <-lost:
	}
	go func() { answers <- around() }()
	first := <-answers
	if !away(first.err) {
		return first
	}
	return worse(first, <-answers)
}

func (s *Store) straight(ctx context.Context, direct func() answer) answer {
	a := direct()
	s.mu.Lock()
	defer s.mu.Unlock()
	if away(a.err) && ctx.Err() == nil && s.lost != nil {
		close(s.lost)
		s.lost = nil
		s.log.Warn().Err(a.err).Msg("store lost; other entries are asked")
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	return a
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
	for ctx.Err() == nil {
		wait.For(ctx, probeEvery)
		if s.ask(ctx).err != nil {
			continue
		}
		s.mu.Lock()
		s.lost = make(chan struct{})
		s.mu.Unlock()
		s.log.Warn().Msg("store regained")
		return
	}
}

// lostSignal is closed when the direct way is lost; it is nil while it is.
func (s *Store) lostSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

func (s *Store) via(p *peer, through func(*dispatch.Link) answer) answer {
	s.relayed.Add(1)
	a := through(p.link)
	s.mu.Lock()
	defer s.mu.Unlock()
	if away(a.err) {
		p.avoid = time.Now().Add(min(maxAvoid, avoidFor<<min(p.failures, 3)))
		p.failures++
		return a
	}
	p.failures = 0
	s.last = p
	return a
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
