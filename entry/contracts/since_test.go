package contracts

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"persimmonrock.example/infra/configtable"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
)

// An entry sends a process the change from the revision that the process holds.
// From any revision that the entry has had in force, the change must lead
// exactly to the configuration in force. This must hold even if the entry
// skipped some revisions, and a contract was created and removed between two
// revisions that it had.
func TestChangeSinceAnyRevision(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		table := memory.NewTable()
		writer, entry := newNode(table, nil, 1), newNode(table, nil, 2)
		history := []structs.Config{}
		for i := range rapid.IntRange(1, 60).Draw(rt, "changes") {
			c := change(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(rt, "customer"), float64(i+1), AnyRevision, fmt.Sprint(i))
			if rapid.Bool().Draw(rt, "remove") {
				c.Contract = nil
			}
			if _, refused := writer.Apply(t.Context(), c); refused != nil {
				continue
			}
			history = append(history, writer.Config())
			if rapid.Bool().Draw(rt, "entry reads") {
				entry.Confirm(t.Context())
			}
		}
		entry.Confirm(t.Context())
		found := 0
		for _, held := range history {
			d := entry.Since(held.Revision)
			if d == nil {
				continue
			}
			found++
			next, ok := held.With(*d)
			if diff := cmp.Diff(entry.Config(), next); !ok || diff != "" {
				rt.Fatalf("change from %d, applies: %t (-in force +result):\n%s", held.Revision, ok, diff)
			}
		}
		if found != len(entry.revisions)-1 && entry.revisions[0].revision > configtable.FirstRevision {
			rt.Fatalf("changes found from %d revisions, want %d", found, len(entry.revisions)-1)
		}
	})
}
