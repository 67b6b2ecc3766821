package contracts

import (
	"slices"

	"persimmonrock.example/structs"
)

// maxRevisions is the number of recent revisions from which a view can compute
// a change. A process that holds another revision gets the whole configuration.
const maxRevisions = 64

// installedRevision is one revision that a view had in force.
type installedRevision struct {
	revision structs.Revision
	// removed lists customers with a contract in the preceding revision only.
	removed []structs.Customer
}

// revisions are the last revisions that a view had in force, latest last.
type revisions []installedRevision

// with appends next, which replaces the configuration before.
func (p revisions) with(before, next structs.Config) revisions {
	step := installedRevision{revision: next.Revision}
	for customer := range before.Contracts {
		if _, kept := next.Contracts[customer]; !kept {
			step.removed = append(step.removed, customer)
		}
	}
	if len(p) == maxRevisions {
		p = p[1:]
	}
	return append(slices.Clip(p), step)
}

// Since returns the change from revision r to the configuration in force, or
// nil if there is none or it can't be computed.
//
// Failure guarded against: a contract was created at r and removed again
// between two reads of this process. This process never saw the contract, so a
// change from r would not name it, and a process at r would keep it for good.
// So r must have been in force here: then its contracts are known.
func (v *View) Since(r structs.Revision) *structs.ConfigChange {
	v.mu.Lock()
	defer v.mu.Unlock()
	at := slices.IndexFunc(v.revisions, func(i installedRevision) bool { return i.revision == r })
	config := v.Config()
	if at < 0 || r == config.Revision {
		return nil
	}
	change := &structs.ConfigChange{From: r, Revision: config.Revision}
	for _, c := range config.Contracts {
		if c.Revision > r {
			change.Contracts = append(change.Contracts, c)
		}
	}
	for _, step := range v.revisions[at+1:] {
		for _, customer := range step.removed {
			if _, again := config.Contracts[customer]; !again && !slices.Contains(change.Removed, customer) {
				change.Removed = append(change.Removed, customer)
			}
		}
	}
	return change
}
