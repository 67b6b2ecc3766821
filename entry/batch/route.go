package batch

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Limits of forwarding and serving.
const (
	// defaultDeadline bounds a request whose context has no deadline.
	defaultDeadline = 10 * time.Second
	// forwardPause is the wait before a request to a shard's owner is repeated.
	forwardPause = 100 * time.Millisecond
	// maxUnsentTries bounds the attempts to reach a shard's owner.
	maxUnsentTries = 5
	// stallLimit is the time for which a transaction's outcome may be unknown
	// before new requests to its shard are refused at once.
	stallLimit = time.Second
)

// Submit stores a job, or returns the stored job if the same ID and body were
// submitted before. A caller that may repeat the submission must set job.ID;
// Submit generates a missing ID.
func (m *Manager) Submit(ctx context.Context, job structs.Job) (structs.Job, *structs.Refusal) {
	if job.ID == "" {
		job.ID = structs.JobID(rand.Text())
	}
	job.Shard = structs.ShardOf(job.Customer)
	var stored structs.Job
	refused := m.callOwner(ctx, job.Shard, "submit", job.ID, ownerCall{
		local: func(ctx context.Context, t *tenure) *structs.Refusal {
			j, r := t.serveSubmit(ctx, job)
			stored = j
			return r
		},
		remote: func(ctx context.Context, p wire.EntryPeer) (*structs.Refusal, error) {
			reply, err := p.Submit(ctx, wire.SubmitRequest{Job: job})
			stored = reply.Job
			return reply.Refused, err
		},
	})
	if refused != nil {
		m.count.submitRefused.Add(1)
	}
	return stored, refused
}

// Cancel requests the end of jobs of one customer. Both results have one
// element for each ID: the current job, or the refusal.
func (m *Manager) Cancel(ctx context.Context, customer structs.Customer, ids []structs.JobID) ([]structs.Job, []*structs.Refusal) {
	shard := structs.ShardOf(customer)
	jobs := make([]structs.Job, len(ids))
	refusals := make([]*structs.Refusal, len(ids))
	refused := m.callOwner(ctx, shard, "cancel", "", ownerCall{
		local: func(ctx context.Context, t *tenure) *structs.Refusal {
			jobs, refusals = t.serveCancel(ctx, customer, ids)
			return nil
		},
		remote: func(ctx context.Context, p wire.EntryPeer) (*structs.Refusal, error) {
			reply, err := p.CancelJobs(ctx, wire.CancelJobsRequest{Customer: customer, Shard: shard, Jobs: ids})
			if err != nil {
				return nil, err
			}
			if len(reply.Jobs) != len(ids) || len(reply.Refused) != len(ids) {
				return m.refuseNoOwner(shard, "cancel"), nil
			}
			jobs, refusals = reply.Jobs, reply.Refused
			return nil, nil
		},
	})
	if refused != nil {
		for i := range refusals {
			refusals[i] = refused
		}
	}
	return jobs, refusals
}

// Get returns a job from this entry's memory if the entry holds the shard's
// lease and no transaction in flight may have changed the job, else from the
// table service.
func (m *Manager) Get(ctx context.Context, customer structs.Customer, id structs.JobID) (structs.Job, *structs.Refusal) {
	shard := structs.ShardOf(customer)
	if t := m.tenure(shard); t != nil && t.leaseValid() {
		if j, ok := t.current(id); ok && j.Customer == customer {
			return j, nil
		}
	}
	row, err := m.get(ctx, structs.JobKey(shard, id))
	if errors.Is(err, infra.ErrNotFound) {
		return structs.Job{}, m.refuseNotFound(id, "get")
	}
	if err != nil {
		return structs.Job{}, m.refuseStore("get")
	}
	var j structs.Job
	if json.Unmarshal(row.Value, &j) != nil || j.Customer != customer {
		return structs.Job{}, m.refuseNotFound(id, "get")
	}
	return j, nil
}

// Release puts a parked job back into the queue, at the owner of its shard.
func (m *Manager) Release(ctx context.Context, customer structs.Customer, id structs.JobID) (structs.Job, *structs.Refusal) {
	var released structs.Job
	refused := m.callOwner(ctx, structs.ShardOf(customer), "release", id, ownerCall{
		local: func(ctx context.Context, t *tenure) *structs.Refusal {
			j, r := t.submitAndWait(ctx, t.releaseChange(customer, id), "release")
			released = j
			return r
		},
		remote: func(ctx context.Context, p wire.EntryPeer) (*structs.Refusal, error) {
			reply, err := p.ReleaseJob(ctx, wire.ReleaseJobRequest{Customer: customer, Job: id})
			released = reply.Job
			return reply.Refused, err
		},
	})
	return released, refused
}

// Owner returns the address of the entry that holds a shard's lease, "" if no
// such entry is known.
func (m *Manager) Owner(s structs.ShardID) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := &m.shards[s]
	if seen.lease.Owner == "" || m.lapsed(seen) {
		return ""
	}
	return seen.lease.Address
}

