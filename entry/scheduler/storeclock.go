package scheduler

import (
	"errors"
	"time"

	"persimmonrock.example/infra/rowstore"
)

// storeClock maps the store's clock to this process's. It is unknown until a
// first answer of the store is recorded.
type storeClock struct {
	store time.Duration
	local time.Duration
}

func (c storeClock) known() bool { return c.store > 0 }

// errNoStoreTime means that no answer of the store has had its time.
var errNoStoreTime = errors.New("the store's answers have no time")

// recordStoreTime records the store's time from an answer that has just arrived, to a
// request that was sent at asked. The caller holds mu.
func (t *Term) recordStoreTime(at rowstore.Stamp, asked time.Duration) {
	if at.Now == 0 {
		return
	}
	t.storeClock = storeClock{store: at.Now, local: t.deps.Now()}
	if at.Age > 0 || at.Lag > 0 {
		// The store may have read its clock before the request.
		return
	}
	if b := (storeBound{store: at.Now, asked: asked}); t.storeBound.store == 0 || b.at(t.deps.Now()) < t.storeBound.at(t.deps.Now()) {
		t.storeBound = b
	}
}

// storeBound bounds the store's clock from above: the store read it as store after the
// local time asked.
type storeBound struct{ store, asked time.Duration }

// at returns the latest time that the store's clock can show at the local time now.
func (b storeBound) at(now time.Duration) time.Duration {
	return b.store + time.Duration((1+clockDrift)*float64(now-b.asked))
}

// boundMs is at in milliseconds, for a row; 0 if nothing is known.
func (b storeBound) boundMs(now time.Duration) int64 {
	if b.store == 0 {
		return 0
	}
	return b.at(now).Milliseconds() + 1
}

// storeNow is the store's present time, in milliseconds. It is known once the
// term is loaded. The caller holds mu.
func (t *Term) storeNow() int64 {
	return (t.storeClock.store + t.deps.Now() - t.storeClock.local).Milliseconds()
}
