package runner

import (
	"context"
	"errors"
	"time"

	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// Watch returns the changes since args.Since once one of them is urgent, else
// after args.Wait. If args.Since is 0, it returns the whole state at once.
func (r *Runner) Watch(ctx context.Context, args dispatch.WatchArgs) dispatch.WatchReply {
	timer := time.NewTimer(args.Wait)
	defer timer.Stop()
	r.mu.Lock()
	r.calledAt = r.deps.Now()
	refused := r.acceptClaim(args.Claim)
	if refused == dispatch.RefusedProcess {
		// The caller does not know this process yet: the reply holds the
		// whole state, and the claim grants nothing.
		args.Since = 0
		refused = ""
	}
	if refused != "" {
		reply := dispatch.WatchReply{Refused: refused, Process: r.token}
		r.mu.Unlock()
		return reply
	}
	r.acknowledge(args)
	r.applyUpdate(&args)
	for args.Since != 0 && r.urgent <= args.Since {
		watchWake := r.watchWake
		r.mu.Unlock()
		select {
		case <-watchWake:
			r.mu.Lock()
			continue
		case <-timer.C:
		case <-ctx.Done():
		}
		r.mu.Lock()
		break
	}
	defer r.mu.Unlock()
	return r.report(args.Since)
}

// uncalledFor is the time since a scheduler last called Watch, or since the process
// was registered.
func (r *Runner) uncalledFor() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.deps.Now() - r.calledAt
}

// knownWorker returns the present worker, or none.
func (r *Runner) knownWorker() workload.Worker {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.incarnation == nil {
		return workload.Worker{}
	}
	return r.incarnation.worker
}

// acknowledge drops stored ends, and void runs that the caller has read.
func (r *Runner) acknowledge(args dispatch.WatchArgs) {
	inc := r.incarnation
	if inc == nil {
		return
	}
	if args.Since != 0 {
		for id, x := range inc.runs {
			if x.state == dispatch.RunVoid && x.changed <= args.Since {
				delete(inc.runs, id)
			}
		}
	}
	if inc.id == args.Worker {
		r.dropEnds(inc, args.Seen)
	}
}

// dropEnds drops the ends up to storedEnd: their effect is stored, so the worker
// may drop them, too.
func (r *Runner) dropEnds(inc *incarnation, storedEnd uint64) {
	if storedEnd <= inc.storedEnd {
		return
	}
	inc.storedEnd = storedEnd
	kept := inc.ends[:0]
	for _, e := range inc.ends {
		if e.end.Number > inc.storedEnd {
			kept = append(kept, e)
		}
	}
	inc.ends = kept
	r.wakeHold()
}

func (r *Runner) report(since uint64) dispatch.WatchReply {
	reply := dispatch.WatchReply{Process: r.token, At: r.deps.Now(), Version: r.version}
	reply.Former, reply.Fresh = r.formerIncarnations(since)
	if reply.Version == 0 {
		// With version 0 the caller's next Since would be 0: it would get the
		// whole state again, without a wait.
		reply.Version = r.recordChange(false)
	}
	inc := r.incarnation
	if inc == nil {
		return reply
	}
	reply.Worker = inc.worker
	reply.Worker.Draining = inc.worker.Draining || inc.leaving
	reply.Listed = inc.listed && !inc.unresponsive && !inc.stale && inc.downAt == 0
	reply.Lapsed = inc.lapsed
	reply.EndsUnknown = !inc.endsKnown
	if r.stopping {
		reply.Stopping, reply.LeaseEnd = true, inc.lastLeaseEnd()
		if inc.failedAt > 0 {
			// The process won't see whether the worker has crashed.
			reply.Fresh = append(reply.Fresh, inc.freshRuns()...)
		}
	}
	reply.Sample, r.sample = r.sample, nil
	for _, x := range inc.runs {
		if x.changed > since || since == 0 {
			reply.Runs = append(reply.Runs, dispatch.RunReport{Run: x.id, State: x.state, Checkpoint: x.checkpoint, Reason: x.reason, Slow: x.slow, Proven: x.proven(inc.answeredAt), Work: r.reportedWork(x)})
		}
	}
	for _, e := range inc.ends {
		if e.changed > since {
			reply.Ends = append(reply.Ends, e.end)
		}
	}
	return reply
}

