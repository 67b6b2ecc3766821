package contracts

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/configtable"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
)

// interleavedTable runs a step before each read.
type interleavedTable struct {
	infra.Table
	step  func()
	scans int
}

func (b *interleavedTable) Get(ctx context.Context, key string) (infra.Row, error) {
	b.step()
	return b.Table.Get(ctx, key)
}

func (b *interleavedTable) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	b.step()
	b.scans++
	return b.Table.Scan(ctx, prefix, after, limit)
}

// Contracts are created, changed, deleted and recreated between any two reads
// of another process, which reads the revision and the rows one after the
// other. The process must hold exactly the configuration accepted at its
// revision, and never go back to a lower revision.
func TestReaderNeverMixesRevisions(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		writer := newNode(memory.NewTable(), nil, 1)
		history := map[structs.Revision]structs.Config{}
		n := 0
		step := func(most int) {
			for range rapid.IntRange(0, most).Draw(rt, "changes") {
				n++
				c := change(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}).Draw(rt, "customer"), float64(n), AnyRevision, fmt.Sprint(n))
				if rapid.Bool().Draw(rt, "remove") {
					c.Contract = nil
				}
				if _, refused := writer.Apply(t.Context(), c); refused == nil {
					writer.Confirm(t.Context())
					history[writer.Config().Revision] = writer.Config()
				}
			}
		}
		var held structs.Config
		for range 6 {
			step(12)
			reads := 0
			table := &interleavedTable{Table: writer.table, step: func() {
				if reads++; reads < 8 {
					step(1)
				}
			}}
			next, err := configtable.ReadNewer(t.Context(), table, held)
			if err != nil || next.Revision < held.Revision {
				rt.Fatalf("revision %d after %d: %v", next.Revision, held.Revision, err)
			}
			if want, known := history[next.Revision]; known {
				if diff := cmp.Diff(want, next); diff != "" {
					rt.Fatalf("revision %d (-accepted +read):\n%s", next.Revision, diff)
				}
			} else if next.Revision > configtable.FirstRevision {
				rt.Fatalf("revision %d was never accepted", next.Revision)
			}
			held = next
		}
	})
}

// A process that is a few changes behind reads only the changed contracts. A
// process that is further behind reads all. Otherwise each change would make
// 1,000 agents read the whole configuration.
func TestReaderReadsOnlyChangedContracts(t *testing.T) {
	writer := newNode(memory.NewTable(), nil, 1)
	for i := range 20 {
		mustApply(t, writer, change(fmt.Sprint("customer-", i), 0.1, AnyRevision, fmt.Sprint("create-", i)))
	}
	held, err := configtable.ReadNewer(t.Context(), writer.table, structs.Config{})
	if err != nil || len(held.Contracts) != 20 {
		t.Fatalf("%d contracts, %v", len(held.Contracts), err)
	}
	for behind, scans := range map[int]int{1: 0, 4: 0, 5: 1, 20: 1} {
		mustApply(t, writer, change("customer-0", 0.2, AnyRevision, fmt.Sprint("first-", behind)))
		from, err := configtable.ReadNewer(t.Context(), writer.table, held)
		if err != nil {
			t.Fatal(err)
		}
		for i := range behind {
			mustApply(t, writer, change(fmt.Sprint("customer-", i), 0.3, AnyRevision, fmt.Sprint("behind-", behind, i)))
		}
		table := &interleavedTable{Table: writer.table, step: func() {}}
		held, err = configtable.ReadNewer(t.Context(), table, from)
		if diff := cmp.Diff(writer.Config(), held); err != nil || diff != "" || table.scans != scans {
			t.Errorf("%d behind: %d scans, want %d; %v\n%s", behind, table.scans, scans, err, diff)
		}
	}
}

// During an upgrade an entry must read the revision row of the earlier release,
// which also holds the operations. Each operation in the row must keep its one
// result, even after an entry of the earlier release has written the row again.
func TestRowOfTheEarlierReleaseIsRead(t *testing.T) {
	table := memory.NewTable()
	earlier := func(r structs.Revision, id string) {
		t.Helper()
		contract, _ := json.Marshal(structs.Contract{Customer: "kowhai", Share: 0.1, Revision: r})
		row, _ := json.Marshal(map[string]any{"revision": r, "recent": []map[string]any{{"id": id, "customer": "kowhai", "revision": r}}})
		if _, err := table.Commit(t.Context(), infra.Txn{Op: id, Puts: []infra.Put{{Key: structs.RevisionKey, Value: row}, {Key: structs.ContractKey("kowhai"), Value: contract}}}); err != nil {
			t.Fatal(err)
		}
	}
	n := newNode(table, nil, 1)
	repeat := func(customer, id string, want structs.Revision) {
		t.Helper()
		if r := mustApply(t, n, change(customer, 0.9, AnyRevision, id)); r != want {
			t.Errorf("repeat of %s has revision %d, was accepted as %d", id, r, want)
		}
	}
	earlier(7, "old-1")
	repeat("kowhai", "old-1", 7)
	mustApply(t, n, change("granite-notch", 0.2, AnyRevision, "new-1"))
	repeat("kowhai", "old-1", 7)
	earlier(9, "old-2")
	repeat("kowhai", "old-2", 9)
	repeat("granite-notch", "new-1", 8)
	if c, _ := n.Contract("kowhai"); c.Share != 0.1 || n.Config().Revision != 9 {
		t.Errorf("revision %d, share %v", n.Config().Revision, c.Share)
	}
}
