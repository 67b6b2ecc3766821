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

// Pace of the scan for records that have stood for their retention.
const (
	// sweepPause is the time between two reads. With sweepPage it bounds an
	// entry to 256 records a second, and to 4 reads of the table service's two
	// thousand.
	sweepPause = 250 * time.Millisecond
	// sweepPage is the number of records of one read; each may hold an answer
	// of a megabyte.
	sweepPage = 64
	// passPause is the time between two scans of everything.
	passPause    = 10 * time.Minute
	sweepTimeout = 5 * time.Second
)

// Epochs says how old records are without comparing clocks; see package
// retention.
type Epochs interface {
	// Epoch is what a record that is written now is stamped with, if known.
	Epoch() (structs.RetentionEpoch, bool)
	// Expired reports whether a record with that stamp may be deleted.
	Expired(written structs.RetentionEpoch) bool
}

// stamp returns the epoch for a record that is written now, or 0: the scan
// stamps it later, so that it is kept for longer, never shorter.
func (r *Records) stamp() structs.RetentionEpoch {
	if r.epochs == nil {
		return 0
	}
	epoch, known := r.epochs.Epoch()
	if !known {
		return 0
	}
	return epoch
}

// Sweep deletes expired records of the customers that owns names, and stamps
// those without a stamp, until ctx ends. Two entries that sweep the same
// customer do no harm: each change is conditional on the record's version.
func (r *Records) Sweep(ctx context.Context, owns func(structs.Customer) bool) {
	for ctx.Err() == nil {
		r.sweepAll(ctx, owns)
		wait(ctx, passPause)
	}
}

// sweepAll makes one pass. It finds each customer by its first record, so that
// the records of customers without a contract are found too.
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
		// "0" follows "/", and so all keys of this customer.
		after = structs.CallPrefix + name + "0"
	}
}

// sweepCustomer goes through one customer's records, and reports whether the
// table service answered.
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
			r.delete(ctx, expired)
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

// expired reports whether a record may be deleted, and stamps it if need be.
func (r *Records) expired(ctx context.Context, row infra.Row) bool {
	var record callRecord
	if json.Unmarshal(row.Value, &record) != nil {
		return false
	}
	if record.Epoch == 0 {
		r.restamp(ctx, row, record)
		return false
	}
	return r.epochs.Expired(record.Epoch)
}

// restamp gives a record the present epoch. A lost answer is of no account: the
// next pass finds the stamp, or sets it.
func (r *Records) restamp(ctx context.Context, row infra.Row, record callRecord) {
	record.Epoch = r.stamp()
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

// delete deletes records as they were read. One that has changed since is left
// to the next pass, and so are all if the outcome is not known.
//
// Failure guarded against: a key is used again just as its record expires, and
// the new record is deleted; the call could run twice. The delete is
// conditional on the version that was read as expired.
func (r *Records) delete(ctx context.Context, rows []infra.Row) {
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
		rows = without(rows, conflict.Current.Key)
	}
}

func without(rows []infra.Row, key string) []infra.Row {
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
