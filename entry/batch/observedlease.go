package batch

import "time"

// observedLease is one lease row as an observer last read it, and the time for
// which the row has stayed unchanged.
//
// Failure guarded against: an observer that could not read (store down) or did
// not run (process paused) finds all counters unchanged for too long, and
// declares all live holders dead at once. The guard: only time in which the
// observer was reading counts. A gap of more than two reading intervals counts
// as one interval. Counted time never exceeds elapsed time, so this rule ends
// no lease early.
type observedLease[L any] struct {
	known   bool
	lease   L
	version uint64
	counter uint64
	// last is the time of the last reading; unchanged is the counted time since
	// the counter last changed.
	last      time.Time
	unchanged time.Duration
}

// observe records one reading of the row and reports whether it is late. now is
// the observer's own time before the read was sent.
func (s *observedLease[L]) observe(lease L, version, counter uint64, now time.Time, interval time.Duration) (late bool) {
	gap := now.Sub(s.last)
	if late = s.known && gap > 2*interval; late {
		gap = interval
	}
	if !s.known || s.version != version || s.counter != counter {
		s.unchanged = 0
	} else {
		s.unchanged += gap
	}
	s.known = true
	s.lease = lease
	s.version = version
	s.counter = counter
	s.last = now
	return late
}
