package scheduler

import (
	"context"
	"time"

	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	// watchWait bounds how long an agent waits for a change. It is also how
	// old a grant's echo gets on a quiet agent.
	watchWait = 900 * time.Millisecond
	// watchSlack is the time for an answer beside that wait.
	watchSlack = 700 * time.Millisecond
	// orderTimeout bounds the taking of orders, which needs no call to the
	// worker.
	orderTimeout = 700 * time.Millisecond
	// linkRetry is the pause after a call that failed.
	linkRetry = 120 * time.Millisecond
	// orderBatch bounds the starts of one message.
	orderBatch = 64
)

// agentLink is the connection to one agent, and what is to be told to it.
type agentLink struct {
	node    string
	link    *dispatch.Link
	cancel  context.CancelFunc
	term    *Term
	worker  *worker
	process uint64
	since   uint64
	// echo is the agent's clock in its latest answer, heard when that
	// arrived.
	echo  time.Duration
	heard time.Duration
	// nudged asks for a Watch at once, to pass on that ends are stored.
	nudged chan struct{}
	outbox chan struct{}
	starts map[workload.RunID]dispatch.StartOrder
	stops  map[workload.RunID]bool
	silent bool
	// told is what the agent was told of pressure.
	told toldPressure
	// toldOrder is the order of filling jobs that the agent has.
	toldOrder []workload.JobID
}

func (t *Term) newLink(node, address string) *agentLink {
	ctx, cancel := context.WithCancel(t.ctx)
	l := &agentLink{
		node: node, link: t.deps.Link(address), cancel: cancel, term: t, nudged: make(chan struct{}, 1), outbox: make(chan struct{}, 1),
		starts: map[workload.RunID]dispatch.StartOrder{}, stops: map[workload.RunID]bool{},
	}
	go l.watchLoop(ctx)
	go l.orderLoop(ctx)
	go l.acknowledgeLoop(ctx)
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

func (l *agentLink) nudge() { signal(l.nudged) }

// claim grants the agent's worker its lease, if the term itself is valid, and
// keeps book of how long the lease may last. The caller holds the term's mu.
func (l *agentLink) claim() dispatch.Claim {
	t := l.term
	c := dispatch.Claim{Epoch: t.epoch, Process: l.process}
	if l.worker != nil {
		c.Drained, c.DrainsVersion = l.worker.drained, t.drains.Version
	}
	if t.deps.Now() >= t.validUntil || l.process == 0 || l.worker == nil {
		return c
	}
	c.Echo = l.echo
	c.Grant = t.cfg.Grant
	l.worker.bound = max(l.worker.bound, l.heard+t.leaseLength())
	return c
}

// leaseLength is how long a lease that was granted may last on a worker whose
// clock is slow.
func (t *Term) leaseLength() time.Duration {
	return t.cfg.Grant + time.Duration(clockDrift*float64(t.cfg.Grant)) + clockMargin
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
			l.failed(ctx, err)
			t.sleep(linkRetry)
			continue
		}
		t.mu.Lock()
		// Before apply, which forgets what another process was told.
		if len(args.Order) > 0 && reply.Refused == "" {
			l.toldOrder = args.Order
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
	args := dispatch.WatchArgs{Claim: l.claim(), Since: l.since, Wait: wait}
	if l.worker != nil {
		args.Worker = l.worker.id
		args.Seen = l.worker.stored
		l.tellPressure(&args)
		args.Order = l.changedOrder()
	}
	return args
}

// acknowledgeLoop tells the agent at once that ends are stored, while the
// watch goes on waiting for a change.
func (l *agentLink) acknowledgeLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.nudged:
		}
		l.term.mu.Lock()
		args := dispatch.OrderArgs{Claim: l.claim()}
		if l.worker != nil {
			args.Worker = l.worker.id
			args.Seen = l.worker.stored
		}
		l.term.mu.Unlock()
		var reply dispatch.OrderReply
		if err := l.link.Call(ctx, "Agent.Order", args, &reply, orderTimeout); err != nil && ctx.Err() == nil {
			l.term.deps.Log.Debug().Err(err).Str("instance", l.node).Msg("ends not acknowledged yet")
		}
	}
}

func (l *agentLink) failed(ctx context.Context, err error) {
	l.term.mu.Lock()
	first := !l.silent
	l.silent = true
	l.term.mu.Unlock()
	if first && ctx.Err() == nil {
		l.term.deps.Log.Warn().Err(err).Str("instance", l.node).Msg("agent lost")
	}
}

