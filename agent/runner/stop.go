package runner

import (
	"context"
	"time"
)

// stopNotice is the time at the end of Stop in which the scheduler can read that
// the process is stopping.
const stopNotice = 300 * time.Millisecond

// Stop serves the worker until the end of the grace period, which begins now. It
// then renews the lease no more, reports to the scheduler when the last lease
// ends, and returns. The next process of the agent, if any, finds the runs.
//
// Guards against runs that are lost seconds too early with a machine that is
// removed: its worker stays until the grace period is over.
func (r *Runner) Stop(ctx context.Context, grace time.Duration) {
	r.deps.Log.Info().Dur("grace", grace).Msg("agent stopping; the worker is served until the end of the grace period")
	sleep(ctx, grace-stopNotice)
	r.mu.Lock()
	r.stopping = true
	r.recordChange(true)
	if inc := r.incarnation; inc != nil {
		r.deps.Log.Info().Str("worker", string(inc.id)).Int("runs", len(inc.runs)).Dur("lease_left", inc.lastLeaseEnd()-r.deps.Now()).Msg("worker's lease is no longer renewed")
	}
	r.mu.Unlock()
	sleep(ctx, min(grace, stopNotice))
}

// lastLeaseEnd is the time by which every lease has expired that this process or
// an earlier one has sent.
func (inc *incarnation) lastLeaseEnd() time.Duration {
	inherited := inc.foundAt + maxLease + time.Duration(clockDrift*float64(maxLease)) + leaseMargin
	return max(inc.leaseEnd, inherited)
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
