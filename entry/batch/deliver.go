package batch

import (
	"context"
	"errors"
	"fmt"
	"time"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// delivery holds the starts and stops that are sent to one agent together.
type delivery struct {
	agent  AgentView
	outbox *outbox
	starts []structs.Job
	repeat []bool
	stops  []wire.TaskRef
}

// maxResendPause is the longest pause between sends to an agent that is
// unreachable and sends no reports.
const maxResendPause = time.Minute

// outbox holds the jobs of one instance whose start or stop is not
// acknowledged, and the state of the exchanges with the instance's agent.
//
// Failure guarded against: an owner takes over the shards of 28,000 running
// tasks while their agents can't be reached, and sends all starts again every
// two seconds, which wastes half a core. The guard: the pause doubles with each
// failed exchange, up to maxResendPause. After a new report from the agent
// everything is sent at once, but only an answer ends the pause: an agent that
// reports but can't be reached is tried once for each report.
type outbox struct {
	unacked map[structs.JobID]struct{}
	// nextDue is no later than the next send of any unacked job.
	nextDue time.Time
	// pause is zero unless the last exchange failed.
	pause    time.Duration
	inFlight int
	// process and sequence identify the last report that newReport has seen.
	process  string
	sequence uint64
}

// newReport records the agent's last report. It returns true if that report is
// new, the last exchange failed and no exchange is in flight.
func (o *outbox) newReport(l wire.Load) bool {
	if o.process == l.Process && o.sequence == l.Sequence {
		return false
	}
	o.process = l.Process
	o.sequence = l.Sequence
	return o.pause > 0 && o.inFlight == 0
}

// queueSend notes that a start or stop has to be sent for a running job. The
// caller holds t.mu.
func (t *tenure) queueSend(j structs.Job) {
	o := t.outboxes[j.Instance]
	if o == nil {
		o = &outbox{unacked: make(map[structs.JobID]struct{})}
		t.outboxes[j.Instance] = o
	}
	o.unacked[j.ID] = struct{}{}
	o.nextDue = time.Time{}
}

// clearSend notes that a job needs no more sends. The caller holds t.mu.
func (t *tenure) clearSend(on structs.InstanceID, id structs.JobID) {
	o := t.outboxes[on]
	if o == nil {
		return
	}
	delete(o.unacked, id)
	if len(o.unacked) == 0 && o.inFlight == 0 {
		delete(t.outboxes, on)
	}
}

// sendDueJobs sends the unconfirmed starts of claimed jobs and the stops of
// cancelled jobs.
//
// Failure guarded against: the owner commits a claim and dies or is cut off
// before the agent receives the start, or the agent's answer is lost; the job
// would stay in state running for ever. The guard: this owner, or the next,
// repeats the start until the agent has answered for this epoch. An agent
// answers a repeated start like the first, and never runs an epoch twice.
//
// Failure guarded against: a start is never sent and its job is requeued, but a
// repeat of the start reaches the agent while the requeue is being written, or
// while the first start still waits for a connection. The task then runs at the
// agent and a second time elsewhere. The guard: at most one start of an epoch
// is in flight, and none while its job is being requeued.
func (t *tenure) sendDueJobs(agents map[structs.InstanceID]AgentView) {
	now := time.Now()
	var deliveries []*delivery
	var unsent []structs.Job
	t.mu.Lock()
	if now.After(t.validUntil) {
		// The lease has expired by this process's own clock: another entry may serve
		// the shard. Nothing is sent until a write has renewed the lease.
		t.mu.Unlock()
		t.m.count.startsLate.Add(1)
		return
	}
	for instance, o := range t.outboxes {
		agent := agents[instance]
		reported := o.newReport(agent.Load)
		if !reported && now.Before(o.nextDue) {
			continue
		}
		p := &delivery{agent: agent, outbox: o}
		unsent = append(unsent, t.fillDelivery(p, now, reported)...)
		if len(p.starts)+len(p.stops) > 0 {
			o.inFlight++
			deliveries = append(deliveries, p)
		}
	}
	t.mu.Unlock()
	for _, j := range unsent {
		t.requeueUnstarted(j, "")
	}
	for _, p := range deliveries {
		go t.deliver(p)
	}
}

// sendDue reports whether the nextDue of any outbox is reached. Sends that an
// agent's new report makes due don't count: sendDueJobs finds them at the next
// lease check. The caller holds t.mu.
func (t *tenure) sendDue(now time.Time) bool {
	for _, o := range t.outboxes {
		if !now.Before(o.nextDue) {
			return true
		}
	}
	return false
}

// fillDelivery adds to p the unacked jobs that are due, or every unacked job if
// all is set. It returns the cancelled jobs whose start was never sent. The
// caller holds t.mu.
func (t *tenure) fillDelivery(p *delivery, now time.Time, all bool) (unsent []structs.Job) {
	o := p.outbox
	resendAt := now.Add(max(t.m.cfg.ResendEvery, o.pause))
	o.nextDue = resendAt
	for id := range o.unacked {
		r := t.jobs[id]
		reachable := p.agent.Address != "" && p.agent.Lease == r.job.Incarnation
		switch {
		case r.job.CancelRequested && !r.mayHaveSent:
			unsent = append(unsent, r.job)
		case r.sending && !r.job.CancelRequested:
		case reachable && (all || !now.Before(r.nextSend)):
			p.add(r)
			r.nextSend = resendAt
			continue
		case reachable:
			o.nextDue = earlier(o.nextDue, r.nextSend)
			continue
		}
		// The job is checked again soon: the agent may become reachable, or the
		// write that requeues the job may fail.
		o.nextDue = earlier(o.nextDue, now.Add(t.m.cfg.PlanEvery))
	}
	return unsent
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// finishExchange records how an exchange with an agent ended.
func (t *tenure) finishExchange(o *outbox, on structs.InstanceID, failed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o.inFlight--
	switch {
	case !failed:
		o.pause = 0
	default:
		o.pause = min(maxResendPause, max(t.m.cfg.ResendEvery, 2*o.pause))
		t.postpone(o, time.Now().Add(o.pause))
	}
	if len(o.unacked) == 0 && o.inFlight == 0 && t.outboxes[on] == o {
		delete(t.outboxes, on)
	}
}

// postpone defers the next send of jobs whose start may have been sent. The
// caller holds t.mu.
func (t *tenure) postpone(o *outbox, at time.Time) {
	for id := range o.unacked {
		if r := t.jobs[id]; r.mayHaveSent {
			r.nextSend = at
		}
	}
	o.nextDue = time.Time{}
}

func (p *delivery) add(r *record) {
	if r.job.CancelRequested {
		p.stops = append(p.stops, wire.TaskRef{Job: r.job.ID, Shard: r.job.Shard, Epoch: r.job.Epoch})
		return
	}
	p.starts = append(p.starts, r.job)
	p.repeat = append(p.repeat, r.mayHaveSent)
	r.mayHaveSent = true
	r.sending = true
}

func (t *tenure) deliver(p *delivery) {
	ctx, cancel := context.WithTimeout(t.ctx, t.m.cfg.ResendEvery)
	defer cancel()
	peer := t.m.deps.Peers.Agent(p.agent.Address)
	failed := t.deliverStops(ctx, peer, p) != nil
	if len(p.starts) > 0 {
		failed = t.deliverStarts(ctx, peer, p) != nil
	}
	t.finishExchange(p.outbox, p.agent.Instance, failed)
}

func (t *tenure) deliverStops(ctx context.Context, peer wire.AgentPeer, p *delivery) error {
	if len(p.stops) == 0 {
		return nil
	}
	t.m.count.stopsSent.Add(int64(len(p.stops)))
	return peer.Stop(ctx, wire.StopRequest{Tasks: p.stops, Reason: wire.StopCancelled})
}

func (t *tenure) deliverStarts(ctx context.Context, peer wire.AgentPeer, p *delivery) error {
	request := wire.StartRequest{}
	for _, j := range p.starts {
		request.Tasks = append(request.Tasks, wire.TaskGrant{
			Instance: j.Instance, Job: j.ID, Shard: t.shard, Epoch: j.Epoch, Incarnation: j.Incarnation,
			Customer: j.Customer, Spec: j.Spec, Checkpoint: j.Checkpoint,
		})
	}
	t.m.count.startsSent.Add(int64(len(p.starts)))
	reply, err := peer.Start(ctx, request)
	if err != nil {
		t.handleFailedStarts(p, err)
		return err
	}
	t.m.deps.Directory.Observe(reply.Load)
	for i, j := range p.starts {
		if i >= len(reply.Refused) || !t.handleStartAnswer(j, reply.Refused[i]) {
			t.clearSending(j)
		}
	}
	return nil
}

// clearSending notes that a start is no longer in flight and may be repeated.
func (t *tenure) clearSending(j structs.Job) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.jobs[j.ID]; r != nil && r.job.Epoch == j.Epoch {
		r.sending = false
	}
}

// handleFailedStarts handles a failed exchange: a job whose start provably
// never left this process, and was not sent before, is requeued.
func (t *tenure) handleFailedStarts(p *delivery, err error) {
	var peer *wire.PeerError
	sent := !errors.As(err, &peer) || peer.Sent
	for i, j := range p.starts {
		if sent || p.repeat[i] {
			t.m.count.startsLost.Add(1)
			t.clearSending(j)
			continue
		}
		t.m.count.startsUnsent.Add(1)
		t.requeueUnstarted(j, fmt.Sprintf("agent of %s can't be reached", j.Instance))
	}
}
