package ledger

import (
	"time"

	"persimmonrock.example/structs"
)

// WorkerTask is a task that the worker reports as running.
type WorkerTask struct {
	Key  TaskKey
	Size structs.Resources
}

// Survey replaces the tasks that the ledger counts for earlier agents by those
// that the worker still runs for them, and returns their number.
//
// Guards against an instance that runs more than it can hold. It comes about
// when an agent is killed and a new one admits calls to all slots while the
// worker still runs the old agent's tasks, until their lease lapses or they are
// fenced. Therefore a ledger with Config.Survey admits nothing before its first
// survey. Earlier agents can start no more work once the backend servers and
// the worker have accepted the new agent.
func (l *Ledger) Survey(running []WorkerTask, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, size := range l.inherited {
		l.used = sum(l.used, negative(size))
	}
	l.inherited = make(map[TaskKey]structs.Resources)
	for _, t := range running {
		if _, own := l.tasks[t.Key]; own {
			continue
		}
		t.Size.Slots = max(1, t.Size.Slots)
		t.Size.Connections = 0
		l.inherited[t.Key] = t.Size
		l.used = sum(l.used, t.Size)
	}
	l.surveyed = true
	l.trail.add(now, "survey", "", "", l.used.Slots)
	return len(l.inherited)
}

// unsettled reports whether nothing may be admitted yet.
//
// Guards against a new agent that admits work to slots in which backend servers
// still run calls of the old agent. Slots are shared by all services and by
// batch tasks, so one server's announcement is not enough, and there is no list
// of the servers. Every running server announces itself within Settle, by
// default twice the time between announcements. A server that is paused for
// longer is named by the others (see reserveAwaited).
func (l *Ledger) unsettled(now time.Time) bool {
	early := l.config.Settle > 0 && now.Sub(l.start) < l.config.Settle
	return early || (l.config.Survey && !l.surveyed)
}

// Settled reports whether work may be admitted at all.
func (l *Ledger) Settled(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.unsettled(now)
}
