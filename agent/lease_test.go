package agent

import (
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/infra/fault"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// An agent can't reach the store, and its worker receives each renewal as late
// as is possible without losing the task. The agent's lease lapses; the queue's
// owner fences the row at once and runs the job elsewhere. The late renewals
// must not keep the first run alive after the fencing.
func TestLateRenewalsEndBeforeTheRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(t, 2, 1)
		o.margin = 0
		o.advance(3 * time.Second)
		h := o.jobs[0].runsOn
		h.process.Set(fault.Plan{
			Delay: 1, ApplyDelay: fault.Exactly(h.config.WorkerLease*2/3 - 100*time.Millisecond),
			Match: func(op fault.Operation) bool { return op.Method == "Renew" },
		})
		h.table.Cut(true)
		o.advance(hostLease + 2*time.Second)
		if o.jobs[0].epoch != 2 {
			t.Errorf("the job was claimed %d times, want 2", o.jobs[0].epoch)
		}
		if wrong := o.finish(); wrong != "" {
			t.Error(wrong)
		}
	})
}

// The agent is frozen after it has checked the lease and before the worker
// receives a start. It resumes long after its lease has lapsed and another
// instance has started the job. The late start must not run.
func TestStartOfAFrozenAgentNeverRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(t, 2, 0)
		o.advance(time.Second)
		for _, h := range o.hosts {
			h.process.Freeze()
		}
		o.jobs = append(o.jobs, &job{id: "j0", state: structs.JobQueued})
		o.advance(time.Second)
		first := o.jobs[0].runsOn
		for _, h := range o.hosts {
			h.freeze(h == first)
		}
		o.advance(2 * hostLease)
		if o.jobs[0].runsOn == first {
			t.Errorf("the job still runs on its first host")
		}
		first.freeze(false)
		o.advance(time.Second)
		if runs := first.runs.Runs("j0"); len(runs) != 1 {
			t.Errorf("runs: %+v, want one", runs)
		}
		if wrong := o.finish(); wrong != "" {
			t.Error(wrong)
		}
	})
}

// An agent is killed while its tasks still run, and the worker can't be
// reached. The entry takes a higher incarnation as proof that the tasks have
// ended. So the new agent must not write its incarnation before the worker has
// confirmed the fence.
func TestIncarnationIsWrittenAfterTheFence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newOwner(t, 1, 1)
		o.advance(3 * time.Second)
		h := o.hosts[0]
		h.replace(false, func() { h.process.Cut(true) })
		o.advance(3 * time.Second)
		if l := leaseOf(h.leaseRow); l.Incarnation != 1 || len(h.runs.Running()) != 1 {
			t.Errorf("incarnation %d with %v running, want 1 with the first run", l.Incarnation, h.runs.Running())
		}
		if wrong := o.finish(); wrong != "" {
			t.Error(wrong)
		}
	})
}

// The store applies a renewal, and its answer reaches the agent 15 s later. An
// observer counts the lease from the write, so the agent must not count it from
// the answer.
func TestLeaseCountsFromBeforeTheRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, t.Context())
		r.config.Timeout = 30 * time.Second
		a, stop := r.agent()
		defer stop()
		time.Sleep(time.Second)
		r.table.Set(fault.Plan{LoseAnswer: 1, AnswerTimeout: fault.Exactly(15 * time.Second)})
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

// A customer cancels a job while its start is in flight. The start arrives
// after the cancellation, twice, and must not run. A start that is repeated
// after the task's end, or after its refusal, must not run either.
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

// An operator evicts a long task while the worker and the object store take a
// second for each answer. At each step of the eviction the agent is killed, or
// frozen and resumed beside its successor, or the object store fails. The job
// must resume once, from a checkpoint that exists, and never run twice.
func TestKillAtEveryStepOfAnEviction(t *testing.T) {
	for halfSeconds := range 12 {
		for _, fail := range []string{[]string{"kill", "zombie"}[halfSeconds%2], "objects"} {
			synctest.Test(t, func(t *testing.T) {
				o := newOwner(t, 2, 1)
				o.advance(10 * time.Second)
				j, h := o.jobs[0], o.jobs[0].runsOn
				slow := fault.Plan{Slow: 1, Latency: fault.Exactly(time.Second)}
				h.process.Set(slow)
				h.objects.Set(slow)
				_ = h.agent.RPC().Stop(wire.StopRequest{Reason: wire.StopEvicted, Tasks: []wire.TaskRef{{Job: j.id, Epoch: j.epoch}}}, nil)
				o.advance(time.Duration(halfSeconds)*500*time.Millisecond + 250*time.Millisecond)
				wake := func() {}
				if fail == "objects" {
					h.objects.Cut(true)
				} else {
					wake = h.replace(fail == "zombie")
				}
				o.advance(time.Duration(halfSeconds%5) * 10 * time.Second)
				wake()
				if fail == "objects" && halfSeconds < 2 && j.epoch != 1 {
					t.Errorf("stopped without a checkpoint, object store cut after %d half seconds", halfSeconds)
				}
				if wrong := o.finish(); wrong != "" {
					t.Errorf("%s after %d half seconds: %s", fail, halfSeconds, wrong)
				}
			})
		}
	}
}
