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

// comparison is the result of compare.
type comparison uint8

const (
	// directAnswers: the direct path answered first or soon after.
	directAnswers comparison = iota
	// onlyPeerAnswered: another entry got an answer; the direct path failed or
	// lags.
	onlyPeerAnswered
	// noneAnswers: neither entry got an answer; the store may be down or slow.
	noneAnswers
)

// compare reads the probe key directly and through another entry. A store that
// answers both slowly is not lost: relayed calls would only add to its load.
func (s *Store) compare(ctx context.Context) comparison {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	direct, viaPeer := make(chan answer, 1), make(chan answer, 1)
	begun := time.Now()
	go func() { direct <- s.askDirect(ctx) }()
	go func() { viaPeer <- s.askPeer(ctx) }()
	var late <-chan time.Time
	for {
		select {
		case a := <-direct:
			if a.err == nil {
				return directAnswers
			}
			if late != nil {
				return onlyPeerAnswered
			}
			if viaPeer == nil {
				return noneAnswers
			}
			direct = nil
		case a := <-viaPeer:
			if direct == nil {
				if a.err == nil {
					return onlyPeerAnswered
				}
				return noneAnswers
			}
			if a.err == nil {
				timer := time.NewTimer(max(minAnswerTimeout, 2*time.Since(begun)))
				defer timer.Stop()
				late = timer.C
			}
			viaPeer = nil
		case <-late:
			return onlyPeerAnswered
		}
	}
}

// probeKey is the key that is read to check whether the store answers.
func (s *Store) probeKey() rowstore.Key {
	return rowstore.Key{Table: entriesTable, Part: entriesPart, Key: s.ownAddress}
}

func (s *Store) askDirect(ctx context.Context) (a answer) {
	k := s.probeKey()
	a.rows, a.more, a.at, a.err = s.direct.List(ctx, k.Table, k.Part, k.Key, k.Key+"\x00")
	return a
}

func (s *Store) askPeer(ctx context.Context) answer {
	p := s.choosePeer(nil)
	if p == nil {
		return answer{err: rowstore.ErrUnavailable}
	}
	k := s.probeKey()
	return s.callPeer(ctx, p, func(l *dispatch.Link) answer {
		var reply dispatch.RowsReply
		args := dispatch.ListArgs{Table: k.Table, Part: k.Part, From: k.Key, To: k.Key + "\x00"}
		return peerAnswer(&reply, l.Call(ctx, "Relay.List", args, &reply, callTimeout))
	})
}

// checkAfter is the time without an answer after which a transaction checks the
// direct path.
const checkAfter = 60 * time.Millisecond

// checkPath marks the direct path as lost if only another entry gets an answer.
// One check runs at a time.
func (s *Store) checkPath(ctx context.Context) {
	if !s.checking.CompareAndSwap(false, true) {
		return
	}
	defer s.checking.Store(false)
	if s.compare(ctx) == onlyPeerAnswered {
		s.markLost(errNoResponse)
	}
}

// callError returns ErrUnavailable for a call that was never sent, and
// ErrUnknown for a call that may have been carried out.
func callError(err error) error {
	if errors.Is(err, dispatch.ErrNotSent) {
		return rowstore.ErrUnavailable
	}
	return rowstore.ErrUnknown
}

// storeUnavailable reports whether err means that the store could not be used;
// other errors are answers of the store.
func storeUnavailable(err error) bool {
	return errors.Is(err, rowstore.ErrUnavailable) || errors.Is(err, rowstore.ErrUnknown)
}

// applyWithFallback applies a transaction directly and, if that fails, through
// another entry. While the direct path is lost, it uses two other entries, or
// one and then the direct path. The transaction's conditions let at most one
// attempt take effect; the other returns a conflict.
func (s *Store) applyWithFallback(ctx context.Context, direct func() answer, peerCall func(*dispatch.Link) answer) answer {
	callDirect := func() answer { return s.callDirect(ctx, direct) }
	p := s.choosePeer(nil)
	if p == nil {
		return callDirect()
	}
	viaPeer := func() answer { return s.callPeer(ctx, p, peerCall) }
	lost := s.lostSignal()
	if lost != nil {
		return s.directUntilLost(ctx, callDirect, viaPeer, lost)
	}
	second := callDirect
	if other := s.choosePeer(p); other != nil {
		second = func() answer { return s.callPeer(ctx, other, peerCall) }
	}
	return tryNext(ctx, viaPeer(), second)
}

