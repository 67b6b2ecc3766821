package configuration

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/configtable"
	"persimmonrock.example/infra/fault"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// rig is one follower, its link to the table service, and one entry.
type rig struct {
	t      *testing.T
	table  *memory.Table
	faults *fault.Control
	// entryReply is the entry's answer; with nil the entry can't be reached.
	entryReply atomic.Pointer[wire.ConfigReply]
	*Follower
	applied []structs.Config
}

func newRig(t *testing.T) *rig {
	r := &rig{t: t, table: memory.NewTable(), faults: fault.NewControl(1)}
	ask := func(context.Context, structs.Revision) (wire.ConfigReply, error) {
		if reply := r.entryReply.Load(); reply != nil {
			return *reply, nil
		}
		return wire.ConfigReply{}, errors.New("cut")
	}
	apply := func(c structs.Config) bool {
		higher := len(r.applied) == 0 || c.Revision > r.applied[len(r.applied)-1].Revision
		r.applied = append(r.applied, c)
		return higher
	}
	r.Follower = New(fault.NewTable(r.table, r.faults), ask, apply, func(what string) { t.Error(what) })
	return r
}

func (r *rig) run() {
	ctx, cancel := context.WithCancel(r.t.Context())
	done := make(chan struct{})
	go func() { r.Run(ctx); close(done) }()
	r.t.Cleanup(func() { r.faults.Heal(); cancel(); <-done })
}

// change commits one change, as an entry does, and returns its revision.
func (r *rig) change(c structs.Customer, share float64) structs.Revision {
	r.t.Helper()
	row, version, err := configtable.ReadRevision(r.t.Context(), r.table)
	if err != nil {
		r.t.Fatal(err)
	}
	next := row.Next(configtable.Change{Customer: c, Removed: share == 0})
	txn := infra.Txn{Op: fmt.Sprint(next.Revision), Conds: []infra.Cond{{Key: structs.RevisionKey, Version: version}},
		Puts: []infra.Put{{Key: structs.RevisionKey, Value: encode(next)}}}
	if share == 0 {
		txn.Deletes = []string{structs.ContractKey(c)}
	} else {
		txn.Puts = append(txn.Puts, infra.Put{Key: structs.ContractKey(c), Value: encode(structs.Contract{Customer: c, Share: share, Revision: next.Revision})})
	}
	if _, err := r.table.Commit(r.t.Context(), txn); err != nil {
		r.t.Fatal(err)
	}
	return next.Revision
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

func (r *rig) want(revision structs.Revision, c structs.Customer, share float64) {
	r.t.Helper()
	if held := r.inForce(); held.Revision != revision || held.Contracts[c].Share != share {
		r.t.Errorf("in force: revision %d, share of %s %v; want %d, %v", held.Revision, c, held.Contracts[c].Share, revision, share)
	}
}

// inForceWithin bounds the time until a change is in force.
const inForceWithin = 13 * time.Second

// An operator changes a contract while one agent can't reach the table service.
// The agent asks an entry, which sends the change; otherwise the customer would
// keep the old share on that instance. If no entry answers, the agent reads the
// change once the table service answers again.
func TestAgentCutOffFromTheTable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first := r.change("kowhai", 0.1)
		r.run()
		time.Sleep(time.Second)
		r.want(first, "kowhai", 0.1)
		r.faults.Cut(true)
		second := r.change("kowhai", 0.2)
		r.entryReply.Store(&wire.ConfigReply{Revision: second, Change: &structs.ConfigChange{From: first, Revision: second,
			Contracts: []structs.Contract{{Customer: "kowhai", Share: 0.2, Revision: second}}}})
		time.Sleep(inForceWithin)
		r.want(second, "kowhai", 0.2)
		if r.Wants() != wire.WantChange {
			t.Error("entries are not asked for changes with heartbeats")
		}
		r.entryReply.Store(nil)
		third := r.change("kowhai", 0)
		time.Sleep(time.Minute)
		r.want(second, "kowhai", 0.2)
		r.faults.Cut(false)
		time.Sleep(inForceWithin)
		r.want(third, "kowhai", 0)
		if r.Wants() != wire.WantOnlyChange {
			t.Error("entries still send whole configurations")
		}
	})
}

