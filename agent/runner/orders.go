package runner

import (
	"context"
	"errors"
	"time"

	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	// retryPause is the pause before an order is repeated.
	retryPause = 30 * time.Millisecond
	// notDoneTries is how often a start is repeated at a worker that turns
	// it away: it may be unhealthy, and another worker serves better.
	notDoneTries = 3
	// orderFresh is the age beyond which an order is refused, counted from
	// this agent's word that it answers to: an order that the network held up
	// may be about a job that was cancelled since. The scheduler hears from
	// each agent about once a second.
	orderFresh = 2 * time.Second
	// settleTime bounds the repeats of a start without an answer. Then it is
	// stopped, which voids it.
	settleTime = 2500 * time.Millisecond
)

// Order takes the scheduler's orders. What becomes of them is told by Watch.
func (r *Runner) Order(ctx context.Context, args dispatch.OrderArgs) dispatch.OrderReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	refused := r.accept(args.Claim)
	if refused == "" && (r.life == nil || r.life.worker.ID != args.Worker) {
		refused = dispatch.RefusedWorker
	}
	if now := r.deps.Now(); refused == "" && (r.grantEnd <= now || now-args.Echo > orderFresh) {
		refused = dispatch.RefusedGrant
	}
	if refused != "" {
		r.deps.Log.Info().Str("why", string(refused)).Uint64("epoch", args.Epoch).Uint64("newest", r.epoch).
			Int("starts", len(args.Starts)).Int("stops", len(args.Stops)).Msg("orders refused")
		return dispatch.OrderReply{Refused: refused}
	}
	r.forget(r.life, args.Seen)
	for _, id := range args.Stops {
		r.orderStop(ctx, r.life, id)
	}
	for _, o := range args.Starts {
		r.orderStart(ctx, r.life, o, args.Payloads[o.Run.Task.Job])
	}
	return dispatch.OrderReply{}
}

// accept takes note of a scheduler's claim. An older scheduler's orders are
// refused from the moment that a newer one has spoken.
func (r *Runner) accept(c dispatch.Claim) dispatch.Refusal {
	if c.Epoch < r.epoch {
		return dispatch.RefusedEpoch
	}
	if c.Epoch > r.epoch {
		r.deps.Log.Info().Uint64("epoch", c.Epoch).Uint64("before", r.epoch).Msg("new scheduler")
		r.epoch = c.Epoch
	}
	r.acceptDrain(c)
	if c.Process != r.token {
		return dispatch.RefusedProcess
	}
	if end := c.Echo + c.Grant; c.Echo > 0 && end > r.grantEnd {
		r.grantEnd = end
	}
	return ""
}

// acceptDrain takes note of whether the data centre is drained. Calls overtake
// each other, so an older word never replaces a newer one.
func (r *Runner) acceptDrain(c dispatch.Claim) {
	if c.DrainsVersion <= r.drainsVersion {
		return
	}
	r.drainsVersion = c.DrainsVersion
	if c.Drained != r.drained {
		r.drained = c.Drained
		r.deps.Log.Info().Bool("drained", c.Drained).Uint64("version", c.DrainsVersion).Msg("data centre")
	}
}

func (r *Runner) orderStart(ctx context.Context, l *life, o dispatch.StartOrder, payload string) {
	if x, ok := l.runs[o.Run]; ok {
		if x.state != dispatch.RunVoid {
			x.size(o)
		}
		return
	}
	for _, e := range l.ends {
		if e.end.Run == o.Run {
			return
		}
	}
	x := &run{id: o.Run, payload: payload, checkpoint: o.Checkpoint, ticket: o.Ticket}
	x.size(o)
	l.runs[o.Run] = x
	if why := r.guard(l, x); why != "" {
		r.counters.Refused++
		r.makeVoid(l, x, why)
		return
	}
	r.counters.Starts++
	r.deps.Log.Info().Stringer("run", o.Run).Uint64("epoch", r.epoch).Int("cpu", o.Need.CPU).Int("memory", o.Need.Memory).
		Str("image", o.Image).Bool("fills", o.Fills).Bool("serves", o.TailTarget > 0).Bool("checkpoint", o.Checkpoint != "").Msg("start")
	go r.start(ctx, l, x)
}

func (x *run) size(o dispatch.StartOrder) {
	x.need = o.Need
	x.fills = o.Fills
	x.image = o.Image
	x.tailTarget = o.TailTarget
	x.gang = o.Gang
	x.watched = o.Watched
	x.estimate = o.Estimate
	x.sized = true
}

// guard is the last word on the worker's room: what runs, what was ordered
// and what is being stopped all count until an end is listed. x is already
// among the runs.
func (r *Runner) guard(l *life, x *run) string {
	if l.worker.Draining || l.left {
		return "the worker is leaving"
	}
	if r.drained {
		return dispatch.ReasonDrained
	}
	if l.silent || r.deps.Now()-l.answeredAt > silentAfter || x.watched && l.failures > 0 {
		return "the worker does not answer"
	}
	if !l.listed {
		return "the worker was not listed yet"
	}
	return r.lacksRoom(l)
}

