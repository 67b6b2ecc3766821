package agent

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
)

const outageTasks = 5

// lostInOutage runs tasks through an outage of the store. It returns how many
// of them lapsed, and the renewals per hour before the outage.
func lostInOutage(t *testing.T, lease, outage time.Duration) (lost int, renewals int64) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, t.Context())
		r.config.Lease, r.config.WorkerLease = lease, 0
		r.config.Total.Slots = outageTasks
		r.worker = memory.NewWorker(memory.WorkerOptions{Instance: "i1", Kinds: map[structs.Kind]memory.Program{
			"steps": func(ctx context.Context, t memory.Task) ([]byte, error) { return nil, t.Step(ctx, 5*time.Hour) },
		}})
		a, stop := r.agent()
		defer r.worker.Close()
		defer stop()
		time.Sleep(time.Second)
		for i := range outageTasks {
			if why := grant(a, structs.JobID(fmt.Sprint("j", i)), 1, ""); why != nil {
				t.Fatal(why)
			}
		}
		time.Sleep(10 * time.Minute)
		renewals = 6 * a.lease.Counters.Renewed.Load()
		r.table.Cut(true)
		time.Sleep(outage)
		r.table.Cut(false)
		time.Sleep(time.Minute)
		lost = int(a.tasks.Counters.Lapsed.Load())
	})
	return lost, renewals
}

// recovery returns the time from the kill of an agent to the next run of its
// task, with or without a successor on the instance.
func recovery(t *testing.T, lease time.Duration, successor bool) (took time.Duration) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(t, 2, 0)
		for _, h := range o.hosts {
			h.kill()
			h.config.Lease, h.config.WorkerLease = lease, 0
			h.agent, h.kill = h.rig.agent()
		}
		o.advance(time.Second)
		o.jobs = append(o.jobs, &job{id: "j0", state: structs.JobQueued})
		o.advance(5 * time.Second)
		h, began := o.jobs[0].runsOn, time.Now()
		h.kill()
		pause := ownerInterval
		if successor {
			h.agent, h.kill = h.rig.agent()
		} else {
			h.agent = nil
			pause = max(pause, lease/240)
		}
		for len(h.runs.Runs("j0")) < 2 && time.Since(began) < 2*lease+time.Minute {
			o.step()
			time.Sleep(pause)
		}
		synctest.Wait()
		took = time.Since(began)
		for _, h := range o.hosts {
			h.kill()
			h.worker.Close()
		}
	})
	return took
}

// Long batch tasks run through an outage of the store. A long lease keeps them
// alive and costs time only where an agent is killed and has no successor. The
// table is in docs/notes/agent-leases.md.
func TestOutagesAndRecovery(t *testing.T) {
	t.Logf("%-6s %14s %9s %9s %9s %12s %10s", "lease", "renewals/hour", "1m lost", "5m lost", "30m lost", "successor", "none")
	for _, lease := range []time.Duration{time.Minute, DefaultLease, time.Hour} {
		var lost []any
		var renewals int64
		for _, outage := range []time.Duration{time.Minute, 5 * time.Minute, 30 * time.Minute} {
			n, r := lostInOutage(t, lease, outage)
			renewals = r
			lost = append(lost, fmt.Sprintf("%d/%d", n, outageTasks))
			if want := outageTasks; (outage >= lease && n != want) || (2*outage <= lease && n != 0) {
				t.Errorf("lease %s, outage %s: %d lost", lease, outage, n)
			}
		}
		quick, slow := recovery(t, lease, true), recovery(t, lease, false)
		if quick > 5*time.Second || slow > lease+maxRenewInterval {
			t.Errorf("lease %s: recovery in %s and %s", lease, quick, slow)
		}
		args := append([]any{lease, renewals}, lost...)
		t.Logf("%-6s %14d %9s %9s %9s %12s %10s", append(args, quick, slow)...)
	}
}
