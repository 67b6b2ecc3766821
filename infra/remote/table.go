package remote

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"persimmonrock.example/infra"
)

type table struct{ client *client }

// NewTable returns the table service at base, such as "http://10.0.0.7:8300".
// A nil client means http.DefaultClient; contexts bound each request.
func NewTable(base string, c *http.Client, options ...Option) infra.Table {
	return &table{client: newClient(base, c, options)}
}

// Get implements infra.Table.
func (t *table) Get(ctx context.Context, key string) (infra.Row, error) {
	if err := infra.CheckKey(key); err != nil {
		return infra.Row{}, err
	}
	r, err := call[row](ctx, t.client, reading, "table get", pathGet, getRequest{Key: key})
	return r.row(), err
}

// Scan implements infra.Table.
func (t *table) Scan(ctx context.Context, prefix, after string, limit int) ([]infra.Row, error) {
	if err := infra.CheckKey(prefix + after); err != nil {
		return nil, err
	}
	request := scanRequest{Prefix: prefix, After: after, Limit: limit}
	found, err := call[rows](ctx, t.client, reading, "table scan", pathScan, request)
	if err != nil {
		return nil, err
	}
	return mapSlice(found.Rows, row.row), nil
}

// Commit implements infra.Table.
func (t *table) Commit(ctx context.Context, txn infra.Txn) ([]uint64, error) {
	const step = "table commit"
	if err := txn.Validate(); err != nil {
		return nil, err
	}
	answer, err := call[commitAnswer](ctx, t.client, writing, step, pathCommit, commitOf(txn))
	if err != nil {
		return nil, err
	}
	if len(answer.Versions) != len(txn.Puts) {
		err := errors.New("another number of versions than of puts")
		return nil, t.client.fail(exchange{step: step}, infra.ErrUnknown, err)
	}
	return answer.Versions, nil
}

type objects struct{ client *client }

// NewObjects returns the object store at base. A nil client means
// http.DefaultClient.
func NewObjects(base string, c *http.Client, options ...Option) infra.Objects {
	return &objects{client: newClient(base, c, options)}
}

func (o *objects) do(ctx context.Context, step, method, key string, body []byte) ([]byte, error) {
	x := exchange{
		step:    step,
		method:  method,
		path:    pathObjects + "?" + url.Values{paramKey: {key}}.Encode(),
		content: contentBytes,
		body:    body,
		write:   method != http.MethodGet,
	}
	if len(body) > MaxBody {
		return nil, o.client.fail(x, infra.ErrInvalid, errTooLarge)
	}
	return o.client.do(ctx, x)
}

// Put implements infra.Objects.
func (o *objects) Put(ctx context.Context, key string, body []byte) error {
	_, err := o.do(ctx, "object put", http.MethodPut, key, body)
	return err
}

// Get implements infra.Objects.
func (o *objects) Get(ctx context.Context, key string) ([]byte, error) {
	return o.do(ctx, "object get", http.MethodGet, key, nil)
}

// Delete implements infra.Objects.
func (o *objects) Delete(ctx context.Context, key string) error {
	_, err := o.do(ctx, "object delete", http.MethodDelete, key, nil)
	return err
}
