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
	// maxNotDoneTries bounds the tries of a start that fails with ErrNotDone:
	// the worker may be unhealthy, and the run is better placed elsewhere.
	maxNotDoneTries = 3
	// maxOrderAge is the age above which an order is refused, since a delayed
	// order's job may have been cancelled. An order echoes the time of a
	// message from this agent, and its age counts from that time. The scheduler
	// receives a message from each agent about once a second.
	maxOrderAge = 2 * time.Second
	// startTimeout bounds the time for which a start without an answer is
	// repeated. Then the run is stopped, which voids the start.
	startTimeout = 2500 * time.Millisecond
	// reasonReplaced is the reason of a refusal once a new life of the worker has
	// been heard of.
	reasonReplaced = "the worker has started again"
	// reasonDown is the reason of a refusal while nothing listens at the worker's
	// address.
	reasonDown = "the worker is down"
)

// Order accepts the scheduler's orders. Watch reports their outcomes.
func (r *Runner) Order(ctx context.Context, args dispatch.OrderArgs) dispatch.OrderReply {
	r.mu.Lock()
	defer r.mu.Unlock()
	refused := r.acceptClaim(args.Claim)
	if refused == "" && (r.incarnation == nil || r.incarnation.worker.ID != args.Worker) {
		refused = dispatch.RefusedWorker
	}
	if now := r.deps.Now(); refused == "" && (r.grantEnd <= now || now-args.Echo > maxOrderAge) {
		refused = dispatch.RefusedGrant
	}
	if refused != "" {
		r.deps.Log.Info().Str("why", string(refused)).Uint64("epoch", args.Epoch).Uint64("newest", r.epoch).
			Int("starts", len(args.Starts)).Int("stops", len(args.Stops)).Msg("orders refused")
		return dispatch.OrderReply{Refused: refused}
	}
	r.dropEnds(r.incarnation, args.Seen)
	for _, id := range args.Stops {
		r.orderStop(ctx, r.incarnation, id)
	}
	for _, o := range args.Starts {
		r.orderStart(ctx, r.incarnation, o, args.Payloads[o.Run.Task.Job])
	}
	return dispatch.OrderReply{}
}

