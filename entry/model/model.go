// Package model shares an entry's interference model between the urgent path
// and the placement of batch tasks.
package model

import (
	"sync"
	"time"

	"persimmonrock.example/decide"
)

// Shared is a decide.Interference with a lock.
type Shared struct {
	mu sync.RWMutex
	m  *decide.Interference
	// reports holds the last heartbeat of each instance. rejected counts
	// measurements that were dropped before the learner received them.
	reports    decide.Reports
	rejected   uint64
	lastForget time.Duration
}

// New returns a model without samples.
func New() *Shared { return &Shared{m: decide.NewInterference()} }

// ChooseUrgent calls decide.ChooseUrgent under the lock.
func (s *Shared) ChooseUrgent(q decide.UrgentQuery, cs []decide.Candidate) (int, decide.Hold) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return decide.ChooseUrgent(q, cs, s.m)
}

// With calls f with the model, which does not change during the call.
func (s *Shared) With(f func(*decide.Interference)) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	f(s.m)
}
