package scheduler

import (
	"context"
	"time"

	"persimmonrock.example/wire/dispatch"
)

// Entries may run on machines of several sizes. If an entry with a fifth of a
// core schedules for tens of workers, jobs wait for the scheduler. So an entry
// on a stronger machine requests the lease.
const (
	// strongerBy is the factor by which the requesting machine has to be stronger:
	// a handover stops all starts for some tenths of a second.
	strongerBy = 1.5
	// steadyFor is the least age of the holder's term, and of the requester's
	// watch of the lease, at a handover.
	steadyFor = 3 * time.Second
	// requestEvery is the time between two requests of an entry.
	requestEvery = 2 * time.Second
	// successorWait is the time for which a lease is reserved for a successor.
	successorWait = time.Second
	// successorPoll is the time between a successor's reads of the lease.
	successorPoll = 40 * time.Millisecond
)

// yield ends the term in favour of successor, unless the term has just begun.
func (t *Term) yield(successor string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.successor != "" || t.deps.Now()-t.beganAt < steadyFor {
		return false
	}
	t.successor = successor
	t.deps.Log.Warn().Str("heir", successor).Uint64("epoch", t.epoch).Msg("lease handed to a stronger machine")
	t.cancel()
	return true
}

func (t *Term) successorNode() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.successor
}

// requestLease asks the holder for the lease if this machine is stronger by
// strongerBy. It reports whether the lease is about to be released.
func (e *Elector) requestLease(ctx context.Context, o *observations, lease leaseRow) bool {
	now := e.deps.Now()
	if lease.Released || lease.Power <= 0 || e.cfg.Power < strongerBy*lease.Power || now-o.watchedSince < steadyFor || now-o.requestedAt < requestEvery {
		return false
	}
	o.requestedAt = now
	link := e.Leader()
	if link == nil {
		return false
	}
	var reply dispatch.YieldReply
	err := link.Call(ctx, "Scheduler.Yield", dispatch.YieldArgs{Process: lease.Process, Heir: e.cfg.Node}, &reply, pingTimeout)
	e.deps.Log.Info().Err(err).Str("leader", lease.Node).Float64("power", lease.Power).Float64("own_power", e.cfg.Power).
		Bool("agreed", reply.Agreed).Msg("leader was asked to hand over the lease")
	return err == nil && reply.Agreed
}

// reservedForSuccessor reports whether the lease is reserved for another entry.
func (e *Elector) reservedForSuccessor(lease leaseRow, unchanged time.Duration) bool {
	return lease.Successor != "" && lease.Successor != e.cfg.Node && unchanged < successorWait
}
