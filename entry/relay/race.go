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
	// againAfter is how long a read without any sign of an answer is left alone
	// before another one is begun beside it.
	againAfter = 600 * time.Millisecond
	// checkEvery is the number of such times from one look at the direct way to
	// the next.
	checkEvery = 4
	// mostAttempts bounds the attempts of one read that are under way.
	mostAttempts = 3
)

// errSilent says that the direct way gave no sign of an answer in time.
var errSilent = errors.New("no sign of an answer")

// read is how a read is raced.
type read struct {
	// patience is the time without a sign of an answer after which another
	// attempt is made; the next ones follow after againAfter each.
	patience time.Duration
	// feed says that the read waits for changes.
	feed bool
	// directFirst asks other entries only if the direct way fails, or is seen
	// to be silent where theirs is not.
	directFirst bool
	// direct reads by the direct way, through by way of another entry.
	direct  func(context.Context) answer
	through func(context.Context, *dispatch.Link) answer
}

// race is one read, with the attempts at it that are under way.
type race struct {
	relay   *Store
	read    read
	answers chan attempted
	// heard tells of attempts whose answers are on their way.
	heard chan *attempt
	// open are the attempts under way, oldest first.
	open  []*attempt
	begun int
	// quiet counts the times without a sign of an answer.
	quiet int
	// silent tells that other entries get answers.
	silent chan struct{}
	// around says that the latest attempt was made through another entry.
	around bool
	// last is the latest entry that was asked.
	last *peer
	// failed is what the attempts that failed leave to know.
	failed answer
}

type attempt struct{ cancel context.CancelFunc }

type attempted struct {
	attempt *attempt
	answer  answer
}

// race returns the first answer of use.
func (s *Store) race(ctx context.Context, how read) answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := &race{relay: s, read: how, answers: make(chan attempted), heard: make(chan *attempt, 1), silent: make(chan struct{}, 1)}
	lost := s.lostSignal()
	r.begin(ctx, lost == nil && !how.directFirst)
	if how.directFirst {
		lost = nil
	}
	timer := time.NewTimer(how.patience)
	defer timer.Stop()
	for {
		select {
		case a := <-r.answers:
			if r.ended(ctx, a) {
				return a.answer
			}
			if len(r.open) == 0 {
				return r.failed
			}
		case a := <-r.heard:
			if r.keep(a) {
				timer.Reset(againAfter)
			}
		case <-lost:
			lost = nil
			r.begin(ctx, true)
		case <-r.silent:
			r.begin(ctx, true)
		case <-timer.C:
			r.again(ctx)
			timer.Reset(againAfter)
		case <-ctx.Done():
			return answer{err: rowstore.ErrUnknown}
		}
	}
}

// again makes one attempt more after a time without a sign of an answer, and
// looks at the direct way. The first such time of a feed is only for the look.
func (r *race) again(ctx context.Context) {
	if (r.read.feed || r.read.directFirst) && r.quiet%checkEvery == 0 {
		go r.check(context.WithoutCancel(ctx))
	}
	if !r.read.feed || r.quiet > 0 {
		r.begin(ctx, !r.read.directFirst && !r.around)
	}
	r.quiet++
}

// check finds out whether the store is silent towards this machine only.
func (r *race) check(ctx context.Context) {
	found := r.relay.compare(ctx)
	if found != directAnswers {
		r.relay.lose(errSilent)
	}
	if found != onlyOthersAnswered || !r.read.directFirst {
		return
	}
	select {
	case r.silent <- struct{}{}:
	default:
	}
}

// ended takes an answer and reports whether it is of use. If the first attempt
// fails, another one follows at once.
func (r *race) ended(ctx context.Context, a attempted) bool {
	i := slices.Index(r.open, a.attempt)
	if i < 0 {
		return false // it was given up for another one
	}
	r.open = slices.Delete(r.open, i, i+1)
	if !away(a.answer.err) {
		return true
	}
	if r.failed.err == nil || errors.Is(a.answer.err, rowstore.ErrUnknown) {
		r.failed = a.answer
	}
	if r.begun == 1 && ctx.Err() == nil {
		r.begin(ctx, true)
	}
	return false
}

// keep gives up all attempts but one, whose answer is on its way: they would
// only take a part of the link. It reports whether that one is under way.
func (r *race) keep(a *attempt) bool {
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

// begin makes another attempt. If too many are under way the youngest is given
// up for it: the oldest one is the next to be answered by a slow store.
func (r *race) begin(ctx context.Context, around bool) {
	if len(r.open) == mostAttempts {
		r.open[mostAttempts-1].cancel()
		r.open = r.open[:mostAttempts-1]
	}
	ctx, cancel := context.WithCancel(ctx)
	this := &attempt{cancel: cancel}
	ctx = progress.Watch(ctx, func() {
		select {
		case r.heard <- this:
		default:
		}
	})
	call := r.way(ctx, around)
	r.open = append(r.open, this)
	r.begun++
	go func() {
		defer cancel()
		a := call()
		select {
		case r.answers <- attempted{attempt: this, answer: a}:
		case <-ctx.Done():
		}
	}()
}

// way is the direct way, or one through another entry if there is any.
func (r *race) way(ctx context.Context, around bool) func() answer {
	r.around = around
	if around {
		if p := r.relay.chooseAny(r.last); p != nil {
			r.last = p
			return func() answer {
				return r.relay.via(ctx, p, func(l *dispatch.Link) answer { return r.read.through(ctx, l) })
			}
		}
	}
	return func() answer { return r.relay.straight(ctx, func() answer { return r.read.direct(ctx) }) }
}
