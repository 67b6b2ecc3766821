package urgent

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

const (
	// writeTimeout bounds one attempt to write a record. A keyed call whose
	// first write is not answered in this time is refused.
	writeTimeout = time.Second
	// finalTimeout bounds the attempts to write a record's final state; it
	// covers a store outage of half an hour.
	finalTimeout = 40 * time.Minute
	finalPause   = 500 * time.Millisecond
	// maxPending bounds the records whose final state is still to be written.
	maxPending = 10_000
)

type callState string

// The states of a record. A call whose record stays at callStarted may have run
// and is never run again.
const (
	callStarted callState = "started"
	callDone    callState = "done"
	callNotRun  callState = "not_run"
)

// callRecord is the row of one keyed non-idempotent call.
type callRecord struct {
	State callState `json:"state"`
	// Attempt identifies the attempt that wrote the record to claim the call.
	Attempt string `json:"attempt"`
	// Epoch is the epoch of the last write, from which the record's retention
	// counts; 0 if the writer did not know the epoch.
	Epoch   structs.RetentionEpoch `json:"epoch,omitempty"`
	Request structs.RequestID      `json:"request"`
	// Digest is the hash of service and body: a key used again for another
	// request is refused.
	Digest  string        `json:"digest"`
	Status  int           `json:"status,omitempty"`
	Headers []wire.Header `json:"headers,omitempty"`
	Body    []byte        `json:"body,omitempty"`
}

// Claim is the right of one attempt to run a keyed call.
type Claim struct {
	key     string
	version uint64
	record  callRecord
}

// Records keeps the records of keyed calls in the table service.
type Records struct {
	table  infra.Table
	epochs Epochs
	group  *groupWriter
	events structs.Recorder
	log    zerolog.Logger
	// lifetime ends at Close, and with it the background writes.
	lifetime context.Context
	stop     context.CancelFunc

	// Begun counts keyed calls that got a claim, Replayed those answered from a
	// record, InDoubt those refused because an earlier attempt may have run. Pending
	// counts final states still being written, Dropped those abandoned: calls of
	// these keys stay in doubt and are never run again.
	Begun, Replayed, InDoubt, Dropped atomic.Int64
	Pending                           atomic.Int64
	// Stamped counts records to which the sweep added an epoch, Deleted those that
	// it deleted after their retention.
	Stamped, Deleted atomic.Int64
}

// NewRecords returns a record store on table. If epochs is nil, records get no
// epoch.
func NewRecords(table infra.Table, epochs Epochs, events structs.Recorder, log zerolog.Logger) *Records {
	lifetime, stop := context.WithCancel(context.Background())
	return &Records{table: table, epochs: epochs, group: newGroupWriter(lifetime, table), events: events, log: log, lifetime: lifetime, stop: stop}
}

// Close ends the background writes; keys whose final state was not written stay
// in doubt.
func (r *Records) Close() { r.stop() }

// Writes returns the numbers of transactions sent and of records written
// separately after an unknown outcome.
func (r *Records) Writes() (transactions, resolved int64) {
	return r.group.Transactions.Load(), r.group.Resolved.Load()
}

// Begin writes the record before the call is sent to an agent. It returns the
// claim, or the answer of an earlier attempt, or a refusal.
//
// Failure guarded against: the same request arrives again through another entry
// while the first attempt may have run, and the call runs twice. The insert is
// conditional on the row's absence, so only one attempt gets the claim; the
// others find its record.
func (r *Records) Begin(ctx context.Context, q Request) (*Claim, *Answer, *structs.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	c := &Claim{
		key:    structs.CallKey(q.Contract.Customer, q.Key),
		record: callRecord{State: callStarted, Attempt: rand.Text(), Request: q.ID, Digest: digest(q)},
	}
	err := r.write(ctx, c, callStarted)
	var conflict *infra.ConflictError
	if errors.As(err, &conflict) {
		return r.resolveEarlier(ctx, c, conflict.Current)
	}
	if err == nil {
		r.Begun.Add(1)
		return c, nil, nil
	}
	if errors.Is(err, infra.ErrInvalid) {
		return nil, nil, &structs.Refusal{Type: structs.RefusedBadRequest, Status: 400, Outcome: structs.NotRun,
			Detail: "the Idempotency-Key can't be the name of a record", Step: "call.record"}
	}
	if !errors.Is(err, infra.ErrUnavailable) {
		// The insert may still take effect. The call is not sent to any agent,
		// so the record is set to not_run as soon as the store answers.
		r.Abandon(c)
	}
	return nil, nil, &structs.Refusal{Type: structs.RefusedStore, Status: 503, Outcome: structs.NotRun,
		Detail: "the record of the Idempotency-Key could not be written", RetryAfter: 2 * time.Second,
		Step: "call.record", Peer: "table"}
}

