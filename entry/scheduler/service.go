package scheduler

import (
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// ready reports whether the term has loaded all jobs and its lease is valid.
func (t *Term) ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.loaded && t.ctx.Err() == nil && t.deps.Now() < t.validUntil
}

// Note adds a job or a cancellation that an entry has just stored. Until the
// term is loaded, it adds nothing, as the term reads all rows from the store.
func (t *Term) Note(args dispatch.NoteArgs) {
	t.mu.Lock()
	if args.Undecided {
		t.sentOutlook.undecidedAt = t.deps.Now()
	}
	if t.loaded {
		if args.Job != nil && t.mayAddNoted(args.Job) {
			t.addJob(*args.Job)
		}
		if args.Cancelled != "" {
			t.cancelJob(args.Cancelled)
		}
	}
	t.mu.Unlock()
	t.wakeUp()
}

// mayAddNoted reports whether a job of which an entry notifies is added before the
// feed tells of it. A notification has no version of the row: a late one, as of an
// entry that was frozen, may be of a job that has been deleted since. The feed tells
// of each job that exists.
func (t *Term) mayAddNoted(j *workload.Job) bool {
	_, deleted := t.deleted[j.ID]
	return !deleted && t.storeNow()-j.Accepted < t.cfg.StatusFor.Milliseconds()
}

// Memory returns the memory that further jobs may take.
func (t *Term) Memory() dispatch.Memory {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.memory()
}

// memory is Memory for callers that hold mu. Entries tell the scheduler of
// submissions of unknown outcome; a new one has not been told of those before it.
func (t *Term) memory() dispatch.Memory {
	now := t.deps.Now()
	if t.deps.FreeMemory == nil || !t.loaded || now >= t.validUntil {
		return dispatch.Memory{}
	}
	undecided := t.sentOutlook.undecidedAt > 0 && now-t.sentOutlook.undecidedAt < undecidedPause
	return dispatch.Memory{Known: true, Free: t.deps.FreeMemory(), Unsettled: undecided || now-t.beganAt < undecidedPause}
}

// State returns the stored state of a job.
func (t *Term) State(args dispatch.StateArgs) dispatch.StateReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply := dispatch.StateReply{Leading: t.loaded && t.deps.Now() < t.validUntil}
	reply.Outlook = t.newerOutlook(args.Mark, args.Refusal != nil)
	reply.Memory = t.memory()
	j := t.jobs[args.ID]
	if j == nil {
		if args.Refusal != nil && reply.Leading && t.hasOutlook(args.Mark) {
			reply.RefusalConfirmed = true
			reply.Booked = t.sentOutlook.book(args.Refusal, t.deps.Now())
		}
		return reply
	}
	reply.Known = true
	reply.State = j.stored
	if j.state == workload.Cancelled && !j.stored.Final() {
		// The cancellation row is stored, though the progress row is not yet.
		reply.State = workload.Cancelled
	}
	return reply
}

// Waiting counts the jobs of a queue of which no run is known to have begun and that
// have not ended.
func (t *Term) Waiting(args dispatch.WaitingArgs) dispatch.WaitingReply {
	t.mu.Lock()
	defer t.mu.Unlock()
	reply := dispatch.WaitingReply{Leading: t.loaded && t.deps.Now() < t.validUntil, Outlook: t.newerOutlook(args.Mark, false)}
	for _, j := range t.active {
		if j.spec.Queue.Name == args.Queue && !j.begun && !j.state.Final() {
			reply.Waiting++
		}
	}
	return reply
}

// Service exposes the elector to other entries over net/rpc.
type Service struct{ Elector *Elector }

// Note passes a stored job or cancellation to the term of this process, if any.
func (s *Service) Note(args dispatch.NoteArgs, reply *dispatch.NoteReply) error {
	s.Elector.Note(args)
	if t := s.Elector.Term(); t != nil {
		reply.Outlook = t.Outlook(args.Mark)
		reply.Memory = t.Memory()
	}
	return nil
}

// State returns the stored state of a job, if this process leads, and the name
// of this process.
func (s *Service) State(args dispatch.StateArgs, reply *dispatch.StateReply) error {
	if t := s.Elector.Term(); t != nil {
		*reply = t.State(args)
	}
	reply.Process = s.Elector.cfg.Process
	return nil
}

// Lease tells whether this process holds the lease.
func (s *Service) Lease(_ dispatch.LeaseArgs, reply *dispatch.LeaseReply) error {
	reply.Process = s.Elector.cfg.Process
	reply.Version, reply.Age = s.Elector.heldLease()
	return nil
}

// Waiting returns the number of a queue's waiting jobs, if this process leads.
func (s *Service) Waiting(args dispatch.WaitingArgs, reply *dispatch.WaitingReply) error {
	if t := s.Elector.Term(); t != nil {
		*reply = t.Waiting(args)
	}
	return nil
}

// Yield ends the term in favour of args.Heir, if args.Process is this process.
func (s *Service) Yield(args dispatch.YieldArgs, reply *dispatch.YieldReply) error {
	if t := s.Elector.Term(); t != nil && args.Process == s.Elector.cfg.Process {
		reply.Agreed = t.yield(args.Heir)
	}
	return nil
}
