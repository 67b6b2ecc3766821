package remote

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra"
)

var (
	errTooLarge = errors.New("body greater than the protocol allows")
	errProtocol = errors.New("answer isn't of this protocol")
)

type client struct {
	base     string
	http     http.Client
	counters *Counters
}

func newClient(base string, c *http.Client, options []Option) *client {
	if c == nil {
		c = http.DefaultClient
	}
	httpClient := *c
	// Following a redirect would send the request a second time. A redirect
	// counts as an answer outside of the protocol.
	httpClient.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	created := &client{base: strings.TrimRight(base, "/"), http: httpClient, counters: NewCounters()}
	for _, o := range options {
		o(created)
	}
	return created
}

// exchange is one request; step names it in errors.
type exchange struct {
	step, method, path, content string
	body                        []byte
	// write is set if the request may change something.
	write bool
}

// do sends the request and returns the body of a successful answer.
//
// Failure guarded against: a request that took effect, or may still do so, is
// reported as one without effect, because a broken connection, a time-out or
// the answer of an intermediary is read as a refusal. Only two things prove
// that a request had no effect: no connection was ever obtained, so nothing was
// written; or a problem document of this protocol says so. net/http repeats a
// POST or PUT by itself only when no byte of it was written, unless an
// Idempotency-Key header is set. So this client must not set that header.
func (c *client) do(ctx context.Context, x exchange) ([]byte, error) {
	c.counters.countRequest(x.write)
	var sent atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, x.method, c.base+x.path, bytes.NewReader(x.body))
	if err != nil {
		return nil, c.fail(x, infra.ErrInvalid, err)
	}
	req.Header.Set(headerContent, x.content)
	req.Header.Set(headerAccept, encodingGzip)
	resp, err := c.http.Do(req)
	if err != nil {
		if !sent.Load() {
			return nil, c.fail(x, infra.ErrUnavailable, err)
		}
		return nil, c.unanswered(x, err)
	}
	defer resp.Body.Close()
	body, err := readAnswer(resp)
	if err != nil {
		return nil, c.unanswered(x, err)
	}
	if resp.StatusCode == http.StatusOK {
		c.counters.recordAnswer()
		return body, nil
	}
	return nil, c.refusal(x, resp, body)
}

func (c *client) refusal(x exchange, resp *http.Response, body []byte) error {
	var p problem
	if resp.Header.Get(headerContent) != contentProblem || decodeStrict(body, &p) != nil || p.Status != resp.StatusCode {
		return c.unanswered(x, eris.Wrapf(errProtocol, "status %d", resp.StatusCode))
	}
	cause := p.cause()
	if cause == nil || (cause == infra.ErrUnknown && !x.write) {
		return c.unanswered(x, errors.New(p.Detail))
	}
	if cause != infra.ErrUnavailable && cause != infra.ErrUnknown {
		c.counters.recordAnswer()
	}
	return c.fail(x, cause, errors.New(p.Detail))
}

// unanswered returns the error of a sent request without a valid answer:
// ErrUnknown for a write, ErrUnavailable for a read, which has no effect.
func (c *client) unanswered(x exchange, err error) error {
	if x.write {
		return c.fail(x, infra.ErrUnknown, err)
	}
	return c.fail(x, infra.ErrUnavailable, err)
}

// fail counts the cause and wraps it with the step and the peer.
func (c *client) fail(x exchange, cause, detail error) error {
	c.counters.countFailure(cause)
	return eris.Wrapf(cause, "%s at %s: %v", x.step, c.base, detail)
}

// readAll reads a whole body of at most MaxBody bytes.
func readAll(r io.Reader) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, MaxBody+1))
	if err != nil {
		return nil, err
	}
	if len(body) > MaxBody {
		return nil, errTooLarge
	}
	return body, nil
}

// decodeStrict decodes one JSON value and rejects unknown fields and trailing
// data.
func decodeStrict(body []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return err
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("data after the JSON value")
	}
	return nil
}

// kind is the kind of a call: a reading call changes nothing.
type kind bool

const (
	reading kind = false
	writing kind = true
)

// call posts request as JSON and decodes the answer.
func call[Answer any](ctx context.Context, c *client, k kind, step, path string, request any) (Answer, error) {
	var answer Answer
	x := exchange{step: step, method: http.MethodPost, path: path, content: contentJSON, write: bool(k)}
	var err error
	if x.body, err = json.Marshal(request); err != nil {
		return answer, c.fail(x, infra.ErrInvalid, err)
	}
	if len(x.body) > MaxBody {
		return answer, c.fail(x, infra.ErrInvalid, errTooLarge)
	}
	body, err := c.do(ctx, x)
	if err != nil {
		return answer, err
	}
	if err := decodeStrict(body, &answer); err != nil {
		return answer, c.unanswered(x, err)
	}
	return answer, nil
}
