package runner

import (
	"context"
	"errors"
	"sort"
	"time"

	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	// holdWait bounds how long a listing waits for an end. It is also the
	// age of the lease and of the rough figures, which cover half a second.
	holdWait = 500 * time.Millisecond
	// lossyWait replaces holdWait for lossyFor after a listing without an answer.
	lossyWait = 100 * time.Millisecond
	lossyFor  = 3 * time.Second
	// holdRetry is the pause after a listing that failed.
	holdRetry = 100 * time.Millisecond
	// endPause is how long the next listing waits for the ends of the last
	// one to be stored: a listing with old ends answers at once.
	endPause = 40 * time.Millisecond
	// idleWait bounds the wait for a first report.
	idleWait = time.Second
)

// holdLoop lists and holds the worker's life, one call at a time.
func (r *Runner) holdLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		candidate := r.candidate
		current := r.life
		r.mu.Unlock()
		switch {
		case candidate != nil:
			r.tryCandidate(ctx, *candidate)
		case current == nil:
			r.pause(ctx, idleWait)
		default:
			r.holdOnce(ctx, current)
		}
	}
}

// pause waits for d or a kick.
func (r *Runner) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.kick:
	case <-ctx.Done():
	}
}

// tryCandidate asks the worker that has reported for its lists. Only an
// answer to a call that names it proves that it lives: a report of an earlier
// life may arrive after the next one has begun.
func (r *Runner) tryCandidate(ctx context.Context, w workload.Worker) {
	sent := r.deps.Now()
	listing, err := r.deps.Control.Hold(ctx, w.ID, workerctl.HoldOrder{Token: r.token})
	if err != nil {
		r.candidateFailed(ctx, w.ID, err)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.candidate == nil || r.candidate.ID != w.ID {
		return
	}
	if r.life != nil {
		r.endLife("another life has begun")
	}
	r.counters.Lives++
	r.life = &life{id: w.ID, worker: *r.candidate, sequence: r.candidateSeq, reportedAt: r.candidateAt, runs: map[workload.RunID]*run{}}
	r.candidate = nil
	r.life.changed = r.touch(true)
	r.deps.Log.Info().Str("worker", string(w.ID)).Int("running", len(listing.Running)).Int("ended", len(listing.Ended)).
		Uint64("token", r.token).Msg("worker found")
	if r.deps.Found != nil && r.candidateSeq > 0 {
		go r.deps.Found(ctx, r.life.worker)
	}
	r.life.stale = !r.reported(r.life)
	r.answered(r.life)
	r.apply(r.life, listing, sent)
}

// answered notes that the worker has answered a call.
func (r *Runner) answered(l *life) {
	l.answeredAt, l.failedAt, l.downAt = r.deps.Now(), 0, 0
	failures := l.failures
	l.failures = 0
	if l.silent {
		l.silent, l.lapsed = false, false
		l.changed = r.touch(true)
	}
	if failures > 0 {
		r.deps.Log.Warn().Str("worker", string(l.id)).Int("failures", failures).Msg("worker answers again")
	}
}

// checkSilent notes that the worker does not answer, so that nothing more is
// placed there, and that its last lease is over: whether it is gone or only
// out of reach, nothing runs there any more.
func (r *Runner) checkSilent(l *life) {
	now := r.deps.Now()
	if now-l.answeredAt <= silentAfter {
		return
	}
	if !l.silent {
		l.silent = true
		l.changed = r.touch(true)
	}
	if l.lapsed || now <= l.leaseEnd {
		return
	}
	l.lapsed = true
	l.changed = r.touch(true)
	r.deps.Log.Warn().Str("worker", string(l.id)).Dur("silent", now-l.answeredAt).Int("runs", len(l.runs)).
		Stringers("fresh", named(l.fresh())).Msg("worker silent beyond its last lease")
}

func (r *Runner) candidateFailed(ctx context.Context, id workload.WorkerID, err error) {
	var refused *workerctl.RefusedError
	if errors.Is(err, workerctl.ErrGone) || errors.As(err, &refused) {
		r.mu.Lock()
		if r.candidate != nil && r.candidate.ID == id {
			r.candidate = nil
		}
		r.mu.Unlock()
		r.deps.Log.Info().Err(err).Str("worker", string(id)).Msg("report of a worker that does not answer to its name")
		return
	}
	r.deps.Log.Warn().Err(err).Str("worker", string(id)).Msg("worker reports but can't be listed")
	r.pause(ctx, holdRetry)
}

// endLife notes that the life is over; nothing of it runs any more.
func (r *Runner) endLife(why string) {
	l := r.life
	fresh := l.fresh()
	r.deps.Log.Info().Str("worker", string(l.id)).Int("runs", len(l.runs)).Stringers("fresh", named(fresh)).Str("why", why).Msg("worker gone")
	r.former = append(r.former, formerLife{id: l.id, fresh: fresh, changed: r.version + 1})
	if len(r.former) > maxFormer {
		r.former = r.former[1:]
	}
	r.life = nil
	r.touch(true)
}

// listingWait is how long a listing of the worker may wait for an end: not
// longer than until the next sample, which may tell whether filling work
// presses on a serving task, before much harm is done.
//
// Failure guarded against: a worker whose answers are lost now and then. A
// listing without an answer is given up only after its whole wait, and the ends
// that it would have told come that much later; of a step of tens of tasks one
// is nearly always among them. While answers are lost listings wait less.
func (r *Runner) listingWait(l *life) time.Duration {
	longest := holdWait
	if l.unansweredAt > 0 && r.deps.Now()-l.unansweredAt < lossyFor {
		longest = lossyWait
	}
	every := r.sampleTime(l)
	if every <= 0 {
		return longest
	}
	return min(longest, every)
}

func (r *Runner) holdOnce(ctx context.Context, l *life) {
	r.mu.Lock()
	r.checkReports(l)
	order := workerctl.HoldOrder{Token: r.token, Lease: r.leaseLimit(l), Seen: l.seen, Wait: r.listingWait(l)}
	r.counters.Holds++
	if l.failures > 0 {
		// Ends may have come since the call that was lost.
		order.Wait = 0
	}
	answer, cancel := context.WithTimeout(ctx, order.Wait+l.answers.timeout(l.failures+1))
	r.mu.Unlock()
	defer cancel()
	sent := r.deps.Now()
	listing, err := r.deps.Control.Hold(answer, l.id, order)
	if err != nil {
		r.holdFailed(ctx, l, err)
		return
	}
	r.mu.Lock()
	if order.Wait == 0 {
		l.answers.Observe(r.deps.Now() - sent)
	}
	if r.life == l {
		r.answered(l)
		r.apply(l, listing, sent)
	}
	waiting := len(l.ends) > 0
	r.mu.Unlock()
	if waiting {
		r.pause(ctx, endPause)
	}
}

func (r *Runner) holdFailed(ctx context.Context, l *life, err error) {
	r.mu.Lock()
	r.counters.HoldErrors++
	l.failures++
	l.unansweredAt = r.deps.Now()
	r.noteFailed(l, err)
	failures := l.failures
	first := failures == 1
	var refused *workerctl.RefusedError
	gone := errors.Is(err, workerctl.ErrGone)
	fenced := errors.As(err, &refused)
	switch {
	case gone && r.life == l:
		r.endLife("it answers that it is another life")
	case r.life == l && l.left && l.downAt > 0:
		r.endLife("it has said that it ends, and nothing listens there")
	case r.life == l:
		r.checkSilent(l)
	}
	r.mu.Unlock()
	if fenced {
		r.deps.Log.Error().Err(err).Uint64("token", r.token).Msg("a newer agent holds the worker")
	}
	if ctx.Err() != nil || gone {
		return
	}
	if first {
		r.deps.Log.Warn().Err(err).Str("worker", string(l.id)).Msg("worker does not answer")
	}
	if failures <= firstTries {
		r.pause(ctx, retryPause)
		return
	}
	r.pause(ctx, holdRetry)
}

// apply takes a listing that was asked for at sent.
func (r *Runner) apply(l *life, listing workerctl.Listing, sent time.Duration) {
	r.applyEnds(l, listing.Ended)
	// Answers on different connections may overtake each other: an older
	// listing must not hide a run that a newer answer has confirmed.
	if listing.Now < l.clock.now {
		return
	}
	l.clock = clockReading{now: listing.Now, at: r.deps.Now()}
	present := make(map[workload.RunID]bool, len(listing.Running))
	for _, s := range listing.Running {
		present[s.Run] = true
		r.applyRunning(l, s)
	}
	for id, x := range l.runs {
		if !present[id] {
			r.applyAbsent(l, x, sent)
		}
	}
	r.takeSample(l)
	if !l.listed {
		l.listed = true
		l.changed = r.touch(true)
	}
}

func (r *Runner) applyEnds(l *life, ends []workload.End) {
	sort.Slice(ends, func(i, j int) bool { return ends[i].Number < ends[j].Number })
	for _, e := range ends {
		if e.Number <= l.got {
			continue
		}
		l.got = e.Number
		if x := l.runs[e.Run]; x != nil && x.workedAt > 0 {
			x.account(r.deps.Now())
			e.Worked = x.worked
		}
		delete(l.runs, e.Run)
		l.ends = append(l.ends, endEntry{end: e, changed: r.touch(true)})
		r.counters.Ends++
		r.deps.Log.Info().Stringer("run", e.Run).Str("how", string(e.Kind)).Uint64("number", e.Number).
			Bool("checkpoint", e.Checkpoint != "").Msg("run ended")
	}
}

func (r *Runner) applyRunning(l *life, s workerctl.RunStatus) {
	x, ok := l.runs[s.Run]
	if !ok {
		// A run of an earlier process of this agent: it takes room that is
		// not known until the scheduler repeats its order.
		x = &run{id: s.Run, found: true}
		l.runs[s.Run] = x
		r.deps.Log.Info().Stringer("run", s.Run).Msg("run found on the worker")
	}
	if x.state != dispatch.RunPresent {
		x.state = dispatch.RunPresent
		x.confirmedAt = r.deps.Now()
		if ok {
			x.workedAt = x.confirmedAt
		}
		x.changed = r.touch(!ok)
	}
	if s.Checkpoint != "" && s.Checkpoint != x.checkpoint {
		x.checkpoint = s.Checkpoint
		x.changed = r.touch(false)
	}
	x.progress = s.Progress
	x.seenPresent(s.Progress > 0 || s.Rough > 0, r.deps.Now())
	r.tellProven(l, x)
	if !x.slow && x.straggles(r.deps.Now()) {
		x.slow = true
		x.changed = r.touch(true)
		r.deps.Log.Info().Stringer("run", x.id).Int("progress", x.progress).Int("before", x.firstProgress).
			Dur("watched", r.deps.Now()-x.firstAt).Dur("estimate", x.estimate).Msg("run gets on slowly")
	}
	since := x.overSince
	x.measure(s.Rough, r.deps.Now())
	r.tellOver(l, x, since)
}

// applyAbsent takes note that a listing lacks a run.
func (r *Runner) applyAbsent(l *life, x *run, sent time.Duration) {
	if x.state == dispatch.RunVoid {
		return
	}
	settled := x.state == dispatch.RunPresent && x.confirmedAt < sent
	if x.stopping {
		// A stop makes every order of the run void, also one that is still
		// on its way; before the stop is answered, one may yet be carried
		// out.
		settled = x.stopped && x.confirmedAt < sent
	}
	if settled {
		r.makeVoid(l, x, "not on the worker")
	}
}

// makeVoid keeps the run until the scheduler has read that it is void.
func (r *Runner) makeVoid(_ *life, x *run, reason string) {
	x.state = dispatch.RunVoid
	x.reason = reason
	x.changed = r.touch(true)
	r.deps.Log.Info().Stringer("run", x.id).Str("why", reason).Msg("run void")
}
