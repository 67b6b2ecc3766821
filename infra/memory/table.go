// Package memory implements the platform's services in memory: the
// transactional table, the object store and the worker of one instance. They
// keep the contracts of the interfaces in package infra, count their requests,
// and use no clock but package time, so that they run under testing/synctest.
// Package fault wraps them to inject faults.
package memory

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra"
)

// Table is an infra.Table in memory. The zero value isn't usable.
type Table struct {
	mu   sync.RWMutex
	rows rows
	// lastVersion is the highest version assigned so far. One counter serves
	// all rows: a row that is deleted and written anew gets a version that no
	// old transaction can be conditional on. It starts where the table's seed says:
	// 0 stands for the absence of a row, and must not look like an early version.
	lastVersion uint64

	reads, writes, conflicts, rowsRead, rowsWritten atomic.Uint64
	operations                                      operations
}

const (
	// tableStarts is the random stream from which the first version is drawn,
	// maxFirstVersion bounds it.
	tableStarts     = 3
	maxFirstVersion = 1 << 40
	// defaultSeed is the seed of NewTable.
	defaultSeed = 1
)

// NewTable returns an empty table.
func NewTable() *Table { return NewSeededTable(defaultSeed) }

// NewSeededTable returns an empty table whose versions start where seed says.
func NewSeededTable(seed uint64) *Table {
	return &Table{lastVersion: rand.New(rand.NewPCG(seed, tableStarts)).Uint64N(maxFirstVersion)}
}

// TableCounts counts the operations that a table has served.
type TableCounts struct {
	// Reads and Writes count the operations that reached the table. Conflicts
	// counts the writes that applied nothing.
	Reads, Writes, Conflicts uint64
	// RowsRead and RowsWritten count the rows in these operations.
	RowsRead, RowsWritten uint64
}

// Counts returns the counts so far.
func (t *Table) Counts() TableCounts {
	return TableCounts{
		Reads:       t.reads.Load(),
		Writes:      t.writes.Load(),
		Conflicts:   t.conflicts.Load(),
		RowsRead:    t.rowsRead.Load(),
		RowsWritten: t.rowsWritten.Load(),
	}
}

// Reads returns the number of gets and scans served.
func (t *Table) Reads() uint64 { return t.reads.Load() }

// Writes returns the number of transactions served, conflicts included.
func (t *Table) Writes() uint64 { return t.writes.Load() }

// Len returns the number of rows.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.rows.count
}

// Get implements infra.Table.
func (t *Table) Get(ctx context.Context, key string) (infra.Row, error) {
	if err := checkContext(ctx); err != nil {
		return infra.Row{}, err
	}
	if err := infra.CheckKey(key); err != nil {
		return infra.Row{}, err
	}
	t.reads.Add(1)
	t.mu.RLock()
	row := t.rows.get(key)
	t.mu.RUnlock()
	if row == nil {
		t.operations.add("get "+firstPart(key), 0, false)
		return infra.Row{}, eris.Wrapf(infra.ErrNotFound, "table get %s", key)
	}
	t.operations.add("get "+firstPart(key), 1, false)
	t.rowsRead.Add(1)
	return copyOf(row), nil
}

// Scan implements infra.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if err := checkContext(ctx); err != nil {
		return nil, err
	}
	if limit <= 0 {
		return nil, eris.Wrapf(infra.ErrInvalid, "table scan %s: limit %d", prefix, limit)
	}
	if err := infra.CheckKey(prefix + after); err != nil {
		return nil, err
	}
	t.reads.Add(1)
	var found []*infra.Row
	t.mu.RLock()
	t.rows.scan(prefix, after, func(r *infra.Row) bool {
		found = append(found, r)
		return len(found) < limit
	})
	t.mu.RUnlock()
	t.rowsRead.Add(uint64(len(found)))
	t.operations.add("scan "+firstPart(prefix), len(found), false)
	out := make([]infra.Row, len(found))
	for i, r := range found {
		out[i] = copyOf(r)
	}
	return out, nil
}

// Commit implements infra.Table.
func (t *Table) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	if err := checkContext(ctx); err != nil {
		return nil, err
	}
	if err := txn.Validate(); err != nil {
		return nil, err
	}
	t.writes.Add(1)
	versions, err := t.commit(txn)
	if err != nil {
		t.conflicts.Add(1)
		t.operations.add(commitOperation(txn), 0, true)
		return nil, err
	}
	rows := len(txn.Puts) + len(txn.Deletes)
	t.rowsWritten.Add(uint64(rows))
	t.operations.add(commitOperation(txn), rows, false)
	return versions, nil
}

func (t *Table) commit(txn infra.Txn) ([]uint64, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Conds {
		current := infra.Row{Key: c.Key}
		if row := t.rows.get(c.Key); row != nil {
			current = copyOf(row)
		}
		if current.Version != c.Version {
			return nil, &infra.ConflictError{Current: current}
		}
	}
	return t.apply(txn), nil
}

// apply writes txn; the caller holds the lock and has checked the conditions.
func (t *Table) apply(txn infra.Txn) []uint64 {
	versions := make([]uint64, 0, len(txn.Puts))
	for _, p := range txn.Puts {
		t.lastVersion++
		t.rows.put(&infra.Row{Key: p.Key, Value: slices.Clone(p.Value), Version: t.lastVersion, Op: txn.Op})
		versions = append(versions, t.lastVersion)
	}
	for _, key := range txn.Deletes {
		t.rows.remove(key)
	}
	return versions
}

// copyOf returns a copy of a stored row that the caller may change. Stored
// rows are replaced and never changed, so copyOf needs no lock.
func copyOf(r *infra.Row) infra.Row {
	c := *r
	c.Value = slices.Clone(r.Value)
	return c
}

// checkContext refuses a request if ctx has already ended; the request has no
// effect.
func checkContext(ctx context.Context) error {
	if err := ctx.Err(); err != nil {
		return eris.Wrapf(infra.ErrUnavailable, "not sent: %v", err)
	}
	return nil
}
