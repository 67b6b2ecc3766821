package batch

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// change is one requested change of a job. The shard's writer calls decide with
// the job's latest state, and settle once the result is durable or the change
// has failed.
type change struct {
	job structs.JobID
	// decide returns the job's next state, one of the errors below, or a refusal.
	decide func(v *view, current structs.Job, found bool) (structs.Job, error)
	// settle receives the durable state, or the error. It must not block.
	settle func(structs.Job, error)
	// taken is set when the writer puts the change into a transaction. Until then
	// the change can be withdrawn and certainly has no effect.
	taken bool
}

// Results of a change's decision and errors passed to its settle function.
var (
	// errUnchanged leaves the job unchanged; the job's current state is the answer.
	errUnchanged = errors.New("batch: nothing to change")
	// errAbsent says that the owner has no such job. It is returned only after a
	// write has proved that this entry is still the owner.
	errAbsent = errors.New("batch: no such job")
	// errStale says that the change names a later epoch than this entry knows.
	errStale = errors.New("batch: the change names a later epoch")
	// errNotApplied says that the change had no effect and never will have one.
	errNotApplied = errors.New("batch: change not applied")
	// errUncertain says that the change may have taken effect or may still do so.
	errUncertain = errors.New("batch: outcome unknown")
)

// digest identifies the body of a submission.
func digest(s structs.JobSpec) uint64 {
	h := fnv.New64a()
	body, _ := json.Marshal(s)
	h.Write(body)
	return h.Sum64()
}

// submitChange inserts a job. If a job with the same ID and body is already
// stored, the stored job is the answer.
func (t *tenure) submitChange(j structs.Job) *change {
	sum := digest(j.Spec)
	return &change{job: j.ID, decide: func(v *view, current structs.Job, found bool) (structs.Job, error) {
		if found {
			if current.Customer != j.Customer || v.digest(j.ID) != sum {
				return current, t.m.refusal(structs.RefusedKeyReused, http.StatusConflict, "submit",
					"job %s was submitted with another body", j.ID)
			}
			return current, errUnchanged
		}
		if v.t.offloaded.contains(j.ID) {
			// The job was offloaded after the caller's recall.
			return current, errNotApplied
		}
		contract, known := t.m.deps.Contracts.Contract(j.Customer)
		if !known {
			return current, t.m.refusal(structs.RefusedForbidden, http.StatusForbidden, "submit", "no contract")
		}
		if v.unfinished(j.Customer) >= contract.BatchQueue {
			r := t.m.refusal(structs.RefusedQueueFull, http.StatusTooManyRequests, "submit",
				"the contract allows %d unfinished jobs", contract.BatchQueue)
			r.RetryAfter = retryFull
			return current, r
		}
		v.submitted++
		return structs.Job{
			ID: j.ID, Customer: j.Customer, Shard: t.shard, Spec: j.Spec,
			State: structs.JobQueued, Submitted: v.submitted,
		}, nil
	}}
}

// claimChange starts a new epoch of a queued job under one agent lease.
func (t *tenure) claimChange(id structs.JobID, a AgentView, share int, borrowed bool) *change {
	return &change{job: id, decide: func(v *view, current structs.Job, found bool) (structs.Job, error) {
		if !found || current.State != structs.JobQueued {
			return current, errUnchanged
		}
		if !borrowed && v.held(current.Customer)+slotsOf(current) > share {
			t.m.count.claimsOverShare.Add(1)
			return current, errUnchanged
		}
		if t.m.agentLeases.leaseEnded(a.Instance, a.Lease) {
			return current, errUnchanged
		}
		current.State = structs.JobRunning
		current.Epoch++
		current.Instance = a.Instance
		current.Incarnation = a.Lease
		current.Reason = ""
		return current, nil
	}}
}

// endChange records the end of one claim. A report is void if it names an
// earlier epoch or its job no longer runs: each epoch ends only once.
func (t *tenure) endChange(r wire.TaskReport) *change {
	return &change{job: r.Job, decide: func(v *view, current structs.Job, found bool) (structs.Job, error) {
		switch {
		case !found:
			return current, errAbsent
		case r.Epoch > current.Epoch:
			return current, errStale
		case r.Epoch < current.Epoch || current.State != structs.JobRunning:
			t.m.count.reportsVoid.Add(1)
			return current, errUnchanged
		}
		return t.afterClaimEnd(current, r), nil
	}}
}

// afterClaimEnd returns job j after its claim has ended as r reports.
func (t *tenure) afterClaimEnd(j structs.Job, r wire.TaskReport) structs.Job {
	if r.Checkpoint != "" {
		j.Checkpoint = r.Checkpoint
	}
	switch r.End {
	case wire.EndDone:
		j.State = structs.JobDone
		j.Result = r.Result
		j.Reason = ""
		return j
	case wire.EndFailed:
		j.Failures++
		j.Reason = r.Error
	case wire.EndEvicted, wire.EndCancelled, wire.EndLost:
		j.Evictions++
	}
	switch {
	case j.CancelRequested:
		j.State = structs.JobCancelled
		j.Reason = "cancelled by the customer"
	case j.Failures >= t.m.cfg.MaxFailures:
		j.State = structs.JobFailed
		j.Reason = fmt.Sprintf("failed %d times, at last: %s", j.Failures, r.Error)
	default:
		j.State = structs.JobQueued
	}
	return j
}

// requeueChange requeues a job whose claim provably ended without a report, or
// cancels the job if its cancellation was requested.
func (t *tenure) requeueChange(id structs.JobID, e structs.Epoch) *change {
	return t.endChange(wire.TaskReport{Job: id, Shard: t.shard, Epoch: e, End: wire.EndEvicted})
}

// cancelChange ends a queued or parked job, or requests a running job's stop.
func (t *tenure) cancelChange(customer structs.Customer, id structs.JobID) *change {
	return &change{job: id, decide: func(v *view, current structs.Job, found bool) (structs.Job, error) {
		switch {
		case !found || current.Customer != customer:
			return current, errAbsent
		case current.State == structs.JobQueued || current.State == structs.JobParked:
			current.State = structs.JobCancelled
			current.Reason = "cancelled by the customer"
			return current, nil
		case current.State == structs.JobRunning && !current.CancelRequested:
			current.CancelRequested = true
			return current, nil
		}
		return current, errUnchanged
	}}
}

// parkChange takes a queued job out of the queue and records the reason.
func (t *tenure) parkChange(id structs.JobID, reason string) *change {
	return &change{job: id, decide: func(v *view, current structs.Job, found bool) (structs.Job, error) {
		if !found || current.State != structs.JobQueued {
			return current, errUnchanged
		}
		current.State = structs.JobParked
		current.Reason = reason
		return current, nil
	}}
}

// releaseChange puts a parked job back into the queue.
func (t *tenure) releaseChange(customer structs.Customer, id structs.JobID) *change {
	return &change{job: id, decide: func(v *view, current structs.Job, found bool) (structs.Job, error) {
		switch {
		case !found || current.Customer != customer:
			return current, errAbsent
		case current.State != structs.JobParked:
			return current, errUnchanged
		}
		current.State = structs.JobQueued
		current.Failures = 0
		current.Reason = "released by an operator"
		return current, nil
	}}
}
