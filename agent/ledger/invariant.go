package ledger

import (
	"time"

	"persimmonrock.example/structs"
)

// trailLength is the number of recent steps that a violation report includes.
const trailLength = 64

// Step is one recent change of the ledger.
type Step struct {
	At      time.Time
	What    string
	Request structs.RequestID
	Server  string
	InUse   int
}

type trail struct {
	steps    [trailLength]Step
	next     int
	reported map[string]bool
}

func (t *trail) add(now time.Time, what string, id structs.RequestID, server string, inUse int) {
	t.steps[t.next%trailLength] = Step{At: now, What: what, Request: id, Server: server, InUse: inUse}
	t.next++
}

func (t *trail) recent() []Step {
	first := max(0, t.next-trailLength)
	out := make([]Step, 0, t.next-first)
	for i := first; i < t.next; i++ {
		out = append(out, t.steps[i%trailLength])
	}
	return out
}

// invariantBroken counts a violated invariant and reports each kind once.
func (l *Ledger) invariantBroken(what string) {
	l.counters.InvariantBroken++
	if l.trail.reported[what] {
		return
	}
	if l.trail.reported == nil {
		l.trail.reported = make(map[string]bool)
	}
	l.trail.reported[what] = true
	if l.config.OnBroken != nil {
		l.config.OnBroken(what, l.trail.recent())
	}
}