// apply takes an answer of the agent. It returns whether a plan is needed.
func (l *agentLink) apply(reply *dispatch.WatchReply) bool {
	t := l.term
	if t.ctx.Err() != nil {
		return false
	}
	if reply.Refused == dispatch.RefusedEpoch {
		// Only a scheduler that has taken the lease has an epoch, so this
		// term is over, whatever the store lets it see.
		t.deps.Log.Warn().Str("instance", l.node).Uint64("epoch", t.epoch).Msg("term ends: an agent has heard of a newer scheduler")
		t.cancel()
		return false
	}
	if l.silent {
		l.silent = false
		t.deps.Log.Warn().Str("instance", l.node).Msg("agent reached")
	}
	if reply.Process != l.process {
		l.newProcess(reply.Process)
	}
	l.since = reply.Version
	l.echo = reply.At
	l.heard = t.deps.Now()
	fresh := freshRuns(reply)
	for _, id := range reply.Former {
		t.dead(id, loss{why: "its agent has seen its end", told: true, fresh: fresh})
	}
	if reply.Worker.ID == "" {
		return true
	}
	wake := l.takeWorker(reply)
	w := l.worker
	if reply.Sample != nil {
		t.learner.take(w, reply.Sample, t.deps.Now())
	}
	for _, e := range reply.Ends {
		if e.Number > w.processed {
			w.processed = e.Number
			t.applyEnd(w, e)
			wake = true
		}
	}
	for _, r := range reply.Runs {
		wake = t.applyRun(l, w, r) || wake
	}
	return wake
}

// newProcess notes that another process of the agent answers: it knows
// nothing of the orders of the earlier one.
func (l *agentLink) newProcess(process uint64) {
	l.process = process
	l.since = 0
	l.told, l.toldOrder = toldPressure{}, nil
	l.repeatOrders()
}

// takeWorker notes the living worker of the agent.
func (l *agentLink) takeWorker(reply *dispatch.WatchReply) bool {
	t := l.term
	info := reply.Worker
	changed := false
	if l.worker == nil || l.worker.id != info.ID {
		if l.worker != nil {
			t.dead(l.worker.id, loss{why: "its agent has another worker"})
		}
		w := t.workers[info.ID]
		if w == nil {
			w = newWorker(info.ID, l.node)
			t.workers[info.ID] = w
		}
		w.agent, w.link = l.node, l
		l.worker = w
		for _, other := range t.workers {
			if other.agent == l.node && other != w {
				t.dead(other.id, loss{why: "its agent has another worker"})
			}
		}
		t.orderKnown(w)
		l.repeatOrders()
		changed = true
	}
	w := l.worker
	if info.Draining && !w.info.Draining {
		defer t.evacuate(w)
	}
	if reply.Lapsed && (w.alive || len(w.runs) > 0) {
		t.loseRuns(w, loss{why: "it is silent beyond its last lease", told: true, fresh: freshRuns(reply)})
		changed = true
	}
	alive := reply.Listed && !reply.Lapsed
	changed = changed || alive != w.alive || info.Draining != w.info.Draining || info.Capacity != w.info.Capacity
	if alive != w.alive {
		t.deps.Log.Info().Str("worker", string(info.ID)).Str("instance", l.node).Bool("alive", alive).Int("runs", len(w.runs)).
			Int("cpu", info.Capacity.CPU).Int("memory", info.Capacity.Memory).Msg("worker")
	}
	w.info = info
	w.drained = t.drains.Covers(info.DataCentre)
	w.alive = alive
	if alive {
		w.seenAt = t.deps.Now()
		w.suspects = nil
	}
	return changed
}

// orderKnown marks the stored placements at a worker that this term has just
// met as ordered, so that they are repeated to its agent.
func (t *Term) orderKnown(w *worker) {
	for r := range w.runs {
		if _, _, k := t.placedRun(w, r); k != nil && k.run <= k.storedRun {
			k.ordered = true
		}
	}
}

// applyRun takes what the agent says of a run.
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
		t.deps.Log.Info().Stringer("run", r.Run).Str("worker", string(w.id)).Str("why", r.Reason).Msg("run void")
		t.deps.Counters.Void.Add(1)
		w.remove(r.Run)
		switch {
		case r.Reason == dispatch.ReasonDrained:
		case s.advice != nil:
			delete(s.advice.tickets, w.id)
		default:
			w.turnedAway(t.deps.Now())
		}
		j.release(s, k, "")
		t.mark(j)
		return true
	}
	if !known {
		if r.State == dispatch.RunPresent {
			// Nothing on record asks for this run: it was overtaken while
			// its agent was out of reach.
			l.addStop(r.Run)
		}
		return false
	}
	if r.Checkpoint != "" {
		k.checkpoint = r.Checkpoint
	}
	if r.State == dispatch.RunPresent && k.presentAt == 0 {
		k.presentAt = t.deps.Now()
	}
	if r.Proven && k.crashes > 0 {
		t.deps.Log.Info().Stringer("run", r.Run).Str("worker", string(w.id)).Int("crashes", k.crashes).Msg("run has not crashed its worker")
		t.absolve(j, k)
		return true
	}
	return r.Slow && t.straggler(w, s, k, r.Run)
}
