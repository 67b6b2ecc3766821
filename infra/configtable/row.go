// Package configtable reads the accepted configuration from the table service.
//
// Processes poll the revision row, so it is small: it holds the revision and
// the customers of the last few changes. A reader that lacks only these
// changes, of at most maxSingleReads customers, reads only their contracts; any
// other reader reads all contracts.
package configtable

import (
	"context"
	"encoding/json"
	"errors"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// RecentChanges is the number of changes that the revision row names. Each adds
// about 30 bytes to every poll of every process. A process that polls every few
// seconds misses more than these changes only after a pause or in a burst. One
// scan is then cheaper than many reads.
const RecentChanges = 8

// FirstRevision is the revision of a table without a revision row: a deployment
// in which no contract has been written yet.
const FirstRevision structs.Revision = 1

// RevisionRow is the value of structs.RevisionKey.
type RevisionRow struct {
	Revision structs.Revision `json:"revision"`
	// Changed holds the last changes, one for each revision; the last one led
	// to Revision.
	Changed []Change `json:"changed,omitempty"`
	// Recent holds operations that an earlier release kept in this row. They
	// are read and never written; see structs.OperationsKey.
	Recent []Operation `json:"recent,omitempty"`
}

// Change names the customer whose contract changed.
type Change struct {
	Customer structs.Customer `json:"customer"`
	Removed  bool             `json:"removed,omitempty"`
}

// Operation is one accepted change.
type Operation struct {
	ID       string           `json:"id"`
	Customer structs.Customer `json:"customer"`
	Revision structs.Revision `json:"revision"`
}

// Next returns the row after one more change.
func (r RevisionRow) Next(c Change) RevisionRow {
	changed := append([]Change(nil), r.Changed...)
	changed = append(changed, c)
	if excess := len(changed) - RecentChanges; excess > 0 {
		changed = changed[excess:]
	}
	return RevisionRow{Revision: r.Revision + 1, Changed: changed}
}

type lastChange struct {
	revision structs.Revision
	removed  bool
}

// since returns the last change of each customer changed after revision held; ok
// is false if the row doesn't name all changes after held.
func (r RevisionRow) since(held structs.Revision) (changes map[structs.Customer]lastChange, ok bool) {
	behind := uint64(r.Revision - held)
	if behind > uint64(len(r.Changed)) {
		return nil, false
	}
	changes = make(map[structs.Customer]lastChange)
	for i, c := range r.Changed[uint64(len(r.Changed))-behind:] {
		changes[c.Customer] = lastChange{revision: held + structs.Revision(i) + 1, removed: c.Removed}
	}
	return changes, true
}

// ReadRevision returns the revision row and its version. An absent row has
// FirstRevision and version 0.
func ReadRevision(ctx context.Context, t infra.Table) (RevisionRow, uint64, error) {
	row, err := t.Get(ctx, structs.RevisionKey)
	if errors.Is(err, infra.ErrNotFound) {
		return RevisionRow{Revision: FirstRevision}, 0, nil
	}
	if err != nil {
		return RevisionRow{}, 0, eris.Wrap(err, "configuration: read revision from table")
	}
	var value RevisionRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return RevisionRow{}, 0, eris.Wrap(err, "configuration: decode revision row")
	}
	return value, row.Version, nil
}

// ReadContract returns one customer's contract and its version, 0 if absent.
func ReadContract(ctx context.Context, t infra.Table, customer structs.Customer) (structs.Contract, uint64, error) {
	row, err := t.Get(ctx, structs.ContractKey(customer))
	if errors.Is(err, infra.ErrNotFound) {
		return structs.Contract{}, 0, nil
	}
	if err != nil {
		return structs.Contract{}, 0, eris.Wrap(err, "configuration: read contract from table")
	}
	c, err := decodeContract(row)
	return c, row.Version, err
}

func decodeContract(row infra.Row) (structs.Contract, error) {
	var c structs.Contract
	if err := json.Unmarshal(row.Value, &c); err != nil {
		return structs.Contract{}, eris.Wrapf(err, "configuration: decode row %s", row.Key)
	}
	return c, nil
}
