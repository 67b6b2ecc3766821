package contracts

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"slices"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/configtable"
	"persimmonrock.example/structs"
)

// recentOperations is the number of accepted operations that the table keeps.
// At 3,200 changes a day, a change can be repeated for about half an hour.
const recentOperations = 64

// operationsRow is the value of structs.OperationsKey. Only changes read it, so
// that the revision row, which all processes poll, stays small.
type operationsRow struct {
	// Recent holds the last accepted operations, newest last, so that a
	// repeated change finds its own result.
	Recent []configtable.Operation `json:"recent"`
}

// readOperations returns the accepted operations and the version of their row.
// It adds the operations that an earlier release keeps in the revision row.
func (s *Store) readOperations(ctx context.Context, revision configtable.RevisionRow) (operationsRow, uint64, error) {
	row, err := s.table.Get(ctx, structs.OperationsKey)
	if errors.Is(err, infra.ErrNotFound) {
		return operationsRow{Recent: revision.Recent}, 0, nil
	}
	if err != nil {
		return operationsRow{}, 0, eris.Wrap(err, "contracts: read operations from table")
	}
	var value operationsRow
	if err := json.Unmarshal(row.Value, &value); err != nil {
		return operationsRow{}, 0, eris.Wrap(err, "contracts: decode operations row")
	}
	value.Recent = append(value.Recent, revision.Recent...)
	slices.SortFunc(value.Recent, func(a, b configtable.Operation) int { return cmp.Compare(a.Revision, b.Revision) })
	return value, row.Version, nil
}

// find returns the revision that accepted the operation of c, or 0.
func (o operationsRow) find(c Change) structs.Revision {
	for _, op := range o.Recent {
		if op.ID == c.Operation && op.Customer == c.Customer {
			return op.Revision
		}
	}
	return 0
}

// with returns the row after change c was accepted as revision r.
func (o operationsRow) with(c Change, r structs.Revision) operationsRow {
	recent := append([]configtable.Operation(nil), o.Recent...)
	recent = append(recent, configtable.Operation{ID: c.Operation, Customer: c.Customer, Revision: r})
	if over := len(recent) - recentOperations; over > 0 {
		recent = recent[over:]
	}
	return operationsRow{Recent: recent}
}
