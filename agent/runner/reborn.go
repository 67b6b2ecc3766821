package runner

import (
	"context"
	"errors"
	"time"

	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/structs/workload"
)

// A worker may start again under the instance identifier that it had. Calls name
// the instance only, so an order to the former life may be carried out by the
// new one.

// lateOrderTime is the time after which an order without an answer is no longer
// carried out. The users say that it may be "seconds later".
const lateOrderTime = 30 * time.Second

// recordUnanswered records a start order without an answer. The caller holds mu.
func (r *Runner) recordUnanswered(id workload.RunID) {
	r.dropOldOrders()
	if r.unanswered == nil {
		r.unanswered = map[workload.RunID]time.Duration{}
	}
	r.unanswered[id] = r.deps.Now()
}

// dropOldOrders forgets the orders that are older than lateOrderTime. The
// caller holds mu.
func (r *Runner) dropOldOrders() {
	for id, at := range r.unanswered {
		if r.deps.Now()-at > lateOrderTime {
			delete(r.unanswered, id)
		}
	}
}

// isReborn reports whether id is a new life of the instance of the present
// worker, or of the one that the previous process had found. The caller holds
// mu.
func (r *Runner) isReborn(id workload.WorkerID) bool {
	former := r.suggested
	if r.incarnation != nil {
		former = r.incarnation.id
	}
	return former != "" && former != id && former.Instance() == id.Instance()
}

// disproveReborn withdraws the report of a new life if the present one has answered
// in its place. The caller holds mu.
//
// Guards against one report with a false start time, after which nothing starts on a
// living worker any more.
func (r *Runner) disproveReborn(claimed workload.WorkerID, err error) {
	var other *workerctl.RebornError
	inc := r.incarnation
	if !errors.As(err, &other) || inc == nil || !inc.replaced || other.Worker != inc.id {
		return
	}
	inc.replaced = false
	r.deps.Log.Warn().Str("worker", string(inc.id)).Str("reported", string(claimed)).Msg("worker still answers; the report of its next life is not used")
}

// proposeReborn makes the life that has answered in place of inc the candidate.
// Its capacity is not known before it reports. The caller holds mu.
func (r *Runner) proposeReborn(inc *incarnation, id workload.WorkerID) {
	inc.replaced = true
	if r.candidate != nil && r.candidate.ID == id {
		return
	}
	w := inc.worker
	w.ID, w.Draining = id, false
	r.candidate, r.candidateOrder, r.candidateAt = &w, reportOrder{}, 0
}

// stopFormerOrders voids the orders to the former life of a worker that is the
// new life id, and returns a listing without runs, and the time at which it was
// requested. ok is false if the worker did not answer. listing is the new life's
// first one.
//
// Guards against two runs of a task: the scheduler places the runs of a life that
// has ended elsewhere, so none of them may run in the new life. A run that has
// ended may have an earlier start order without an answer, and starts again if the
// new life carries it out: a life refuses only runs that were stopped or ended in it.
func (r *Runner) stopFormerOrders(ctx context.Context, id workload.WorkerID, listing workerctl.Listing, sent time.Duration) (_ workerctl.Listing, requested time.Duration, ok bool) {
	runs := map[workload.RunID]bool{}
	for _, s := range listing.Running {
		runs[s.Run] = true
	}
	r.mu.Lock()
	r.dropOldOrders()
	for x := range r.unanswered {
		runs[x] = true
	}
	if former := r.incarnation; former != nil {
		former.replaced = true
		for x := range former.runs {
			runs[x] = true
		}
		// What the new life has carried out has not crashed the former one.
		for _, s := range listing.Running {
			delete(former.runs, s.Run)
		}
		for _, e := range listing.Ended {
			delete(former.runs, e.Run)
		}
	}
	r.mu.Unlock()
	for x := range runs {
		_, err := r.deps.Control.Stop(ctx, id, x, r.token)
		var refused *workerctl.RefusedError
		if err != nil && !errors.As(err, &refused) {
			r.candidateFailed(ctx, id, err)
			return listing, sent, false
		}
	}
	for len(listing.Running) > 0 {
		r.pause(ctx, retryPause)
		sent = r.deps.Now()
		var err error
		if listing, err = r.deps.Control.Hold(ctx, id, workerctl.HoldOrder{Token: r.token}); err != nil {
			r.candidateFailed(ctx, id, err)
			return listing, sent, false
		}
	}
	r.deps.Log.Info().Str("worker", string(id)).Int("stopped", len(runs)).Msg("worker started again under its instance; orders to its former life are void")
	return listing, sent, true
}
