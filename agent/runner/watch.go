package runner

import (
	"context"
	"time"

	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// Watch answers what has changed since the caller's last answer, at once if
// something urgent has, else after args.Wait.
func (r *Runner) Watch(ctx context.Context, args dispatch.WatchArgs) dispatch.WatchReply {
	timer := time.NewTimer(args.Wait)
	defer timer.Stop()
	r.mu.Lock()
	refused := r.accept(args.Claim)
	if refused == dispatch.RefusedProcess {
		// The caller does not know this process yet: it gets everything,
		// and grants nothing.
		args.Since = 0
		refused = ""
	}
	if refused != "" {
		reply := dispatch.WatchReply{Refused: refused, Process: r.token}
		r.mu.Unlock()
		return reply
	}
	r.acknowledge(args)
	r.learn(&args)
	for args.Since != 0 && r.urgent <= args.Since {
		wake := r.wake
		r.mu.Unlock()
		select {
		case <-wake:
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

// acknowledge forgets ends that are stored and void runs that were read.
func (r *Runner) acknowledge(args dispatch.WatchArgs) {
	l := r.life
	if l == nil {
		return
	}
	if args.Since != 0 {
		for id, x := range l.runs {
			if x.state == dispatch.RunVoid && x.changed <= args.Since {
				delete(l.runs, id)
			}
		}
	}
	if l.id == args.Worker {
		r.forget(l, args.Seen)
	}
}

// forget drops the ends up to seen: the store has their effect, so the worker
// may forget them, too.
func (r *Runner) forget(l *life, seen uint64) {
	if seen <= l.seen {
		return
	}
	l.seen = seen
	kept := l.ends[:0]
	for _, e := range l.ends {
		if e.end.Number > l.seen {
			kept = append(kept, e)
		}
	}
	l.ends = kept
	r.kickHold()
}

func (r *Runner) report(since uint64) dispatch.WatchReply {
	reply := dispatch.WatchReply{Process: r.token, At: r.deps.Now(), Version: r.version}
	reply.Former, reply.Fresh = r.formerLives(since)
	if reply.Version == 0 {
		// Version 0 would ask for everything again and never wait.
		reply.Version = r.touch(false)
	}
	l := r.life
	if l == nil {
		return reply
	}
	reply.Worker = l.worker
	reply.Worker.Draining = l.worker.Draining || l.left
	reply.Listed = l.listed && !l.silent && !l.stale
	reply.Lapsed = l.lapsed
	reply.Sample, r.sample = r.sample, nil
	for _, x := range l.runs {
		if x.changed > since || since == 0 {
			reply.Runs = append(reply.Runs, dispatch.RunReport{Run: x.id, State: x.state, Checkpoint: x.checkpoint, Reason: x.reason, Slow: x.slow, Proven: x.proven(l.answeredAt)})
		}
	}
	for _, e := range l.ends {
		if e.changed > since {
			reply.Ends = append(reply.Ends, e.end)
		}
	}
	return reply
}

// Reported takes a worker's report about itself. sequence counts the reports
// of one life: a late one must not undo a newer one.
func (r *Runner) Reported(w workload.Worker, sequence uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if l := r.life; l != nil && l.id == w.ID {
		if sequence <= l.sequence {
			return
		}
		l.sequence, l.reportedAt = sequence, r.deps.Now()
		if l.worker.Draining && !w.Draining {
			w.Draining = true
		}
		if l.worker.Draining != w.Draining || l.worker.Capacity != w.Capacity {
			l.changed = r.touch(true)
			r.deps.Log.Info().Str("worker", string(w.ID)).Bool("draining", w.Draining).Int("cpu", w.Capacity.CPU).Msg("worker changed")
		}
		l.worker = w
		r.checkReports(l)
		return
	}
	for _, f := range r.former {
		if f.id == w.ID {
			return
		}
	}
	if r.candidate != nil && r.candidate.ID == w.ID && sequence <= r.candidateSeq {
		return
	}
	r.candidate = &w
	r.candidateSeq, r.candidateAt = sequence, r.deps.Now()
	r.kickHold()
}

// suggest names a worker that may live, without a report of its own.
func (r *Runner) suggest(w workload.Worker) {
	if w.ID == "" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.life == nil && r.candidate == nil {
		r.candidate, r.candidateSeq, r.candidateAt = &w, 0, 0
		r.kickHold()
	}
}

// Left takes the word of a worker that it ends.
func (r *Runner) Left(id workload.WorkerID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.candidate != nil && r.candidate.ID == id {
		r.candidate = nil
	}
	if r.life == nil || r.life.worker.ID != id {
		return
	}
	r.life.left = true
	r.life.changed = r.touch(true)
	r.deps.Log.Info().Str("worker", string(id)).Int("runs", len(r.life.runs)).Msg("worker leaves")
}

// Unreadable counts a report that could not be read. It names no worker to
// use; what is known holds.
func (r *Runner) Unreadable(err error) {
	r.mu.Lock()
	r.counters.Unreadable++
	first := r.counters.Unreadable == 1
	r.mu.Unlock()
	if first {
		r.deps.Log.Warn().Err(err).Msg("unreadable report of a worker; further ones are only counted")
	}
}

// paced is the pace of one run.
type paced struct {
	run  workload.RunID
	pace int
}

func (r *Runner) pace(ctx context.Context, l *life, p paced) {
	_, err := r.deps.Control.Pace(ctx, l.id, p.run, p.pace, r.token)
	r.mu.Lock()
	r.counters.Paces++
	r.mu.Unlock()
	if err != nil && ctx.Err() == nil {
		r.deps.Log.Warn().Err(err).Stringer("run", p.run).Int("pace", p.pace).Msg("pace not set")
	}
}
