package fault

import (
	"context"
	"slices"

	"persimmonrock.example/infra"
)

// Table is an infra.Table with faults.
type Table struct {
	inner   infra.Table
	control *Control
}

// NewTable returns inner with the faults of c.
func NewTable(inner infra.Table, c *Control) *Table { return &Table{inner: inner, control: c} }

// Get implements infra.Table.
func (t *Table) Get(ctx context.Context, key string) (infra.Row, error) {
	op := Operation{Service: "table", Method: "Get", Key: key}
	return request(ctx, t.control, op, func(ctx context.Context) (infra.Row, error) {
		return t.inner.Get(ctx, key)
	})
}

// Scan implements infra.Table.
func (t *Table) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	op := Operation{Service: "table", Method: "Scan", Key: prefix}
	return request(ctx, t.control, op, func(ctx context.Context) ([]infra.Row, error) {
		return t.inner.Scan(ctx, prefix, after, limit)
	})
}

// Commit implements infra.Table.
func (t *Table) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	op := Operation{Service: "table", Method: "Commit", Write: true}
	if len(txn.Puts) > 0 {
		op.Key = txn.Puts[0].Key
	}
	// The caller may change its buffers before a delayed write takes effect.
	txn.Conds = slices.Clone(txn.Conds)
	txn.Puts = slices.Clone(txn.Puts)
	txn.Deletes = slices.Clone(txn.Deletes)
	for i := range txn.Puts {
		txn.Puts[i].Value = slices.Clone(txn.Puts[i].Value)
	}
	return request(ctx, t.control, op, func(ctx context.Context) ([]uint64, error) {
		return t.inner.Commit(ctx, txn)
	})
}

// Objects is an infra.Objects with faults.
type Objects struct {
	inner   infra.Objects
	control *Control
}

// NewObjects returns inner with the faults of c.
func NewObjects(inner infra.Objects, c *Control) *Objects {
	return &Objects{inner: inner, control: c}
}

// Put implements infra.Objects.
func (o *Objects) Put(ctx context.Context, key string, body []byte) error {
	op := Operation{Service: "objects", Method: "Put", Key: key, Write: true}
	body = slices.Clone(body)
	return requestNoAnswer(ctx, o.control, op, func(ctx context.Context) error { return o.inner.Put(ctx, key, body) })
}

// Get implements infra.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	op := Operation{Service: "objects", Method: "Get", Key: key}
	return request(ctx, o.control, op, func(ctx context.Context) ([]byte, error) { return o.inner.Get(ctx, key) })
}

// Delete implements infra.Objects.
func (o *Objects) Delete(ctx context.Context, key string) error {
	op := Operation{Service: "objects", Method: "Delete", Key: key, Write: true}
	return requestNoAnswer(ctx, o.control, op, func(ctx context.Context) error { return o.inner.Delete(ctx, key) })
}

// requestNoAnswer is request for a call without an answer.
func requestNoAnswer(ctx context.Context, c *Control, op Operation, call func(context.Context) error) error {
	_, err := request(ctx, c, op, func(ctx context.Context) (struct{}, error) { return struct{}{}, call(ctx) })
	return err
}