// start repeats one order until its outcome is known.
func (r *Runner) start(ctx context.Context, l *life, x *run) {
	begun := r.deps.Now()
	for try := 1; ctx.Err() == nil; try++ {
		r.mu.Lock()
		if r.life != l || x.state != dispatch.RunPending || x.stopping {
			r.mu.Unlock()
			return
		}
		lease := r.leaseLimit(l)
		patience := l.answers.timeout(try)
		reason := r.hinders(l, lease, begun)
		x.calling = reason == ""
		r.mu.Unlock()
		if reason != "" {
			r.giveUp(ctx, l, x, reason)
			return
		}
		answer, cancel := context.WithTimeout(ctx, patience)
		sent := r.deps.Now()
		now, err := r.deps.Control.Start(answer, l.id, workerctl.StartOrder{
			Run: x.id, Payload: x.payload, Lease: lease, Token: r.token, Checkpoint: x.checkpoint, Ticket: x.ticket,
		})
		cancel()
		if err == nil {
			r.observeAnswer(l, r.deps.Now()-sent)
		}
		done, reason := r.startAnswered(l, x, now, err)
		if done {
			return
		}
		if reason != "" || errors.Is(err, workerctl.ErrNotDone) && try >= notDoneTries {
			if reason == "" {
				reason = "the worker turns starts away"
			}
			r.giveUp(ctx, l, x, reason)
			return
		}
		time.Sleep(retryPause)
	}
}

// hinders says why a start that was first sent at begun must not be sent again
// under lease, or is empty. The worker may have shrunk since. The caller holds
// mu.
func (r *Runner) hinders(l *life, lease workerctl.Clock, begun time.Duration) string {
	switch {
	case r.drained:
		return dispatch.ReasonDrained
	case lease == 0 || r.deps.Now()-begun > settleTime:
		return "no answer within the grant"
	}
	return r.lacksRoom(l)
}

// observeAnswer takes the time of an answer.
func (r *Runner) observeAnswer(l *life, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	l.answers.Observe(took)
}

// startAnswered takes the answer to a start. done says that nothing is left
// to do; else a reason is the worker's final refusal.
func (r *Runner) startAnswered(l *life, x *run, now workerctl.Clock, err error) (done bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.calling = false
	if errors.Is(err, workerctl.ErrUnknown) {
		x.uncertain = true
	}
	if r.life != l {
		return true, ""
	}
	r.noteFailed(l, err)
	var refused *workerctl.RefusedError
	switch {
	case err == nil:
		r.answered(l)
		r.confirm(l, x, now)
		return true, ""
	case errors.Is(err, workerctl.ErrGone):
		r.endLife("it answers that it is another life")
		return true, ""
	case errors.As(err, &refused):
		// "Old" after an order without an answer, or after an earlier agent
		// process: the run may have been there and ended. The next listing
		// tells.
		if refused.Reason == workerctl.RefusedOld {
			r.confirm(l, x, now)
			return true, ""
		}
		return false, "the worker refused: " + string(refused.Reason)
	}
	r.deps.Log.Warn().Err(err).Stringer("run", x.id).Bool("may_have_begun", x.uncertain).Msg("start not answered")
	return false, ""
}

func (r *Runner) confirm(l *life, x *run, now workerctl.Clock) {
	if x.state != dispatch.RunPending {
		return
	}
	x.state = dispatch.RunPresent
	x.confirmedAt = r.deps.Now()
	x.seenPresent(false, x.confirmedAt)
	x.workedAt = x.confirmedAt
	x.changed = r.touch(false)
	if now > l.clock.now {
		l.clock = clockReading{now: now, at: x.confirmedAt}
	}
}

// giveUp makes a start void: at once if no order of it can still be carried
// out, else by a stop.
func (r *Runner) giveUp(ctx context.Context, l *life, x *run, reason string) {
	r.mu.Lock()
	if r.life != l || x.state != dispatch.RunPending {
		r.mu.Unlock()
		return
	}
	r.counters.Refused++
	if !x.uncertain {
		r.makeVoid(l, x, reason)
		r.mu.Unlock()
		return
	}
	begin := !x.stopping
	x.stopping = true
	x.reason = reason
	r.mu.Unlock()
	if begin {
		r.stop(ctx, l, x)
	}
}

func (r *Runner) orderStop(ctx context.Context, l *life, id workload.RunID) {
	x, ok := l.runs[id]
	if !ok {
		// Nothing is known of the run: an order of an earlier process may
		// still arrive, and the stop voids it.
		for _, e := range l.ends {
			if e.end.Run == id {
				return
			}
		}
		x = &run{id: id, sized: true, uncertain: true}
		l.runs[id] = x
	}
	if x.stopping || x.state == dispatch.RunVoid {
		return
	}
	x.stopping = true
	r.counters.Stops++
	r.deps.Log.Info().Stringer("run", id).Uint64("epoch", r.epoch).Msg("stop")
	go r.stop(ctx, l, x)
}

// stop repeats a stop until it is answered. The listing after that shows the
// run's end, or that it never was there.
func (r *Runner) stop(ctx context.Context, l *life, x *run) {
	for ctx.Err() == nil {
		r.mu.Lock()
		current := r.life == l && l.runs[x.id] == x
		r.mu.Unlock()
		if !current {
			return
		}
		_, err := r.deps.Control.Stop(ctx, l.id, x.id, r.token)
		var refused *workerctl.RefusedError
		if err == nil || errors.As(err, &refused) {
			r.mu.Lock()
			x.stopped = true
			x.confirmedAt = r.deps.Now()
			r.mu.Unlock()
			r.kickHold()
			return
		}
		if errors.Is(err, workerctl.ErrGone) {
			r.mu.Lock()
			if r.life == l {
				r.endLife("it answers that it is another life")
			}
			r.mu.Unlock()
			return
		}
		r.deps.Log.Warn().Err(err).Stringer("run", x.id).Msg("stop not answered")
		time.Sleep(retryPause)
	}
}
