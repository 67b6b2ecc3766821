package ledger

import (
	"time"

	"persimmonrock.example/backend"
)

// awaitedTimeout is the time for which slots stay reserved for a server that
// has not accepted this agent.
const awaitedTimeout = 30 * time.Second

// awaited is a server that has not accepted this agent yet and that may still
// run calls of the previous agent.
type awaited struct {
	slots int
	since time.Time
}

// reserveAwaited handles an announcement by a server that has not accepted this
// agent. It reserves that server's slots if another agent used it, and those of
// the servers that it names, while this agent doesn't know what they run.
//
// Guards against an instance that runs more than it can hold. It comes about
// when an agent is killed while two backend servers work: the new agent
// receives the first one's announcement and admits calls to all free slots
// before it learns what the second one runs. Therefore each server's first
// announcement to a new agent repeats the names that the previous agent gave
// it. A server that has announced itself has its slots reserved until it has
// accepted this agent, since the answer that asks for this may be lost.
func (l *Ledger) reserveAwaited(s *server, a backend.Announcement, now time.Time) {
	if a.AgentSession == l.session {
		return
	}
	for name, slots := range a.Peers {
		l.reserveSlots(name, slots, now)
	}
	if a.AgentSession != "" {
		l.reserveSlots(s.name, a.Slots, now)
	}
}

func (l *Ledger) reserveSlots(name string, slots int, now time.Time) {
	_, kept := l.awaited[name]
	s := l.servers[name]
	if kept || slots < 1 || (s != nil && s.everReady) {
		return
	}
	l.awaited[name] = awaited{slots: slots, since: now}
	l.used.Slots += slots
	l.trail.add(now, "await", "", name, l.used.Slots)
}

// releaseAwaited frees the slots that were reserved for a server: its calls are
// in the ledger, or it has not accepted this agent in time.
func (l *Ledger) releaseAwaited(name string, now time.Time) {
	kept, ok := l.awaited[name]
	if !ok {
		return
	}
	delete(l.awaited, name)
	l.used.Slots -= kept.slots
	l.trail.add(now, "arrived", "", name, l.used.Slots)
}

// peers returns the other servers that may run calls, with their slots.
func (l *Ledger) peers(s *server, now time.Time) map[string]int {
	out := make(map[string]int, len(l.servers)+len(l.awaited))
	for name, kept := range l.awaited {
		out[name] = kept.slots
	}
	for name, o := range l.servers {
		idle := o.inUse == 0 && (o.leaving || now.Sub(o.lastContact) > l.config.AnnounceTimeout)
		if o != s && !idle {
			out[name] = max(o.announced.Slots, 1)
		}
	}
	delete(out, s.name)
	return out
}

func (l *Ledger) expireAwaited(now time.Time) {
	for name, kept := range l.awaited {
		if now.Sub(kept.since) > awaitedTimeout {
			l.releaseAwaited(name, now)
		}
	}
}
