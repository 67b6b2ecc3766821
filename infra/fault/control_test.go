package fault_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/fault"
	"persimmonrock.example/infra/memory"
)

func put(ctx context.Context, tab infra.Table, key string) error {
	_, err := tab.Commit(ctx, infra.Txn{Op: key, Puts: []infra.Put{{Key: key}}})
	return err
}

func want(t *testing.T, got, wanted error, label string) {
	t.Helper()
	if !errors.Is(got, wanted) {
		t.Errorf("%s: got error %v, want %v", label, got, wanted)
	}
}

// Two processes share a store; one is cut off from it, times out on a slow
// write, and is frozen. The other must see the store without faults, and the
// write that timed out must still take effect.
func TestFaultsAffectOneProcessOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inner := memory.NewTable()
		control := fault.NewControl(1)
		ours, theirs := fault.NewTable(inner, control), fault.NewTable(inner, fault.NewControl(2))

		control.Cut(true)
		want(t, put(t.Context(), ours, "cut"), infra.ErrUnavailable, "cut off")
		want(t, put(t.Context(), theirs, "theirs"), nil, "the other process")
		control.Cut(false)

		control.Set(fault.Plan{
			Slow:    1,
			Latency: fault.Exactly(time.Second),
			Match:   func(o fault.Operation) bool { return o.Method == "Commit" && o.Key == "slow" },
		})
		shortCtx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
		defer cancel()
		want(t, put(shortCtx, ours, "slow"), infra.ErrUnknown, "timed out")
		want(t, put(t.Context(), ours, "fast"), nil, "not matched")
		if inner.Len() != 2 || control.Pending() != 1 {
			t.Errorf("%d rows, %d pending before the slow write took effect", inner.Len(), control.Pending())
		}
		control.Wait()
		_, err := theirs.Get(t.Context(), "slow")
		want(t, err, nil, "slow write after its latency")

		control.Set(fault.Plan{Timeout: 1, AnswerTimeout: fault.Exactly(time.Minute)})
		_, err = ours.Get(t.Context(), "slow")
		want(t, err, infra.ErrUnavailable, "read that times out")
		control.Heal()

		control.Freeze()
		began := time.Now()
		time.AfterFunc(time.Hour, control.Unfreeze)
		endedCtx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		want(t, put(endedCtx, ours, "frozen"), infra.ErrUnavailable, "sent after the context ended")
		if frozen := time.Since(began); frozen != time.Hour {
			t.Errorf("a frozen process continued after %v", frozen)
		}
		if got := control.Counts(); got != (fault.Counts{Calls: 5, Down: 1, TimedOut: 1, Applied: 1, Slowed: 1}) {
			t.Errorf("counts: %+v", got)
		}
	})
}

// Faults depend on the seed alone: the same seed gives the same faults.
func TestSameSeedGivesSameFaults(t *testing.T) {
	run := func() (seen []error, counts fault.Counts) {
		control := fault.NewControl(7)
		control.Set(fault.Plan{Down: 0.25, Timeout: 0.25, LoseAnswer: 0.25})
		objects := fault.NewObjects(memory.NewObjects(), control)
		for range 400 {
			seen = append(seen, objects.Put(t.Context(), "key", nil))
		}
		return seen, control.Counts()
	}
	first, counts := run()
	second, _ := run()
	for i := range first {
		if errors.Is(first[i], infra.ErrUnknown) != errors.Is(second[i], infra.ErrUnknown) || (first[i] == nil) != (second[i] == nil) {
			t.Fatalf("request %d: %v, then %v", i, first[i], second[i])
		}
	}
	for _, n := range []uint64{counts.Down, counts.TimedOut, counts.AnswersLost} {
		if n < 70 || n > 130 {
			t.Errorf("a fault far from its quarter of 400 requests: %+v", counts)
		}
	}
}
