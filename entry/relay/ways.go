package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/wait"
	"persimmonrock.example/wire/dispatch"
)

// ways says which ways to the store were found to answer.
type ways uint8

const (
	// directAnswers: the direct way answers about as soon as another entry's.
	directAnswers ways = iota
	// onlyOthersAnswered: another entry was answered, and this one was not.
	onlyOthersAnswered
	// noneAnswers: neither was; the store may be away, or slow.
	noneAnswers
)

// compare asks the store by the direct way and through another entry: a store
// that is slow for all is not lost, and calls that were made twice would only be
// more work for it.
func (s *Store) compare(ctx context.Context) ways {
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
			if a.err == nil {
				return directAnswers
			}
			if late != nil {
				return onlyOthersAnswered
			}
			if around == nil {
				return noneAnswers
			}
			direct = nil
		case a := <-around:
			if direct == nil {
				if a.err == nil {
					return onlyOthersAnswered
				}
				return noneAnswers
			}
			if a.err == nil {
				timer := time.NewTimer(max(leastPatience, 2*time.Since(begun)))
				defer timer.Stop()
				late = timer.C
			}
			around = nil
		case <-late:
			return onlyOthersAnswered
		}
	}
}

// ownKey is a row that is read to see whether the store answers.
func (s *Store) ownKey() rowstore.Key {
	return rowstore.Key{Table: entriesTable, Part: entriesPart, Key: s.own}
}

// ask reads that row by the direct way.
func (s *Store) ask(ctx context.Context) (a answer) {
	k := s.ownKey()
	a.rows, a.more, a.at, a.err = s.direct.List(ctx, k.Table, k.Part, k.Key, k.Key+"\x00")
	return a
}

// askAround reads it through another entry.
func (s *Store) askAround(ctx context.Context) answer {
	p := s.choose(nil)
	if p == nil {
		return answer{err: rowstore.ErrUnavailable}
	}
	k := s.ownKey()
	return s.via(ctx, p, func(l *dispatch.Link) answer {
		var reply dispatch.RowsReply
		args := dispatch.ListArgs{Table: k.Table, Part: k.Part, From: k.Key, To: k.Key + "\x00"}
		return relayed(&reply, l.Call(ctx, "Relay.List", args, &reply, callTimeout))
	})
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

// either makes a transaction by the direct way, and then through another entry;
// while the direct way is lost, through two other entries. A transaction that is
// tried twice carries conditions, so that at most one attempt takes effect, and
// the other is told of the conflict.
func (s *Store) either(ctx context.Context, direct func() answer, through func(*dispatch.Link) answer) answer {
	straight := func() answer { return s.straight(ctx, direct) }
	p := s.choose(nil)
	if p == nil {
		return straight()
	}
	around := func() answer { return s.via(ctx, p, through) }
	lost := s.lostSignal()
	if lost != nil {
		return untilLost(ctx, straight, around, lost)
	}
	second := straight
	if other := s.choose(p); other != nil {
		second = func() answer { return s.via(ctx, other, through) }
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
	if away(a.err) && ctx.Err() == nil {
		s.lose(a.err)
	}
	return a
}

// lose notes that the direct way is lost.
func (s *Store) lose(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lost == nil {
		return
	}
	close(s.lost)
	s.lost = nil
	s.log.Warn().Err(err).Msg("store lost; other entries are asked")
	select {
	case s.wake <- struct{}{}:
	default:
	}
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

// via makes a call through another entry. One that ctx has ended says nothing of
// that entry.
func (s *Store) via(ctx context.Context, p *peer, through func(*dispatch.Link) answer) answer {
	s.relayed.Add(1)
	a := through(p.link)
	if ctx.Err() != nil {
		return a
	}
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

// chooseAny is choose, but returns the entry that may be asked again first if
// none is known to be of help: in a slow store all fail, and it may be fast now.
func (s *Store) chooseAny(except *peer) *peer {
	if p := s.choose(except); p != nil {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var first *peer
	for _, p := range s.peers {
		if p != except && (first == nil || p.avoid.Before(first.avoid)) {
			first = p
		}
	}
	return first
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