// acceptClaim records a scheduler's claim to its term, or refuses it. After the
// claim of a newer scheduler, the claims of older ones are refused.
func (r *Runner) acceptClaim(c dispatch.Claim) dispatch.Refusal {
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

// acceptDrain records whether the data centre is drained. Calls may overtake
// each other, so only a newer version is recorded.
func (r *Runner) acceptDrain(c dispatch.Claim) {
	if c.DrainsVersion <= r.drainsVersion {
		return
	}
	r.drainsVersion = c.DrainsVersion
	if c.Drained != r.drained {
		r.drained = c.Drained
		r.deps.Log.Info().Bool("drained", c.Drained).Uint64("version", c.DrainsVersion).Msg("drain state of the data centre changed")
	}
}

func (r *Runner) orderStart(ctx context.Context, inc *incarnation, o dispatch.StartOrder, payload string) {
	if x, ok := inc.runs[o.Run]; ok {
		if x.state != dispatch.RunVoid {
			x.setSize(o)
		}
		return
	}
	for _, e := range inc.ends {
		if e.end.Run == o.Run {
			return
		}
	}
	x := &run{id: o.Run, payload: payload, checkpoint: o.Checkpoint, ticket: o.Ticket, startPace: o.Pace, uncertain: !inc.endsKnown}
	x.setSize(o)
	inc.runs[o.Run] = x
	if why := r.startRefusal(inc, x); why != "" {
		if x.uncertain {
			go r.abandonStart(ctx, inc, x, why)
			return
		}
		r.counters.Refused++
		r.makeVoid(inc, x, why)
		return
	}
	r.counters.Starts++
	r.deps.Log.Info().Stringer("run", o.Run).Uint64("epoch", r.epoch).Int("cpu", o.Need.CPU).Int("memory", o.Need.Memory).
		Str("image", o.Image).Bool("fills", o.Fills).Bool("serves", o.TailTarget > 0).Bool("checkpoint", o.Checkpoint != "").Msg("start")
	go r.start(ctx, inc, x)
}

func (x *run) setSize(o dispatch.StartOrder) {
	x.need = o.Need
	x.fills = o.Fills
	x.image = o.Image
	x.tailTarget = o.TailTarget
	x.gang = o.Gang
	x.watched = o.Watched
	x.estimate = o.Estimate
	x.sized = true
}

// startRefusal returns why x must not start, or "". This is the final check of
// the worker's capacity: runs that are present, ordered or being stopped count
// until they end or are void. x is already among the runs.
func (r *Runner) startRefusal(inc *incarnation, x *run) string {
	if inc.worker.Draining || inc.leaving {
		return "the worker is leaving"
	}
	if inc.replaced {
		return reasonReplaced
	}
	if r.stopping {
		return "the agent is stopping"
	}
	if r.drained {
		return dispatch.ReasonDrained
	}
	if inc.unresponsive || r.deps.Now()-inc.answeredAt > unresponsiveAfter || x.watched && inc.failures > 0 {
		return "the worker does not answer"
	}
	if inc.downAt > 0 {
		return reasonDown
	}
	if !inc.listed {
		return "the worker was not listed yet"
	}
	return r.capacityRefusal(inc)
}

// start repeats one start order until its outcome is known or it is abandoned.
func (r *Runner) start(ctx context.Context, inc *incarnation, x *run) {
	begun := r.deps.Now()
	for try := 1; ctx.Err() == nil; try++ {
		r.mu.Lock()
		if r.incarnation != inc || x.state != dispatch.RunPending || x.stopping {
			r.mu.Unlock()
			return
		}
		lease := r.leaseLimit(inc)
		answerTimeout := inc.answers.timeout(try)
		reason := r.sendRefusal(inc, lease, begun)
		x.calling = reason == ""
		if x.calling && x.sentAt == 0 {
			x.sentAt = r.deps.Now()
		}
		r.mu.Unlock()
		if reason != "" {
			r.abandonStart(ctx, inc, x, reason)
			return
		}
		callCtx, cancel := context.WithTimeout(ctx, answerTimeout)
		sent := r.deps.Now()
		now, err := r.deps.Control.Start(callCtx, inc.id, workerctl.StartOrder{
			Run: x.id, Payload: x.payload, Lease: lease, Token: r.token, Checkpoint: x.checkpoint, Ticket: x.ticket,
		})
		cancel()
		if err == nil {
			r.observeAnswer(inc, r.deps.Now()-sent)
		}
		done, reason := r.applyStartAnswer(inc, x, now, err)
		if done {
			r.sendStartingPace(ctx, inc, x)
			return
		}
		if reason != "" || errors.Is(err, workerctl.ErrNotDone) && try >= maxNotDoneTries {
			if reason == "" {
				reason = "the worker turns starts away"
			}
			r.abandonStart(ctx, inc, x, reason)
			return
		}
		time.Sleep(retryPause)
	}
}

// sendRefusal returns why a start, first tried at begun, must not be sent with
// lease, or "". The worker's capacity may have shrunk since begun. The caller
// holds mu.
func (r *Runner) sendRefusal(inc *incarnation, lease workerctl.Clock, begun time.Duration) string {
	switch {
	case r.drained:
		return dispatch.ReasonDrained
	case inc.replaced:
		return reasonReplaced
	case inc.downAt > 0:
		return reasonDown
	case lease == 0 || r.deps.Now()-begun > startTimeout:
		return "no answer within the grant"
	}
	return r.capacityRefusal(inc)
}

func (r *Runner) observeAnswer(inc *incarnation, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	inc.answers.Observe(took)
}

// applyStartAnswer applies the answer to a start. If done is false, reason is
// the worker's final refusal, or "" if the start is to be repeated.
func (r *Runner) applyStartAnswer(inc *incarnation, x *run, now workerctl.Clock, err error) (done bool, reason string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	x.calling = false
	if errors.Is(err, workerctl.ErrUnknown) {
		x.uncertain = true
		r.recordUnanswered(x.id)
	}
	if r.incarnation != inc {
		return true, ""
	}
	r.recordFailure(inc, err)
	var refused *workerctl.RefusedError
	switch {
	case err == nil:
		r.recordAnswer(inc)
		r.confirmRun(inc, x, now)
		return true, ""
	case errors.Is(err, workerctl.ErrGone):
		r.endIncarnation("the worker answered as another incarnation")
		return true, ""
	case errors.As(err, &refused):
		// An earlier try without an answer, or an order of an earlier agent
		// process, may have started the run, and the run may have ended since.
		// The next listing shows whether it did.
		if refused.Reason == workerctl.RefusedOld {
			r.confirmRun(inc, x, now)
			return true, ""
		}
		return false, "the worker refused: " + string(refused.Reason)
	}
	r.deps.Log.Warn().Err(err).Stringer("run", x.id).Bool("may_have_begun", x.uncertain).Msg("start order failed")
	return false, ""
}

func (r *Runner) confirmRun(inc *incarnation, x *run, now workerctl.Clock) {
	if x.state != dispatch.RunPending {
		return
	}
	x.state = dispatch.RunPresent
	x.doubtful = inc.unlisted && inc.id.Born() != 0
	x.confirmedAt = r.deps.Now()
	x.recordPresent(false, x.confirmedAt)
	x.workedAt = x.confirmedAt
	inc.applyStartingPace(x)
	x.changed = r.recordChange(false)
	if now > inc.clock.now {
		inc.clock = clockReading{now: now, at: x.confirmedAt}
	}
}

// abandonStart voids a start: at once if none of its orders can still be
// carried out, else by a stop.
func (r *Runner) abandonStart(ctx context.Context, inc *incarnation, x *run, reason string) {
	r.mu.Lock()
	if r.incarnation != inc || x.state != dispatch.RunPending {
		r.mu.Unlock()
		return
	}
	r.counters.Refused++
	if !x.uncertain {
		r.makeVoid(inc, x, reason)
		r.mu.Unlock()
		return
	}
	needsStop := !x.stopping
	x.stopping = true
	x.reason = reason
	r.mu.Unlock()
	if needsStop {
		r.stop(ctx, inc, x)
	}
}

func (r *Runner) orderStop(ctx context.Context, inc *incarnation, id workload.RunID) {
	x, ok := inc.runs[id]
	if !ok {
		// The run is unknown: a start order of an earlier agent process may
		// still arrive at the worker, and the stop voids that order.
		for _, e := range inc.ends {
			if e.end.Run == id {
				return
			}
		}
		x = &run{id: id, sized: true, uncertain: true}
		inc.runs[id] = x
	}
	if x.stopping || x.state == dispatch.RunVoid {
		return
	}
	x.stopping = true
	r.counters.Stops++
	r.deps.Log.Info().Stringer("run", id).Uint64("epoch", r.epoch).Msg("stop")
	go r.stop(ctx, inc, x)
}

// stop repeats a stop order until the worker answers. The next listing shows
// the run's end, or that the run is not on the worker.
func (r *Runner) stop(ctx context.Context, inc *incarnation, x *run) {
	for ctx.Err() == nil {
		r.mu.Lock()
		current := r.incarnation == inc && inc.runs[x.id] == x
		r.mu.Unlock()
		if !current {
			return
		}
		_, err := r.deps.Control.Stop(ctx, inc.id, x.id, r.token)
		var refused *workerctl.RefusedError
		if err == nil || errors.As(err, &refused) {
			r.mu.Lock()
			x.stopped = true
			x.confirmedAt = r.deps.Now()
			r.mu.Unlock()
			r.wakeHold()
			return
		}
		if errors.Is(err, workerctl.ErrGone) {
			r.mu.Lock()
			if r.incarnation == inc {
				r.endIncarnation("the worker answered as another incarnation")
			}
			r.mu.Unlock()
			return
		}
		if errors.Is(err, workerctl.ErrDown) {
			// The worker runs nothing while it is down. The stop is repeated in case
			// that it answers as the same incarnation.
			r.mu.Lock()
			r.recordFailure(inc, err)
			r.mu.Unlock()
			sleep(ctx, holdRetryPause)
			continue
		}
		r.deps.Log.Warn().Err(err).Stringer("run", x.id).Msg("stop order failed")
		time.Sleep(retryPause)
	}
}
