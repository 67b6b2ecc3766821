// Package events keeps a process's part of the time line: a bounded ring of
// typed events, stamped by a Lamport clock. It also merges and prints the parts
// of many processes.
package events

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"persimmonrock.example/structs"
)

const (
	// ringShards spreads Record over several locks.
	ringShards = 8
	// maxDetail bounds an event's text in bytes, and with it the ring's memory.
	maxDetail = 256
	// maxLogical exceeds the number of events that any deployment records.
	maxLogical = 1 << 62
	// DefaultSize is the number of events that a process keeps.
	DefaultSize = 16384
)

// Ring keeps the newest events of one process. It implements
// structs.Recorder.
type Ring struct {
	process string
	clock   atomic.Uint64
	next    atomic.Uint64
	shards  [ringShards]ringShard
}

// ringShard holds the events whose sequence number modulo ringShards is the
// shard's index.
type ringShard struct {
	mu     sync.Mutex
	events []structs.Event
	next   int
	full   bool
}

// New returns a ring of the last size events of the named process. A size
// below 1 means DefaultSize.
func New(process string, size int) *Ring {
	if size < 1 {
		size = DefaultSize
	}
	r := &Ring{process: process}
	for i := range r.shards {
		r.shards[i].events = make([]structs.Event, (size+ringShards-1)/ringShards)
	}
	return r
}

// Record stamps e with the next logical time, the wall clock and the process,
// and keeps it. It overwrites the oldest event when the ring is full.
func (r *Ring) Record(e structs.Event) {
	e.Logical = r.clock.Add(1)
	e.Wall = time.Now().Round(0)
	e.Process = r.process
	e.Detail = truncate(e.Detail)
	s := &r.shards[r.next.Add(1)%ringShards]
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events[s.next] = e
	s.next++
	if s.next == len(s.events) {
		s.next = 0
		s.full = true
	}
}

// truncate shortens s to maxDetail bytes without splitting a character.
func truncate(s string) string {
	if len(s) <= maxDetail {
		return s
	}
	return strings.ToValidUTF8(s[:maxDetail], "")
}

// Observe moves the clock to at least logical, the time in a peer's message.
// Events recorded from then on sort after those that the peer recorded before
// it sent the message. Observe ignores a time that only a faulty peer can have
// reached, since the clock would overflow.
func (r *Ring) Observe(logical uint64) {
	if logical > maxLogical {
		return
	}
	for {
		now := r.clock.Load()
		if logical <= now || r.clock.CompareAndSwap(now, logical) {
			return
		}
	}
}

// Now returns the logical time of the latest event, to be sent to peers.
func (r *Ring) Now() uint64 { return r.clock.Load() }

// Recorded returns the number of events ever recorded.
func (r *Ring) Recorded() uint64 { return r.next.Load() }

// Select returns the kept events with a logical time above after, in order. An
// empty request or job matches every event; with both, an event that carries
// either is returned.
func (r *Ring) Select(request structs.RequestID, job structs.JobID, after uint64) []structs.Event {
	out := []structs.Event{}
	for i := range r.shards {
		out = r.shards[i].appendMatches(out, request, job, after)
	}
	slices.SortFunc(out, compare)
	return out
}

func (s *ringShard) appendMatches(out []structs.Event, request structs.RequestID, job structs.JobID, after uint64) []structs.Event {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.events[:s.next]
	if s.full {
		kept = s.events
	}
	for _, e := range kept {
		if e.Logical > after && matches(e, request, job) {
			out = append(out, e)
		}
	}
	return out
}

func matches(e structs.Event, request structs.RequestID, job structs.JobID) bool {
	if request == "" && job == "" {
		return true
	}
	return request != "" && e.Request == request || job != "" && e.Job == job
}
