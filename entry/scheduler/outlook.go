package scheduler

import (
	"time"

	"persimmonrock.example/decide/admission"
	"persimmonrock.example/decide/forecast"
	"persimmonrock.example/wire/dispatch"
)

const (
	// outlookInterval is the time between two forecasts for the entries.
	outlookInterval = 500 * time.Millisecond
	// outlookGap is the least time between two outlooks that one entry is sent. An
	// entry takes part in many exchanges a second, and an outlook may be larger
	// than all else in their replies.
	outlookGap = 900 * time.Millisecond
	// outlookSettle is the time from the start of a term for which it has no
	// outlook: until its agents have answered, it knows of less room than there is.
	outlookSettle = 3 * time.Second
	// agentsHeardShare is the share of the agents that must answer before the term
	// has an outlook.
	agentsHeardShare = 0.5
	// undecidedPause is the time for which no outlook is sent after an entry could
	// not tell whether its job is stored. Such a job may be stored seconds later,
	// and another entry that refused it meanwhile would be wrong.
	undecidedPause = 10 * time.Second
	// minOutlookWait is the wait below which an outlook leaves a queue out.
	minOutlookWait = 2 * time.Second
)

// outlookState holds the newest outlook of a term.
type outlookState struct {
	latest forecast.Outlook
	madeAt time.Duration
	// undecidedAt is when an entry last could not tell whether its job is stored.
	undecidedAt time.Duration
	// booked holds, by the room they would use, the time until which room is
	// promised to refused jobs.
	booked map[roomKey]time.Duration
}

// roomKey names the room for the filling or other jobs of a queue.
type roomKey struct {
	queue string
	fills bool
}

// updateOutlook makes an outlook if one is due. The caller holds mu.
func (t *Term) updateOutlook() {
	now := t.deps.Now()
	if !t.cfg.Policies.Admission.Enabled || !t.loaded || now-t.sentOutlook.madeAt < outlookInterval {
		return
	}
	t.sentOutlook.madeAt = now
	t.sentOutlook.latest = forecast.Outlook{}
	if t.outlookSettled(now) {
		t.sentOutlook.latest = forecast.Outlook{At: time.Duration(t.storeNow()) * time.Millisecond, Loads: t.predictLoads()}
	}
}

// outlookSettled reports whether the term knows enough for an outlook.
func (t *Term) outlookSettled(now time.Duration) bool {
	if now-t.beganAt < outlookSettle || t.sentOutlook.undecidedAt > 0 && now-t.sentOutlook.undecidedAt < undecidedPause {
		return false
	}
	heard := 0
	for _, l := range t.agents {
		if l.process != 0 && !l.unresponsive {
			heard++
		}
	}
	return heard > 0 && float64(heard) >= agentsHeardShare*float64(len(t.agents))
}

// Outlook returns the term's outlook if the one that mark names is older.
func (t *Term) Outlook(mark dispatch.OutlookMark) *dispatch.Outlook {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newerOutlook(mark, false)
}

// hasOutlook reports whether the term has an outlook that holds, for a caller
// that has heard of no later term. The caller holds mu.
func (t *Term) hasOutlook(mark dispatch.OutlookMark) bool {
	return mark.Wanted && t.cfg.Policies.Admission.Enabled && t.sentOutlook.latest.At > 0 && t.deps.Now() < t.validUntil && mark.Epoch <= t.epoch
}

// newerOutlook is Outlook for callers that hold mu. An outlook that is only a
// little newer is sent if the caller is about to decide by it.
func (t *Term) newerOutlook(mark dispatch.OutlookMark, decides bool) *dispatch.Outlook {
	o := &t.sentOutlook
	gap := outlookGap
	if decides {
		gap = 1
	}
	if !t.hasOutlook(mark) || mark.Epoch == t.epoch && o.latest.At-mark.At < gap {
		return nil
	}
	return encodeOutlook(o.latest, t.epoch, t.deps.Now()-o.madeAt)
}

// book returns the time until which room is promised to refused jobs, and
// promises room to one more. The caller holds mu.
func (o *outlookState) book(n *dispatch.RefusalNotice, now time.Duration) time.Duration {
	load := o.latest.Loads[n.Queue]
	cores := load.Reserved.Cores
	if n.Fills {
		cores = load.Filling.Cores
	}
	key := roomKey{queue: n.Queue, fills: n.Fills}
	before := max(0, o.booked[key]-now)
	if o.booked == nil {
		o.booked = map[roomKey]time.Duration{}
	}
	o.booked[key] = now + admission.Book(before, n.Excess, admission.Slot(n.Work, cores))
	return before
}

// encodeOutlook returns the message that carries o, without queues in which
// nobody waits for minOutlookWait.
func encodeOutlook(o forecast.Outlook, epoch uint64, age time.Duration) *dispatch.Outlook {
	m := &dispatch.Outlook{Epoch: epoch, At: o.At, Age: age}
	for queue, load := range o.Loads {
		if longestWait(load.Filling) < minOutlookWait && longestWait(load.Reserved) < minOutlookWait {
			continue
		}
		m.Loads = append(m.Loads, dispatch.QueueLoad{Queue: queue, Filling: encodeBacklog(load.Filling), Reserved: encodeBacklog(load.Reserved)})
	}
	return m
}

func longestWait(b forecast.Backlog) time.Duration {
	if len(b.Steps) == 0 {
		return 0
	}
	wait, _ := b.Wait(b.Steps[len(b.Steps)-1].UpTo)
	return wait
}

func encodeBacklog(b forecast.Backlog) dispatch.Backlog {
	m := dispatch.Backlog{Cores: b.Cores}
	for _, s := range b.Steps {
		m.UpTo = append(m.UpTo, s.UpTo)
		m.Ahead = append(m.Ahead, s.Ahead)
	}
	return m
}

// DecodeOutlook returns the outlook that a message carries.
func DecodeOutlook(m *dispatch.Outlook) forecast.Outlook {
	o := forecast.Outlook{At: m.At, Loads: make(map[string]forecast.Load, len(m.Loads))}
	for _, l := range m.Loads {
		o.Loads[l.Queue] = forecast.Load{Filling: decodeBacklog(l.Filling), Reserved: decodeBacklog(l.Reserved)}
	}
	return o
}

func decodeBacklog(m dispatch.Backlog) forecast.Backlog {
	b := forecast.Backlog{Cores: m.Cores}
	for i := range min(len(m.UpTo), len(m.Ahead)) {
		b.Steps = append(b.Steps, forecast.BacklogStep{UpTo: m.UpTo[i], Ahead: m.Ahead[i]})
	}
	return b
}
