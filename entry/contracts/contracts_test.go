package contracts

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/fault"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
)

// node is one entry's store with its own fault injection.
type node struct {
	*Store
	faults *fault.Control
}

func newNode(table infra.Table, peers Peers, seed uint64) *node {
	c := fault.NewControl(seed)
	return &node{New(fault.NewTable(table, c), peers, structs.NoEvents{}, zerolog.Nop(), Options{}), c}
}

func change(customer string, share float64, match structs.Revision, operation string) Change {
	c := structs.Contract{Customer: structs.Customer(customer), LatencyTarget: structs.Duration(time.Second), Share: share}
	return Change{Customer: c.Customer, Contract: &c, IfMatch: match, Operation: operation}
}

func mustApply(t *testing.T, n *node, c Change) structs.Revision {
	t.Helper()
	r, refused := n.Apply(t.Context(), c)
	if refused != nil {
		t.Fatal(refused)
	}
	return r
}

// Two operators read the same contract, and each sends a change conditional on
// the revision that was read. One change must be accepted and the other refused
// with the contract's new revision.
func TestTwoOperatorsRace(t *testing.T) {
	table := memory.NewTable()
	a, b := newNode(table, nil, 1), newNode(table, nil, 2)
	read := mustApply(t, a, change("kowhai", 0.5, NoContract, "create"))
	won := mustApply(t, a, change("kowhai", 0.6, read, "first"))
	_, refused := b.Apply(t.Context(), change("kowhai", 0.7, read, "second"))
	if refused == nil || refused.Type != structs.RefusedPrecondition || refused.Outcome != structs.NotRun {
		t.Fatalf("second operator: %v", refused)
	}
	b.Confirm(t.Context())
	if c, _ := b.Contract("kowhai"); c.Share != 0.6 || c.Revision != won {
		t.Errorf("in force: %+v", c)
	}
}

// A change is accepted, but its answer is lost. The operator repeats the change
// through another entry, after a third operator's change. The repeat must
// return the first result and change nothing.
func TestRepeatAfterLostAnswerHasOneResult(t *testing.T) {
	table := memory.NewTable()
	a, b := newNode(table, nil, 1), newNode(table, nil, 2)
	a.faults.Set(fault.Plan{LoseAnswer: 1, AnswerTimeout: fault.Exactly(time.Millisecond), Match: func(o fault.Operation) bool { return o.Write }})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, refused := a.Apply(ctx, change("kowhai", 0.5, NoContract, "op-1"))
	if refused == nil || refused.Outcome != structs.Unknown {
		t.Fatalf("lost answer: %v", refused)
	}
	later := mustApply(t, b, change("kowhai", 0.9, AnyRevision, "op-2"))
	repeated := mustApply(t, b, change("kowhai", 0.5, NoContract, "op-1"))
	if repeated != later-1 {
		t.Errorf("repeat has revision %d, the later change %d", repeated, later)
	}
	if c, _ := b.Contract("kowhai"); c.Share != 0.9 {
		t.Errorf("share in force is %v: the repeat took effect twice", c.Share)
	}
}

// A change takes effect, but its answer is lost. Before the entry repeats the
// write, another entry accepts a second change, which rewrites rows of the
// first. The write's rows then no longer show its outcome. The first operator
// must still get the revision of the first change, and the second change must
// stay in force.
func TestSupersededChangeIsDecided(t *testing.T) {
	for name, customer := range map[string]string{"same customer": "kowhai", "another customer": "granite-notch"} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				table := memory.NewTable()
				a, b := newNode(table, nil, 1), newNode(table, nil, 2)
				created := mustApply(t, a, change("kowhai", 0.1, NoContract, "create"))
				a.faults.Set(fault.Plan{LoseAnswer: 1, AnswerTimeout: fault.Exactly(time.Millisecond), Match: func(o fault.Operation) bool { return o.Write }})
				var later structs.Revision
				var wait sync.WaitGroup
				wait.Go(func() {
					time.Sleep(2 * time.Millisecond)
					a.faults.Heal()
					later = mustApply(t, b, change(customer, 0.9, AnyRevision, "later"))
				})
				first := mustApply(t, a, change("kowhai", 0.5, created, "first"))
				wait.Wait()
				if first != created+1 || later != first+1 {
					t.Errorf("created at %d, changed at %d, then at %d", created, first, later)
				}
				b.Confirm(t.Context())
				if c, _ := b.Contract(structs.Customer(customer)); c.Share != 0.9 || c.Revision != later {
					t.Errorf("in force: %+v", c)
				}
			})
		})
	}
}

// Two operators assign one key to two customers through two entries. The second
// entry has not received the first contract yet. It must still refuse the
// second contract and change nothing.
func TestKeyBelongsToOneCustomer(t *testing.T) {
	table := memory.NewTable()
	a, b := newNode(table, nil, 1), newNode(table, nil, 2)
	b.Confirm(t.Context())
	for i, n := range []*node{a, b} {
		c := change([]string{"kowhai", "granite-notch"}[i], 0.5, NoContract, "give")
		c.Contract.KeyHashes = []string{"shared"}
		_, refused := n.Apply(t.Context(), c)
		if rejected := refused != nil && refused.Type == structs.RefusedBadRequest && refused.Outcome == structs.NotRun; rejected != (i == 1) {
			t.Errorf("operator %d: %v", i, refused)
		}
	}
}

