package structs

import "maps"

// ConfigChange is the difference between two accepted configurations. It is
// applied as a whole, and only to a configuration of revision From.
type ConfigChange struct {
	From     Revision `json:"from"`
	Revision Revision `json:"revision"`
	// Contracts holds the contracts that are new or changed since From.
	Contracts []Contract `json:"contracts,omitempty"`
	Removed   []Customer `json:"removed,omitempty"`
}

// With returns c with d applied; c is not modified. ok is false if d.From is
// not c's revision or d.Revision is not above it.
//
// Failure guarded against: a change made for another revision, or superseded
// meanwhile, is applied. A contract is then missing or reverted, although the
// revision number says otherwise. So each change names the revision to which it
// applies.
func (c Config) With(d ConfigChange) (next Config, ok bool) {
	if d.From != c.Revision || d.Revision <= c.Revision {
		return c, false
	}
	next = Config{Revision: d.Revision, Contracts: make(map[Customer]Contract, len(c.Contracts)+len(d.Contracts))}
	maps.Copy(next.Contracts, c.Contracts)
	for _, customer := range d.Removed {
		delete(next.Contracts, customer)
	}
	for _, contract := range d.Contracts {
		next.Contracts[contract.Customer] = contract
	}
	return next, true
}
