package urgent

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// Rate of the sweep for records whose retention has passed.
const (
	// sweepPause is the time between two reads. With sweepPage it bounds an
	// entry to 256 records and 4 reads a second, of the two thousand reads that
	// the table service can serve.
	sweepPause = 250 * time.Millisecond
	// sweepPage is the number of records of one read; each may hold an answer
	// of 1 MB.
	sweepPage = 64
	// passPause is the time between two passes over all records.
	passPause    = 10 * time.Minute
	sweepTimeout = 5 * time.Second
)

// Epochs measures the age of records without comparing clocks; see package
// retention.
type Epochs interface {
	// Epoch returns the epoch for a record that is written now, if known.
	Epoch() (structs.RetentionEpoch, bool)
	// Expired reports whether a record stamped with that epoch may be deleted.
	Expired(written structs.RetentionEpoch) bool
}

// currentEpoch returns the epoch for a record that is written now, or 0 if
// unknown. The sweep then adds an epoch later, so that the record is kept for
// longer, never shorter.
func (r *Records) currentEpoch() structs.RetentionEpoch {
	if r.epochs == nil {
		return 0
	}
	epoch, known := r.epochs.Epoch()
	if !known {
		return 0
	}
	return epoch
}

// Sweep deletes expired records of the customers for which owns is true, and adds
// the epoch to records without one, until ctx ends. Two entries may sweep the
// same customer: each change is conditional on the record's version.
func (r *Records) Sweep(ctx context.Context, owns func(structs.Customer) bool) {
	for ctx.Err() == nil {
		r.sweepAll(ctx, owns)
		wait(ctx, passPause)
	}
}

// sweepAll makes one pass. It finds each customer by its first record, so that
// the records of customers without a contract are found, too.
func (r *Records) sweepAll(ctx context.Context, owns func(structs.Customer) bool) {
	after := structs.CallPrefix
	for {
		rows, err := r.scan(ctx, structs.CallPrefix, after, 1)
		if err != nil || len(rows) == 0 {
			return
		}
		name, _, _ := strings.Cut(strings.TrimPrefix(rows[0].Key, structs.CallPrefix), "/")
		if owns(structs.Customer(name)) && !r.sweepCustomer(ctx, structs.Customer(name)) {
			return
		}
		// "0" sorts after "/", and so after all keys of this customer.
		after = structs.CallPrefix + name + "0"
	}
}

// sweepCustomer sweeps one customer's records, and reports whether the table
// service answered all reads.
func (r *Records) sweepCustomer(ctx context.Context, c structs.Customer) bool {
	prefix := structs.CallKey(c, "")
	after := prefix
	var expired []infra.Row
	for {
		rows, err := r.scan(ctx, prefix, after, sweepPage)
		if err != nil {
			return false
		}
		for _, row := range rows {
			if r.expired(ctx, row) {
				expired = append(expired, row)
			}
		}
		last := len(rows) < sweepPage
		if last || len(expired)+sweepPage > infra.MaxTxnRows {
			r.deleteExpired(ctx, expired)
			expired = nil
		}
		if last {
			return true
		}
		after = rows[len(rows)-1].Key
	}
}

func (r *Records) scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	wait(ctx, sweepPause)
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	return r.table.Scan(ctx, prefix, after, limit)
}

// expired reports whether a record may be deleted, and stamps it if it has no
// epoch.
func (r *Records) expired(ctx context.Context, row infra.Row) bool {
	var record callRecord
	if json.Unmarshal(row.Value, &record) != nil {
		return false
	}
	if record.Epoch == 0 {
		r.addEpoch(ctx, row, record)
		return false
	}
	return r.epochs.Expired(record.Epoch)
}

// addEpoch stamps a record with the current epoch. A lost answer does no harm:
// the next pass finds the epoch, or adds it.
func (r *Records) addEpoch(ctx context.Context, row infra.Row, record callRecord) {
	record.Epoch = r.currentEpoch()
	value, err := json.Marshal(record)
	if record.Epoch == 0 || err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	_, err = r.table.Commit(ctx, infra.Txn{
		Op:    "call-stamp/" + rand.Text(),
		Conds: []infra.Cond{{Key: row.Key, Version: row.Version}},
		Puts:  []infra.Put{{Key: row.Key, Value: value}},
	})
	if err == nil {
		r.Stamped.Add(1)
	}
}

// deleteExpired deletes the records that still have the version read. Changed
// records, and all records after an unknown outcome, are left to the next pass.
//
// Failure guarded against: a key is used again just as its record expires, and
// the new record is deleted; the call could run twice. The delete is
// conditional on the version that was read as expired.
func (r *Records) deleteExpired(ctx context.Context, rows []infra.Row) {
	for len(rows) > 0 {
		txn := infra.Txn{Op: "call-sweep/" + rand.Text()}
		for _, row := range rows {
			txn.Conds = append(txn.Conds, infra.Cond{Key: row.Key, Version: row.Version})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
		try, cancel := context.WithTimeout(ctx, sweepTimeout)
		_, err := r.table.Commit(try, txn)
		cancel()
		var conflict *infra.ConflictError
		if !errors.As(err, &conflict) {
			if err == nil {
				r.Deleted.Add(int64(len(rows)))
			}
			return
		}
		rows = withoutKey(rows, conflict.Current.Key)
	}
}

func withoutKey(rows []infra.Row, key string) []infra.Row {
	var out []infra.Row
	for _, row := range rows {
		if row.Key != key {
			out = append(out, row)
		}
	}
	return out
}

// wait returns after d, or when ctx ends.
func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
