package batch

import (
	"sync"
	"time"

	"persimmonrock.example/structs"
)

// agentsView holds the directory's agents by instance. All shards share this
// view, which is rebuilt once it is older than half of PlanEvery.
type agentsView struct {
	mu      sync.Mutex
	builtAt time.Time
	all     map[structs.InstanceID]AgentView
	// capacities is the free capacity of each instance in this view, less
	// reservations. changes counts the changes that could let a waiting job start.
	capacities map[structs.InstanceID]capacity
	changes    uint64
	revision   structs.Revision
}

// capacity is the part of an instance's state that decides whether a job fits.
type capacity struct {
	lease       structs.Incarnation
	free, total structs.Resources
}

// agents returns the directory's agents by instance, in a map that must not be
// changed, and the number of changes that could have let a waiting job start.
func (m *Manager) agents() (map[structs.InstanceID]AgentView, uint64) {
	v := &m.view
	v.mu.Lock()
	defer v.mu.Unlock()
	if time.Since(v.builtAt) < m.cfg.PlanEvery/2 {
		return v.all, v.changes
	}
	list := m.deps.Directory.Agents()
	v.all = make(map[structs.InstanceID]AgentView, len(list))
	for _, a := range list {
		v.all[a.Instance] = a
	}
	v.updateCapacities(m.reserved.capacitiesOf(list))
	if r := m.deps.Contracts.Config().Revision; r != v.revision {
		v.revision = r
		v.changes++
	}
	v.builtAt = time.Now()
	return v.all, v.changes
}

// updateCapacities counts one change if any instance is new or may accept a job
// that did not fit there before.
func (v *agentsView) updateCapacities(capacities map[structs.InstanceID]capacity) {
	for id, now := range capacities {
		if before, known := v.capacities[id]; !known || now.hasMoreThan(before) {
			v.changes++
			break
		}
	}
	v.capacities = capacities
}

// hasMoreThan reports whether a job may fit s that did not fit the earlier
// capacity. Without a free slot no job fits.
func (s capacity) hasMoreThan(before capacity) bool {
	if s.free.Slots <= 0 {
		return false
	}
	return s.lease != before.lease || s.total != before.total ||
		s.free.Slots > before.free.Slots || s.free.MilliCores > before.free.MilliCores ||
		s.free.MemoryBytes > before.free.MemoryBytes || s.free.Accelerators > before.free.Accelerators ||
		s.free.Connections > before.free.Connections
}

// capacitiesOf returns the free capacity of the instances that accept claims.
func (r *reservations) capacitiesOf(list []AgentView) map[structs.InstanceID]capacity {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make(map[structs.InstanceID]capacity, len(list))
	for i := range list {
		a := &list[i]
		if a.Lease != 0 && !a.Load.Draining {
			out[a.Instance] = capacity{a.Lease, plus(a.Load.Free, r.sums[a.Instance], -1), a.Load.Total}
		}
	}
	return out
}
