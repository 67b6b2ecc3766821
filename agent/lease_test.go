package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/infra/fault"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// A batch is cut off on its instance: its agent can't reach the store, and the
// worker takes each renewal as late as it can without losing the task. The row
// lapses, the owner fences it at once and runs the job elsewhere. The late
// renewals must not keep the first run alive beyond that.
func TestLateRenewalsEndBeforeTheRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(t, 2, 1)
		o.margin = 0
		o.pass(3 * time.Second)
		h := o.jobs[0].on
		h.process.Set(fault.Plan{
			Delay: 1, Landing: fault.Exactly(h.config.WorkerLease*2/3 - 100*time.Millisecond),
			Match: func(op fault.Operation) bool { return op.Method == "Renew" },
		})
		h.table.Cut(true)
		o.pass(hostLease + 2*time.Second)
		if o.jobs[0].epoch != 2 {
			t.Errorf("the job was claimed %d times, want 2", o.jobs[0].epoch)
		}
		if wrong := o.end(); wrong != "" {
			t.Error(wrong)
		}
	})
}

// The agent is stopped between its look at the lease and the worker's receipt
// of a start, and woken long after its lease has lapsed and the job was done
// elsewhere. The start must not run.
func TestStartOfAFrozenAgentNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(t, 2, 0)
		o.pass(time.Second)
		for _, h := range o.hosts {
			h.process.Freeze()
		}
		o.jobs = append(o.jobs, &job{id: "j0", state: structs.JobQueued})
		o.pass(time.Second)
		first := o.jobs[0].on
		for _, h := range o.hosts {
			h.freeze(h == first)
		}
		o.pass(2 * hostLease)
		if o.jobs[0].on == first {
			t.Errorf("the job did not move on")
		}
		first.freeze(false)
		o.pass(time.Second)
		if runs := first.runs.Runs("j0"); len(runs) != 1 {
			t.Errorf("runs: %+v, want one", runs)
		}
		if wrong := o.end(); wrong != "" {
			t.Error(wrong)
		}
	})
}

// An agent is killed while its tasks run on, and the worker can't be reached.
// The entry takes a higher incarnation as proof that the tasks have ended, so
// the new agent must not write one before the worker has said so.
func TestIncarnationIsWrittenAfterTheFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(t, 1, 1)
		o.pass(3 * time.Second)
		h := o.hosts[0]
		h.replace(false, func() { h.process.Cut(true) })
		o.pass(3 * time.Second)
		if l := leaseOf(h.seen); l.Incarnation != 1 || len(h.runs.Running()) != 1 {
			t.Errorf("incarnation %d with %v running, want 1 with the first run", l.Incarnation, h.runs.Running())
		}
		if wrong := o.end(); wrong != "" {
			t.Error(wrong)
		}
	})
}

// The store applies a renewal, and its answer reaches the agent 15 s later. An
// observer counts from the write, so the agent must not count from the answer.
func TestLeaseCountsFromBeforeTheRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, t.Context())
		r.config.Timeout = 30 * time.Second
		a, stop := r.agent()
		defer stop()
		time.Sleep(time.Second)
		r.table.Set(fault.Plan{LoseAnswer: 1, Patience: fault.Exactly(15 * time.Second)})
		row, _ := r.store.Get(t.Context(), structs.AgentLeaseKey("i1"))
		version := row.Version
		for row.Version == version {
			time.Sleep(100 * time.Millisecond)
			row, _ = r.store.Get(t.Context(), structs.AgentLeaseKey("i1"))
		}
		r.table.Set(fault.Plan{})
		written := time.Now()
		time.Sleep(16 * time.Second)
		r.table.Cut(true)
		if _, left := a.lease.Held(time.Now()); left > r.config.Lease-time.Since(written) && a.lease.Counters.Renewed.Load() == 1 {
			t.Errorf("%s left %s after the write", left, time.Since(written))
		}
	})
}

// A customer cancels a job while its start is on the way. The start arrives
// after the cancellation, twice, and must not run; nor may a start that is
// repeated after its end, or that was refused before.
func TestStartsThatMustNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, t.Context())
		a, stop := r.agent()
		defer stop()
		time.Sleep(time.Second)
		_ = a.RPC().Stop(wire.StopRequest{Reason: wire.StopCancelled, Tasks: []wire.TaskRef{{Job: "early", Shard: 3, Epoch: 1}}}, nil)
		a.ledger.Drain(true)
		refused := grant(a, "full", 1, "")
		a.ledger.Drain(false)
		_ = grant(a, "once", 1, "")
		time.Sleep(15 * time.Second)
		for range 2 {
			for _, id := range []structs.JobID{"early", "full", "once"} {
				why := grant(a, id, 1, "")
				if (why == nil) != (id == "once") || (why != nil && why.Outcome != structs.NotRun) {
					t.Errorf("start of %s: %v", id, why)
				}
			}
		}
		time.Sleep(15 * time.Second)
		if refused == nil || len(r.runs.Runs("early"))+len(r.runs.Runs("full")) != 0 || len(r.runs.Runs("once")) != 1 {
			t.Errorf("runs: %v %v %v", r.runs.Runs("early"), r.runs.Runs("full"), r.runs.Runs("once"))
		}
		if got, _ := r.entry.report("early"); got.End != wire.EndCancelled || got.Shard != 3 {
			t.Errorf("report %+v, want cancelled of shard 3", got)
		}
	})
}

// An operator evicts a long task while worker and object store take a second
// for each answer. During each of the steps the agent is killed, or frozen and
// woken beside its successor, or the object store goes down. The job
// must go on from a checkpoint that exists, once, and never run twice.
func TestKillAtEveryStepOfAnEviction(t *testing.T) {
	for half := range 12 {
		for _, fail := range []string{[]string{"kill", "zombie"}[half%2], "objects"} {
			synctest.Test(t, func(t *testing.T) {
				o := newOwner(t, 2, 1)
				o.pass(10 * time.Second)
				j, h := o.jobs[0], o.jobs[0].on
				slow := fault.Plan{Slow: 1, Latency: fault.Exactly(time.Second)}
				h.process.Set(slow)
				h.objects.Set(slow)
				_ = h.agent.RPC().Stop(wire.StopRequest{Reason: wire.StopEvicted, Tasks: []wire.TaskRef{{Job: j.id, Epoch: j.epoch}}}, nil)
				o.pass(time.Duration(half)*500*time.Millisecond + 250*time.Millisecond)
				wake := func() {}
				if fail == "objects" {
					h.objects.Cut(true)
				} else {
					wake = h.replace(fail == "zombie")
				}
				o.pass(time.Duration(half%5) * 10 * time.Second)
				wake()
				if fail == "objects" && half < 2 && j.epoch != 1 {
					t.Errorf("stopped without a checkpoint, cut after %d half seconds", half)
				}
				if wrong := o.end(); wrong != "" {
					t.Errorf("%s after %d half seconds: %s", fail, half, wrong)
				}
			})
		}
	}
}
