// Package intake handles clients' calls about jobs that consist of steps. It
// accepts a job once it is stored, reports states and cancels jobs.
package intake

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"persimmonrock.example/entry/scheduler"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/wait"
	"persimmonrock.example/ops/histogram"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	// writePause is the pause before a write is repeated.
	writePause = 60 * time.Millisecond
	// refusedRetryTime bounds the retries of a write that certainly had no
	// effect: the client's refusal must come at once.
	refusedRetryTime = 250 * time.Millisecond
	// retryAfter is the time after which a refused client may retry. Outages of
	// the store last seconds, and a client waits for three seconds.
	retryAfter = time.Second
	// peerTimeout bounds a request to the scheduler.
	peerTimeout = 300 * time.Millisecond
	// noteTimeout bounds the notification of the scheduler of a stored job or
	// cancellation. Without notification the scheduler finds the row in the store's feed.
	noteTimeout = 500 * time.Millisecond
	// unavailableAfter is the time without an answer of the store, direct or
	// through another entry, after which the store counts as unavailable. The
	// configuration feed answers every half second, or within 0.9 s if the
	// store is slow.
	unavailableAfter = 1400 * time.Millisecond
	// unavailableCheckInterval is the time between two checks of the store's
	// availability during a call.
	unavailableCheckInterval = 100 * time.Millisecond
)

// Counters count an entry's calls.
type Counters struct {
	Accepted, Repeated, Refused, Undecided, States, StateReads, Cancels atomic.Int64
	// TooLate counts jobs that were refused because they could not end while of
	// use. Unconfirmed, Stored and Unread count jobs that were accepted although
	// the entry's outlook said so: the scheduler did not confirm it, the job was
	// stored already, or the store did not tell in time. Outlooks counts the
	// outlooks received.
	TooLate, Unconfirmed, Stored, Unread, Outlooks atomic.Int64
	// NoMemory counts jobs that were refused since the scheduler had no memory for
	// them.
	NoMemory atomic.Int64
	// PredictedWait is the wait predicted for refused jobs, OutlookAge the age of
	// the outlook by which they were refused.
	PredictedWait, OutlookAge histogram.Latency
	// Submission is the time from a job's arrival to the answer, State the time
	// from a request for a job's state to the answer.
	Submission, State histogram.Latency
}

// Figures returns the counters for display.
func (c *Counters) Figures() map[string]any {
	return map[string]any{
		"accepted": c.Accepted.Load(), "repeated": c.Repeated.Load(), "refused": c.Refused.Load(), "undecided": c.Undecided.Load(),
		"states": c.States.Load(), "state_reads": c.StateReads.Load(), "cancels": c.Cancels.Load(),
		"too_late": c.TooLate.Load(), "no_memory": c.NoMemory.Load(), "unconfirmed": c.Unconfirmed.Load(), "already_stored": c.Stored.Load(), "unread": c.Unread.Load(),
		"outlooks": c.Outlooks.Load(), "predicted_wait_ms": c.PredictedWait.Summary(), "outlook_age_ms": c.OutlookAge.Summary(),
		"hand_in_ms": c.Submission.Summary(), "state_ms": c.State.Summary(),
	}
}

// Service answers the clients' calls.
type Service struct {
	store    rowstore.Store
	config   *Follower
	elector  *scheduler.Elector
	log      zerolog.Logger
	clock    *StoreClock
	stopping atomic.Bool
	outlooks outlookKeeper
	memory   memoryKeeper
	// The scheduler last did not confirm a refusal at unconfirmedAt, and the
	// outcome of a submission was last unknown at undecidedAt; 0 for never. Both
	// are local times.
	unconfirmedAt, undecidedAt atomic.Int64
	Counters                   Counters
}

// New returns a service.
func New(store rowstore.Store, config *Follower, elector *scheduler.Elector, clock *StoreClock, log zerolog.Logger) *Service {
	s := &Service{store: store, config: config, elector: elector, clock: clock, log: log}
	s.outlooks.enabled = elector.Policies().Admission.Enabled
	s.outlooks.received = &s.Counters.Outlooks
	return s
}

// Stop marks the process as about to end: Ready returns false from then on.
func (s *Service) Stop() { s.stopping.Store(true) }

// Stopping reports whether the process is about to end.
func (s *Service) Stopping() bool { return s.stopping.Load() }

// Ready reports whether the entry accepts new connections.
func (s *Service) Ready() bool {
	return !s.stopping.Load() && s.config.Current() != nil && !s.storeUnavailable()
}

// storeUnavailable reports whether the store has not answered for so long that
// a write would only make its caller wait.
func (s *Service) storeUnavailable() bool { return s.config.AnswerAge() > unavailableAfter }

