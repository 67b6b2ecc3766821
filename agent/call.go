package agent

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sort"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"persimmonrock.example/agent/ledger"
	"persimmonrock.example/backend"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// replyGrace is the time for which a call is still answered after its budget.
const replyGrace = 50 * time.Millisecond

// callClient returns a client that sends a request once and to one place.
//
// Guards against a redirect that makes the client send the request again, to a
// server at which the request holds no slot.
func callClient(c *http.Client) *http.Client {
	out := http.Client{}
	if c != nil {
		out = *c
	} else {
		t := http.DefaultTransport.(*http.Transport).Clone()
		t.Proxy = nil
		t.MaxIdleConnsPerHost = DefaultConnections
		t.DisableCompression = true
		out.Transport = t
	}
	out.Timeout = 0
	out.Jar = nil
	out.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	return &out
}

// call admits, forwards and answers one urgent call. If the caller's budget
// ends before the backend server answers, call returns a refusal; the slot
// stays taken until the exchange ends.
func (a *Agent) call(r wire.CallRequest) wire.CallReply {
	grant, refused := a.admit(r)
	if refused != nil {
		return a.refuse(r, refused)
	}
	a.event(StepAdmitted, r, grant.Server)
	done := make(chan wire.CallReply, 1)
	go func() { done <- a.exchange(r, grant) }()
	timer := time.NewTimer(r.Budget + replyGrace)
	defer timer.Stop()
	select {
	case reply := <-done:
		return reply
	case <-timer.C:
		a.counters.overBudget.Add(1)
		return a.refuse(r, a.refusal(structs.RefusedDeadline, structs.Unknown, "no answer within the caller's time", 0))
	}
}

func (a *Agent) admit(r wire.CallRequest) (ledger.Grant, *structs.Refusal) {
	switch {
	case r.Request == "":
		return ledger.Grant{}, a.refusal(structs.RefusedBadRequest, structs.NotRun, "no request ID", 0)
	case int64(len(r.Body)) > a.config.MaxBody:
		return ledger.Grant{}, a.refusal(structs.RefusedTooLarge, structs.NotRun, "the body is too large", 0)
	}
	grant, why := a.ledger.Admit(ledger.Request{
		ID: r.Request, Customer: r.Customer, Service: r.Service, Budget: r.Budget, Revision: r.Revision,
	}, time.Now())
	if why == ledger.Admitted {
		return grant, nil
	}
	text := admissionRefusals[why]
	return grant, a.refusal(text.kind, text.outcome, text.detail, text.after)
}

// exchange sends the request to the backend server, reads the whole answer and
// updates the ledger. It has no deadline: a caller that disconnects frees no
// slot.
func (a *Agent) exchange(r wire.CallRequest, g ledger.Grant) wire.CallReply {
	resp, body, sent, err := a.send(r, g)
	now := time.Now()
	if err != nil {
		return a.exchangeFailed(r, sent, err, now)
	}
	if why := backend.Refusal(resp.Header.Get(backend.HeaderRefused)); why != "" {
		return a.guardRefused(r, why, now)
	}
	if id := resp.Header.Get(backend.HeaderRequest); id != "" && id != string(r.Request) {
		a.ledger.Cut(r.Request, now)
		a.counters.foreignAnswers.Add(1)
		return a.refuse(r, a.refusal(structs.RefusedAnswerLost, structs.Unknown, "the answer is to another request", 0))
	}
	a.ledger.Answered(r.Request, now)
	if int64(len(body)) > a.config.MaxBody {
		return a.refuse(r, a.refusal(structs.RefusedTooLarge, structs.Unknown, "the answer is too large", 0))
	}
	a.counters.answered.Add(1)
	a.event(StepAnswered, r, strconv.Itoa(resp.StatusCode))
	return wire.CallReply{
		Request: r.Request, Status: resp.StatusCode, Headers: answerHeaders(resp.Header), Body: body, Load: a.load(),
	}
}

// send returns the whole answer. sent is false only if there was no connection,
// so that no byte of the request can have been sent.
func (a *Agent) send(r wire.CallRequest, g ledger.Grant) (resp *http.Response, body []byte, sent bool, err error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	ctx := httptrace.WithClientTrace(context.Background(), trace)
	target := strings.TrimSuffix(g.Address, "/") + "/" + strings.TrimPrefix(g.CallPath, "/")
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, nil, false, eris.Wrapf(err, "request to backend server %s", g.Server)
	}
	requestHeaders(req, r, g)
	resp, err = a.client.Do(req)
	if err != nil {
		return nil, nil, connected.Load(), eris.Wrapf(err, "send to backend server %s", g.Server)
	}
	defer resp.Body.Close()
	body, err = readWhole(resp, a.config.MaxBody)
	return resp, body, true, err
}

