package runner

import (
	"cmp"
	"context"
	"errors"
	"sort"
	"time"

	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	// holdWait bounds how long the worker may delay a listing while no run ends.
	// A listing also renews the lease and reports each run's tail latency or CPU
	// use over the last half second, so holdWait limits the age of both.
	holdWait = 500 * time.Millisecond
	// lossyWait replaces holdWait for lossyPeriod after an unanswered listing.
	lossyWait   = 100 * time.Millisecond
	lossyPeriod = 3 * time.Second
	// holdRetryPause is the pause after a failed listing of a candidate, and
	// after each failed listing beyond the first firstTries in a row.
	holdRetryPause = 100 * time.Millisecond
	// endPause bounds the wait until the ends of the last listing are stored. A
	// listing before that returns at once with the same ends.
	endPause = 40 * time.Millisecond
	// idleWait bounds the wait for a worker's first report.
	idleWait = time.Second
)

// holdLoop lists the worker's runs and renews its lease, one call at a time.
func (r *Runner) holdLoop(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		candidate := r.candidate
		current := r.incarnation
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

// pause waits for d, a signal on holdWake or the end of ctx.
func (r *Runner) pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.holdWake:
	case <-ctx.Done():
	}
}

// tryCandidate requests a listing from the worker that has reported. Only an
// answer to a call that names its incarnation proves that this incarnation
// runs: a report may arrive after the next incarnation has started.
func (r *Runner) tryCandidate(ctx context.Context, w workload.Worker) {
	sent := r.deps.Now()
	listing, err := r.deps.Control.Hold(ctx, w.ID, workerctl.HoldOrder{Token: r.token})
	if err != nil {
		r.candidateFailed(ctx, w.ID, err)
		return
	}
	r.mu.Lock()
	reborn := r.isReborn(w.ID)
	r.mu.Unlock()
	if reborn {
		var ok bool
		if listing, sent, ok = r.stopFormerOrders(ctx, w.ID, listing, sent); !ok {
			return
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.candidate == nil || r.candidate.ID != w.ID {
		return
	}
	if r.incarnation != nil {
		r.endIncarnation("a new incarnation has started")
	}
	r.counters.Lives++
	r.incarnation = &incarnation{id: w.ID, worker: *r.candidate, order: r.candidateOrder, reportedAt: r.candidateAt, foundAt: r.deps.Now(), runs: map[workload.RunID]*run{}}
	r.candidate = nil
	r.incarnation.changed = r.recordChange(true)
	r.deps.Log.Info().Str("worker", string(w.ID)).Int("running", len(listing.Running)).Int("ended", len(listing.Ended)).
		Uint64("token", r.token).Msg("worker found")
	if r.deps.Found != nil && r.candidateAt > 0 {
		go r.deps.Found(ctx, r.incarnation.worker)
	}
	r.incarnation.stale = !r.reportedRecently(r.incarnation)
	r.recordAnswer(r.incarnation)
	r.applyListing(r.incarnation, listing, sent)
}

func (r *Runner) recordAnswer(inc *incarnation) {
	if inc.downAt > 0 {
		inc.changed = r.recordChange(true)
	}
	inc.answeredAt, inc.failedAt, inc.downAt = r.deps.Now(), 0, 0
	failures := inc.failures
	inc.failures = 0
	if inc.unresponsive {
		inc.unresponsive, inc.lapsed = false, false
		inc.changed = r.recordChange(true)
	}
	if failures > 0 {
		r.deps.Log.Warn().Str("worker", string(inc.id)).Int("failures", failures).Msg("worker answers again")
	}
}

// checkUnresponsive records that the worker has not answered for
// unresponsiveAfter: nothing more is placed there. Later it records that the
// last lease of this process or an earlier one has expired: the worker, gone or
// only unreachable, runs nothing.
func (r *Runner) checkUnresponsive(inc *incarnation) {
	now := r.deps.Now()
	if now-inc.answeredAt <= unresponsiveAfter {
		return
	}
	if !inc.unresponsive {
		inc.unresponsive = true
		inc.changed = r.recordChange(true)
	}
	if inc.lapsed || now <= inc.lastLeaseEnd() {
		return
	}
	inc.lapsed = true
	inc.changed = r.recordChange(true)
	r.deps.Log.Warn().Str("worker", string(inc.id)).Dur("silent", now-inc.answeredAt).Int("runs", len(inc.runs)).
		Stringers("fresh", loggedRuns(inc.freshRuns())).Msg("worker unresponsive beyond its last lease")
}

func (r *Runner) candidateFailed(ctx context.Context, id workload.WorkerID, err error) {
	var refused *workerctl.RefusedError
	if errors.Is(err, workerctl.ErrGone) || errors.As(err, &refused) {
		r.mu.Lock()
		if r.candidate != nil && r.candidate.ID == id {
			r.candidate = nil
		}
		r.disproveReborn(id, err)
		r.mu.Unlock()
		r.deps.Log.Info().Err(err).Str("worker", string(id)).Msg("unconfirmed worker is gone or refused to list its runs")
		return
	}
	r.deps.Log.Warn().Err(err).Str("worker", string(id)).Msg("unconfirmed worker did not list its runs")
	r.pause(ctx, holdRetryPause)
}

// endIncarnation records that the current incarnation has ended and runs
// nothing any more.
func (r *Runner) endIncarnation(why string) {
	inc := r.incarnation
	freshRuns := inc.freshRuns()
	r.deps.Log.Info().Str("worker", string(inc.id)).Int("runs", len(inc.runs)).Stringers("fresh", loggedRuns(freshRuns)).Str("why", why).Msg("worker gone")
	r.former = append(r.former, formerIncarnation{id: inc.id, freshRuns: freshRuns, changed: r.version + 1})
	if len(r.former) > maxFormer {
		r.former = r.former[1:]
	}
	r.incarnation = nil
	r.recordChange(true)
}

// listingWait returns the time that a listing may wait for an end: at most the
// time between two samples, so that a sample can show early that filling work
// presses on a serving task.
//
// Guards against late reports of ends while some of the worker's answers are
// lost. A listing without an answer times out only after its whole wait, which
// delays the ends in the lost answer. A step of tens of tasks nearly always has
// such an end. While answers are lost, listings therefore wait less.
func (r *Runner) listingWait(inc *incarnation) time.Duration {
	longest := holdWait
	if inc.unansweredAt > 0 && r.deps.Now()-inc.unansweredAt < lossyPeriod {
		longest = lossyWait
	}
	interval := r.currentSampleInterval(inc)
	if interval <= 0 {
		return longest
	}
	return min(longest, interval)
}

func (r *Runner) holdOnce(ctx context.Context, inc *incarnation) {
	r.mu.Lock()
	r.checkReports(inc)
	order := workerctl.HoldOrder{Token: r.token, Lease: r.leaseLimit(inc), Seen: inc.storedEnd, Wait: r.listingWait(inc)}
	r.counters.Holds++
	if inc.failures > 0 {
		// List at once: runs may have ended since the failed call.
		order.Wait = 0
	}
	callCtx, cancel := context.WithTimeout(ctx, order.Wait+inc.answers.timeout(inc.failures+1))
	r.mu.Unlock()
	defer cancel()
	sent := r.deps.Now()
	listing, err := r.deps.Control.Hold(callCtx, inc.id, order)
	if err != nil {
		r.holdFailed(ctx, inc, err)
		return
	}
	r.mu.Lock()
	if order.Wait == 0 {
		inc.answers.Observe(r.deps.Now() - sent)
	}
	if r.incarnation == inc {
		r.recordAnswer(inc)
		inc.unlisted = false
		r.applyListing(inc, listing, sent)
	}
	unstored := len(inc.ends) > 0
	r.mu.Unlock()
	if unstored {
		r.pause(ctx, endPause)
	}
}

func (r *Runner) holdFailed(ctx context.Context, inc *incarnation, err error) {
	r.mu.Lock()
	r.counters.HoldErrors++
	inc.failures++
	inc.unansweredAt = r.deps.Now()
	r.recordFailure(inc, err)
	failures := inc.failures
	first := failures == 1
	var refused *workerctl.RefusedError
	var reborn *workerctl.RebornError
	gone := errors.Is(err, workerctl.ErrGone)
	fenced := errors.As(err, &refused)
	switch {
	case errors.As(err, &reborn) && r.incarnation == inc:
		r.proposeReborn(inc, reborn.Worker)
	case gone && r.incarnation == inc:
		r.endIncarnation("the worker answered as another incarnation")
	case r.incarnation == inc && inc.leaving && inc.downAt > 0:
		r.endIncarnation("the worker announced its shutdown and nothing listens at its address")
	case r.incarnation == inc:
		r.checkUnresponsive(inc)
	}
	r.mu.Unlock()
	if fenced {
		r.deps.Log.Error().Err(err).Uint64("token", r.token).Msg("worker refused to list its runs; a newer agent may have fenced this one")
	}
	if ctx.Err() != nil || gone {
		return
	}
	if first {
		r.deps.Log.Warn().Err(err).Str("worker", string(inc.id)).Msg("worker does not answer")
	}
	if failures <= firstTries {
		r.pause(ctx, retryPause)
		return
	}
	r.pause(ctx, holdRetryPause)
}

// applyListing applies a listing that was requested at sent.
func (r *Runner) applyListing(inc *incarnation, listing workerctl.Listing, sent time.Duration) {
	r.applyEnds(inc, listing.Ended)
	// Answers on different connections may overtake each other: an older
	// listing must not hide a run that a newer answer has confirmed.
	if listing.Now < inc.clock.now {
		return
	}
	inc.clock = clockReading{now: listing.Now, at: r.deps.Now()}
	present := make(map[workload.RunID]bool, len(listing.Running))
	for _, s := range listing.Running {
		present[s.Run] = true
		r.applyRunning(inc, s)
	}
	if listing.Whole && !inc.endsKnown {
		inc.endsKnown = true
		inc.changed = r.recordChange(true)
	}
	for id, x := range inc.runs {
		switch {
		case present[id]:
		case listing.Whole:
			r.applyAbsent(inc, x, sent)
		case x.missingSince == 0 && x.confirmedAt < sent:
			x.missingSince = r.deps.Now()
		}
	}
	r.takeSample(inc)
	if !inc.listed {
		inc.listed = true
		inc.changed = r.recordChange(true)
	}
}

func (r *Runner) applyEnds(inc *incarnation, ends []workload.End) {
	sort.Slice(ends, func(i, j int) bool { return ends[i].Number < ends[j].Number })
	for _, e := range ends {
		if e.Number <= inc.readEnd {
			continue
		}
		inc.readEnd = e.Number
		if x := inc.runs[e.Run]; x != nil && x.workedAt > 0 {
			x.accountWork(cmp.Or(x.missingSince, r.deps.Now()))
			e.Worked = x.worked
		}
		delete(inc.runs, e.Run)
		inc.ends = append(inc.ends, endEntry{end: e, changed: r.recordChange(true)})
		r.counters.Ends++
		r.deps.Log.Info().Stringer("run", e.Run).Str("how", string(e.Kind)).Uint64("number", e.Number).
			Bool("checkpoint", e.Checkpoint != "").Msg("run ended")
	}
}

func (r *Runner) applyRunning(inc *incarnation, s workerctl.RunStatus) {
	x, ok := inc.runs[s.Run]
	if !ok {
		// A run of an earlier process of this agent: its size is unknown
		// until the scheduler repeats its start order.
		x = &run{id: s.Run, inherited: true}
		inc.runs[s.Run] = x
		r.deps.Log.Info().Stringer("run", s.Run).Msg("run found on the worker")
	}
	if x.state != dispatch.RunPresent {
		x.state = dispatch.RunPresent
		x.confirmedAt = r.deps.Now()
		if ok {
			x.workedAt = x.confirmedAt
		}
		x.changed = r.recordChange(!ok)
	}
	if s.Checkpoint != "" && s.Checkpoint != x.checkpoint {
		x.checkpoint = s.Checkpoint
		x.changed = r.recordChange(false)
	}
	x.progress, x.doubtful, x.missingSince = s.Progress, false, 0
	r.measureWork(x)
	x.recordPresent(s.Progress > 0 || s.Rough > 0, r.deps.Now())
	r.reportProven(inc, x)
	if !x.slow && x.straggles(r.deps.Now()) {
		x.slow = true
		x.changed = r.recordChange(true)
		r.deps.Log.Info().Stringer("run", x.id).Int("progress", x.progress).Int("before", x.firstProgress).
			Dur("watched", r.deps.Now()-x.firstAt).Dur("estimate", x.estimate).Msg("run progresses slowly")
	}
	since := x.overSince
	x.updateRough(s.Rough, r.deps.Now())
	r.logOver(inc, x, since)
}

// applyAbsent handles a run that is missing from a whole listing requested at
// sent.
//
// Guards against a task that runs again after its end. A worker lists a limited
// number of ends, so with many ends that are not stored yet, a run may be in
// neither list. Until a listing is whole, such a run is unknown.
func (r *Runner) applyAbsent(inc *incarnation, x *run, sent time.Duration) {
	if x.state == dispatch.RunVoid {
		return
	}
	settled := x.state == dispatch.RunPresent && x.confirmedAt < sent
	if x.stopping {
		// A stop voids every order of the run, also one still in transit.
		// Until the stop is answered, such an order may be carried out.
		settled = x.stopped && x.confirmedAt < sent
	}
	if settled {
		r.makeVoid(inc, x, "not on the worker")
	}
}

// makeVoid marks the run void: it is not on the worker and never will be. The
// record of the run is kept until the scheduler has read that it is void.
func (r *Runner) makeVoid(_ *incarnation, x *run, reason string) {
	x.state = dispatch.RunVoid
	x.reason = reason
	x.changed = r.recordChange(true)
	r.deps.Log.Info().Stringer("run", x.id).Str("why", reason).Msg("run is void: not on the worker and never will be")
}
