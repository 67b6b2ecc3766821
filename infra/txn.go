package infra

import (
	"errors"
	"unicode/utf8"

	"github.com/rotisserie/eris"
)

// ErrInvalid means that the caller's request is wrong. The request had no
// effect, and repeating it unchanged is useless.
var ErrInvalid = errors.New("platform: invalid request")

// CheckKey returns ErrInvalid unless key is valid UTF-8.
//
// Failure guarded against: two keys that differ in a byte that isn't UTF-8,
// such as two Idempotency-Keys of a customer, become one on their way to the
// store, because JSON replaces such bytes. A request would then receive the
// answer to another request. Keys that fail CheckKey are never sent or stored.
func CheckKey(key string) error {
	if !utf8.ValidString(key) {
		return eris.Wrapf(ErrInvalid, "key %q is not UTF-8", key)
	}
	return nil
}

// Validate returns ErrInvalid if t touches more than MaxTxnRows rows, names
// one key twice in its conditions or twice in its changes, or fails CheckKey.
func (t Txn) Validate() error {
	if err := CheckKey(t.Op); err != nil {
		return eris.Wrap(err, "operation ID")
	}
	touched := make(map[string]struct{}, len(t.Conds)+len(t.Puts)+len(t.Deletes))
	for _, c := range t.Conds {
		if _, twice := touched[c.Key]; twice {
			return eris.Wrapf(ErrInvalid, "transaction %s: two conditions on %s", t.Op, c.Key)
		}
		touched[c.Key] = struct{}{}
	}
	changed := make(map[string]struct{}, len(t.Puts)+len(t.Deletes))
	for _, key := range t.changedKeys() {
		if _, twice := changed[key]; twice {
			return eris.Wrapf(ErrInvalid, "transaction %s: two changes of %s", t.Op, key)
		}
		changed[key] = struct{}{}
		touched[key] = struct{}{}
	}
	for key := range touched {
		if err := CheckKey(key); err != nil {
			return eris.Wrapf(err, "transaction %s", t.Op)
		}
	}
	if len(touched) > MaxTxnRows {
		return eris.Wrapf(ErrInvalid, "transaction %s: touches %d rows, at most %d", t.Op, len(touched), MaxTxnRows)
	}
	return nil
}

// changedKeys returns the keys of the puts and then of the deletes.
func (t Txn) changedKeys() []string {
	keys := make([]string, 0, len(t.Puts)+len(t.Deletes))
	for _, p := range t.Puts {
		keys = append(keys, p.Key)
	}
	return append(keys, t.Deletes...)
}
