package intake

import (
	"sync"
	"sync/atomic"
	"time"

	"persimmonrock.example/decide/forecast"
	"persimmonrock.example/entry/scheduler"
	"persimmonrock.example/wire/dispatch"
)

// outlookKeeper keeps the newest outlook that a scheduler has sent. Outlooks
// travel on replies that pass between entries and the scheduler anyway; nothing
// is asked for them alone.
type outlookKeeper struct {
	// enabled says that jobs are admitted by outlooks.
	enabled bool

	mu     sync.Mutex
	epoch  uint64
	latest forecast.Outlook
	// madeAt is the latest time, by the local clock, at which the outlook may have
	// been made.
	madeAt time.Duration
	// received counts the outlooks that were kept.
	received *atomic.Int64
}

// mark names the outlook that is kept.
func (k *outlookKeeper) mark() dispatch.OutlookMark {
	if !k.enabled {
		return dispatch.OutlookMark{}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	return dispatch.OutlookMark{Wanted: true, Epoch: k.epoch, At: k.latest.At}
}

// offer keeps the outlook of a reply, which may be nil, to a request sent at
// asked, if it is newer. Replies may overtake each other, and a scheduler that
// was replaced may still answer. The outlook's age counts from the request, so
// that the age is never too low by a delayed reply.
func (k *outlookKeeper) offer(m *dispatch.Outlook, asked time.Duration) {
	if m == nil || !k.enabled {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if m.Epoch < k.epoch || m.Epoch == k.epoch && m.At <= k.latest.At {
		return
	}
	k.epoch, k.latest, k.madeAt = m.Epoch, scheduler.DecodeOutlook(m), asked-m.Age
	k.received.Add(1)
}

// get returns the outlook that is kept and its age at now.
func (k *outlookKeeper) get(now time.Duration) (o forecast.Outlook, age time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.latest, now - k.madeAt
}
