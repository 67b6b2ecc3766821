package agent

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/configtable"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// accept writes a customer's contract as the next revision.
func (r *rig) accept(c structs.Customer, share float64) structs.Revision {
	r.t.Helper()
	row, _, err := configtable.ReadRevision(r.t.Context(), r.store)
	if err != nil {
		r.t.Fatal(err)
	}
	next := row.Next(configtable.Change{Customer: c})
	value, _ := json.Marshal(next)
	contract, _ := json.Marshal(structs.Contract{Customer: c, Share: share, Revision: next.Revision})
	puts := []infra.Put{{Key: structs.RevisionKey, Value: value}, {Key: structs.ContractKey(c), Value: contract}}
	if _, err := r.store.Commit(r.t.Context(), infra.Txn{Op: "accept", Puts: puts}); err != nil {
		r.t.Fatal(err)
	}
	return next.Revision
}

// An operator changes a contract in a deployment so large that heartbeats are
// minutes apart. The change must be in force at the agent within 13 s; if a
// call names a revision that the agent doesn't have, within 2 s.
func TestChangeIsInForceBetweenHeartbeats(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, t.Context())
		r.entry.config, r.entry.next = nil, maxInterval
		first := r.accept("kowhai", 0.1)
		a, stop := r.agent()
		defer stop()
		want := func(revision structs.Revision, within time.Duration) {
			t.Helper()
			time.Sleep(within)
			if got := a.ledger.Revision(); got != revision {
				t.Errorf("revision %d after %s, want the accepted %d", got, within, revision)
			}
		}
		want(first, time.Second)
		hellos := a.counters.hellos.Load()
		want(r.accept("kowhai", 0.2), 13*time.Second)
		third := r.accept("kowhai", 0.3)
		var reply wire.CallReply
		_ = a.RPC().Call(wire.CallRequest{Request: "c1", Customer: "kowhai", Service: "assay-check", Budget: time.Millisecond, Revision: third}, &reply)
		want(third, 2*time.Second)
		if more := a.counters.hellos.Load() - hellos; more > 2 {
			t.Errorf("%d heartbeats meanwhile: the changes may have arrived with them", more)
		}
		if a.ledger.Counters().InvariantBroken != 0 {
			t.Error("an invariant is broken")
		}
	})
}