// Queue returns a call's queue, the rest of its path, and the body limit in bytes.
func (s *Service) Queue(host, path string) (workload.Queue, string, int64, error) {
	c := s.config.Current()
	if c == nil {
		return workload.Queue{}, "", 0, workload.ErrNoConfig
	}
	q, rest, ok := c.Find(host, path)
	if !ok {
		return workload.Queue{}, "", 0, workload.ErrNoQueue
	}
	return q, rest, c.Limits.BodyBytes, nil
}

// Limits returns the configured limits on one client's call.
func (s *Service) Limits() workload.Limits {
	if c := s.config.Current(); c != nil {
		return c.Limits
	}
	return workload.Limits{}
}

// Submit stores j and returns nil once the store has it. All submissions of one
// identifier, at any entry, are one job.
func (s *Service) Submit(ctx context.Context, q workload.Queue, j workload.Job) error {
	begun := time.Now()
	if s.storeUnavailable() {
		// Nothing is written, so the job certainly does not run. The client may try
		// another entry at once instead of waiting here for an unknown outcome.
		s.Counters.Refused.Add(1)
		s.log.Info().Str("job", string(j.ID)).Str("queue", q.Name).Dur("heard", s.config.AnswerAge()).Msg("job refused: the store is away")
		return &workload.UnavailableError{RetryAfter: retryAfter, Cause: rowstore.ErrUnavailable}
	}
	j.Queue = q
	if err := s.admitToMemory(ctx, &j); err != nil {
		return err
	}
	if err := s.admit(ctx, &j); err != nil {
		return err
	}
	now, ok := s.clock.Now()
	if !ok {
		s.Counters.Refused.Add(1)
		s.log.Warn().Str("job", string(j.ID)).Str("queue", q.Name).Msg("job refused: the store's time is not known")
		return &workload.UnavailableError{RetryAfter: retryAfter, Cause: rowstore.ErrUnavailable}
	}
	j.Accepted = now.Milliseconds()
	value, err := json.Marshal(j)
	if err != nil {
		return eris.Wrap(err, "encode a job")
	}
	if limit := s.elector.RowBytes(); len(value) > limit {
		// The store would never take it.
		s.Counters.Refused.Add(1)
		return &workload.InvalidError{Detail: fmt.Sprintf("the job takes up %d bytes in the store, more than a row of %d", len(value), limit)}
	}
	key := scheduler.JobKey(j.ID)
	result := s.write(ctx, rowstore.Txn{
		Conds: []rowstore.Cond{{Key: key}}, Puts: []rowstore.Put{{Key: key, Value: value}},
	})
	s.log.Info().Str("job", string(j.ID)).Str("queue", q.Name).Str("outcome", result.String()).Dur("took", time.Since(begun)).
		Uint64("config", s.configVersion()).Int("steps", len(j.Steps)).Msg("job handed in")
	s.Counters.Submission.Observe(time.Since(begun))
	switch result {
	case stored:
		s.Counters.Accepted.Add(1)
		s.notifyScheduler(dispatch.NoteArgs{Job: &j})
		return nil
	case undecided:
		s.Counters.Undecided.Add(1)
		s.noteUndecided()
		return workload.ErrUndecided
	case unstorable:
		s.Counters.Refused.Add(1)
		return &workload.InvalidError{Detail: fmt.Sprintf("the store does not take the job, of %d bytes", len(value))}
	}
	s.Counters.Refused.Add(1)
	return &workload.UnavailableError{RetryAfter: retryAfter, Cause: rowstore.ErrUnavailable}
}

func (s *Service) configVersion() uint64 {
	if c := s.config.Current(); c != nil {
		return c.Version
	}
	return 0
}

// write applies a write whose condition is the absence of its row. It repeats
// the write until the outcome is known, ctx ends or the store counts as
// unavailable. If the write certainly had no effect, it is repeated for
// refusedRetryTime at most.
// A write without an answer may take effect seconds later, and only a repeat
// under the same condition shows its outcome.
func (s *Service) write(ctx context.Context, t rowstore.Txn) outcome {
	begun := time.Now()
	uncertain := false
	for {
		result, err := s.writeOnce(ctx, t)
		if err == nil {
			return result
		}
		if errors.Is(err, rowstore.ErrRefused) {
			// Earlier attempts are refused, too.
			return unstorable
		}
		uncertain = uncertain || !errors.Is(err, rowstore.ErrUnavailable)
		expired := !uncertain && time.Since(begun) > refusedRetryTime
		if ctx.Err() != nil || expired || s.storeUnavailable() {
			break
		}
		wait.For(ctx, writePause)
	}
	if uncertain {
		return undecided
	}
	return notStored
}

