package retention

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
)

// Five entries run for two days and are restarted at odd times. A row must
// stand for a whole day before it may be deleted, or a caller that repeats a
// claim within the day lodges it a second time; and it must go some day.
func TestStampedRowStandsForTheWholeTime(t *testing.T) {
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
			t.Fatal("no epoch after half an hour")
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
			t.Error("a row of two days ago is kept, or one without a stamp deleted")
		}
	})
}

// An entry is cut off from the table service for a day while others go on. What
// it stamps with the epoch that it last saw would be deleted at once, so it
// stamps nothing until it has read the count again.
func TestNoStampFromAnOldView(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.NewTable()
		c := New(table, "calls", 24*time.Hour)
		if _, ok := c.Epoch(); ok {
			t.Error("a stamp before the first reading")
		}
		for range 2 {
			if err := c.step(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		if e, ok := c.Epoch(); !ok || e != 1 {
			t.Errorf("got %d, %t; want epoch 1", e, ok)
		}
		time.Sleep(time.Hour + time.Second)
		if _, ok := c.Epoch(); ok {
			t.Error("a stamp from a view of more than a period ago")
		}
		if c.Expired(structs.RetentionEpoch(1)) {
			t.Error("a row of the present epoch is expired")
		}
	})
}