// ownerCall holds the local and the remote form of a request.
type ownerCall struct {
	local  func(context.Context, *tenure) *structs.Refusal
	remote func(context.Context, wire.EntryPeer) (*structs.Refusal, error)
}

// callOwner runs a repeatable request at the owner of a shard. Once the request
// may have taken effect, callOwner returns only on success or at the deadline.
func (m *Manager) callOwner(ctx context.Context, s structs.ShardID, step string, id structs.JobID, call ownerCall) *structs.Refusal {
	if _, bounded := ctx.Deadline(); !bounded {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, defaultDeadline)
		defer cancel()
	}
	maybeSent := false
	for try := 1; ; try++ {
		refused, sent := m.tryOnce(ctx, s, step, call)
		retry := refused != nil && (refused.Type == structs.RefusedNotOwner || refused.Outcome == structs.Unknown)
		if !retry && (!maybeSent || refused == nil) {
			return refused
		}
		maybeSent = maybeSent || sent
		noOwner := refused.Type == structs.RefusedNotOwner && m.Owner(s) == "" && m.tenure(s) == nil
		if !maybeSent && (noOwner || try >= maxUnsentTries) {
			return refused
		}
		select {
		case <-ctx.Done():
			if maybeSent {
				return m.refuseUnknown(id, step, "no answer from the owner of its shard in time")
			}
			return refused
		case <-time.After(forwardPause):
		}
	}
}

// tryOnce sends the request once. sent reports whether a request without a
// definite answer may have had an effect.
func (m *Manager) tryOnce(ctx context.Context, s structs.ShardID, step string, call ownerCall) (refused *structs.Refusal, sent bool) {
	if t := m.tenure(s); t != nil {
		refused = call.local(ctx, t)
		return refused, refused != nil && refused.Outcome == structs.Unknown
	}
	address := m.Owner(s)
	if address == "" || address == m.cfg.Address {
		return m.refuseNoOwner(s, step), false
	}
	m.count.forwards.Add(1)
	refused, err := call.remote(ctx, m.deps.Peers.Entry(address))
	if err == nil {
		return refused, refused != nil && refused.Outcome == structs.Unknown
	}
	var peer *wire.PeerError
	if errors.As(err, &peer) && !peer.Sent {
		return m.refuseNoOwner(s, step), false
	}
	m.count.forwardsLost.Add(1)
	return m.refuseUnknown("", step, "the owner's answer was lost"), true
}

// ServeSubmit serves a forwarded submission. It never forwards, so that no
// request circulates between entries that disagree on the owner.
func (m *Manager) ServeSubmit(r wire.SubmitRequest, reply *wire.SubmitReply) error {
	shard := structs.ShardOf(r.Job.Customer)
	t := m.tenure(shard)
	if t == nil {
		reply.Refused = m.refuseNoOwner(shard, "submit")
		return nil
	}
	ctx, cancel := context.WithTimeout(t.ctx, defaultDeadline)
	defer cancel()
	reply.Job, reply.Refused = t.serveSubmit(ctx, r.Job)
	return nil
}

// ServeCancel serves a forwarded request; like ServeSubmit it never forwards.
func (m *Manager) ServeCancel(r wire.CancelJobsRequest, reply *wire.CancelJobsReply) error {
	t := m.tenure(structs.ShardOf(r.Customer))
	if t == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(t.ctx, defaultDeadline)
	defer cancel()
	reply.Jobs, reply.Refused = t.serveCancel(ctx, r.Customer, r.Jobs)
	return nil
}

// ServeRelease serves a forwarded request; like ServeSubmit it never forwards.
func (m *Manager) ServeRelease(r wire.ReleaseJobRequest, reply *wire.ReleaseJobReply) error {
	shard := structs.ShardOf(r.Customer)
	t := m.tenure(shard)
	if t == nil {
		reply.Refused = m.refuseNoOwner(shard, "release")
		return nil
	}
	ctx, cancel := context.WithTimeout(t.ctx, defaultDeadline)
	defer cancel()
	reply.Job, reply.Refused = t.submitAndWait(ctx, t.releaseChange(r.Customer, r.Job), "release")
	return nil
}

// ServeReport records ends of claims. A report is settled only once the end is
// durable, or the claim had ended before, or the owner has no such job.
func (m *Manager) ServeReport(r wire.ReportRequest, reply *wire.ReportReply) error {
	reply.Settled = make([]bool, len(r.Reports))
	m.deps.Directory.Observe(r.Load)
	type answer struct {
		at  int
		job structs.Job
		err error
	}
	answers := make(chan answer, len(r.Reports))
	waiting := 0
	for i, report := range r.Reports {
		if report.Shard >= structs.ShardCount {
			continue
		}
		t := m.tenure(report.Shard)
		if t == nil {
			continue
		}
		c := t.endChange(report)
		c.settle = func(j structs.Job, err error) { answers <- answer{i, j, err} }
		if t.submit(c) {
			waiting++
		}
	}
	limit := time.After(defaultDeadline)
	for ; waiting > 0; waiting-- {
		select {
		case a := <-answers:
			reply.Settled[a.at] = a.err == nil || errors.Is(a.err, errUnchanged) || errors.Is(a.err, errAbsent)
			m.handleRecordedEnd(r.Instance, r.Reports[a.at], a.job, a.err)
		case <-limit:
			m.count.reportsPending.Add(int64(waiting))
			return nil
		}
	}
	return nil
}