// readWhole reads to the end of the answer, which net/http checks against
// Content-Length or the last chunk. It returns at most limit+1 bytes of the
// body and discards the rest: the server works until all of it is sent.
func readWhole(resp *http.Response, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if err == nil && resp.ContentLength < 0 && resp.Close && len(resp.TransferEncoding) == 0 {
		// Only the end of the connection marks the end of the body, and a crash
		// of the server ends the connection, too.
		err = errUnframed
	}
	return body, eris.Wrap(err, "read the answer")
}

var errUnframed = errors.New("the answer has neither a length nor chunks")

// exchangeFailed handles a call whose exchange ended without a whole answer.
func (a *Agent) exchangeFailed(r wire.CallRequest, sent bool, err error, now time.Time) wire.CallReply {
	if !sent {
		a.ledger.NotRun(r.Request, now)
		a.counters.dialFailed.Add(1)
		return a.refuse(r, a.refusal(structs.RefusedUnreachable, structs.NotRun, err.Error(), retryDial))
	}
	a.ledger.Cut(r.Request, now)
	a.counters.cut.Add(1)
	return a.refuse(r, a.refusal(structs.RefusedAnswerCut, structs.Unknown, err.Error(), 0))
}

// guardRefused handles a call that the backend server's guard refused.
func (a *Agent) guardRefused(r wire.CallRequest, why backend.Refusal, now time.Time) wire.CallReply {
	a.counters.guardRefused.Add(1)
	if why == backend.RefusedActive {
		a.ledger.Cut(r.Request, now)
		return a.refuse(r, a.refusal(structs.RefusedInProgress, structs.Unknown, "the request runs already", 0))
	}
	a.ledger.NotRun(r.Request, now)
	kind := structs.RefusedFenced
	switch why {
	case backend.RefusedLeaving:
		kind = structs.RefusedDraining
	case backend.RefusedFull:
		kind = structs.RefusedNoCapacity
	}
	return a.refuse(r, a.refusal(kind, structs.NotRun, "backend server: "+string(why), retrySoon))
}

func (a *Agent) refuse(r wire.CallRequest, why *structs.Refusal) wire.CallReply {
	a.counters.refused.Add(1)
	a.event(StepCallRefused, r, string(why.Type)+" "+string(why.Outcome))
	return wire.CallReply{Request: r.Request, Refused: why, Load: a.load()}
}

func (a *Agent) event(step structs.Step, r wire.CallRequest, detail string) {
	a.deps.Events.Record(structs.Event{Step: step, Request: r.Request, Customer: r.Customer, Detail: detail})
}

// hopHeaders are not passed on: those of one connection, and Authorization.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
	"Authorization": true,
}

// ownPrefix is the prefix of header names that only the agent and the server's
// guard set.
const ownPrefix = "Persimmonrock-"

// requestHeaders sets the headers of a request to the backend server.
//
// Guards against a request that is sent twice. It comes about when a kept
// connection breaks: net/http repeats a POST by itself if the request has an
// Idempotency-Key or X-Idempotency-Key. net/http looks for the canonical names,
// so both are sent in lower case, which is the same header to the server.
func requestHeaders(req *http.Request, r wire.CallRequest, g ledger.Grant) {
	for _, h := range r.Headers {
		name := http.CanonicalHeaderKey(h.Name)
		switch {
		case hopHeaders[name] || strings.HasPrefix(name, ownPrefix):
		case name == "Idempotency-Key" || name == "X-Idempotency-Key":
			lower := strings.ToLower(name)
			req.Header[lower] = append(req.Header[lower], h.Value)
		default:
			req.Header.Add(name, h.Value)
		}
	}
	req.Header.Set(backend.HeaderRequest, string(r.Request))
	req.Header.Set(backend.HeaderCustomer, string(r.Customer))
	req.Header.Set(backend.HeaderAgent, uintText(uint64(g.Agent)))
	req.Header.Set(backend.HeaderBackend, uintText(g.Backend))
}

// answerHeaders returns the headers for the caller, sorted by name.
func answerHeaders(h http.Header) []wire.Header {
	var out []wire.Header
	for name, values := range h {
		if hopHeaders[name] || strings.HasPrefix(name, ownPrefix) {
			continue
		}
		for _, v := range values {
			out = append(out, wire.Header{Name: name, Value: v})
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

func uintText(n uint64) string { return strconv.FormatUint(n, 10) }
