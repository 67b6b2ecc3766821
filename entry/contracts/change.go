package contracts

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/configtable"
	"persimmonrock.example/structs"
)

// AnyRevision is the Change.IfMatch of an unconditional change.
const AnyRevision structs.Revision = 0

// NoContract is the Change.IfMatch that requires that no contract exists.
const NoContract = ^structs.Revision(0)

// Change is one operator's change of one customer's contract.
type Change struct {
	Customer structs.Customer
	// Contract is the new contract; nil deletes the contract.
	Contract *structs.Contract
	// IfMatch is the revision of the contract on which the change is based.
	IfMatch structs.Revision
	// Operation identifies the intended change and must not be empty. A repeat
	// has the same Operation; two different changes must not share one.
	Operation string
}

// errRaced reports that another change was accepted in between. The change may
// be retried on the current state.
var errRaced = errors.New("contracts: raced with another change")

// Apply makes the change and returns the revision that accepted it. If two
// operators change one contract from the same revision, one succeeds and the
// other gets a precondition refusal. An operation repeated within the last
// recentOperations returns the revision of its first acceptance and changes
// nothing.
func (s *Store) Apply(ctx context.Context, c Change) (structs.Revision, *structs.Refusal) {
	for {
		revision, err := s.apply(ctx, c)
		var refused *structs.Refusal
		switch {
		case err == nil:
			s.events.Record(structs.Event{Step: StepAccepted, Customer: c.Customer, Epoch: structs.Epoch(revision)})
			s.RecordRevision(revision)
			s.Confirm(ctx)
			return revision, nil
		case errors.Is(err, errRaced):
			continue
		case errors.As(err, &refused):
			return 0, refused
		case errors.Is(err, infra.ErrUnavailable):
			return 0, storeRefusal(structs.NotRun, "the table service is not available; nothing was changed")
		default:
			return 0, storeRefusal(structs.Unknown, "the change may or may not have been accepted; repeat it with the same Operation-Id")
		}
	}
}

func storeRefusal(o structs.Outcome, detail string) *structs.Refusal {
	return &structs.Refusal{
		Type: structs.RefusedStore, Status: 503, Outcome: o, Detail: detail,
		RetryAfter: 2 * time.Second, Step: "contracts.apply", Peer: "table",
	}
}

func (s *Store) apply(ctx context.Context, c Change) (structs.Revision, error) {
	revision, revisionVersion, err := configtable.ReadRevision(ctx, s.table)
	if err != nil {
		return 0, asUnavailable(err)
	}
	operations, operationsVersion, err := s.readOperations(ctx, revision)
	if err != nil {
		return 0, asUnavailable(err)
	}
	if accepted := operations.find(c); accepted != 0 {
		return accepted, nil
	}
	current, version, err := configtable.ReadContract(ctx, s.table, c.Customer)
	if err != nil {
		return 0, asUnavailable(err)
	}
	if refused := precondition(c, current, version); refused != nil {
		return 0, refused
	}
	if err := s.checkKeys(ctx, c, revision.Revision); err != nil {
		return 0, err
	}
	next := revision.Next(configtable.Change{Customer: c.Customer, Removed: c.Contract == nil})
	txn := infra.Txn{
		Op: fmt.Sprintf("config/%s/%d", c.Operation, next.Revision),
		Conds: []infra.Cond{
			{Key: structs.RevisionKey, Version: revisionVersion},
			{Key: structs.OperationsKey, Version: operationsVersion},
			{Key: structs.ContractKey(c.Customer), Version: version},
		},
	}
	if err := addPuts(&txn, c, next, operations.with(c, next.Revision)); err != nil {
		return 0, err
	}
	_, err = infra.CommitOnce(ctx, s.table, txn)
	var conflict *infra.ConflictError
	var superseded *infra.SupersededError
	if errors.As(err, &conflict) || errors.As(err, &superseded) {
		// The retry reads the recent operations, which show whether a
		// superseded change took effect first.
		return 0, errRaced
	}
	if err != nil {
		return 0, eris.Wrap(err, "contracts: commit change to table")
	}
	return next.Revision, nil
}

