package memory

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rs/zerolog"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

const assay structs.Kind = "assay"

// endless works until it has to stop.
func endless(ctx context.Context, t Task) ([]byte, error) {
	return nil, t.Step(ctx, 1000*time.Hour)
}

func assayTask(e structs.Epoch, h structs.Incarnation) infra.TaskStart {
	return infra.TaskStart{
		Job: "job", Epoch: e, Kind: assay, Holder: h, Lease: time.Second,
		Declared: structs.Resources{MilliCores: 1000, MemoryBytes: 7},
	}
}

// Guards against a task that runs twice. An agent is cut off and can't renew,
// so its worker stops the task when the lease of 1 s lapses, and the work ends
// 300 ms later. The registry must count an overlap if another worker starts the
// job before that time, and only then.
func TestLapsedLeaseStopsTaskAndOverlapsAreCounted(t *testing.T) {
	for _, c := range []struct {
		after      time.Duration
		violations int
	}{{900 * time.Millisecond, 1}, {1200 * time.Millisecond, 1}, {1301 * time.Millisecond, 0}} {
		synctest.Test(t, func(t *testing.T) {
			registry := NewRunRegistry(zerolog.Nop())
			opts := WorkerOptions{
				Kinds:     map[structs.Kind]Program{assay: endless},
				StopDelay: 300 * time.Millisecond,
				Registry:  registry,
			}
			first, second := NewWorker(opts), NewWorker(opts)
			check(t, first.Start(t.Context(), assayTask(1, 1)), nil)
			time.Sleep(c.after)
			check(t, second.Start(t.Context(), assayTask(2, 1)), nil)
			synctest.Wait()
			if registry.Violations() != c.violations {
				t.Errorf("second start after %v: %d broken, want %d", c.after, registry.Violations(), c.violations)
			}
			check(t, first.Renew(t.Context(), 1, time.Hour), nil)
			first.Close()
			second.Close()
			check(t, first.Start(t.Context(), assayTask(3, 1)), infra.ErrUnavailable)
			if first.Violations() != 0 || first.Started() != 1 || len(registry.Running()) != 0 {
				t.Errorf("broken %d, started %d, running %v", first.Violations(), first.Started(), registry.Running())
			}
		})
	}
}

// Guards against a new agent that reports its instance free while a task of its
// killed predecessor still runs on the worker. Fence must not return before the
// slow task has stopped.
func TestFenceWaitsForSlowStops(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := NewWorker(WorkerOptions{Kinds: map[structs.Kind]Program{assay: endless}, StopDelay: 5 * time.Second})
		check(t, w.Start(t.Context(), assayTask(1, 1)), nil)
		for range 5 {
			time.Sleep(900 * time.Millisecond)
			check(t, w.Renew(t.Context(), 1, time.Second), nil)
		}
		shortCtx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		check(t, w.Fence(shortCtx, 2), infra.ErrUnknown)
		check(t, w.Start(t.Context(), assayTask(2, 1)), infra.ErrFenced)
		check(t, w.Start(t.Context(), assayTask(2, 2)), infra.ErrUnavailable)
		began := time.Now()
		check(t, w.Fence(t.Context(), 2), nil)
		if waited := time.Since(began); waited != 4*time.Second {
			t.Errorf("waited %v for the rest of a stop of 5s", waited)
		}
		check(t, w.Start(t.Context(), assayTask(2, 2)), nil)
		w.Close()
	})
}

func TestUsageLagsAndShowsThrottleAndSlowdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		work := func(ctx context.Context, t Task) ([]byte, error) {
			defer t.Save([]byte("half"), 0.5)
			return []byte("done"), t.Step(ctx, 1500*time.Millisecond)
		}
		w := NewWorker(WorkerOptions{
			Kinds:    map[structs.Kind]Program{assay: work},
			UsageLag: 2 * time.Second,
			Slowdown: func(structs.Kind) float64 { return 2 },
		})
		long := assayTask(1, 1)
		long.Lease = time.Hour
		time.Sleep(time.Second)
		check(t, w.Start(t.Context(), long), nil)
		time.Sleep(time.Second)
		check(t, w.Throttle(t.Context(), "job", 1, 0.5), nil)
		// After 1 s, half a second of the work is done; the rest runs at a
		// quarter of full speed: 5 s in all.
		time.Sleep(1999 * time.Millisecond)
		if early, _ := w.Usage(t.Context()); len(early) != 0 {
			t.Errorf("reports before their lag: %v", early)
		}
		time.Sleep(time.Hour)
		got, err := w.Usage(t.Context())
		check(t, err, nil)
		var want []infra.Usage
		for s := time.Duration(1); s < 6; s++ {
			u := infra.Usage{Job: "job", Epoch: 1, From: s * time.Second, To: (s + 1) * time.Second, MilliCores: 500, MemoryBytes: 7, Slowdown: 2}
			if s == 1 {
				u.MilliCores = 1000
			}
			want = append(want, u)
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Error(diff)
		}
		if rest, _ := w.Usage(t.Context()); len(rest) != 0 || len(w.unreported) != 0 {
			t.Errorf("reports returned twice: %v", rest)
		}
	})
}

func check(t *testing.T, got, want error) {
	t.Helper()
	if !errors.Is(got, want) {
		t.Errorf("got error %v, want %v", got, want)
	}
}
