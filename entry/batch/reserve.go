package batch

import (
	"sync"

	"persimmonrock.example/structs"
)

// reservations holds the resources of each instance's claims whose start is not
// answered, so that two rounds, or two shards of this entry, don't assign the
// same slot. This only avoids refusals: the agent's own ledger decides.
type reservations struct {
	mu   sync.Mutex
	jobs map[*tenure]map[structs.JobID]reservation
	sums map[structs.InstanceID]structs.Resources
}

type reservation struct {
	instance structs.InstanceID
	size     structs.Resources
}

func (r *reservations) add(t *tenure, j structs.Job, on structs.InstanceID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.jobs == nil {
		r.jobs = make(map[*tenure]map[structs.JobID]reservation)
		r.sums = make(map[structs.InstanceID]structs.Resources)
	}
	if r.jobs[t] == nil {
		r.jobs[t] = make(map[structs.JobID]reservation)
	}
	if _, exists := r.jobs[t][j.ID]; exists {
		return
	}
	size := j.Spec.Declared
	size.Slots = slotsOf(j)
	r.jobs[t][j.ID] = reservation{on, size}
	r.sums[on] = plus(r.sums[on], size, 1)
}

func (r *reservations) remove(t *tenure, id structs.JobID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.removeLocked(t, id)
}

func (r *reservations) removeLocked(t *tenure, id structs.JobID) {
	held, ok := r.jobs[t][id]
	if !ok {
		return
	}
	delete(r.jobs[t], id)
	if left := plus(r.sums[held.instance], held.size, -1); left == (structs.Resources{}) {
		delete(r.sums, held.instance)
	} else {
		r.sums[held.instance] = left
	}
}

func (r *reservations) removeTenure(t *tenure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for id := range r.jobs[t] {
		r.removeLocked(t, id)
	}
	delete(r.jobs, t)
}

func (r *reservations) has(t *tenure, id structs.JobID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.jobs[t][id]
	return ok
}

func (r *reservations) subtractFrom(on structs.InstanceID, free structs.Resources) structs.Resources {
	r.mu.Lock()
	defer r.mu.Unlock()
	return plus(free, r.sums[on], -1)
}

// plus returns a + sign*b.
func plus(a, b structs.Resources, sign int) structs.Resources {
	a.Slots += sign * b.Slots
	a.MilliCores += sign * b.MilliCores
	a.MemoryBytes += int64(sign) * b.MemoryBytes
	a.Accelerators += sign * b.Accelerators
	a.Connections += sign * b.Connections
	return a
}
