package scheduler

import (
	"context"
	"time"

	"persimmonrock.example/wire/dispatch"
)

// Entries may run on machines of several sizes. Where one with a fifth of a
// core schedules for tens of workers, jobs wait for it. An entry on a stronger
// machine therefore asks for the lease.
const (
	// strongerBy is how many times stronger the machine has to be: a
	// handover stops all starts for some tenths of a second.
	strongerBy = 1.5
	// steadyFor is how long both have to have been in place.
	steadyFor = 3 * time.Second
	// askEvery is the time between two requests of an entry.
	askEvery = 2 * time.Second
	// heirFor is how long a released lease is kept for its heir.
	heirFor = time.Second
	// heirPoll is the time between the heir's looks at it.
	heirPoll = 40 * time.Millisecond
)

// yield ends the term in favour of heir, unless it has just begun.
func (t *Term) yield(heir string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.heir != "" || t.deps.Now()-t.began < steadyFor {
		return false
	}
	t.heir = heir
	t.deps.Log.Warn().Str("heir", heir).Uint64("epoch", t.epoch).Msg("lease handed to a stronger machine")
	t.cancel()
	return true
}

func (t *Term) heirNode() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.heir
}

// askForLease asks the scheduler for its lease where this machine is much
// stronger. It reports whether the lease is about to be released.
func (e *Elector) askForLease(ctx context.Context, w *watch, lease leaseRow) bool {
	now := e.deps.Now()
	if lease.Released || lease.Power <= 0 || e.cfg.Power < strongerBy*lease.Power || now-w.begun < steadyFor || now-w.asked < askEvery {
		return false
	}
	w.asked = now
	link := e.Leader()
	if link == nil {
		return false
	}
	var reply dispatch.YieldReply
	err := link.Call(ctx, "Scheduler.Yield", dispatch.YieldArgs{Process: lease.Process, Heir: e.cfg.Node}, &reply, pingTimeout)
	e.deps.Log.Info().Err(err).Str("leader", lease.Node).Float64("power", lease.Power).Float64("own_power", e.cfg.Power).
		Bool("agreed", reply.Agreed).Msg("lease asked for")
	return err == nil && reply.Agreed
}

// keptForHeir reports whether a released lease is kept for another entry.
func (e *Elector) keptForHeir(lease leaseRow, still time.Duration) bool {
	return lease.Heir != "" && lease.Heir != e.cfg.Node && still < heirFor
}
