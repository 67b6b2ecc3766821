package logs

import (
	"sync"

	"github.com/rs/zerolog"
)

// Batch gathers events that happen to many things at about the same time, and
// logs one line for all events of a kind since the last Flush.
//
// Guards against lines about a request that are left out because hundreds of
// lines say that workers or agents were lost or came back.
type Batch struct {
	log zerolog.Logger

	mu     sync.Mutex
	kinds  []Kind
	events map[Kind]*events
}

// Kind is a kind of event. Events with another reason are logged by themselves.
type Kind struct {
	Level   zerolog.Level
	Message string
	// Why is the reason; it may be empty.
	Why string
}

type events struct {
	members []string
	runs    int
}

// NewBatch returns a batch that logs to log.
func NewBatch(log zerolog.Logger) *Batch {
	return &Batch{log: log, events: map[Kind]*events{}}
}

// Add records an event that has happened to member and to runs of its runs.
func (b *Batch) Add(kind Kind, member string, runs int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.events[kind]
	if e == nil {
		e = &events{}
		b.events[kind] = e
		b.kinds = append(b.kinds, kind)
	}
	e.members = append(e.members, member)
	e.runs += runs
}

// Flush logs the events since the last Flush, in the order of their kinds' first
// events.
func (b *Batch) Flush() {
	b.mu.Lock()
	kinds, all := b.kinds, b.events
	b.kinds, b.events = nil, map[Kind]*events{}
	b.mu.Unlock()
	for _, kind := range kinds {
		e := all[kind]
		line := b.log.WithLevel(kind.Level).Int("count", len(e.members)).Strs("members", e.members).Int("runs", e.runs)
		if kind.Why != "" {
			line = line.Str("why", kind.Why)
		}
		line.Msg(kind.Message)
	}
}
