package scheduler

import (
	"context"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/ops/logs"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	// watchWait bounds the time for which an agent holds a Watch call until a
	// change, and thus the age of a claim's Echo while the agent is idle.
	watchWait = 900 * time.Millisecond
	// watchSlack is the time allowed for an answer beyond watchWait.
	watchSlack = 700 * time.Millisecond
	// orderTimeout bounds an Order call, in which the agent does not call the
	// worker.
	orderTimeout = 700 * time.Millisecond
	// linkRetry is the pause after a call that failed.
	linkRetry = 120 * time.Millisecond
	// orderBatch bounds the starts of one message.
	orderBatch = 64
)

// agentLink is the connection to one agent, with the messages to be sent to it.
type agentLink struct {
	node    string
	link    *dispatch.Link
	cancel  context.CancelFunc
	term    *Term
	worker  *worker
	process uint64
	since   uint64
	// echo is the agent's clock in its latest answer, which came at lastContact.
	echo        time.Duration
	lastContact time.Duration
	// claimDue requests an Order call: a new claim, or stored ends to acknowledge.
	claimDue     chan struct{}
	outbox       chan struct{}
	starts       map[workload.RunID]dispatch.StartOrder
	stops        map[workload.RunID]bool
	unresponsive bool
	// stopping says that the agent's process has reported that it is about to exit.
	stopping bool
	// sentPressure is the last pressure update sent to the agent.
	sentPressure pressureUpdate
	// sentOrder is the order of filling jobs that the agent has.
	sentOrder []workload.JobID
}

func (t *Term) newLink(node, address string) *agentLink {
	ctx, cancel := context.WithCancel(t.ctx)
	l := &agentLink{
		node: node, link: t.deps.Link(address), cancel: cancel, term: t, claimDue: make(chan struct{}, 1), outbox: make(chan struct{}, 1),
		starts: map[workload.RunID]dispatch.StartOrder{}, stops: map[workload.RunID]bool{},
	}
	go l.watchLoop(ctx)
	go l.orderLoop(ctx)
	go l.claimLoop(ctx)
	return l
}

func (l *agentLink) close() {
	l.cancel()
	l.link.Close()
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (l *agentLink) triggerClaim() { signal(l.claimDue) }

// claim returns the claim for the next call to the agent. While the term is
// valid, the claim grants the agent's worker a lease, whose latest end is
// recorded. The caller holds the term's mu.
func (l *agentLink) claim() dispatch.Claim {
	t := l.term
	c := dispatch.Claim{Epoch: t.epoch, Process: l.process}
	if l.worker != nil {
		c.Drained, c.DrainsVersion = l.worker.drained, t.drains.Version
	}
	if t.ctx.Err() != nil || t.deps.Now() >= t.validUntil || l.process == 0 || l.worker == nil || l.stopping {
		return c
	}
	c.Echo = l.echo
	c.Grant = t.cfg.Grant
	l.worker.leaseEnd = max(l.worker.leaseEnd, l.lastContact+t.cfg.leaseLength())
	return c
}

// leaseLength is the longest time that a granted lease may last on a worker
// whose clock is slow.
func (c Config) leaseLength() time.Duration {
	return c.Grant + time.Duration(clockDrift*float64(c.Grant)) + clockMargin
}

// watchLoop asks the agent for changes, one call at a time.
func (l *agentLink) watchLoop(ctx context.Context) {
	t := l.term
	for ctx.Err() == nil {
		t.mu.Lock()
		args := l.watchArgs(watchWait)
		t.mu.Unlock()
		var reply dispatch.WatchReply
		err := l.link.Call(ctx, "Agent.Watch", args, &reply, watchWait+watchSlack)
		if err != nil {
			l.markUnresponsive(ctx, err)
			t.sleep(linkRetry)
			continue
		}
		t.mu.Lock()
		// sentOrder is set before apply, which clears it if another process answers.
		if len(args.Order) > 0 && reply.Refused == "" {
			l.sentOrder = args.Order
		}
		wake := l.apply(&reply)
		t.mu.Unlock()
		if wake {
			t.wakeUp()
		}
		if reply.Refused != "" {
			t.sleep(linkRetry)
		}
	}
}

func (l *agentLink) watchArgs(wait time.Duration) dispatch.WatchArgs {
	args := dispatch.WatchArgs{Claim: l.claim(), Since: l.since, Wait: wait, Work: l.term.cfg.Policies.Rebalancing.Enabled}
	if l.worker != nil {
		args.Worker = l.worker.id
		args.Seen = l.worker.endsStored
		l.addPressureUpdate(&args)
		args.Order = l.changedOrder()
	}
	return args
}

// claimLoop sends claims and acknowledges stored ends of runs at once, while
// the Watch call is still waiting for a change.
func (l *agentLink) claimLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.claimDue:
		}
		l.term.mu.Lock()
		args := dispatch.OrderArgs{Claim: l.claim()}
		if l.worker != nil {
			args.Worker = l.worker.id
			args.Seen = l.worker.endsStored
		}
		l.term.mu.Unlock()
		var reply dispatch.OrderReply
		if err := l.link.Call(ctx, "Agent.Order", args, &reply, orderTimeout); err != nil && ctx.Err() == nil {
			l.term.deps.Log.Debug().Err(err).Str("instance", l.node).Msg("claim not confirmed; the next call carries a new one")
		}
	}
}