// A process is paused for a minute while three changes are accepted. Its first
// request afterwards must see the third change, even before the next poll.
func TestPausedProcessConfirmsBeforeItServes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.NewTable()
		paused, other := newNode(table, nil, 1), newNode(table, nil, 2)
		mustApply(t, other, change("kowhai", 0.1, NoContract, "0"))
		paused.Confirm(t.Context())
		time.Sleep(time.Minute)
		for i, share := range []float64{0.2, 0.3, 0.4} {
			mustApply(t, other, change("kowhai", share, AnyRevision, fmt.Sprint(i+1)))
		}
		if refused := paused.Serve(t.Context()); refused != nil {
			t.Fatal(refused)
		}
		if c, _ := paused.Contract("kowhai"); c.Share != 0.4 {
			t.Errorf("served under share %v, want the accepted 0.4", c.Share)
		}
	})
}

// fixedPeers implements Peers with one configuration, or none.
type fixedPeers struct{ config *structs.Config }

func (p fixedPeers) NewerConfig(_ context.Context, held structs.Config) *structs.Config {
	if p.config != nil && p.config.Revision > held.Revision {
		return p.config
	}
	return nil
}

// An entry starts while the table service is down. Until another entry sends
// its configuration, the started entry must refuse callers with proof that
// nothing ran. An entry that knows of a newer revision must refuse them, too.
func TestStartDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := memory.NewTable()
		running := newNode(table, nil, 1)
		mustApply(t, running, change("kowhai", 0.5, NoContract, "0"))
		alone := newNode(table, fixedPeers{}, 2)
		alone.faults.Cut(true)
		if refused := alone.Serve(t.Context()); refused == nil || refused.Outcome != structs.NotRun || refused.RetryAfter == 0 {
			t.Fatalf("served without a configuration: %v", refused)
		}
		config := running.Config()
		helped := newNode(table, fixedPeers{&config}, 3)
		helped.faults.Cut(true)
		if refused := helped.Serve(t.Context()); refused != nil {
			t.Fatal(refused)
		}
		helped.RecordRevision(config.Revision + 1)
		if refused := helped.Serve(t.Context()); refused == nil {
			t.Error("served although a newer revision is known to exist")
		}
	})
}

// Guards against reverting an accepted change. It came about when an older
// configuration arrived after a newer one was in force, or an operator changed
// a recreated contract that they had read before its deletion. Messages
// overtake each other, and row versions restart after a delete.
func TestOlderConfigurationIsRefused(t *testing.T) {
	n := newNode(memory.NewTable(), nil, 1)
	old := mustApply(t, n, change("kowhai", 0.1, NoContract, "0"))
	older := n.Config()
	mustApply(t, n, Change{Customer: "kowhai", Operation: "delete"})
	mustApply(t, n, change("kowhai", 0.2, NoContract, "again"))
	if n.Install(older) || n.Older.Load() == 0 {
		t.Error("an older configuration was adopted")
	}
	if _, refused := n.Apply(t.Context(), change("kowhai", 0.3, old, "stale")); refused == nil {
		t.Error("a change from before the delete was accepted")
	}
}

// Several entries and operators make changes under all faults of the store at
// once. No view's revision may decrease, each acknowledged change must be in
// every view's history, and all views must agree within seconds after the
// faults.
func TestRandomisedChangesNeverRevert(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(t *testing.T) { runRandomised(t, rt) })
	})
}

func runRandomised(t *testing.T, rt *rapid.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	table := memory.NewTable()
	nodes := make([]*node, 3)
	for i := range nodes {
		nodes[i] = newNode(table, nil, rapid.Uint64().Draw(rt, "seed"))
		go nodes[i].Run(ctx)
	}
	accepted := make(map[string]structs.Revision)
	highest := make([]structs.Revision, len(nodes))
	for i := range rapid.IntRange(5, 25).Draw(rt, "steps") {
		n := rapid.IntRange(0, len(nodes)-1).Draw(rt, "node")
		nodes[n].faults.Set(fault.Plan{
			Down: 0.1, Timeout: 0.1, LoseAnswer: 0.2, Delay: 0.2, Slow: 0.3,
			Latency: fault.Range{Max: 300 * time.Millisecond}, AnswerTimeout: fault.Exactly(50 * time.Millisecond), ApplyDelay: fault.Range{Max: 3 * time.Second},
		})
		operation := fmt.Sprintf("op-%d", rapid.IntRange(0, i).Draw(rt, "operation"))
		customer := rapid.SampledFrom([]string{"granite-notch", "kowhai"}).Draw(rt, "customer")
		bounded, stop := context.WithTimeout(ctx, time.Second)
		r, refused := nodes[n].Apply(bounded, change(customer, 0.5, AnyRevision, operation))
		stop()
		if refused == nil {
			id := customer + operation
			if before, again := accepted[id]; again && before != r && i < recentOperations {
				rt.Fatalf("operation %s has revisions %d and %d", id, before, r)
			}
			accepted[id] = r
		}
		time.Sleep(time.Duration(rapid.IntRange(0, 2000).Draw(rt, "pause")) * time.Millisecond)
		for k, other := range nodes {
			if now := other.Config().Revision; now < highest[k] {
				rt.Fatalf("view of node %d reverted from %d to %d", k, highest[k], now)
			} else {
				highest[k] = now
			}
		}
	}
	for _, n := range nodes {
		n.faults.Heal()
	}
	time.Sleep(10 * time.Second)
	for i, n := range nodes {
		if n.Config().Revision != nodes[0].Config().Revision {
			rt.Fatalf("after the faults, node %d is at %d and node 0 at %d", i, n.Config().Revision, nodes[0].Config().Revision)
		}
		for id, r := range accepted {
			if r > n.Config().Revision {
				rt.Fatalf("change %s was accepted at %d, node %d is at %d", id, r, i, n.Config().Revision)
			}
		}
	}
	cancel()
}
