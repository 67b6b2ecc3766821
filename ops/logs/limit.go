package logs

import (
	"sync"
	"time"

	"github.com/rs/zerolog"
)

// Limit is a zerolog hook that bounds the lines of a process: PerSecond lines a
// second below the warning level, and as many again at or above this level. A
// flood of one kind of line must not cost processor time that the process's
// work needs.
//
// The lines left out are spread over the second, so that no part of the second
// is missing. They are also spread over the kinds of lines, distinguished by
// message: routine lines must not crowd out a rare line that explains a
// failure. For the same reason, the loss and recovery of a dependency and the
// start and end of a term are logged as warnings.
type Limit struct {
	// PerSecond is the maximum number of lines a second on each side of the
	// warning level.
	PerSecond int
	// Now returns the time; nil means time.Now.
	Now func() time.Time
	// OnLeftOut, if set, is called at the first line after a second in which
	// lines were left out, with their number by message. It must not log
	// through the limited logger.
	OnLeftOut func(leftOut map[string]int)

	mu      sync.Mutex
	second  int64
	counts  [2]count
	leftOut map[string]int
	skipped int64
}

const (
	// Each tenth of a second has an equal share of the second's lines; unused
	// shares carry over to the later tenths.
	tenths = 10
	// rareShare is the part of a second's lines reserved for rare kinds.
	rareShare = 0.2
	// rareLines is the number of lines in a second below which a kind is rare.
	rareLines = 10
)

// count counts the lines of one second, in all and by message.
type count struct {
	all    int
	byKind map[string]int
}

var _ zerolog.Hook = (*Limit)(nil)

// Run implements zerolog.Hook.
func (l *Limit) Run(e *zerolog.Event, level zerolog.Level, message string) {
	pass, report := l.admit(level, message)
	if report != nil && l.OnLeftOut != nil {
		l.OnLeftOut(report)
	}
	if !pass {
		e.Discard()
	}
}

// admit counts a line and reports whether it may be written. If the line is the
// first after a second with lines left out, report holds their number by
// message.
func (l *Limit) admit(level zerolog.Level, message string) (pass bool, report map[string]int) {
	now := time.Now
	if l.Now != nil {
		now = l.Now
	}
	at := now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := at.Unix(); second != l.second {
		report = l.leftOut
		l.second, l.leftOut = second, nil
		l.counts = [2]count{}
	}
	c := &l.counts[0]
	if level >= zerolog.WarnLevel {
		c = &l.counts[1]
	}
	if c.allows(l.PerSecond, at, message) {
		return true, report
	}
	l.skipped++
	if l.leftOut == nil {
		l.leftOut = map[string]int{}
	}
	l.leftOut[message]++
	return false, report
}

// allows reports whether a line may be written, and counts it if so.
func (c *count) allows(perSecond int, at time.Time, message string) bool {
	if c.byKind == nil {
		c.byKind = map[string]int{}
	}
	tenth := at.Nanosecond()*tenths/int(time.Second) + 1
	limit := int((1 - rareShare) * float64(perSecond) * float64(tenth) / tenths)
	if c.byKind[message] < rareLines {
		limit = perSecond
	}
	if c.all >= limit {
		return false
	}
	c.all++
	c.byKind[message]++
	return true
}

// Skipped returns the number of lines that were left out.
func (l *Limit) Skipped() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.skipped
}

// MessageLeftOut is the message of the line that counts the lines left out, by
// message.
const MessageLeftOut = "lines left out"

// LogLeftOut returns a Limit.OnLeftOut that writes a line to log.
func LogLeftOut(log zerolog.Logger) func(map[string]int) {
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