// writeOnce makes one attempt. It returns rowstore.ErrUnavailable only if the
// attempt had no effect.
func (s *Service) writeOnce(ctx context.Context, t rowstore.Txn) (outcome, error) {
	ctx, stop := s.untilStoreUnavailable(ctx)
	defer stop()
	stamp, err := s.store.Apply(ctx, t)
	var conflict *rowstore.ConflictError
	switch {
	case err == nil:
		s.clock.Set(stamp)
		return stored, nil
	case errors.As(err, &conflict):
		if conflict.Find(t.Conds[0].Key).Version == 0 {
			return notStored, eris.Wrap(rowstore.ErrUnknown, "conflict without the row")
		}
		// The row exists: an earlier attempt or another entry wrote it.
		s.Counters.Repeated.Add(1)
		return stored, nil
	}
	return notStored, err
}

// untilStoreUnavailable returns a context that ends once the store counts as
// unavailable.
//
// Failure guarded against: the store stops answering, and calls accepted just
// before keep their clients waiting until their deadlines, while later calls
// are refused at once. With this context the earlier calls end, too, and their
// clients can retry.
func (s *Service) untilStoreUnavailable(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	go func() {
		for wait.For(ctx, unavailableCheckInterval) {
			if s.storeUnavailable() {
				cancel()
			}
		}
	}()
	return ctx, cancel
}

// notifyScheduler notifies the scheduler without waiting for it.
func (s *Service) notifyScheduler(args dispatch.NoteArgs) {
	args.Mark = s.outlooks.mark()
	asked := s.clock.now()
	if s.elector.Note(args) {
		if term := s.elector.Term(); term != nil {
			s.memory.offer(term.Memory(), asked)
			if args.Mark.Wanted {
				s.outlooks.offer(term.Outlook(args.Mark), asked)
			}
		}
		return
	}
	leader := s.elector.Leader()
	if leader == nil {
		return
	}
	go func() {
		var reply dispatch.NoteReply
		if err := leader.Call(context.Background(), "Scheduler.Note", args, &reply, noteTimeout); err != nil {
			s.log.Debug().Err(err).Msg("scheduler has not confirmed a notification; it reads the row from the feed, too")
		}
		s.memory.offer(reply.Memory, asked)
		s.outlooks.offer(reply.Outlook, asked)
	}()
}

// State returns a job's state from the scheduler, or else from the store.
func (s *Service) State(ctx context.Context, _ workload.Queue, id workload.JobID) (workload.State, error) {
	s.Counters.States.Add(1)
	defer func(begun time.Time) { s.Counters.State.Observe(time.Since(begun)) }(time.Now())
	if !workload.ValidJobID(string(id)) {
		return "", workload.ErrNoJob
	}
	if reply, ok := s.schedulerState(ctx, dispatch.StateArgs{ID: id}); ok && reply.Known {
		return reply.State, nil
	}
	return s.readState(ctx, id)
}

func (s *Service) schedulerState(ctx context.Context, args dispatch.StateArgs) (dispatch.StateReply, bool) {
	args.Mark = s.outlooks.mark()
	asked := s.clock.now()
	if term := s.elector.Term(); term != nil {
		reply := term.State(args)
		s.memory.offer(reply.Memory, asked)
		s.outlooks.offer(reply.Outlook, asked)
		return reply, true
	}
	leader := s.elector.Leader()
	if leader == nil {
		return dispatch.StateReply{}, false
	}
	var reply dispatch.StateReply
	err := leader.Call(ctx, "Scheduler.State", args, &reply, peerTimeout)
	s.memory.offer(reply.Memory, asked)
	s.outlooks.offer(reply.Outlook, asked)
	return reply, err == nil && reply.Leading
}

// readState reads a job's state from the store. Only the store proves that a
// job does not exist.
func (s *Service) readState(ctx context.Context, id workload.JobID) (workload.State, error) {
	s.Counters.StateReads.Add(1)
	rows, err := s.rowsOf(ctx, id)
	if err != nil {
		return "", err
	}
	if rows.job == 0 {
		s.log.Info().Str("job", string(id)).Bool("cancelled", rows.cancelled).Uint64("version", rows.at).Msg("client asked for a job that does not exist")
		return "", workload.ErrNoJob
	}
	row, err := s.get(ctx, scheduler.ProgressKey(id))
	if err != nil {
		return "", err
	}
	state, err := scheduler.StoredState(row, rows.job)
	if err != nil {
		return "", err
	}
	if rows.cancelled && !state.Final() {
		state = workload.Cancelled
	}
	return state, nil
}

// jobRows is what the store has of a job as of the version at: the version of the
// job's row, 0 if there is none, and whether there is a cancellation.
type jobRows struct {
	job, at   uint64
	cancelled bool
}