// resolveEarlier claims, answers or refuses a call that has an earlier record.
func (r *Records) resolveEarlier(ctx context.Context, c *Claim, row infra.Row) (*Claim, *Answer, *structs.Refusal) {
	var earlier callRecord
	if err := json.Unmarshal(row.Value, &earlier); err != nil {
		return nil, nil, &structs.Refusal{Type: structs.RefusedInternal, Status: 500, Outcome: structs.Unknown,
			Detail: "the record of the Idempotency-Key can't be read", Step: "call.record", Peer: "table"}
	}
	if earlier.Digest != c.record.Digest {
		return nil, nil, &structs.Refusal{Type: structs.RefusedKeyReused, Status: 422, Outcome: structs.NotRun,
			Detail: "the Idempotency-Key was used for another request", Step: "call.record"}
	}
	switch earlier.State {
	case callDone:
		r.Replayed.Add(1)
		return nil, &Answer{Status: earlier.Status, Headers: earlier.Headers, Body: earlier.Body, Replayed: true}, nil
	case callNotRun:
		c.version = row.Version
		return r.takeOver(ctx, c)
	}
	r.InDoubt.Add(1)
	return nil, nil, inDoubt()
}

// takeOver claims a record whose earlier attempt is proved not to have run.
func (r *Records) takeOver(ctx context.Context, c *Claim) (*Claim, *Answer, *structs.Refusal) {
	err := r.write(ctx, c, callStarted)
	if err == nil {
		r.Begun.Add(1)
		return c, nil, nil
	}
	var conflict *infra.ConflictError
	if errors.As(err, &conflict) {
		return nil, nil, inDoubt()
	}
	if !errors.Is(err, infra.ErrUnavailable) {
		r.Abandon(c)
	}
	return nil, nil, &structs.Refusal{Type: structs.RefusedStore, Status: 503, Outcome: structs.NotRun,
		Detail: "the record of the Idempotency-Key could not be written", RetryAfter: 2 * time.Second,
		Step: "call.record", Peer: "table"}
}

// inDoubt is the refusal while an earlier attempt may have run or still runs.
func inDoubt() *structs.Refusal {
	return &structs.Refusal{Type: structs.RefusedInProgress, Status: 409, Outcome: structs.Unknown,
		Detail:     "an earlier attempt with this Idempotency-Key may have run, or runs now; it is not run again",
		RetryAfter: time.Second, Step: "call.record"}
}

// write makes the conditional write of the claim's record in the given state.
func (r *Records) write(ctx context.Context, c *Claim, state callState) error {
	record := c.record
	record.State = state
	record.Epoch = r.currentEpoch()
	value, err := json.Marshal(record)
	if err != nil {
		return err
	}
	version, err := r.group.write(ctx, infra.Cond{Key: c.key, Version: c.version}, value, state == callDone)
	if err == nil {
		c.version = version
	}
	return err
}

// Finish records the answer in the background; the caller does not wait for
// the store. Until the record is written, a repeat is refused as in doubt.
func (r *Records) Finish(c *Claim, a Answer) {
	c.record.Status, c.record.Headers, c.record.Body = a.Status, a.Headers, a.Body
	r.writeFinal(c, callDone)
}

// Abandon records that the attempt is proved not to have run, so that the key may
// be used again. Unlike Finish it makes a prompt write: the client is asked to
// retry, and must not find its own key in doubt.
func (r *Records) Abandon(c *Claim) { r.writeFinal(c, callNotRun) }

// writeFinal writes a record's final state in the background, with retries for
// up to finalTimeout.
func (r *Records) writeFinal(c *Claim, state callState) {
	if r.Pending.Add(1) > maxPending {
		r.Pending.Add(-1)
		r.Dropped.Add(1)
		return
	}
	go func() {
		defer r.Pending.Add(-1)
		ctx, cancel := context.WithTimeout(r.lifetime, finalTimeout)
		defer cancel()
		for !r.tryWriteFinal(ctx, c, state) {
			select {
			case <-ctx.Done():
				r.Dropped.Add(1)
				return
			case <-time.After(finalPause):
			}
		}
	}()
}

// tryWriteFinal tries the write once and reports whether no more is needed. A
// conflict with a record of the claim's own attempt means that an earlier write
// took effect after all, at a version not known yet.
func (r *Records) tryWriteFinal(ctx context.Context, c *Claim, state callState) bool {
	try, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := r.write(try, c, state)
	var conflict *infra.ConflictError
	if errors.Is(err, infra.ErrInvalid) {
		r.Dropped.Add(1)
		return true
	}
	if !errors.As(err, &conflict) {
		return err == nil
	}
	var current callRecord
	if json.Unmarshal(conflict.Current.Value, &current) != nil || current.Attempt != c.record.Attempt {
		return true
	}
	c.version = conflict.Current.Version
	return current.State == state
}

// digest returns the hash of the service and body, which identify a request.
func digest(q Request) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s", len(q.Service), q.Service)
	h.Write(q.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// Wait returns when every final state has been written or abandoned, or ctx has
// ended, for a planned stop.
func (r *Records) Wait(ctx context.Context) error {
	for r.Pending.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(finalPause / 10):
		}
	}
	return nil
}
