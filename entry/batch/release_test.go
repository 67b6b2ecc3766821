package batch

import (
	"testing"
	"time"

	"persimmonrock.example/infra/fault"
	"persimmonrock.example/structs"
)

// Guards against: an operator can't release a parked job after removing the
// cause. The load balancer sends the command to an entry that doesn't own the
// job's queue shard, and that entry refuses it each time. If the owner is cut
// off, the answer must tell the operator whether the job may run.
func TestReleaseAtAnyEntry(t *testing.T) {
	runCluster(t, 2, 0, nil, func(w *cluster) {
		owner, nonOwner := w.entry(w.owner("acme")), w.entry(w.nonOwner("acme"))
		w.submit(string(owner.cfg.Entry), "acme", "stuck")
		owner.tenure(structs.ShardOf("acme")).park("stuck", "no worker has that much memory")
		w.until(time.Second, "parked", func() bool { return w.states()[structs.JobParked] == 1 })

		owner.ctl.Set(fault.Plan{Down: 1, Match: onNetwork})
		if _, refused := nonOwner.Release(w.ctx, "acme", "stuck"); refused == nil || refused.Outcome != structs.NotRun || refused.RetryAfter == 0 {
			t.Errorf("with the owner cut off the release got %v, want not_run with a retry delay", refused)
		}
		if w.states()[structs.JobParked] != 1 {
			t.Error("a release that was refused as not run had an effect")
		}

		owner.ctl.Heal()
		j, refused := nonOwner.Release(w.ctx, "acme", "stuck")
		if refused != nil || j.State != structs.JobQueued {
			t.Errorf("the release got %s, %v, want a queued job", j.State, refused)
		}
		if _, refused := nonOwner.Release(w.ctx, "hill", "stuck"); refused == nil || refused.Type != structs.RefusedNotFound {
			t.Errorf("the release of another customer's job got %v, want not-found", refused)
		}
	})
}
