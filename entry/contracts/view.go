package contracts

import (
	"sync"
	"sync/atomic"
	"time"

	"persimmonrock.example/ops/keys"
	"persimmonrock.example/structs"
)

// snapshot is one immutable configuration with its key index.
type snapshot struct {
	config structs.Config
	byKey  map[string]structs.Customer
}

// View is the configuration in force in this process.
type View struct {
	current atomic.Pointer[snapshot]

	mu sync.Mutex
	// highestKnown is the highest revision known to this process.
	highestKnown structs.Revision
	// attempted is the end of the last confirmation, successful or not.
	attempted time.Time
	// confirmed is the time at which the table service last confirmed that
	// current is the newest.
	confirmed time.Time
	revisions revisions

	// Installed counts adopted configurations, Older those refused because
	// their revision was not above the current one.
	Installed atomic.Int64
	Older     atomic.Int64
}

// Config returns the configuration in force; Revision 0 means none yet.
func (v *View) Config() structs.Config {
	s := v.current.Load()
	if s == nil {
		return structs.Config{}
	}
	return s.config
}

// Contract returns the contract of c.
func (v *View) Contract(c structs.Customer) (structs.Contract, bool) {
	s := v.current.Load()
	if s == nil {
		return structs.Contract{}, false
	}
	contract, ok := s.config.Contracts[c]
	return contract, ok
}

// ByKey returns the contract of the caller's key. The key is hashed before any
// look-up, so that response times reveal nothing about the key.
func (v *View) ByKey(key string) (structs.Contract, bool) {
	s := v.current.Load()
	if s == nil || key == "" {
		return structs.Contract{}, false
	}
	customer, ok := s.byKey[keys.Hash(key)]
	if !ok {
		return structs.Contract{}, false
	}
	contract := s.config.Contracts[customer]
	return contract, keys.Match(contract.KeyHashes, key)
}

// Install adopts c if its revision is above the current one, and reports
// whether it has.
//
// Failure guarded against: a late message or a slow read brings an older
// configuration after a newer one is in force, and a contract reverts. The
// comparison and the swap are one step under the lock.
func (v *View) Install(c structs.Config) bool {
	next := &snapshot{config: c, byKey: make(map[string]structs.Customer)}
	for customer, contract := range c.Contracts {
		for _, h := range contract.KeyHashes {
			next.byKey[h] = customer
		}
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.Revision <= v.Config().Revision {
		v.Older.Add(1)
		return false
	}
	v.revisions = v.revisions.with(v.Config(), c)
	v.current.Store(next)
	v.highestKnown = max(v.highestKnown, c.Revision)
	v.Installed.Add(1)
	return true
}

// RecordRevision records that revision r exists and reports whether it is newer
// than the configuration in force.
func (v *View) RecordRevision(r structs.Revision) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.highestKnown = max(v.highestKnown, r)
	return r > v.Config().Revision
}

// recordConfirmation records that a confirmation ended at now.
func (v *View) recordConfirmation(now time.Time, confirmed bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.attempted = now
	if confirmed {
		v.confirmed = now
	}
}

// state returns the values by which Serve decides whether to serve.
func (v *View) state() (attempted, confirmed time.Time, behind bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.attempted, v.confirmed, v.highestKnown > v.Config().Revision
}