// rowsOf reads which rows of a job exist. A list that leaves rows out does not prove
// that the job's row is absent.
func (s *Service) rowsOf(ctx context.Context, id workload.JobID) (jobRows, error) {
	key := scheduler.JobKey(id)
	for {
		rows, more, at, err := s.store.List(ctx, key.Table, key.Part, key.Key, key.Key+"~")
		found := jobRows{at: at.Version}
		for _, r := range rows {
			if r.Key == key {
				found.job = r.Version
			}
			found.cancelled = found.cancelled || r.Key == scheduler.CancelKey(id)
		}
		if err == nil && !more {
			return found, nil
		}
		if !s.pauseRetry(ctx) {
			return jobRows{}, &workload.UnavailableError{RetryAfter: retryAfter, Cause: cmp.Or(err, rowstore.ErrUnknown)}
		}
	}
}

func (s *Service) get(ctx context.Context, key rowstore.Key) (rowstore.Row, error) {
	for {
		row, err := rowstore.Get(ctx, s.store, key)
		if err == nil {
			return row, nil
		}
		if !s.pauseRetry(ctx) {
			return row, &workload.UnavailableError{RetryAfter: retryAfter, Cause: err}
		}
	}
}

// pauseRetry pauses before a repeated read. It returns false if ctx has ended.
func (s *Service) pauseRetry(ctx context.Context) bool {
	wait.For(ctx, writePause)
	return ctx.Err() == nil
}

// Cancel stores a job's cancellation and returns nil once it is stored, or
// workload.ErrNoJob if there was no such job before.
//
// Guards against a job that runs although its client was told, after it had
// cancelled it, that there is none: a submission without an answer may be carried
// out seconds later. It then meets the cancellation.
func (s *Service) Cancel(ctx context.Context, q workload.Queue, id workload.JobID) error {
	if !workload.ValidJobID(string(id)) {
		return workload.ErrNoJob
	}
	reply, ok := s.schedulerState(ctx, dispatch.StateArgs{ID: id})
	known := ok && reply.Known
	if !known {
		rows, err := s.rowsOf(ctx, id)
		if err != nil {
			return err
		}
		known = rows.job != 0
	}
	key := scheduler.CancelKey(id)
	result := s.write(ctx, rowstore.Txn{
		Conds: []rowstore.Cond{{Key: key}}, Puts: []rowstore.Put{{Key: key, Value: []byte("{}")}},
	})
	s.log.Info().Str("job", string(id)).Str("queue", q.Name).Bool("known", known).Str("outcome", result.String()).Msg("cancellation requested")
	switch result {
	case stored:
		s.notifyScheduler(dispatch.NoteArgs{Cancelled: id})
		if !known {
			return workload.ErrNoJob
		}
		s.Counters.Cancels.Add(1)
		return nil
	case undecided:
		return workload.ErrUndecided
	}
	return &workload.UnavailableError{RetryAfter: retryAfter, Cause: rowstore.ErrUnavailable}
}

// Waiting returns the number of a queue's jobs that have no started task.
func (s *Service) Waiting(ctx context.Context, q workload.Queue) (int, error) {
	for {
		if reply := s.schedulerWaiting(ctx, q.Name); reply.Leading {
			return reply.Waiting, nil
		}
		if !s.pauseRetry(ctx) {
			return 0, &workload.UnavailableError{RetryAfter: retryAfter, Cause: eris.New("no scheduler is known")}
		}
	}
}

func (s *Service) schedulerWaiting(ctx context.Context, queue string) dispatch.WaitingReply {
	args := dispatch.WaitingArgs{Queue: queue, Mark: s.outlooks.mark()}
	asked := s.clock.now()
	if term := s.elector.Term(); term != nil {
		reply := term.Waiting(args)
		s.outlooks.offer(reply.Outlook, asked)
		return reply
	}
	var reply dispatch.WaitingReply
	if leader := s.elector.Leader(); leader != nil {
		if err := leader.Call(ctx, "Scheduler.Waiting", args, &reply, peerTimeout); err != nil {
			s.log.Debug().Err(err).Msg("scheduler did not answer")
			return dispatch.WaitingReply{}
		}
		s.outlooks.offer(reply.Outlook, asked)
	}
	return reply
}

// outcome is the result of a write.
type outcome uint8

const (
	// notStored: the row was not written and never will be.
	notStored outcome = iota
	stored
	// undecided: the row may have been written or may still be written.
	undecided
	// unstorable: the row was not written, and the store will never take it.
	unstorable
)

func (o outcome) String() string {
	return [...]string{"not stored", "stored", "undecided", "unstorable"}[o]
}