func (l *agentLink) markUnresponsive(ctx context.Context, err error) {
	l.term.mu.Lock()
	// An agent that has not answered this term yet is no loss.
	first := !l.unresponsive && l.process != 0
	l.unresponsive = true
	l.term.mu.Unlock()
	if first && ctx.Err() == nil {
		l.term.deps.Log.Debug().Err(err).Str("instance", l.node).Msg("agent has not answered")
		l.term.fleetLog.Add(logs.Kind{Level: zerolog.WarnLevel, Message: "agents lost"}, l.node, 0)
	}
}

// apply applies an answer of the agent. It returns whether a plan is needed.
func (l *agentLink) apply(reply *dispatch.WatchReply) bool {
	t := l.term
	if t.ctx.Err() != nil {
		return false
	}
	if reply.Refused == dispatch.RefusedEpoch {
		// The agent has received a higher epoch, which only a scheduler that took the
		// lease later can have. So this term has ended, whatever the store shows.
		t.deps.Log.Warn().Str("instance", l.node).Uint64("epoch", t.epoch).Msg("term ends: an agent follows a newer scheduler")
		t.cancel()
		return false
	}
	if l.unresponsive {
		l.unresponsive = false
		if l.process != 0 {
			t.fleetLog.Add(logs.Kind{Level: zerolog.WarnLevel, Message: "agents reachable again"}, l.node, 0)
		}
	}
	if reply.Process != l.process {
		l.newProcess(reply.Process)
	}
	l.since = reply.Version
	l.echo = reply.At
	l.lastContact = t.deps.Now()
	fresh := freshRuns(reply)
	t.applyFormerEnds(reply.Worker.ID, reply.Ends)
	for _, id := range reply.Former {
		t.removeFormer(id, reply, workerLoss{reason: "its agent reported its end", judged: true, fresh: fresh})
	}
	if reply.Worker.ID == "" {
		return true
	}
	wake := l.updateWorker(reply)
	w := l.worker
	if reply.Stopping {
		l.recordStopping(w, reply, fresh)
		wake = true
	}
	if reply.Sample != nil {
		t.learner.observe(w, reply.Sample, t.deps.Now())
	}
	for _, e := range reply.Ends {
		if e.Number > w.endsApplied {
			w.endsApplied = e.Number
			t.applyEnd(w, e)
			wake = true
		}
	}
	for _, r := range reply.Runs {
		wake = t.applyRun(l, w, r) || wake
	}
	return wake
}

// recordStopping records that the agent's process is about to exit. Later claims
// grant nothing, so the worker's last lease is the one that the agent reports.
// fresh are the runs that may have crashed the worker, if it no longer answers.
func (l *agentLink) recordStopping(w *worker, reply *dispatch.WatchReply, fresh map[workload.RunID]dispatch.SuspectRun) {
	t := l.term
	w.freshAtStop = fresh
	left := max(0, reply.LeaseEnd-reply.At)
	if end := t.deps.Now() + left; w.leaseEnd == 0 || end < w.leaseEnd {
		w.leaseEnd = end
	}
	if !l.stopping {
		l.stopping = true
		t.deps.Log.Info().Str("instance", l.node).Str("worker", string(w.id)).Int("runs", len(w.runs)).Dur("lease_left", left).Msg("agent is stopping")
	}
}

// newProcess resets the link for a new process of the agent, which has received
// none of the earlier orders.
func (l *agentLink) newProcess(process uint64) {
	l.process = process
	l.since = 0
	l.stopping = false
	l.sentPressure, l.sentOrder = pressureUpdate{}, nil
	l.forgetWork()
	l.repeatOrders()
}