// Reported applies a worker's report about itself. sequence counts the reports
// of one incarnation: a late report must not undo a newer one.
func (r *Runner) Reported(w workload.Worker, sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if inc := r.incarnation; inc != nil && inc.id == w.ID {
		now := r.deps.Now()
		newest := inc.order.record(sequence, now)
		if newest || inc.order.recounts() {
			inc.reportedAt = now
		}
		if !newest {
			return
		}
		if inc.worker.Draining && !w.Draining {
			w.Draining = true
		}
		if inc.worker.Draining != w.Draining || inc.worker.Capacity != w.Capacity {
			inc.changed = r.recordChange(true)
			r.deps.Log.Info().Str("worker", string(w.ID)).Bool("draining", w.Draining).Int("cpu", w.Capacity.CPU).Msg("draining state or capacity of the worker changed")
		}
		inc.worker = w
		r.checkReports(inc)
		return
	}
	for _, f := range r.former {
		if f.id == w.ID {
			return
		}
	}
	reborn := r.incarnation != nil && r.isReborn(w.ID)
	if reborn && r.incarnation.id.Born() == 0 {
		// Workers that do not tell the start of their life never keep their identifier.
		r.countUnreadable(errOddLife)
		return
	}
	if r.candidate == nil || r.candidate.ID != w.ID {
		r.candidateOrder = reportOrder{}
	}
	if !r.candidateOrder.record(sequence, r.deps.Now()) {
		return
	}
	if reborn && w.ID.Born() > r.incarnation.id.Born() {
		r.incarnation.replaced = true
	}
	r.candidate = &w
	r.candidateAt = r.deps.Now()
	r.wakeHold()
}

// suggest makes w the candidate, without a report, if no worker is known.
func (r *Runner) suggest(w workload.Worker) {
	if w.ID == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.suggested = w.ID
	if r.incarnation == nil && r.candidate == nil {
		r.candidate, r.candidateOrder, r.candidateAt = &w, reportOrder{}, 0
		r.wakeHold()
	}
}

// Left records a worker's announcement of its shutdown.
func (r *Runner) Left(id workload.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.candidate != nil && announcedBy(r.candidate.ID, id) {
		r.candidate = nil
	}
	if r.incarnation == nil || !announcedBy(r.incarnation.id, id) {
		return
	}
	r.incarnation.leaving = true
	r.incarnation.changed = r.recordChange(true)
	r.deps.Log.Info().Str("worker", string(id)).Int("runs", len(r.incarnation.runs)).Msg("worker announced its shutdown")
}

// announcedBy reports whether an announcement under the identifier id is of the
// worker; id may name only its instance.
func announcedBy(worker, id workload.WorkerID) bool {
	return worker == id || id.Born() == 0 && worker.Instance() == string(id)
}

var errOddLife = errors.New("report of another life under the identifier of a worker that tells no start time")

// Unreadable counts a report that could not be decoded. The report names no
// usable worker, so the state stays as it is.
func (r *Runner) Unreadable(err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.countUnreadable(err)
}

// countUnreadable counts a report that is not used. The caller holds mu.
func (r *Runner) countUnreadable(err error) {
	r.counters.Unreadable++
	if r.counters.Unreadable == 1 {
		r.deps.Log.Warn().Err(err).Msg("unreadable worker report; further ones are only counted")
	}
}

type paceOrder struct {
	run  workload.RunID
	pace int
}

func (r *Runner) sendPace(ctx context.Context, inc *incarnation, p paceOrder) {
	_, err := r.deps.Control.Pace(ctx, inc.id, p.run, p.pace, r.token)
	r.mu.Lock()
	r.counters.Paces++
	r.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		r.deps.Log.Warn().Err(err).Stringer("run", p.run).Int("pace", p.pace).Msg("pace not set")
	}
}
