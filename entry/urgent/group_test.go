package urgent

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/fault"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
)

type writeResult struct {
	key     string
	value   []byte
	version uint64
	err     error
}

// check compares a writer's result with the row after all writes have ended.
func (e writeResult) check(t *testing.T, name string, table infra.Table) {
	row, err := table.Get(context.Background(), e.key)
	if err != nil && !errors.Is(err, infra.ErrNotFound) {
		t.Fatal(err)
	}
	wasWritten := bytes.Equal(row.Value, e.value)
	var conflict *infra.ConflictError
	switch {
	case e.err == nil && (!wasWritten || row.Version != e.version):
		t.Errorf("%s: %s was reported as written at version %d, the row is %q at %d", name, e.key, e.version, row.Value, row.Version)
	case errors.As(e.err, &conflict) && conflict.Current.Key != e.key:
		t.Errorf("%s: %s got the conflict of %s", name, e.key, conflict.Current.Key)
	case (errors.As(e.err, &conflict) || errors.Is(e.err, infra.ErrUnavailable)) && wasWritten:
		t.Errorf("%s: %s was reported as not written (%v), but it is", name, e.key, e.err)
	}
}

// Records of several callers are written to the table service in one
// transaction. One key was used before, the answer is lost, or the write takes
// effect long after its time-out: each caller must receive the outcome of its
// own record. After a wrong "not written" a call can run twice, after a wrong
// "written" a repeat is refused for good.
func TestGroupedRecordsHaveSeparateOutcomes(t *testing.T) {
	errorCounts := make(map[string]int)
	for seed := range uint64(300) {
		synctest.Test(t, func(t *testing.T) {
			inner := memory.NewTable()
			control := fault.NewControl(seed)
			lifetime, stop := context.WithCancel(t.Context())
			defer stop()
			g := newGroupWriter(lifetime, fault.NewTable(inner, control))
			random := rand.New(rand.NewPCG(seed, 1))
			if random.IntN(2) == 0 {
				used := structs.CallKey("kowhai", "key-2")
				if _, err := inner.Commit(lifetime, infra.Txn{Op: "other", Puts: []infra.Put{{Key: used, Value: []byte("other")}}}); err != nil {
					t.Fatal(err)
				}
			}
			control.Set(fault.Plan{Down: 0.1, Timeout: 0.1, LoseAnswer: 0.2, Delay: 0.2, Slow: 0.5,
				Latency:       fault.Range{Min: time.Millisecond, Max: 300 * time.Millisecond},
				AnswerTimeout: fault.Range{Min: 10 * time.Millisecond, Max: 500 * time.Millisecond},
				ApplyDelay:    fault.Range{Min: time.Millisecond, Max: 3 * time.Second}})
			results := make([]writeResult, 8)
			var all sync.WaitGroup
			for i := range results {
				e := &results[i]
				e.key, e.value = structs.CallKey("kowhai", fmt.Sprint("key-", i)), []byte(fmt.Sprint("value-", i))
				delay := time.Duration(random.Int64N(int64(6 * time.Millisecond)))
				all.Go(func() {
					time.Sleep(delay)
					ctx, cancel := context.WithTimeout(lifetime, writeTimeout)
					defer cancel()
					e.version, e.err = g.write(ctx, infra.Cond{Key: e.key}, e.value, i%2 == 1)
				})
			}
			all.Wait()
			control.Heal()
			time.Sleep(10 * time.Second)
			for _, e := range results {
				e.check(t, fmt.Sprint("seed ", seed), inner)
				errorCounts[fmt.Sprintf("%T", e.err)]++
			}
		})
	}
	t.Logf("errors returned to writers: %v", errorCounts)
}

// Eight records are written together, one key was used before, and one fault
// hits the transaction. The seven others must be written within the second that
// their callers wait: a repeat of one key must not fail other customers' calls.
func TestGroupCommitWithOneFault(t *testing.T) {
	for _, f := range []fault.Fault{fault.None, fault.Timeout, fault.LoseAnswer, fault.Delay} {
		synctest.Test(t, func(t *testing.T) {
			inner := memory.NewTable()
			control := fault.NewControl(1)
			control.Set(fault.Plan{AnswerTimeout: fault.Exactly(100 * time.Millisecond), ApplyDelay: fault.Exactly(200 * time.Millisecond)})
			control.Next(f)
			lifetime, stop := context.WithCancel(t.Context())
			defer stop()
			g := newGroupWriter(lifetime, fault.NewTable(inner, control))
			if _, err := inner.Commit(lifetime, infra.Txn{Op: "other", Puts: []infra.Put{{Key: "call/kowhai/2", Value: []byte("other")}}}); err != nil {
				t.Fatal(err)
			}
			var group []*recordWrite
			ctx, cancel := context.WithTimeout(lifetime, writeTimeout)
			defer cancel()
			for i := range 8 {
				key := fmt.Sprint("call/kowhai/", i)
				group = append(group, &recordWrite{ctx: ctx, cond: infra.Cond{Key: key}, value: []byte(key), done: make(chan writeOutcome, 1)})
			}
			g.commit(group)
			for i, w := range group {
				o := <-w.done
				writeResult{w.cond.Key, w.value, o.version, o.err}.check(t, string(f), inner)
				if (o.err != nil) != (i == 2) {
					t.Errorf("%q: record %d: %v", f, i, o.err)
				}
			}
			time.Sleep(time.Second)
		})
	}
}

// measureWrites makes keyed calls of 20 ms with a table service that takes 3 ms,
// and returns the transactions per call and quantiles of Begin's duration.
func measureWrites(t *testing.T, rate int) (writes float64, p50, p99 time.Duration) {
	const calls = 1500
	synctest.Test(t, func(t *testing.T) {
		control := fault.NewControl(1)
		control.Set(fault.Plan{Slow: 1, Latency: fault.Exactly(3 * time.Millisecond)})
		r := NewRecords(fault.NewTable(memory.NewTable(), control), nil, structs.NoEvents{}, zerolog.Nop())
		defer r.Close()
		random := rand.New(rand.NewPCG(1, 1))
		var mu sync.Mutex
		var took []time.Duration
		var all sync.WaitGroup
		for i := range calls {
			all.Go(func() {
				began := time.Now()
				claim, _, _ := r.Begin(context.Background(), Request{Contract: structs.Contract{Customer: "kowhai"}, Key: fmt.Sprint(i)})
				mu.Lock()
				took = append(took, time.Since(began))
				mu.Unlock()
				time.Sleep(20 * time.Millisecond)
				r.Finish(claim, Answer{Status: 200})
			})
			time.Sleep(time.Duration(random.ExpFloat64() * float64(time.Second) / float64(rate)))
		}
		all.Wait()
		_ = r.Wait(context.Background())
		slices.Sort(took)
		writes, p50, p99 = float64(r.group.Transactions.Load())/calls, took[calls/2], took[calls*99/100]
	})
	return writes, p50, p99
}

// At the planned size, two writes per keyed call would use most of the table
// service's capacity. So calls must share transactions, without a long wait.
func TestWritesOfKeyedCalls(t *testing.T) {
	for _, rate := range []int{1, 30, 150} {
		writes, p50, p99 := measureWrites(t, rate)
		t.Logf("%d calls/s: %.2f writes a call, Begin p50 %s, p99 %s; a single write takes 3ms", rate, writes, p50, p99)
		if rate >= 30 && writes > 1.3 || p99 > 3*time.Millisecond+promptDelay {
			t.Errorf("%d calls/s: %.2f writes a call, p99 %s", rate, writes, p99)
		}
	}
}
