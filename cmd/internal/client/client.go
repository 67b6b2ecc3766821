// Package client is a typed client of an entry's HTTP interface for the
// operators' commands. A refusal is returned as a *structs.Refusal.
package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/ops/problem"
	"persimmonrock.example/structs"
)

const (
	// maxAnswer bounds the part of an answer that is read into memory, in
	// bytes.
	maxAnswer = 256 << 20
	// maxAttempts bounds the attempts at an idempotent request. firstDelay is
	// the delay before the second attempt; each further delay is twice as long.
	maxAttempts = 3
	firstDelay  = 200 * time.Millisecond
)

// Names of the headers that entries use besides the standard ones.
const (
	headerOperation = "Operation-Id"
	headerRevision  = "Persimmonrock-Revision"
)

// Client sends requests to one entry or to the balancer in front of all
// entries.
type Client struct {
	server string
	key    string
	http   *http.Client
}

// New returns a client of the entry at the base URL server that authenticates
// with key. transport may be nil.
func New(server, key string, transport http.RoundTripper) *Client {
	return &Client{
		server: strings.TrimRight(server, "/"),
		key:    key,
		http:   &http.Client{Transport: transport},
	}
}

type request struct {
	method string
	path   string
	header http.Header
	body   any
	// idempotent marks a request that has the same effect when it is sent
	// twice.
	idempotent bool
}

// answer is a successful response that was read to its end.
type answer struct {
	header http.Header
	body   []byte
}

// do sends r and decodes the answer into out, unless out is nil.
func (c *Client) do(ctx context.Context, r request, out any) (answer, error) {
	var body []byte
	if r.body != nil {
		encoded, err := json.Marshal(r.body)
		if err != nil {
			return answer{}, eris.Wrapf(err, "%s %s: encode", r.method, r.path)
		}
		body = encoded
	}
	a, err := c.sendWithRetries(ctx, r, body)
	if err != nil || out == nil {
		return a, err
	}
	if err := json.Unmarshal(a.body, out); err != nil {
		return a, eris.Wrapf(err, "%s %s at %s: decode the answer", r.method, r.path, c.server)
	}
	return a, nil
}

// sendWithRetries sends r until it is answered, at most maxAttempts times. A
// request that isn't idempotent is sent once, because a change whose answer was
// lost may have taken effect.
func (c *Client) sendWithRetries(ctx context.Context, r request, body []byte) (answer, error) {
	delay := firstDelay
	for attempt := 1; ; attempt++ {
		a, err := c.send(ctx, r, body)
		var refused *structs.Refusal
		if err == nil || errors.As(err, &refused) || !r.idempotent || attempt == maxAttempts {
			return a, err
		}
		select {
		case <-ctx.Done():
			return a, err
		case <-time.After(delay):
		}
		delay *= 2
	}
}

func (c *Client) send(ctx context.Context, r request, body []byte) (answer, error) {
	q, err := http.NewRequestWithContext(ctx, r.method, c.server+r.path, bytes.NewReader(body))
	if err != nil {
		return answer{}, eris.Wrapf(err, "%s %s", r.method, r.path)
	}
	for name, values := range r.header {
		q.Header[name] = values
	}
	q.Header.Set("Authorization", "Bearer "+c.key)
	if r.body != nil {
		q.Header.Set("Content-Type", "application/json")
	}
	got, err := c.http.Do(q)
	if err != nil {
		return answer{}, eris.Wrapf(err, "%s %s", r.method, r.path)
	}
	defer got.Body.Close()
	text, err := io.ReadAll(io.LimitReader(got.Body, maxAnswer))
	if err != nil {
		return answer{}, eris.Wrapf(err, "%s %s at %s: read the answer", r.method, r.path, c.server)
	}
	if got.StatusCode >= 300 {
		return answer{}, problem.Decode(got.StatusCode, got.Header, text)
	}
	return answer{header: got.Header, body: text}, nil
}

func (c *Client) get(ctx context.Context, path string, out any) (answer, error) {
	return c.do(ctx, request{method: http.MethodGet, path: path, idempotent: true}, out)
}
