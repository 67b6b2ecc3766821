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

// An entry sends a process the change from the revision that it holds: from
// any earlier one that the entry can tell, the change leads to exactly what is
// in force. Cause of the failure: the entry itself had only some of the
// revisions in force, and a contract came and went between two of them.
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
		told := 0
		for _, held := range history {
			d := entry.Since(held.Revision)
			if d == nil {
				continue
			}
			told++
			next, ok := held.With(*d)
			if diff := cmp.Diff(entry.Config(), next); !ok || diff != "" {
				rt.Fatalf("from %d, fits: %t (-in force +told):\n%s", held.Revision, ok, diff)
			}
		}
		if told != len(entry.past)-1 && entry.past[0].revision > configtable.FirstRevision {
			rt.Fatalf("%d revisions could be told from, want %d", told, len(entry.past)-1)
		}
	})
}
