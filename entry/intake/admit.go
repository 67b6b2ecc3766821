package intake

import (
	"context"
	"sync/atomic"
	"time"

	"persimmonrock.example/decide/admission"
	"persimmonrock.example/entry/scheduler"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	// absenceTimeout bounds the read that proves that a job is not stored.
	absenceTimeout = 300 * time.Millisecond
	// unconfirmedPause is the time after an unanswered confirmation for which jobs
	// are accepted without a further one. So a scheduler that is frozen or cut off
	// delays only few jobs.
	unconfirmedPause = 2 * time.Second
	// askAge is the age up to which an outlook is a reason to ask the scheduler for
	// a newer one. While all jobs of an entry are refused, nothing else brings one.
	askAge = 20 * time.Second
	// undecidedPause is the time for which nothing is refused after an attempt whose
	// outcome is not known: the job may be stored seconds later.
	undecidedPause = 10 * time.Second
)

// admit returns an error if j is refused because it can't end while it is of
// use. Nothing is stored then.
//
// A refusal says that the job does not run. So it needs three proofs: the
// scheduler's newest outlook, the scheduler's word that it has no such job, and
// the store's that it has none. An earlier attempt may have stored the job
// through any entry, also if its answer was lost. Each proof that is missing is
// a reason to accept.
func (s *Service) admit(ctx context.Context, j *workload.Job) error {
	if !s.outlooks.enabled {
		return nil
	}
	d := admission.Describe(j)
	o, age := s.outlooks.get(s.clock.now())
	first := admission.Decide(j.Queue, d, o, min(age, admission.MaxAge))
	if !first.Refused() || age > askAge || s.refusalsPaused() {
		return nil
	}
	v, age, booked, ok := s.confirmRefusal(ctx, j, d, first)
	if !ok {
		return nil
	}
	if !s.proveAbsence(ctx, j.ID) {
		return nil
	}
	after := admission.RetryAfter(v, d, booked)
	s.Counters.TooLate.Add(1)
	s.Counters.PredictedWait.Observe(v.Wait)
	s.Counters.OutlookAge.Observe(age)
	s.log.Info().Str("job", string(j.ID)).Str("queue", j.Queue.Name).Float64("work", d.Work).Dur("chain", d.Chain).Dur("wait", v.Wait).
		Dur("excess", v.Excess).Dur("outlook_age", age).Dur("retry_after", after).Msg("job refused: it can't end while it is of use")
	return &workload.UnavailableError{RetryAfter: after, Cause: workload.ErrOverloaded}
}

// refusalsPaused reports whether nothing is refused for now.
func (s *Service) refusalsPaused() bool { return s.unconfirmed() || s.undecided() }

// unconfirmed reports whether the scheduler did not confirm a refusal just now.
func (s *Service) unconfirmed() bool { return s.within(&s.unconfirmedAt, unconfirmedPause) }

// undecided reports whether a submission of unknown outcome may still be carried
// out.
func (s *Service) undecided() bool { return s.within(&s.undecidedAt, undecidedPause) }

// within reports whether at, 0 for never, was less than pause ago.
func (s *Service) within(at *atomic.Int64, pause time.Duration) bool {
	t := time.Duration(at.Load())
	return t > 0 && s.clock.now()-t < pause
}

// confirmRefusal asks the scheduler for its newest outlook and whether it has the
// job. It returns the decision by that outlook, the outlook's age, and the time
// until which room is promised to other refused jobs; ok is false if the job is
// accepted.
func (s *Service) confirmRefusal(ctx context.Context, j *workload.Job, d admission.Job, first admission.Verdict) (v admission.Verdict, age, booked time.Duration, ok bool) {
	notice := &dispatch.RefusalNotice{Queue: j.Queue.Name, Fills: d.Fills, Work: d.Work, Excess: first.Excess}
	reply, answered := s.schedulerState(ctx, dispatch.StateArgs{ID: j.ID, Refusal: notice})
	o, age := s.outlooks.get(s.clock.now())
	switch {
	case !answered || !reply.Leading:
		s.unconfirmedAt.Store(int64(s.clock.now()))
	case reply.Known:
		s.Counters.Stored.Add(1)
		return v, age, 0, false
	case reply.RefusalConfirmed:
		v = admission.Decide(j.Queue, d, o, age)
		if v.Refused() {
			return v, age, reply.Booked, true
		}
	}
	s.Counters.Unconfirmed.Add(1)
	return v, age, 0, false
}

// proveAbsence reports whether the store has answered that it has no such job.
func (s *Service) proveAbsence(ctx context.Context, id workload.JobID) bool {
	found, read := s.findStored(ctx, id)
	return read && !found
}

// findStored reports whether the store has a job; read is false if it has not
// answered.
func (s *Service) findStored(ctx context.Context, id workload.JobID) (found, read bool) {
	ctx, cancel := context.WithTimeout(ctx, absenceTimeout)
	defer cancel()
	row, err := rowstore.Get(ctx, s.store, scheduler.JobKey(id))
	if err != nil || ctx.Err() != nil {
		s.Counters.Unread.Add(1)
		return false, false
	}
	if row.Version != 0 {
		s.Counters.Stored.Add(1)
	}
	return row.Version != 0, true
}

// noteUndecided records that it is not known whether a job is stored, and tells
// the scheduler, so that no entry refuses the client's next attempt.
func (s *Service) noteUndecided() {
	s.undecidedAt.Store(int64(s.clock.now()))
	s.notifyScheduler(dispatch.NoteArgs{Undecided: true})
}
