package logs

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Limit is a hook of a logger that bounds the lines of a process: so many a
// second below the warning level, and as many again from there on. A flood of
// one kind of line must not cost the processor time that the process's work
// needs.
//
// What is left out is spread: over the second, so that no stretch of it is
// missing, and over the kinds of lines, told apart by their messages, so that
// the rare line which explains a failure is not crowded out by routine ones. A
// dependency that is regained, and a term that begins or ends, is told as a
// warning like its loss, for the same reason.
type Limit struct {
	// PerSecond is the most lines of one second and level.
	PerSecond int
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Tell is called after each second in which lines were left out, with
	// their numbers by message; nil for none. It must not log through the
	// limited logger.
	Tell func(leftOut map[string]int)

	mu      sync.Mutex
	second  int64
	lines   [2]count
	leftOut map[string]int
	skipped int64
}

const (
	// tenths of a second have their share of its lines each; what one does
	// not use is left for the next.
	tenths = 10
	// rareShare is the part of a second's lines that is kept for kinds of
	// which there are few.
	rareShare = 0.2
	// rareLines is how many lines of a kind in a second are few.
	rareLines = 10
)

// count is the lines of one second, in all and by message.
type count struct {
	all    int
	byKind map[string]int
}

var _ zerolog.Hook = (*Limit)(nil)

// Run implements zerolog.Hook.
func (l *Limit) Run(e *zerolog.Event, level zerolog.Level, message string) {
	pass, told := l.take(level, message)
	if told != nil && l.Tell != nil {
		l.Tell(told)
	}
	if !pass {
		e.Discard()
	}
}

// take counts a line and reports whether it is written. told is what was left
// out in the second before, if this line is the first after it.
func (l *Limit) take(level zerolog.Level, message string) (pass bool, told map[string]int) {
	now := time.Now
	if l.Now != nil {
		now = l.Now
	}
	at := now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := at.Unix(); second != l.second {
		told = l.leftOut
		l.second, l.leftOut = second, nil
		l.lines = [2]count{}
	}
	c := &l.lines[0]
	if level >= zerolog.WarnLevel {
		c = &l.lines[1]
	}
	if c.allows(l.PerSecond, at, message) {
		return true, told
	}
	l.skipped++
	if l.leftOut == nil {
		l.leftOut = map[string]int{}
	}
	l.leftOut[message]++
	return false, told
}

// allows counts a line if it may be written.
func (c *count) allows(perSecond int, at time.Time, message string) bool {
	if c.byKind == nil {
		c.byKind = map[string]int{}
	}
	tenth := at.Nanosecond()*tenths/int(time.Second) + 1
	most := int((1 - rareShare) * float64(perSecond) * float64(tenth) / tenths)
	if c.byKind[message] < rareLines {
		most = perSecond
	}
	if c.all >= most {
		return false
	}
	c.all++
	c.byKind[message]++
	return true
}

// Skipped counts the lines that were left out.
func (l *Limit) Skipped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.skipped
}

// MessageLeftOut is the line that tells, by message, how many lines of the
// second before were left out.
const MessageLeftOut = "lines left out"

// TellLeftOut returns a Limit.Tell that writes a line to log.
func TellLeftOut(log zerolog.Logger) func(map[string]int) {
	return func(leftOut map[string]int) {
		kinds := zerolog.Dict()
		sum := 0
		for message, n := range leftOut {
			kinds.Int(message, n)
			sum += n
		}
		log.Warn().Int("lines", sum).Dict("kinds", kinds).Msg(MessageLeftOut)
	}
}
