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

// Bounds of the record store.
const (
	// beginTimeout bounds the write before a keyed call; without its answer
	// the call is refused at once.
	beginTimeout = time.Second
	// settleTimeout bounds how long a record's end is tried in the background,
	// which covers a store outage of half an hour.
	settleTimeout = 40 * time.Minute
	settlePause   = 500 * time.Millisecond
	// maxPending bounds records waiting for their end to be written.
	maxPending = 10_000
)

// callState is the state of one keyed call's record.
type callState string

// The states of a record. Started without an end stands for a call that may
// have run: it is never run again.
const (
	callStarted callState = "started"
	callDone    callState = "done"
	callNotRun  callState = "not_run"
)

// callRecord is the row of one keyed non-idempotent call.
type callRecord struct {
	State callState `json:"state"`
	// Attempt names the one attempt that the record stands for.
	Attempt string `json:"attempt"`
	// Epoch is the stamp of the last write, from which the record is kept for
	// its retention; 0 if the writer did not know it.
	Epoch   structs.RetentionEpoch `json:"epoch,omitempty"`
	Request structs.RequestID      `json:"request"`
	// Digest is the hash of service and body: a key used again for something
	// else is refused.
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
	// life ends when the process does, and with it the background writes.
	life context.Context
	end  context.CancelFunc

	// Begun, Replayed and InDoubt count how keyed calls found their record;
	// Pending is how many ends are still being written, Dropped how many were
	// given up on (their keys stay in doubt, and are never run again).
	Begun, Replayed, InDoubt, Dropped atomic.Int64
	Pending                           atomic.Int64
	// Stamped counts records that the scan had to stamp, Deleted those that it
	// deleted after their retention.
	Stamped, Deleted atomic.Int64
}

// NewRecords returns a record store on table. Without epochs its records are
// not stamped.
func NewRecords(table infra.Table, epochs Epochs, events structs.Recorder, log zerolog.Logger) *Records {
	life, end := context.WithCancel(context.Background())
	return &Records{table: table, epochs: epochs, group: newGroupWriter(life, table), events: events, log: log, life: life, end: end}
}

// Close ends the background writes; keys whose end was not written stay in
// doubt.
func (r *Records) Close() { r.end() }

// Writes returns how many transactions were sent for begins and ends, and how
// many records had to be written by themselves after an unknown outcome.
func (r *Records) Writes() (transactions, alone int64) {
	return r.group.Transactions.Load(), r.group.Alone.Load()
}

// Begin writes the record before anything is sent. It returns the claim, or
// the answer of an earlier attempt, or a refusal.
//
// Failure guarded against: the same request comes again through another entry
// while the first attempt may have run; it would show as a claim lodged
// twice. The insert is conditional on the row's absence, so one attempt alone
// gets the claim; the others find its record.
func (r *Records) Begin(ctx context.Context, q Request) (*Claim, *Answer, *structs.Refusal) {
	ctx, cancel := context.WithTimeout(ctx, beginTimeout)
	defer cancel()
	c := &Claim{
		key:    structs.CallKey(q.Contract.Customer, q.Key),
		record: callRecord{State: callStarted, Attempt: rand.Text(), Request: q.ID, Digest: digest(q)},
	}
	err := r.write(ctx, c, callStarted)
	var conflict *infra.ConflictError
	if errors.As(err, &conflict) {
		return r.found(ctx, c, conflict.Current)
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
		// The insert may still land. Nothing was sent and nothing will be, so
		// the record is turned to not_run as soon as the store answers.
		r.Abandon(c)
	}
	return nil, nil, &structs.Refusal{Type: structs.RefusedStore, Status: 503, Outcome: structs.NotRun,
		Detail: "the record of the Idempotency-Key could not be written", RetryAfter: 2 * time.Second,
		Step: "call.record", Peer: "table"}
}

// found judges the record of an earlier attempt.
func (r *Records) found(ctx context.Context, c *Claim, row infra.Row) (*Claim, *Answer, *structs.Refusal) {
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

// inDoubt is the answer while an earlier attempt may have run or still runs.
func inDoubt() *structs.Refusal {
	return &structs.Refusal{Type: structs.RefusedInProgress, Status: 409, Outcome: structs.Unknown,
		Detail:     "an earlier attempt with this Idempotency-Key may have run, or runs now; it is not run again",
		RetryAfter: time.Second, Step: "call.record"}
}

// write makes the conditional write of the claim's record in the given state.
func (r *Records) write(ctx context.Context, c *Claim, state callState) error {
	record := c.record
	record.State = state
	record.Epoch = r.stamp()
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

// Finish records the answer. The caller gets it whether or not the store
// answers; until it is recorded, a repeat of the key is told that it is in
// doubt.
func (r *Records) Finish(c *Claim, a Answer) {
	c.record.Status, c.record.Headers, c.record.Body = a.Status, a.Headers, a.Body
	r.settle(c, callDone)
}

// Abandon records that the attempt is proved not to have run, so that the key
// may be used again. It waits for no other write, as Finish does: its caller is
// told to come back, and would find its own key in doubt.
func (r *Records) Abandon(c *Claim) { r.settle(c, callNotRun) }

// settle writes a record's end: at once if the store answers, else in the
// background for as long as settleTimeout.
func (r *Records) settle(c *Claim, state callState) {
	if r.Pending.Add(1) > maxPending {
		r.Pending.Add(-1)
		r.Dropped.Add(1)
		return
	}
	go func() {
		defer r.Pending.Add(-1)
		ctx, cancel := context.WithTimeout(r.life, settleTimeout)
		defer cancel()
		for !r.trySettle(ctx, c, state) {
			select {
			case <-ctx.Done():
				r.Dropped.Add(1)
				return
			case <-time.After(settlePause):
			}
		}
	}()
}

// trySettle makes one try and reports whether nothing is left to do. A
// conflict with a record of our own attempt means that its first write landed
// after all, at a version we don't know yet.
func (r *Records) trySettle(ctx context.Context, c *Claim, state callState) bool {
	try, cancel := context.WithTimeout(ctx, beginTimeout)
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

// digest is the hash of what makes two requests the same.
func digest(q Request) string {
	h := sha256.New()
	fmt.Fprintf(h, "%d:%s", len(q.Service), q.Service)
	h.Write(q.Body)
	return hex.EncodeToString(h.Sum(nil))
}

// Wait returns when every end has been written or ctx has ended, for a
// planned stop.
func (r *Records) Wait(ctx context.Context) error {
	for r.Pending.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(settlePause / 10):
		}
	}
	return nil
}
