package relay

import "sync"

// sharedReads makes reads for other entries one at a time. Reads with the same
// key that wait at the same time share one read of the store. None joins a read
// that has begun: its answer may be older than the request.
//
// Guards against an entry whose link carries several copies of a large row, so
// that the entry's own copy arrives late.
type sharedReads struct {
	// semaphore admits one read at a time.
	semaphore chan struct{}

	mu      sync.Mutex
	waiting map[any]*sharedRead
}

// sharedRead is a read that has not begun or is in progress; done is closed once
// answer is set.
type sharedRead struct {
	done   chan struct{}
	answer answer
}

func newSharedReads() *sharedReads {
	return &sharedReads{semaphore: make(chan struct{}, 1), waiting: map[any]*sharedRead{}}
}

// do returns the answer of read, or of the read that another caller has queued
// under the same key. key must be comparable.
func (s *sharedReads) do(key any, read func() answer) answer {
	s.mu.Lock()
	r := s.waiting[key]
	if r == nil {
		r = &sharedRead{done: make(chan struct{})}
		s.waiting[key] = r
		go s.run(key, r, read)
	}
	s.mu.Unlock()
	<-r.done
	return r.answer
}

// run makes the read once no other read is in progress. From then on, no further
// caller joins it.
func (s *sharedReads) run(key any, r *sharedRead, read func() answer) {
	s.semaphore <- struct{}{}
	s.mu.Lock()
	delete(s.waiting, key)
	s.mu.Unlock()
	r.answer = read()
	close(r.done)
	<-s.semaphore
}