// tryNext makes the second call if the store did not answer the first.
func tryNext(ctx context.Context, first answer, second func() answer) answer {
	if !storeUnavailable(first.err) || ctx.Err() != nil {
		return first
	}
	return combine(first, second())
}

// combine returns the answer of two attempts, of which the first failed. If
// both failed and the first may still take effect, the outcome is unknown.
func combine(first, second answer) answer {
	if storeUnavailable(second.err) && errors.Is(first.err, rowstore.ErrUnknown) {
		return first
	}
	return second
}

// directUntilLost calls the store directly, and also through another entry if
// the direct call fails or the direct path is lost.
//
// Failure guarded against: the store stops answering this machine. A pending
// call would wait for its whole time-out, 1.5 s, before it takes another path;
// the scheduler would place nothing meanwhile, and clients' short jobs would
// end late. So the first call that times out notifies the others.
//
// A call that is not answered soon checks the path by itself: an entry that is
// told what changes makes no other calls that would show the loss.
func (s *Store) directUntilLost(ctx context.Context, direct, viaPeer func() answer, lost <-chan struct{}) answer {
	answers := make(chan answer, 2)
	go func() { answers <- direct() }()
	check := time.AfterFunc(checkAfter, func() { s.checkPath(ctx) })
	defer check.Stop()
	select {
	case first := <-answers:
		return tryNext(ctx, first, viaPeer)
	case <-lost:
	}
	go func() { answers <- viaPeer() }()
	first := <-answers
	if !storeUnavailable(first.err) {
		return first
	}
	return combine(first, <-answers)
}

func (s *Store) callDirect(ctx context.Context, direct func() answer) answer {
	a := direct()
	if storeUnavailable(a.err) && ctx.Err() == nil {
		s.markLost(a.err)
	}
	return a
}

// markLost notifies pending calls of the lost direct path and starts probes.
func (s *Store) markLost(err error) {
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

// probeLoop probes the direct path whenever it is lost.
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

// probe probes the direct path until it works again.
func (s *Store) probe(ctx context.Context) {
	for ctx.Err() == nil {
		wait.For(ctx, probeInterval)
		if s.askDirect(ctx).err != nil {
			continue
		}
		s.mu.Lock()
		s.lost = make(chan struct{})
		s.mu.Unlock()
		s.log.Warn().Msg("store answers directly again")
		return
	}
}

// lostSignal returns a channel that is closed on the loss of the direct path,
// or nil while the path is lost.
func (s *Store) lostSignal() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lost
}

// callPeer makes a call through another entry. A call ended by ctx does not
// count as a failure of that entry.
func (s *Store) callPeer(ctx context.Context, p *peer, call func(*dispatch.Link) answer) answer {
	s.relayed.Add(1)
	a := call(p.link)
	if ctx.Err() != nil {
		return a
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if storeUnavailable(a.err) {
		p.avoidUntil = time.Now().Add(min(maxAvoidTime, avoidTime<<min(p.failures, 3)))
		p.failures++
		return a
	}
	p.failures = 0
	s.lastHelpful = p
	return a
}

// chooseAnyPeer returns choosePeer's choice. If all entries are avoided, it
// returns the entry whose avoidance ends first: the store may have been slow
// for all and be fast again.
func (s *Store) chooseAnyPeer(except *peer) *peer {
	if p := s.choosePeer(except); p != nil {
		return p
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var first *peer
	for _, p := range s.peers {
		if p != except && (first == nil || p.avoidUntil.Before(first.avoidUntil)) {
			first = p
		}
	}
	return first
}

// choosePeer returns an entry that is not avoided, preferably the one that
// helped last, or nil.
func (s *Store) choosePeer(except *peer) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var usable []*peer
	for _, p := range s.peers {
		if p == except || now.Before(p.avoidUntil) {
			continue
		}
		if p == s.lastHelpful {
			return p
		}
		usable = append(usable, p)
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[rand.IntN(len(usable))]
}
