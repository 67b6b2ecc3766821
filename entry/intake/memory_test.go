package intake

import (
	"context"
	"errors"
	"testing"
	"time"

	"persimmonrock.example/entry/scheduler"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// scarce is less memory than any job is accepted with.
var scarce = dispatch.Memory{Known: true, Free: 1000}

// withFullScheduler runs a test with an entry that knows the scheduler to have
// next to no free memory, and a scheduler that confirms it.
func withFullScheduler(t *testing.T, test func(ctx context.Context, b *bench)) {
	withEntry(t, false, func(ctx context.Context, b *bench) {
		b.memory.offer(scarce, b.clock.now())
		b.stub.reply = dispatch.StateReply{Leading: true, Memory: scarce}
		test(ctx, b)
	})
}

// Guards against accepted jobs that use the scheduler's memory up.
func TestJobIsRefusedForWantOfMemory(t *testing.T) {
	withFullScheduler(t, func(ctx context.Context, b *bench) {
		_, err := b.submit(ctx, newID)
		var unavailable *workload.UnavailableError
		if !errors.Is(err, workload.ErrOverloaded) || !errors.As(err, &unavailable) || unavailable.RetryAfter != memoryRetryAfter {
			t.Errorf("error %v", err)
		}
		if row, err := rowstore.Get(ctx, b.rows, scheduler.JobKey(newID)); err != nil || row.Version != 0 {
			t.Errorf("the refused job has the row %+v %v", row, err)
		}
		if n := b.Counters.NoMemory.Load(); n != 1 {
			t.Errorf("%d refusals counted", n)
		}
	})
}

// Each case guards against a refusal although there is memory, nobody knows, or the
// job is stored.
func TestJobIsAcceptedIfMemoryIsInDoubt(t *testing.T) {
	for name, fail := range map[string]func(ctx context.Context, b *bench){
		"the scheduler is killed":              func(_ context.Context, b *bench) { b.cut() },
		"the scheduler is frozen":              func(_ context.Context, b *bench) { b.stub.frozen = true },
		"the scheduler is cut from the store":  func(_ context.Context, b *bench) { b.stub.reply.Leading = false },
		"the scheduler is of a former version": func(_ context.Context, b *bench) { b.stub.reply.Memory = dispatch.Memory{} },
		"the scheduler has memory again":       func(_ context.Context, b *bench) { b.stub.reply.Memory.Free = 1 << 30 },
		"the scheduler has the job":            func(_ context.Context, b *bench) { b.stub.reply.Known = true },
		"the scheduler was heard long ago":     func(context.Context, *bench) { time.Sleep(maxMemoryAge + time.Second) },
		"the job was stored through another entry": func(ctx context.Context, b *bench) {
			key := scheduler.JobKey(newID)
			if _, err := b.store.Client("entry-2").Apply(ctx, rowstore.Txn{Conds: []rowstore.Cond{{Key: key}}, Puts: []rowstore.Put{{Key: key, Value: []byte("{}")}}}); err != nil {
				t.Fatal(err)
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			withFullScheduler(t, func(ctx context.Context, b *bench) {
				fail(ctx, b)
				if _, err := b.submit(ctx, newID); err != nil {
					t.Errorf("error %v", err)
				}
			})
		})
	}
}

// Each case guards against a refusal that promises that the job never runs, while
// an earlier attempt may still be stored.
func TestRefusalForMemoryPromisesNothingWithoutProof(t *testing.T) {
	for name, fail := range map[string]func(b *bench){
		"the store is slow":                        func(b *bench) { b.store.SetSlow(100) },
		"the outcome of an attempt was unknown":    func(b *bench) { b.noteUndecided() },
		"the outcome was unknown at another entry": func(b *bench) { b.stub.reply.Memory.Unsettled = true },
	} {
		t.Run(name, func(t *testing.T) {
			withFullScheduler(t, func(ctx context.Context, b *bench) {
				fail(b)
				if _, err := b.submit(ctx, newID); !errors.Is(err, workload.ErrUndecided) {
					t.Errorf("error %v, want %v", err, workload.ErrUndecided)
				}
			})
		})
	}
}

// Guards against a burst of jobs between two answers of the scheduler.
func TestAcceptedJobsCountBeforeTheSchedulerSaysSo(t *testing.T) {
	k := &memoryKeeper{}
	k.offer(dispatch.Memory{Known: true, Free: 64000}, time.Second)
	accepted := 0
	for range 100 {
		if k.allows(1000, time.Second) {
			accepted++
		}
	}
	if accepted != 41 {
		t.Errorf("%d jobs were accepted, want 41: memory for more of them is kept for others", accepted)
	}
	k.offer(dispatch.Memory{}, 2*time.Second)
	k.offer(dispatch.Memory{Known: true, Free: 1 << 30}, 0)
	if k.allows(1000, 2*time.Second) {
		t.Error("an answer that says nothing, or an older one, counts")
	}
}
