package agent

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// grant starts a task of ten seconds at the agent and returns the refusal.
func grant(a *Agent, id structs.JobID, e structs.Epoch, checkpoint string) *structs.Refusal {
	held, _ := a.lease.Held(time.Now())
	var reply wire.StartReply
	_ = a.RPC().Start(wire.StartRequest{Tasks: []wire.TaskGrant{{
		Job: id, Epoch: e, Incarnation: held, Customer: "kowhai", Checkpoint: checkpoint,
		Spec: structs.JobSpec{Kind: "steps", Declared: structs.Resources{Slots: 1}},
	}}}, &reply)
	return reply.Refused[0]
}

// A task runs to its end: its result is in the object store before the report,
// and the worker forgets the task when the report is acknowledged.
func TestTaskRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, t.Context())
		a, stop := r.agent()
		defer stop()
		time.Sleep(time.Second)
		if why := grant(a, "j1", 1, ""); why != nil {
			t.Fatal(why)
		}
		time.Sleep(11 * time.Second)
		got, _ := r.entry.report("j1")
		body, err := r.bodies.Get(t.Context(), structs.ResultKey("j1", 1))
		if got.End != wire.EndDone || string(body) != "sum" || err != nil {
			t.Fatalf("report %+v, result %q %v", got, body, err)
		}
		if got.Ran < 10*time.Second || got.Ran > 11*time.Second {
			t.Errorf("a task of 10 s ran for %s", got.Ran)
		}
		if list, _ := r.worker.List(t.Context()); len(list) != 0 || a.tasks.Unsettled() != 0 {
			t.Errorf("tasks left at the worker: %+v, %d unsettled", list, a.tasks.Unsettled())
		}
	})
}

// An operator stops an instance: its task is checkpointed and handed over, so
// that it can resume elsewhere from the checkpoint. No new task starts.
func TestDrainHandsTasksOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, t.Context())
		a, stop := r.agent()
		defer stop()
		time.Sleep(time.Second)
		if why := grant(a, "j1", 1, ""); why != nil {
			t.Fatal(why)
		}
		time.Sleep(3 * time.Second)
		if err := a.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		got, _ := r.entry.report("j1")
		state, _ := r.bodies.Get(t.Context(), got.Checkpoint)
		if got.End != wire.EndEvicted || len(state) != 1 || state[0] < 25 {
			t.Fatalf("report %+v, checkpoint %v", got, state)
		}
		if why := grant(a, "j2", 1, ""); why == nil || why.Outcome != structs.NotRun {
			t.Errorf("a start after the stop: %v", why)
		}
		if !r.entry.lastHello().Load.Draining {
			t.Error("the entry was not notified")
		}
	})
}

// The object store is down when a task ends, when a task is to resume, and when
// an instance is stopped. The end is reported only after its result is stored,
// and the resumed task starts only with its checkpoint. The stop waits for a
// checkpoint as long as it can; without one, the earlier checkpoint remains in
// use.
func TestObjectStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, t.Context())
		a, stop := r.agent()
		defer stop()
		time.Sleep(time.Second)
		_ = r.bodies.Put(t.Context(), "earlier", []byte{90})
		_ = grant(a, "ends", 1, "")
		time.Sleep(8 * time.Second)
		r.objects.Cut(true)
		_ = grant(a, "waits", 1, "earlier")
		time.Sleep(5 * time.Second)
		_ = grant(a, "new", 1, "")
		if got, ok := r.entry.report("ends"); ok || a.load().Free.Slots != 6 {
			t.Errorf("reported %+v without a result, or %d slots free", got, a.load().Free.Slots)
		}
		r.objects.Cut(false)
		time.Sleep(6 * time.Second)
		for _, id := range []structs.JobID{"ends", "waits"} {
			if got, _ := r.entry.report(id); got.End != wire.EndDone {
				t.Errorf("report %+v, want done", got)
			}
		}
		r.objects.Cut(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := a.Drain(ctx); err != nil {
			t.Error(err)
		}
		if got, _ := r.entry.report("new"); got.End != wire.EndEvicted || got.Checkpoint != "" || len(r.runs.Running()) != 0 {
			t.Errorf("report %+v, want evicted without a new checkpoint; %v run", got, r.runs.Running())
		}
	})
}

// Tasks use far more memory than they declared. The one that loses the least
// work is evicted with a checkpoint, and the others continue.
func TestMemoryRunsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, t.Context())
		r.config.Total.MemoryBytes = 1000
		r.worker = memory.NewWorker(memory.WorkerOptions{
			Instance: "i1", Kinds: map[structs.Kind]memory.Program{"steps": steps},
			Actual: func(infra.TaskStart) structs.Resources { return structs.Resources{MemoryBytes: 400} },
		})
		a, stop := r.agent()
		defer r.worker.Close()
		defer stop()
		time.Sleep(time.Second)
		for _, id := range []structs.JobID{"a", "b", "c"} {
			_ = grant(a, id, 1, "")
		}
		time.Sleep(6 * time.Second)
		ends := 0
		for _, id := range []structs.JobID{"a", "b", "c"} {
			if got, ok := r.entry.report(id); ok && got.End == wire.EndEvicted && got.Checkpoint != "" && got.Used.MemoryBytes == 400 {
				ends++
			}
		}
		if ends != 1 || a.tasks.Running() != 2 {
			t.Errorf("%d evicted and %d running, want 1 and 2", ends, a.tasks.Running())
		}
	})
}

// A task that vanishes from its worker must be reported as lost, not stopped.
func TestTaskOfLostWorkerIsReportedAsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, t.Context())
		a, stop := r.agent()
		defer stop()
		time.Sleep(time.Second)
		if why := grant(a, "j1", 1, ""); why != nil {
			t.Fatal(why)
		}
		// The pause ends between two of the agent's polls of the worker.
		time.Sleep(2*time.Second + 33*time.Millisecond)
		if err := errors.Join(r.worker.Stop(t.Context(), "j1", 1), r.worker.Forget(t.Context(), "j1", 1)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		if got, _ := r.entry.report("j1"); got.End != wire.EndLost {
			t.Errorf("report %+v", got)
		}
	})
}
