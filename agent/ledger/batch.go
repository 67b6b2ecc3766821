package ledger

import (
	"slices"
	"strings"
	"time"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// TaskKey names one claim of a batch task.
type TaskKey struct {
	Job   structs.JobID
	Epoch structs.Epoch
}

type task struct {
	customer structs.Customer
	kind     structs.Kind
	size     structs.Resources
	// measured is the highest memory use observed.
	measured int64
}

// excess is the memory that the task uses above its declared size.
func (t *task) excess() int64 { return max(0, t.measured-t.size.MemoryBytes) }

// Reserve reserves a task's declared size, at least one slot, or returns why
// not. A task that is already in the ledger keeps its reservation.
func (l *Ledger) Reserve(k TaskKey, c structs.Customer, kind structs.Kind, size structs.Resources, now time.Time) Reason {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.tasks[k]; ok {
		return Duplicate
	}
	size.Slots = max(1, size.Slots)
	size.Connections = 0
	if l.draining {
		return Draining
	}
	if l.unsettled(now) {
		return NotReady
	}
	if !l.fits(size, l.config.Total) {
		return TooLarge
	}
	if why := l.admitTask(c, size, now); why != Admitted {
		return why
	}
	l.batchLoads = nil
	l.tasks[k] = task{customer: c, kind: kind, size: size}
	l.used = sum(l.used, size)
	l.addUse(c, 0, size.Slots)
	l.trail.add(now, "reserve", structs.RequestID(k.Job), "", l.used.Slots)
	if !l.fits(l.used, l.config.Total) {
		l.invariantBroken("in use above capacity")
	}
	return Admitted
}

// ReleaseTask releases what a task held; the task has provably stopped.
func (l *Ledger) ReleaseTask(k TaskKey, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.tasks[k]
	if !ok {
		l.invariantBroken("task released twice")
		return
	}
	l.batchLoads = nil
	l.excess -= t.excess()
	delete(l.tasks, k)
	l.used = sum(l.used, negative(t.size))
	l.addUse(t.customer, 0, -t.size.Slots)
	l.trail.add(now, "release", structs.RequestID(k.Job), "", l.used.Slots)
	if l.used.Slots < 0 || l.used.MilliCores < 0 || l.used.MemoryBytes < 0 || l.used.Accelerators < 0 {
		l.invariantBroken("in use below zero")
	}
}

// Measured records the highest memory use observed of a task. Memory used above
// a declared size is not free for later tasks; reservations stay as admitted.
//
// Guards against tasks that the platform kills for lack of memory, again and
// again. It comes about when a job declares far less memory than it uses: by
// its declared size the instance looks empty, and more tasks are placed there.
func (l *Ledger) Measured(k TaskKey, memory int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.tasks[k]
	if !ok || memory <= t.measured {
		return
	}
	l.excess -= t.excess()
	t.measured = memory
	l.excess += t.excess()
	l.tasks[k] = t
}

// freeCapacity returns the resources that new tasks may use.
func (l *Ledger) freeCapacity() structs.Resources {
	free := sum(l.config.Total, negative(l.used))
	free.MemoryBytes = max(0, free.MemoryBytes-l.excess)
	return free
}

func (l *Ledger) fits(need, total structs.Resources) bool {
	return need.Slots <= total.Slots &&
		need.Accelerators <= total.Accelerators &&
		need.MilliCores <= total.MilliCores &&
		need.MemoryBytes <= total.MemoryBytes
}

func sum(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		Slots:        a.Slots + b.Slots,
		MilliCores:   a.MilliCores + b.MilliCores,
		MemoryBytes:  a.MemoryBytes + b.MemoryBytes,
		Accelerators: a.Accelerators + b.Accelerators,
		Connections:  a.Connections + b.Connections,
	}
}

func negative(r structs.Resources) structs.Resources {
	return structs.Resources{
		Slots: -r.Slots, MilliCores: -r.MilliCores, MemoryBytes: -r.MemoryBytes,
		Accelerators: -r.Accelerators, Connections: -r.Connections,
	}
}

// Load returns the agent's load as the ledger has it, with the next sequence
// number.
func (l *Ledger) Load(now time.Time) wire.Load {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sequence++
	load := wire.Load{
		Instance:    l.config.Instance,
		Process:     l.session,
		Incarnation: l.incarnation,
		Sequence:    l.sequence,
		Draining:    l.draining,
		Total:       l.config.Total,
		Free:        l.freeCapacity(),
	}
	for name, list := range l.services {
		sl := wire.ServiceLoad{Service: name, Idempotent: true, Leaving: true}
		for _, s := range list {
			if s.state(now, l.config.AnnounceTimeout) != Admitted {
				continue
			}
			sl.Leaving = false
			sl.Slots += min(s.announced.Slots, s.announced.Connections)
			sl.InUse += s.inUse
			sl.ServiceTime = max(sl.ServiceTime, s.expected(now))
		}
		for _, s := range list {
			sl.Idempotent = sl.Idempotent && s.announced.Idempotent
		}
		load.Services = append(load.Services, sl)
	}
	slices.SortFunc(load.Services, func(a, b wire.ServiceLoad) int { return strings.Compare(string(a.Service), string(b.Service)) })
	load.Batch = l.batchLoad()
	return load
}

// batchLoad counts the running tasks by customer and kind. The list is rebuilt
// only after a task was added or removed, since every answer carries a load; a
// returned list is never changed.
func (l *Ledger) batchLoad() []wire.BatchLoad {
	if l.batchLoads != nil {
		return l.batchLoads
	}
	out := make([]wire.BatchLoad, 0, len(l.tasks))
	index := make(map[wire.BatchLoad]int)
	for _, t := range l.tasks {
		group := wire.BatchLoad{Customer: t.customer, Kind: t.kind}
		i, ok := index[group]
		if !ok {
			i = len(out)
			index[group] = i
			out = append(out, group)
		}
		out[i].Running++
	}
	l.batchLoads = out
	return out
}
