package retention

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
)

// Five entries start at different times and run for two days. A row must exist
// for a whole day before it may be deleted, or a call that is repeated within the
// day runs a second time. The row must be deleted eventually.
func TestStampedRowIsKeptForRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const day = 24 * time.Hour
		table := memory.NewTable()
		ctx, stop := context.WithCancel(t.Context())
		defer stop()
		counters := make([]*Counter, 5)
		for i := range counters {
			counters[i] = New(table, "calls", day)
			go counters[i].Run(ctx)
			time.Sleep(7 * time.Minute)
		}
		written := time.Now()
		epoch, ok := counters[0].Epoch()
		if !ok {
			t.Fatal("epoch unknown after half an hour")
		}
		for time.Since(written) < day {
			time.Sleep(29 * time.Minute)
			for i, c := range counters {
				if c.Expired(epoch) && time.Since(written) < day {
					t.Fatalf("entry %d would delete a row after %s", i, time.Since(written))
				}
			}
		}
		time.Sleep(day)
		if !counters[3].Expired(epoch) || counters[3].Expired(0) {
			t.Error("a row written two days ago is kept, or one without a stamp is deleted")
		}
	})
}

// An entry is cut off from the table service while others advance the epoch.
// Rows stamped with the last epoch read would be deleted too early: at once, if
// the last read was a day ago. So the entry must stamp no row after a period
// without a read.
func TestNoEpochFromStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.NewTable()
		c := New(table, "calls", 24*time.Hour)
		if _, ok := c.Epoch(); ok {
			t.Error("epoch known before the first read")
		}
		for range 2 {
			if err := c.poll(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if e, ok := c.Epoch(); !ok || e != 1 {
			t.Errorf("got %d, %t; want epoch 1", e, ok)
		}
		time.Sleep(time.Hour + time.Second)
		if _, ok := c.Epoch(); ok {
			t.Error("epoch known more than a period after the last read")
		}
		if c.Expired(structs.RetentionEpoch(1)) {
			t.Error("a row of the current epoch is expired")
		}
	})
}
