package urgent

import (
	"context"
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/entry/retention"
	"persimmonrock.example/infra"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// A caller that repeats a call under its key within a day must get the first
// answer, but the table service must not hold each call's row forever. A row
// without an epoch, such as one written while the epoch was unknown, must be
// deleted a day after an epoch is added. The rows of a customer that another
// entry sweeps must stay.
func TestRecordsAreDeletedAfterRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.NewTable()
		epochs := retention.New(table, "calls", 24*time.Hour)
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		s := &fakePeers{answer: func(_ context.Context, _ int, r wire.CallRequest) (wire.CallReply, error) { return okReply(r) }}
		server := newServer(s, 1, false)
		defer server.Close()
		records := server.Records()
		records.table, records.group.table, records.epochs = table, table, epochs
		call(server, "r-0", "unknown-epoch")
		for _, key := range []string{structs.CallKey("kowhai", "old"), structs.CallKey("granite", "old")} {
			value, _ := json.Marshal(callRecord{State: callDone, Attempt: key})
			if _, err := table.Commit(ctx, infra.Txn{Op: key, Puts: []infra.Put{{Key: key, Value: value}}}); err != nil {
				t.Fatal(err)
			}
		}
		go epochs.Run(ctx)
		time.Sleep(time.Hour)
		for _, key := range []string{"a", "b", "c"} {
			call(server, "r-1", key)
		}
		go records.Sweep(ctx, func(c structs.Customer) bool { return c == "kowhai" })
		time.Sleep(24*time.Hour - time.Second)
		if answer, refused := call(server, "r-2", "b"); refused != nil || !answer.Replayed {
			t.Errorf("repeated within a day: %+v, %v", answer, refused)
		}
		if n := len(rowsOf(t, table)); n != 6 {
			t.Errorf("%d records within a day, want 6", n)
		}
		time.Sleep(18 * time.Hour)
		left := rowsOf(t, table)
		if len(left) != 1 || left[0] != structs.CallKey("granite", "old") {
			t.Errorf("left after 43 h: %q", left)
		}
		t.Logf("%d stamped, %d deleted", records.Stamped.Load(), records.Deleted.Load())
		if answer, refused := call(server, "r-3", "b"); refused != nil || answer.Replayed {
			t.Errorf("repeated after the retention: %+v, %v; want a new call", answer, refused)
		}
	})
}

// A key is used again while its record is deleted as expired. The new record
// must stay, or the next repeat runs the call again; and the other expired
// records must still be deleted.
func TestChangedRecordIsNotDeleted(t *testing.T) {
	table := memory.NewTable()
	records := newServer(&fakePeers{}, 1, false).Records()
	records.table = table
	put := func(key string) {
		if _, err := table.Commit(t.Context(), infra.Txn{Op: key, Puts: []infra.Put{{Key: structs.CallPrefix + key, Value: []byte("{}")}}}); err != nil {
			t.Fatal(err)
		}
	}
	put("kowhai/a")
	put("kowhai/b")
	rows, err := table.Scan(t.Context(), structs.CallPrefix, "", 9)
	if err != nil {
		t.Fatal(err)
	}
	put("kowhai/a")
	records.deleteExpired(t.Context(), rows)
	if left := rowsOf(t, table); len(left) != 1 || left[0] != "call/kowhai/a" {
		t.Errorf("left %q, want the changed one", left)
	}
}

func rowsOf(t *testing.T, table infra.Table) (keys []string) {
	rows, err := table.Scan(t.Context(), structs.CallPrefix, "", 100)
	if err != nil {
		t.Fatal(err)
	}
	for _, row := range rows {
		keys = append(keys, row.Key)
	}
	return keys
}
