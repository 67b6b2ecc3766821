package memory

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra"
)

// Objects is an infra.Objects in memory.
type Objects struct {
	mu     sync.RWMutex
	bodies map[string][]byte

	reads, writes, rewrites atomic.Uint64
}

// NewObjects returns an empty object store.
func NewObjects() *Objects { return &Objects{bodies: make(map[string][]byte)} }

// Reads returns the number of gets served.
func (o *Objects) Reads() uint64 { return o.reads.Load() }

// Writes returns the number of puts and deletes served.
func (o *Objects) Writes() uint64 { return o.writes.Load() }

// Rewrites counts puts that would have changed the body of an existing key.
// Each violates an invariant of its caller: two different results under one key
// mean that a fenced holder wrote the key before or after its successor did.
func (o *Objects) Rewrites() uint64 { return o.rewrites.Load() }

// Len returns the number of objects.
func (o *Objects) Len() int {
	o.mu.RLock()
	defer o.mu.RUnlock()
	return len(o.bodies)
}

// Put implements infra.Objects. A put of another body under an existing
// key is refused with infra.ErrInvalid and counted in Rewrites.
func (o *Objects) Put(ctx context.Context, key string, body []byte) error {
	if err := checkContext(ctx); err != nil {
		return err
	}
	o.writes.Add(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	if old, ok := o.bodies[key]; ok {
		if bytes.Equal(old, body) {
			return nil
		}
		o.rewrites.Add(1)
		return eris.Wrapf(infra.ErrInvalid, "object put %s: another body is there", key)
	}
	o.bodies[key] = slices.Clone(body)
	return nil
}

// Get implements infra.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	if err := checkContext(ctx); err != nil {
		return nil, err
	}
	o.reads.Add(1)
	o.mu.RLock()
	defer o.mu.RUnlock()
	body, ok := o.bodies[key]
	if !ok {
		return nil, eris.Wrapf(infra.ErrNotFound, "object get %s", key)
	}
	return append([]byte{}, body...), nil
}

// Delete implements infra.Objects; deleting an absent key is not an error.
func (o *Objects) Delete(ctx context.Context, key string) error {
	if err := checkContext(ctx); err != nil {
		return err
	}
	o.writes.Add(1)
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.bodies, key)
	return nil
}