// handleRecordedEnd passes an end that was just recorded to the placer.
func (m *Manager) handleRecordedEnd(on structs.InstanceID, r wire.TaskReport, j structs.Job, err error) {
	if err != nil {
		return
	}
	m.count.reportsSettled.Add(1)
	m.deps.Placer.Ended(End{Job: j, Instance: on, End: r.End, Used: r.Used, Ran: r.Ran})
	if t := m.tenure(r.Shard); t != nil {
		t.jobEvent(j)
	}
}

func (t *tenure) serveSubmit(ctx context.Context, job structs.Job) (structs.Job, *structs.Refusal) {
	if t.recall(ctx, job.ID) != nil {
		return structs.Job{}, t.m.refuseStore("submit")
	}
	j, refused := t.submitAndWait(ctx, t.submitChange(job), "submit")
	if refused == nil {
		t.m.count.submitted.Add(1)
	}
	return j, refused
}

func (t *tenure) serveCancel(ctx context.Context, customer structs.Customer, ids []structs.JobID) ([]structs.Job, []*structs.Refusal) {
	jobs := make([]structs.Job, len(ids))
	refusals := make([]*structs.Refusal, len(ids))
	changes := make([]*change, len(ids))
	for i, id := range ids {
		// A failed recall is ignored: a job that is not in memory has ended or never
		// existed, so there is nothing to cancel.
		_ = t.recall(ctx, id)
		changes[i] = t.cancelChange(customer, id)
	}
	for i, wait := range t.submitAll(changes) {
		jobs[i], refusals[i] = wait(ctx, "cancel")
		if refusals[i] == nil {
			t.m.count.cancelled.Add(1)
		}
	}
	return jobs, refusals
}

// submitAndWait passes one change to the writer and waits for its outcome.
func (t *tenure) submitAndWait(ctx context.Context, c *change, step string) (structs.Job, *structs.Refusal) {
	return t.submitAll([]*change{c})[0](ctx, step)
}

type waiter func(ctx context.Context, step string) (structs.Job, *structs.Refusal)

type outcome struct {
	job structs.Job
	err error
}

// submitAll passes changes to the writer and returns one waiter for each.
func (t *tenure) submitAll(changes []*change) []waiter {
	waiters := make([]waiter, len(changes))
	for i, c := range changes {
		got := make(chan outcome, 1)
		c.settle = func(j structs.Job, err error) { got <- outcome{j, err} }
		waiters[i] = func(ctx context.Context, step string) (structs.Job, *structs.Refusal) {
			return t.awaitOutcome(ctx, c, got, step)
		}
	}
	if t.stalled() || !t.submit(changes...) {
		for _, c := range changes {
			c.settle(structs.Job{}, errNotApplied)
		}
	}
	return waiters
}

// stalled reports whether an outcome has been unknown for over stallLimit.
func (t *tenure) stalled() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return !t.stalledSince.IsZero() && time.Since(t.stalledSince) > stallLimit
}

// leaseValid reports whether the shard's lease is valid by this process's
// clock.
func (t *tenure) leaseValid() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return time.Now().Before(t.validUntil)
}

func (t *tenure) awaitOutcome(ctx context.Context, c *change, got chan outcome, step string) (structs.Job, *structs.Refusal) {
	var s outcome
	select {
	case s = <-got:
	case <-ctx.Done():
		if t.withdraw(c) {
			return structs.Job{}, t.m.refuseStore(step)
		}
		select {
		case s = <-got:
		default:
			return structs.Job{}, t.m.refuseUnknown(c.job, step, "its transaction is in doubt")
		}
	}
	return t.response(c, s, step)
}

func (t *tenure) response(c *change, s outcome, step string) (structs.Job, *structs.Refusal) {
	var refused *structs.Refusal
	switch {
	case s.err == nil || errors.Is(s.err, errUnchanged):
		return s.job, nil
	case errors.As(s.err, &refused):
		return structs.Job{}, refused
	case errors.Is(s.err, errAbsent):
		return structs.Job{}, t.m.refuseNotFound(c.job, step)
	case errors.Is(s.err, errUncertain):
		return structs.Job{}, t.m.refuseUnknown(c.job, step, "its transaction is in doubt")
	case t.ctx.Err() != nil:
		return structs.Job{}, t.m.refusal(structs.RefusedNotOwner, http.StatusServiceUnavailable, step, "the shard has moved")
	}
	return structs.Job{}, t.m.refuseStore(step)
}