// An agent is frozen between reading the revision and reading the contract;
// three versions are accepted before it resumes. The row read before the pause
// is then old, and the row read after it is of another revision. The agent must
// put the last version into force, and no mix.
func TestAgentFrozenThroughThreeVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first := r.change("kowhai", 0.1)
		r.run()
		time.Sleep(time.Second)
		r.faults.Set(fault.Plan{Slow: 1, Latency: fault.Exactly(100 * time.Millisecond)})
		second := r.change("kowhai", 0.2)
		for r.Reads.Load() == 1 {
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		r.faults.Freeze()
		r.faults.Set(fault.Plan{})
		var last structs.Revision
		for _, share := range []float64{0.3, 0.4, 0.5} {
			time.Sleep(20 * time.Second)
			last = r.change("kowhai", share)
		}
		r.want(first, "kowhai", 0.1)
		r.faults.Unfreeze()
		time.Sleep(inForceWithin)
		r.want(last, "kowhai", 0.5)
		if slices.ContainsFunc(r.applied, func(c structs.Config) bool { return c.Revision == second && c.Contracts["kowhai"].Share != 0.2 }) {
			t.Errorf("a mix of revisions was in force: %v", r.applied)
		}
	})
}

// An agent starts while the table service is down. It has no contract until an
// entry sends it the whole configuration; later it follows the table service.
func TestStartWhileTheTableIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first := r.change("kowhai", 0.1)
		r.faults.Cut(true)
		r.run()
		time.Sleep(inForceWithin)
		r.want(0, "kowhai", 0)
		r.entryReply.Store(&wire.ConfigReply{Revision: first, Config: &structs.Config{Revision: first,
			Contracts: map[structs.Customer]structs.Contract{"kowhai": {Customer: "kowhai", Share: 0.1, Revision: first}}}})
		time.Sleep(inForceWithin)
		r.want(first, "kowhai", 0.1)
		r.faults.Cut(false)
		second := r.change("granite-notch", 0.3)
		time.Sleep(inForceWithin)
		r.want(second, "granite-notch", 0.3)
		r.want(second, "kowhai", 0.1)
	})
}

// Two entries answer one agent's heartbeats. The answer of the first was made
// before a change and arrives after that of the second. Then changes arrive
// that start at a revision which the agent doesn't have, or lead to an older
// one. The contracts in force must stay. The agent must read soon after a newer
// revision was named.
func TestLateAndUnfitChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t)
		first := r.change("kowhai", 0.1)
		r.run()
		time.Sleep(time.Second)
		older := r.inForce()
		second := r.change("kowhai", 0.2)
		time.Sleep(inForceWithin)
		r.Receive(&older, nil)
		r.Receive(nil, &structs.ConfigChange{From: first, Revision: second, Removed: []structs.Customer{"kowhai"}})
		r.Receive(nil, &structs.ConfigChange{From: second, Revision: first, Removed: []structs.Customer{"kowhai"}})
		r.want(second, "kowhai", 0.2)
		r.change("kowhai", 0.3)
		fourth := r.change("granite-notch", 0.4)
		r.Receive(nil, &structs.ConfigChange{From: fourth - 1, Revision: fourth, Removed: []structs.Customer{"kowhai"}})
		r.want(second, "kowhai", 0.2)
		time.Sleep(wakeJitter)
		r.want(fourth, "kowhai", 0.3)
		if r.Older.Load() != 1 || r.Unfit.Load() != 3 {
			t.Errorf("%d older, %d unfit; want 1, 3", r.Older.Load(), r.Unfit.Load())
		}
	})
}
