package lease

import (
	"context"
	"errors"
	"testing"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/infra/rowstore/oddvalue"
	"persimmonrock.example/structs"
)

// fence refuses holders below the highest one, as a worker does.
type fence struct{ highest structs.Incarnation }

func (f *fence) Fence(_ context.Context, h structs.Incarnation) error {
	if h < f.highest {
		return errors.New("fenced by a later holder")
	}
	f.highest = h
	return nil
}

// Failure guarded against: an instance never takes its lease again once another writer
// has replaced the row, or takes it with an incarnation that was used before.
func TestLeaseIsTakenAfterAnOddRow(t *testing.T) {
	const instance, taken = "i-1", 5
	odd := append(oddvalue.Whole(),
		oddvalue.Value{Name: "the row of another instance", Text: []byte(`{"instance":"i-2","incarnation":1}`)},
		oddvalue.Value{Name: "the largest incarnation", Text: []byte(`{"instance":"i-1","incarnation":18446744073709551615}`)})
	for _, v := range odd {
		for _, restarted := range []bool{false, true} {
			table, worker := memory.NewTable(), &fence{}
			config := Config{Instance: instance, Length: time.Minute, Timeout: time.Second}
			k := New(config, table, worker)
			for range taken {
				k = New(config, table, worker)
				if err := k.takeOrRenew(t.Context()); err != nil {
					t.Fatal(err)
				}
			}
			key := structs.AgentLeaseKey(instance)
			if _, err := table.Commit(t.Context(), infra.Txn{Op: "odd", Puts: []infra.Put{{Key: key, Value: v.Text}}}); err != nil {
				t.Fatal(err)
			}
			if restarted {
				k = New(config, table, worker)
			}
			if err := k.takeOrRenew(t.Context()); err != nil {
				t.Errorf("%s: %v", v.Name, err)
				continue
			}
			if held, left := k.Held(time.Now()); held <= taken || left <= 0 {
				t.Errorf("%s: incarnation %d held for %v after %d were used", v.Name, held, left, taken)
			}
			if err := New(config, table, worker).takeOrRenew(t.Context()); err != nil {
				t.Errorf("%s: the next process: %v", v.Name, err)
			}
		}
	}
}
