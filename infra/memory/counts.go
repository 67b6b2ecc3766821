package memory

import (
	"cmp"
	"slices"
	"strings"
	"sync"

	"persimmonrock.example/infra"
)

// OperationCount counts the served operations of one kind.
type OperationCount struct {
	// Operation is "get", "scan" or "commit", followed by the first parts of
	// the keys: "commit job+shard" changed rows of jobs and shards.
	Operation string
	// Served includes Conflicts, the commits that applied nothing.
	Served, Conflicts uint64
	// Rows is the number of rows read or written.
	Rows uint64
}

// operations counts operations by kind, to measure the store's cost of each
// call, job or renewal.
type operations struct {
	mu     sync.Mutex
	counts map[string]*OperationCount
}

func (o *operations) add(operation string, rows int, conflict bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.counts == nil {
		o.counts = make(map[string]*OperationCount)
	}
	c := o.counts[operation]
	if c == nil {
		c = &OperationCount{Operation: operation}
		o.counts[operation] = c
	}
	c.Served++
	c.Rows += uint64(rows)
	if conflict {
		c.Conflicts++
	}
}

// Operations returns the counts of each kind of operation so far, sorted by
// Operation.
func (t *Table) Operations() []OperationCount {
	t.operations.mu.Lock()
	defer t.operations.mu.Unlock()
	all := make([]OperationCount, 0, len(t.operations.counts))
	for _, c := range t.operations.counts {
		all = append(all, *c)
	}
	slices.SortFunc(all, func(a, b OperationCount) int { return cmp.Compare(a.Operation, b.Operation) })
	return all
}

// firstPart returns the part of a key before its first slash.
func firstPart(key string) string {
	part, _, _ := strings.Cut(key, "/")
	return part
}

// commitOperation names the kind of a transaction by the rows that it changes.
func commitOperation(txn infra.Txn) string {
	var parts []string
	add := func(key string) {
		if part := firstPart(key); !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	for _, p := range txn.Puts {
		add(p.Key)
	}
	for _, key := range txn.Deletes {
		add(key)
	}
	slices.Sort(parts)
	return "commit " + strings.Join(parts, "+")
}
