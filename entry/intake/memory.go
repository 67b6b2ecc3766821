package intake

import (
	"context"
	"sync"
	"time"

	"persimmonrock.example/decide/backlog"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	// maxMemoryAge is the time for which an entry refuses by what the scheduler last
	// said of its memory.
	maxMemoryAge = 5 * time.Second
	// memoryRetryAfter is the time after which a client that was refused for want of
	// memory may come back: jobs end, and are deleted, over minutes.
	memoryRetryAfter = 10 * time.Second
)

// memoryKeeper keeps what the scheduler last said of its free memory.
type memoryKeeper struct {
	mu     sync.Mutex
	latest dispatch.Memory
	at     time.Duration
}

// offer keeps m, as of a call that was sent at asked, unless it says nothing.
func (k *memoryKeeper) offer(m dispatch.Memory, asked time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if m.Known && asked >= k.at {
		k.latest, k.at = m, asked
	}
}

// allows reports whether a job of this cost is to be accepted at now. It takes the
// cost off what is free, since more jobs may be accepted before the scheduler says
// the next.
func (k *memoryKeeper) allows(cost int64, now time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.latest.Known || now-k.at > maxMemoryAge {
		return true
	}
	if !backlog.Fits(cost, k.latest.Free) {
		return false
	}
	k.latest.Free -= cost
	return true
}

// admitToMemory refuses a job for which the scheduler has no memory. The job may
// be the repeat of one that was accepted, so the scheduler and the store are asked
// first. Without proof that it does not run, the outcome is said to be unknown.
func (s *Service) admitToMemory(ctx context.Context, j *workload.Job) error {
	cost := backlog.Cost(j)
	if s.memory.allows(cost, s.clock.now()) || s.unconfirmed() {
		return nil
	}
	reply, answered := s.schedulerState(ctx, dispatch.StateArgs{ID: j.ID})
	if !answered || !reply.Leading {
		s.unconfirmedAt.Store(int64(s.clock.now()))
		return nil
	}
	if m := reply.Memory; reply.Known || !m.Known || backlog.Fits(cost, m.Free) {
		return nil
	}
	found, read := s.findStored(ctx, j.ID)
	if found {
		return nil
	}
	s.Counters.NoMemory.Add(1)
	proved := read && !reply.Memory.Unsettled && !s.undecided()
	s.log.Info().Str("job", string(j.ID)).Str("queue", j.Queue.Name).Int64("cost", cost).Int64("free", reply.Memory.Free).
		Int("steps", len(j.Steps)).Int("tasks", j.Tasks()).Bool("proved", proved).Msg("job refused: the scheduler has no memory for it")
	if !proved {
		return workload.ErrUndecided
	}
	return &workload.UnavailableError{RetryAfter: memoryRetryAfter, Cause: workload.ErrOverloaded}
}
