package logs

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Limit bounds the lines of a process: so many a second below the warning
// level, and as many again from there on. It counts what it leaves out. A
// flood of one kind of line must not cost the processor time that the
// process's work needs. A dependency that is regained, and a term that begins
// or ends, is told as a warning like its loss: an entry that schedules for 69
// workers writes 500 decisions in some seconds, which would crowd it out.
type Limit struct {
	// PerSecond is the most lines of one second.
	PerSecond int
	// Now is the clock; nil means time.Now.
	Now func() time.Time

	mu      sync.Mutex
	second  int64
	lines   [2]int
	skipped int64
}

var _ zerolog.Sampler = (*Limit)(nil)

// Sample implements zerolog.Sampler.
func (l *Limit) Sample(level zerolog.Level) bool {
	kind := 0
	if level >= zerolog.WarnLevel {
		kind = 1
	}
	now := time.Now
	if l.Now != nil {
		now = l.Now
	}
	second := now().Unix()
	l.mu.Lock()
	defer l.mu.Unlock()
	if second != l.second {
		l.second = second
		l.lines = [2]int{}
	}
	l.lines[kind]++
	if l.lines[kind] > l.PerSecond {
		l.skipped++
		return false
	}
	return true
}

// Skipped counts the lines that were left out.
func (l *Limit) Skipped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.skipped
}