// checkKeys refuses a contract with another customer's key.
//
// Failure guarded against: two operators assign one key to two customers
// through two entries at once, and a caller with the key counts as either
// customer, by chance. checkKeys compares the contracts of the revision on
// which the change is conditional, so no other change can come in between.
func (s *Store) checkKeys(ctx context.Context, c Change, at structs.Revision) error {
	if c.Contract == nil || len(c.Contract.KeyHashes) == 0 {
		return nil
	}
	if s.Config().Revision < at {
		s.RecordRevision(at)
		s.Confirm(ctx)
	}
	config := s.Config()
	switch {
	case config.Revision > at:
		return errRaced
	case config.Revision < at:
		return &structs.Refusal{Type: structs.RefusedStaleConfig, Status: 503, Outcome: structs.NotRun,
			Detail: "the other contracts could not be read", RetryAfter: time.Second, Step: "contracts.apply", Peer: "table"}
	}
	for _, other := range config.Contracts {
		if other.Customer != c.Customer && shareKey(other.KeyHashes, c.Contract.KeyHashes) {
			return &structs.Refusal{Type: structs.RefusedBadRequest, Status: 400, Outcome: structs.NotRun,
				Detail: fmt.Sprintf("key_hashes: one of them belongs to customer %s", other.Customer), Step: "contracts.apply"}
		}
	}
	return nil
}

func shareKey(a, b []string) bool {
	return slices.ContainsFunc(a, func(h string) bool { return slices.Contains(b, h) })
}

// asUnavailable converts a read's unknown outcome or time-out to
// ErrUnavailable: a failed read has changed nothing.
func asUnavailable(err error) error {
	if errors.Is(err, infra.ErrUnknown) || errors.Is(err, context.DeadlineExceeded) {
		return infra.ErrUnavailable
	}
	return err
}

// precondition compares revisions, which never repeat. Row versions would not
// do: they restart when a deleted contract is recreated.
func precondition(c Change, current structs.Contract, version uint64) *structs.Refusal {
	exists := version != 0
	switch {
	case c.Contract == nil && !exists:
		return &structs.Refusal{Type: structs.RefusedNotFound, Status: 404, Outcome: structs.NotRun,
			Detail: fmt.Sprintf("customer %s has no contract", c.Customer), Step: "contracts.apply"}
	case c.IfMatch == AnyRevision:
		return nil
	case c.IfMatch == NoContract && !exists:
		return nil
	case exists && c.IfMatch == current.Revision:
		return nil
	}
	return &structs.Refusal{Type: structs.RefusedPrecondition, Status: 412, Outcome: structs.NotRun,
		Detail: fmt.Sprintf("the contract of %s is at revision %d now", c.Customer, current.Revision), Step: "contracts.apply"}
}

func addPuts(txn *infra.Txn, c Change, next configtable.RevisionRow, operations operationsRow) error {
	if err := addPut(txn, structs.RevisionKey, next); err != nil {
		return err
	}
	if err := addPut(txn, structs.OperationsKey, operations); err != nil {
		return err
	}
	if c.Contract == nil {
		txn.Deletes = append(txn.Deletes, structs.ContractKey(c.Customer))
		return nil
	}
	accepted := *c.Contract
	accepted.Customer = c.Customer
	accepted.Revision = next.Revision
	return addPut(txn, structs.ContractKey(c.Customer), accepted)
}

func addPut(txn *infra.Txn, key string, value any) error {
	encoded, err := json.Marshal(value)
	if err != nil {
		return eris.Wrapf(err, "contracts: encode row %s", key)
	}
	txn.Puts = append(txn.Puts, infra.Put{Key: key, Value: encoded})
	return nil
}
