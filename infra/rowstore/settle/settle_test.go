package settle

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/rowstore/memstore"
)

var key = rowstore.Key{Table: "t", Part: "p", Key: "k"}

// txn writes value if the row has the version.
func txn(version uint64, value string) rowstore.Txn {
	return rowstore.Txn{
		Conds: []rowstore.Cond{{Key: key, Version: version}},
		Puts:  []rowstore.Put{{Key: key, Value: []byte(value)}},
	}
}

// runCase runs test over a store whose usual answer times are known.
func runCase(t *testing.T, test func(t *testing.T, faulty *memstore.Store, s *Store, version uint64)) {
	synctest.Test(t, func(t *testing.T) {
		faulty := memstore.New(1)
		s := New(faulty.Client("c"))
		version := uint64(0)
		for range 20 {
			at, err := s.Apply(t.Context(), txn(version, "before"))
			if err != nil {
				t.Fatal(err)
			}
			version = at.Version
		}
		test(t, faulty, s, version)
		time.Sleep(time.Minute)
	})
}

// The transaction is executed and its answer is lost: the caller receives a
// conflict with the row's value long before the time-out.
func TestLostAnswerIsFoundByRead(t *testing.T) {
	runCase(t, func(t *testing.T, faulty *memstore.Store, s *Store, version uint64) {
		faulty.SetLost(1, false)
		begun := time.Now()
		_, err := s.Apply(t.Context(), txn(version, "mine"))
		var conflict *rowstore.ConflictError
		if !errors.As(err, &conflict) || string(conflict.Find(key).Value) != "mine" {
			t.Errorf("answer %v", err)
		}
		if took := time.Since(begun); took > 2*minTimeout {
			t.Errorf("after %v", took)
		}
	})
}

// The transaction is delayed and would be applied seconds later: another
// attempt takes effect, and the delayed transaction doesn't.
func TestRepeatOvertakesLateTransaction(t *testing.T) {
	runCase(t, func(t *testing.T, faulty *memstore.Store, s *Store, version uint64) {
		faulty.SetLost(1, true)
		time.AfterFunc(minTimeout, func() { faulty.SetLost(0, false) })
		begun := time.Now()
		at, err := s.Apply(t.Context(), txn(version, "mine"))
		if err != nil || at.Version == version {
			t.Fatalf("%+v, %v", at, err)
		}
		if took := time.Since(begun); took > 2*minTimeout {
			t.Errorf("after %v", took)
		}
		time.Sleep(10 * time.Second)
		if row, err := rowstore.Get(t.Context(), s, key); err != nil || row.Version != at.Version {
			t.Errorf("the row has version %d later, not %d: %v", row.Version, at.Version, err)
		}
	})
}

// Guards against: a slow store gets several times the load. It came about when
// each missing answer counted as lost and led to another attempt.
func TestSlowStoreGetsNoSecondAttempt(t *testing.T) {
	runCase(t, func(t *testing.T, faulty *memstore.Store, s *Store, version uint64) {
		faulty.SetSlow(60)
		_, before := faulty.Calls()
		if _, err := s.Apply(t.Context(), txn(version, "mine")); err != nil {
			t.Fatal(err)
		}
		if _, after := faulty.Calls(); after != before+1 {
			t.Errorf("%d attempts", after-before)
		}
	})
}

// Guards against a cancelled call that reports that nothing was done although
// an attempt is in flight.
func TestCancelledCallHasUnknownOutcome(t *testing.T) {
	runCase(t, func(t *testing.T, faulty *memstore.Store, s *Store, version uint64) {
		faulty.SetSlow(60)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
		defer cancel()
		if _, err := s.Apply(ctx, txn(version, "mine")); !errors.Is(err, rowstore.ErrUnknown) {
			t.Errorf("answer %v", err)
		}
	})
}

// The store refuses all calls: the refusal, which proves that nothing was done,
// is returned without delay.
func TestRefusalIsReturnedAtOnce(t *testing.T) {
	runCase(t, func(t *testing.T, faulty *memstore.Store, s *Store, version uint64) {
		faulty.SetFault("", memstore.Refused)
		begun := time.Now()
		if _, err := s.Apply(t.Context(), txn(version, "mine")); !errors.Is(err, rowstore.ErrUnavailable) {
			t.Errorf("answer %v", err)
		}
		if took := time.Since(begun); took > minTimeout {
			t.Errorf("after %v", took)
		}
	})
}

// lateAnswers is a store that executes a transaction at once and answers late.
type lateAnswers struct{ rowstore.Store }

const answerDelay = 300 * time.Millisecond

func (s lateAnswers) Apply(ctx context.Context, t rowstore.Txn) (rowstore.Stamp, error) {
	at, err := s.Store.Apply(ctx, t)
	time.Sleep(answerDelay)
	return at, err
}

// Guards against a scheduler that waits for the answers of a slow store, each of
// which arrives long after its transaction was executed.
func TestChangeOfTheRowArrivesBeforeTheAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := New(lateAnswers{memstore.New(1).Client("c")})
		at, err := s.Apply(t.Context(), txn(0, "before"))
		if err != nil {
			t.Fatal(err)
		}
		version := at.Version
		for n := range 10 {
			begun := time.Now()
			_, err := s.Apply(t.Context(), txn(version, "mine"))
			var conflict *rowstore.ConflictError
			if !errors.As(err, &conflict) || string(conflict.Find(key).Value) != "mine" {
				t.Fatalf("transaction %d: %v", n, err)
			}
			if took := time.Since(begun); took > 2*followAfter {
				t.Errorf("transaction %d was known after %v", n, took)
			}
			version = conflict.Find(key).Version
		}
		time.Sleep(time.Minute)
	})
}
