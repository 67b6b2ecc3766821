package scheduler

import (
	"context"
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
)

// attempts is a store that answers only the last of so many attempts.
type attempts struct {
	rowstore.Store
	left int
	sent []rowstore.Txn
}

func (a *attempts) Apply(_ context.Context, t rowstore.Txn) (rowstore.Stamp, error) {
	a.sent = append(a.sent, t)
	if a.left--; a.left > 0 {
		return rowstore.Stamp{}, rowstore.ErrUnknown
	}
	return rowstore.Stamp{Version: 9, Now: time.Hour}, nil
}

// Failure guarded against: an attempt of a transaction that is still on its way changes
// with the next one, so that the lease row tells a later time of sending than its own.
func TestAttemptsOfATransactionAreSeparate(t *testing.T) {
	now := time.Hour
	term := loadedTerm(&now, workload.Queue{})
	store := &attempts{left: 3}
	term.deps.Store = store
	term.deps.Now = func() time.Duration { now += 100 * time.Millisecond; return now }
	if got := term.commit(nil); got != committed {
		t.Fatalf("result %v", got)
	}
	last := int64(0)
	for i, txn := range store.sent {
		var lease leaseRow
		if err := decode(rowstore.Row{Value: txn.Puts[0].Value}, &lease); err != nil {
			t.Fatal(err)
		}
		if lease.SentBy <= last {
			t.Errorf("attempt %d was sent by %d ms, the one before by %d", i, lease.SentBy, last)
		}
		last = lease.SentBy
	}
}