// updateWorker records the present worker of the agent.
func (l *agentLink) updateWorker(reply *dispatch.WatchReply) bool {
	t := l.term
	info := reply.Worker
	changed := false
	if l.worker == nil || l.worker.id != info.ID {
		if l.worker != nil {
			t.removeFormer(l.worker.id, reply, workerLoss{reason: "its agent has another worker"})
		}
		w := t.workers[info.ID]
		if w == nil {
			w = newWorker(info.ID, l.node)
			t.addWorker(w)
		}
		w.agent, w.link = l.node, l
		l.worker = w
		l.removeOthers(reply)
		t.recordReplaced(w)
		t.markOrdered(w)
		l.repeatOrders()
		changed = true
	}
	w := l.worker
	if len(t.byAgent[l.node]) > 1 && l.removeOthers(reply) {
		t.recordReplaced(w)
		changed = true
	}
	if info.Draining && !w.info.Draining {
		defer t.evacuate(w)
	}
	if reply.Lapsed && (w.alive || len(w.runs) > 0) {
		t.requeueRuns(w, workerLoss{reason: "it is unresponsive beyond its last lease", judged: true, fresh: freshRuns(reply)})
		changed = true
	}
	alive := reply.Listed && !reply.Lapsed
	changed = changed || alive != w.alive || info.Draining != w.info.Draining || info.Capacity != w.info.Capacity
	if alive != w.alive {
		message := "workers usable"
		if !alive {
			message = "workers not usable"
		}
		t.fleetLog.Add(logs.Kind{Level: zerolog.InfoLevel, Message: message}, w.label(), len(w.runs))
	}
	w.info = info
	w.drained = t.drains.Covers(info.DataCentre)
	w.alive = alive
	if alive {
		w.answeredAt = t.deps.Now()
		t.withdrawLoss(w)
	}
	return changed
}

// removeOthers removes the agent's workers other than the present one, and
// reports whether there were any.
func (l *agentLink) removeOthers(reply *dispatch.WatchReply) (removed bool) {
	t := l.term
	for _, other := range slices.Clone(t.byAgent[l.node]) {
		if other != l.worker {
			removed = t.removeFormer(other.id, reply, workerLoss{reason: "its agent has another worker"}) || removed
		}
	}
	return removed
}

// markOrdered marks the stored placements at a worker that is new to this term
// as ordered, so that they are repeated to its agent.
func (t *Term) markOrdered(w *worker) {
	for r := range w.runs {
		if _, _, k := t.placedRun(w, r); k != nil && k.run <= k.storedRun {
			k.ordered = true
		}
	}
}

// applyRun applies an agent's report of a run.
func (t *Term) applyRun(l *agentLink, w *worker, r dispatch.RunReport) bool {
	j := t.jobs[r.Run.Task.Job]
	var s *step
	var k *task
	if j != nil {
		s, k = j.find(r.Run.Task)
	}
	known := k != nil && k.state == taskPlaced && k.run == r.Run.Run && k.worker == w.id
	if r.State == dispatch.RunVoid {
		if !known {
			return false
		}
		t.deps.Log.Info().Stringer("run", r.Run).Str("worker", string(w.id)).Str("why", r.Reason).Msg("agent reported that the run is not on the worker and never will be")
		t.deps.Counters.Void.Add(1)
		w.remove(r.Run)
		switch {
		case r.Reason == dispatch.ReasonDrained:
		case s.advice != nil:
			delete(s.advice.tickets, w.id)
		default:
			w.startRefused(t.deps.Now())
		}
		j.release(s, k, "")
		t.markDirty(j)
		return true
	}
	if !known {
		if r.State == dispatch.RunPresent {
			// The run was requeued while its agent was unreachable.
			l.addStop(r.Run)
		}
		return false
	}
	if r.Checkpoint != k.checkpoint {
		k.checkpoint = t.keepCheckpoint(r.Run, k.checkpoint, r.Checkpoint)
	}
	if r.State == dispatch.RunPresent && k.presentAt == 0 {
		k.presentAt = t.deps.Now()
		j.begun = true
	}
	if r.Work != nil {
		k.work = runWork{known: true, at: t.deps.Now(), pace: r.Work.Pace, worked: r.Work.Worked, left: r.Work.Left}
	}
	if r.Proven && k.crashes > 0 {
		t.fleetLog.Add(logs.Kind{Level: zerolog.InfoLevel, Message: "runs have not crashed their workers"}, suspectLabel(r.Run, w, k), 1)
		t.clearCrashes(j, k)
		return true
	}
	return r.Slow && t.handleSlowRun(w, s, k, r.Run)
}
