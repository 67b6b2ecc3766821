package memstore

import (
	"encoding/base64"
	"fmt"

	"persimmonrock.example/infra/rowstore"
)

// SetRefused makes the store refuse each transaction that writes a row for which refused
// returns true; nil for none.
func (s *Store) SetRefused(refused func(rowstore.Key) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refused = refused
}

// check returns an error for a transaction that the store will never take: one beyond
// the limits of the users' store, which do not apply to the operator's rows, or one that
// is refused.
func (s *Store) check(t rowstore.Txn) error {
	s.mu.Lock()
	refused := s.refused
	s.mu.Unlock()
	entries, size := len(t.Conds)+len(t.Puts)+len(t.Deletes), 0
	for _, p := range t.Puts {
		if len(p.Value) > rowstore.DefaultRowBytes {
			return fmt.Errorf("%w: row %s/%s has %d bytes", rowstore.ErrRefused, p.Key.Table, p.Key.Key, len(p.Value))
		}
		if refused != nil && refused(p.Key) {
			return fmt.Errorf("%w: row %s/%s", rowstore.ErrRefused, p.Key.Table, p.Key.Key)
		}
		size += base64.StdEncoding.EncodedLen(len(p.Value))
	}
	if entries > rowstore.MaxTxnEntries || size > rowstore.MaxTxnBytes {
		return fmt.Errorf("%w: %d entries and %d bytes", rowstore.ErrRefused, entries, size)
	}
	return nil
}

// ApplyNow applies a transaction without any of the faults or limits.
func (s *Store) ApplyNow(t rowstore.Txn) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, err := s.apply(t)
	return err
}
