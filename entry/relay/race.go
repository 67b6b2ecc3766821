package relay

import (
	"context"
	"errors"
	"slices"
	"time"

	"persimmonrock.example/infra/progress"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/wire/dispatch"
)

const (
	// hedgeDelay is the time without any sign of an answer after which another
	// attempt is started in parallel.
	hedgeDelay = 600 * time.Millisecond
	// checkEvery is the number of idle periods per check of the direct path.
	checkEvery = 4
	// maxAttempts bounds the pending attempts of one read.
	maxAttempts = 3
)

// errNoResponse reports a direct path without a sign of an answer in time.
var errNoResponse = errors.New("no sign of an answer")

// plan describes the attempts of a read.
type plan struct {
	// answerTimeout is the time without a sign of an answer after which hedge is
	// first called; later calls follow every hedgeDelay.
	answerTimeout time.Duration
	// feed marks a read that waits for changes.
	feed bool
	// directFirst reads through other entries only if the direct path fails, or
	// if another entry gets an answer and the direct path does not.
	directFirst bool
	// direct reads from the store directly, viaPeer through another entry.
	direct  func(context.Context) answer
	viaPeer func(context.Context, *dispatch.Link) answer
}

// race is one read with its pending attempts.
type race struct {
	relay   *Store
	plan    plan
	answers chan attemptResult
	// responding receives attempts whose answers have begun to arrive.
	responding chan *attempt
	// open holds the pending attempts, oldest first.
	open    []*attempt
	started int
	// idlePeriods counts the periods without a sign of an answer.
	idlePeriods int
	// peersOnly signals that only other entries get answers.
	peersOnly chan struct{}
	// indirect is set if the latest attempt was to use another entry.
	indirect bool
	// lastPeer is the entry used by the latest indirect attempt.
	lastPeer *peer
	// failure is the answer to return if all attempts fail.
	failure answer
}

type attempt struct{ cancel context.CancelFunc }

type attemptResult struct {
	attempt *attempt
	answer  answer
}

// race returns the first usable answer, or an error if all attempts fail.
func (s *Store) race(ctx context.Context, p plan) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &race{relay: s, plan: p, answers: make(chan attemptResult), responding: make(chan *attempt, 1), peersOnly: make(chan struct{}, 1)}
	lost := s.lostSignal()
	r.startAttempt(ctx, lost == nil && !p.directFirst)
	if p.directFirst {
		lost = nil
	}
	timer := time.NewTimer(p.answerTimeout)
	defer timer.Stop()
	for {
		select {
		case a := <-r.answers:
			if r.handleResult(ctx, a) {
				return a.answer
			}
			if len(r.open) == 0 {
				return r.failure
			}
		case a := <-r.responding:
			if r.cancelOthers(a) {
				timer.Reset(hedgeDelay)
			}
		case <-lost:
			lost = nil
			r.startAttempt(ctx, true)
		case <-r.peersOnly:
			r.startAttempt(ctx, true)
		case <-timer.C:
			r.hedge(ctx)
			timer.Reset(hedgeDelay)
		case <-ctx.Done():
			return answer{err: rowstore.ErrUnknown}
		}
	}
}

// hedge starts another attempt after a period without a sign of an answer; a
// feed skips its first period. For feeds and directFirst reads it also checks
// the direct path in every checkEvery-th period, from the first on.
func (r *race) hedge(ctx context.Context) {
	if (r.plan.feed || r.plan.directFirst) && r.idlePeriods%checkEvery == 0 {
		go r.checkDirect(context.WithoutCancel(ctx))
	}
	if !r.plan.feed || r.idlePeriods > 0 {
		r.startAttempt(ctx, !r.plan.directFirst && !r.indirect)
	}
	r.idlePeriods++
}

// checkDirect marks the direct path as lost unless it answers in time. If only
// another entry gets an answer, checkDirect notifies a directFirst read.
func (r *race) checkDirect(ctx context.Context) {
	found := r.relay.compare(ctx)
	if found != directAnswers {
		r.relay.markLost(errNoResponse)
	}
	if found != onlyPeerAnswered || !r.plan.directFirst {
		return
	}
	select {
	case r.peersOnly <- struct{}{}:
	default:
	}
}

// handleResult records the result of an attempt and reports whether the result
// is usable. If the only attempt so far fails, it starts another at once.
func (r *race) handleResult(ctx context.Context, a attemptResult) bool {
	i := slices.Index(r.open, a.attempt)
	if i < 0 {
		return false // cancelled in favour of another attempt
	}
	r.open = slices.Delete(r.open, i, i+1)
	if !storeUnavailable(a.answer.err) {
		return true
	}
	if r.failure.err == nil || errors.Is(a.answer.err, rowstore.ErrUnknown) {
		r.failure = a.answer
	}
	if r.started == 1 && ctx.Err() == nil {
		r.startAttempt(ctx, true)
	}
	return false
}

// cancelOthers cancels all attempts but a, so that a's arriving answer has the
// whole link. It reports whether a is pending.
func (r *race) cancelOthers(a *attempt) bool {
	if !slices.Contains(r.open, a) {
		return false
	}
	for _, x := range r.open {
		if x != a {
			x.cancel()
		}
	}
	r.open = append(r.open[:0], a)
	return true
}

// startAttempt starts another attempt. If maxAttempts are pending, it cancels
// the youngest first: a slow store answers the oldest next.
func (r *race) startAttempt(ctx context.Context, indirect bool) {
	if len(r.open) == maxAttempts {
		r.open[maxAttempts-1].cancel()
		r.open = r.open[:maxAttempts-1]
	}
	ctx, cancel := context.WithCancel(ctx)
	this := &attempt{cancel: cancel}
	ctx = progress.Watch(ctx, func() {
		select {
		case r.responding <- this:
		default:
		}
	})
	call := r.path(ctx, indirect)
	r.open = append(r.open, this)
	r.started++
	go func() {
		defer cancel()
		a := call()
		select {
		case r.answers <- attemptResult{attempt: this, answer: a}:
		case <-ctx.Done():
		}
	}()
}

// path returns a call through another entry if indirect is set and an entry is
// available, or else a direct call.
func (r *race) path(ctx context.Context, indirect bool) func() answer {
	r.indirect = indirect
	if indirect {
		if p := r.relay.chooseAnyPeer(r.lastPeer); p != nil {
			r.lastPeer = p
			return func() answer {
				return r.relay.callPeer(ctx, p, func(l *dispatch.Link) answer { return r.plan.viaPeer(ctx, l) })
			}
		}
	}
	return func() answer { return r.relay.callDirect(ctx, func() answer { return r.plan.direct(ctx) }) }
}
