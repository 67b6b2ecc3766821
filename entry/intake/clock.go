package intake

import (
	"sync"
	"time"

	"persimmonrock.example/infra/rowstore"
)

// StoreClock estimates the store's clock from its answers.
type StoreClock struct {
	now func() time.Duration

	mu    sync.Mutex
	store time.Duration
	local time.Duration
}

// NewStoreClock returns a StoreClock; now reads the local clock.
func NewStoreClock(now func() time.Duration) *StoreClock { return &StoreClock{now: now} }

// Set records the store's clock from an answer that has just arrived.
func (c *StoreClock) Set(at rowstore.Stamp) {
	if at.Now == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.store, c.local = at.Now, c.now()
}

// Now returns the estimated time of the store's clock; ok is false until an
// answer has set it.
func (c *StoreClock) Now() (now time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.store + c.now() - c.local, c.store != 0
}
