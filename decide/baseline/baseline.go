// Package baseline contains simple policies, as a careful operator would write
// them, to compare with the project's own policy: least loaded without regard to
// interference, a static split of slots between urgent calls and batch tasks, and
// eviction above a threshold without prediction. All three policies serve first
// the customer with the fewest slots relative to its share, skip jobs that don't
// fit, and trust declared sizes.
package baseline

import (
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/decide/policy"
	"persimmonrock.example/structs"
)

// LeastLoaded sends each call and task to the least loaded instance.
type LeastLoaded struct{}

// Name implements policy.Policy.
func (LeastLoaded) Name() string { return "least loaded" }

// ChooseUrgent chooses the instance of the local data centre with the smallest
// part of its slots in use. If all local instances are full, it chooses among the
// others.
func (LeastLoaded) ChooseUrgent(_ time.Duration, _ int, q decide.UrgentQuery, cs []decide.Candidate) (int, decide.Hold) {
	best, bestLoad := -1, 2.0
	start := int(q.Random % uint64(len(cs)))
	for n := range cs {
		i := (start + n) % len(cs)
		c := &cs[i]
		busy := c.InUse + c.Outstanding
		if c.Leaving || c.Draining || busy >= c.Slots || contains(q.Exclude, c.Instance) {
			continue
		}
		load := float64(busy) / float64(c.Slots)
		if c.Zone != q.Zone {
			load++
		}
		if load < bestLoad {
			best, bestLoad = i, load
		}
	}
	if best < 0 {
		return -1, decide.Hold{Reason: decide.ReasonBusy, RetryAfter: decide.RetryAfter(1, 1, 0, q.Random)}
	}
	return best, decide.Hold{}
}

func contains(ids []structs.InstanceID, id structs.InstanceID) bool {
	for _, x := range ids {
		if x == id {
			return true
		}
	}
	return false
}

// AdmitUrgent admits a call if a slot is free.
func (LeastLoaded) AdmitUrgent(_ time.Duration, a *policy.Agent, _ structs.Contract) bool {
	return a.Free.Slots >= 1
}

// AdmitBatch admits a task if its declared size fits.
func (LeastLoaded) AdmitBatch(_ time.Duration, a *policy.Agent, _ structs.Contract, need structs.Resources) bool {
	return fits(need, a.Free)
}

// Reserve keeps no slots free.
func (LeastLoaded) Reserve(time.Duration, *policy.Agent) int { return 0 }

// Place serves first the customer with the fewest slots relative to its share. Each
// job goes to the instance with the most free slots.
func (LeastLoaded) Place(_ time.Duration, v *decide.BatchView, limit int) ([]decide.Placement, map[structs.JobID]decide.Hold) {
	return place(v, limit, func(in *decide.Instance) int { return in.Free.Slots })
}

// Relieve does nothing.
func (LeastLoaded) Relieve(time.Duration, *policy.Agent) []decide.Action { return nil }

// RecordCall counts nothing.
func (LeastLoaded) RecordCall(time.Duration, structs.Customer) {}

// AllowRetry allows every further attempt.
func (LeastLoaded) AllowRetry(time.Duration, structs.Customer) bool { return true }

// ObserveMeasurement learns nothing.
func (LeastLoaded) ObserveMeasurement(time.Duration, policy.Measurement) {}

// ObserveTasks learns nothing.
func (LeastLoaded) ObserveTasks(time.Duration, int, structs.Kind, float64) {}

// ObserveLoad learns nothing.
func (LeastLoaded) ObserveLoad(time.Duration, int, structs.Service, int) {}

// ObserveUsage learns nothing.
func (LeastLoaded) ObserveUsage(structs.Customer, structs.Kind, structs.Resources, time.Duration) {}

// ObserveEnd learns nothing.
func (LeastLoaded) ObserveEnd(time.Duration, structs.InstanceID, structs.Kind, bool) {}

// StaticSplit is LeastLoaded with a fixed part of each instance's slots for
// batch tasks; the rest is for urgent calls.
type StaticSplit struct {
	LeastLoaded
	// Batch is the part of an instance's slots that batch tasks may hold.
	Batch float64
}

// Name implements policy.Policy.
func (StaticSplit) Name() string { return "static split" }

// AdmitUrgent limits calls to the slots that are not for batch tasks.
func (s StaticSplit) AdmitUrgent(_ time.Duration, a *policy.Agent, _ structs.Contract) bool {
	urgent, _ := held(a)
	return urgent < a.Total.Slots-s.batchSlots(a.Total)
}

// AdmitBatch limits tasks to the slots for batch tasks.
func (s StaticSplit) AdmitBatch(_ time.Duration, a *policy.Agent, _ structs.Contract, need structs.Resources) bool {
	_, batch := held(a)
	return batch+need.Slots <= s.batchSlots(a.Total) && fits(need, a.Free)
}

// Place places tasks as LeastLoaded does, within the slots for batch tasks.
func (s StaticSplit) Place(_ time.Duration, v *decide.BatchView, limit int) ([]decide.Placement, map[structs.JobID]decide.Hold) {
	for i := range v.Instances {
		in := &v.Instances[i]
		urgent := 0
		for _, l := range in.Services {
			urgent += l.InUse
		}
		batch := in.Total.Slots - in.Free.Slots - urgent
		in.Free.Slots = max(0, s.batchSlots(in.Total)-batch)
	}
	return place(v, limit, func(in *decide.Instance) int { return in.Free.Slots })
}

func (s StaticSplit) batchSlots(total structs.Resources) int {
	return int(s.Batch * float64(total.Slots))
}

func held(a *policy.Agent) (urgent, batch int) {
	for _, u := range a.Uses {
		urgent += u.Urgent
		batch += u.Batch
	}
	return urgent, batch
}

// ThresholdEviction is LeastLoaded with evictions: it evicts the task with the
// shortest run so far when a service's measured time is above a multiple of the
// service's best time.
type ThresholdEviction struct {
	LeastLoaded
	// Above is the multiple. Pause is the least time between an instance's evictions.
	Above        float64
	Pause        time.Duration
	bestTime     map[structs.Service]time.Duration
	lastEviction map[int]time.Duration
}

// NewThresholdEviction returns the policy with its default settings.
func NewThresholdEviction() *ThresholdEviction {
	return &ThresholdEviction{
		Above:        2,
		Pause:        5 * time.Second,
		bestTime:     make(map[structs.Service]time.Duration),
		lastEviction: make(map[int]time.Duration),
	}
}

// Name implements policy.Policy.
func (*ThresholdEviction) Name() string { return "threshold eviction" }

// ObserveMeasurement records the best time of each service.
func (t *ThresholdEviction) ObserveMeasurement(_ time.Duration, m policy.Measurement) {
	if b := t.bestTime[m.Service]; b == 0 || m.ServiceTime < b {
		t.bestTime[m.Service] = m.ServiceTime
	}
}

// Relieve evicts a task, at most one per Pause, if a service is above the threshold.
func (t *ThresholdEviction) Relieve(now time.Duration, a *policy.Agent) []decide.Action {
	if lastEviction, ok := t.lastEviction[a.Index]; ok && now-lastEviction < t.Pause || len(a.Tasks) == 0 {
		return nil
	}
	for _, s := range a.Pressure {
		bestTime := t.bestTime[s.Service]
		if bestTime == 0 || s.Time <= time.Duration(t.Above*float64(bestTime)) {
			continue
		}
		youngest := &a.Tasks[0]
		for i := range a.Tasks {
			if a.Tasks[i].Ran < youngest.Ran {
				youngest = &a.Tasks[i]
			}
		}
		t.lastEviction[a.Index] = now
		return []decide.Action{{Kind: decide.ActionEvict, Job: youngest.Job, Epoch: youngest.Epoch, Reason: decide.ReasonPressure}}
	}
	return nil
}

// place places up to limit jobs, each on the instance with the greatest capacity of
// those where the job fits. It always serves next the customer that holds the fewest
// slots relative to its share. A job that fits nowhere is skipped.
func place(v *decide.BatchView, limit int, capacity func(*decide.Instance) int) ([]decide.Placement, map[structs.JobID]decide.Hold) {
	var placed []decide.Placement
	queues := make(map[structs.Customer][]int)
	heldSlots := make(map[structs.Customer]int)
	var customers []structs.Customer
	for i := range v.Queue {
		c := v.Queue[i].Customer
		if queues[c] == nil {
			customers = append(customers, c)
			heldSlots[c] = v.Held[c].Slots
		}
		queues[c] = append(queues[c], i)
	}
	for len(placed) < limit {
		var next structs.Customer
		least := -1.0
		for _, c := range customers {
			ratio := float64(heldSlots[c]) / v.Contracts[c].Share
			if len(queues[c]) > 0 && (least < 0 || ratio < least) {
				next, least = c, ratio
			}
		}
		if least < 0 {
			break
		}
		i := queues[next][0]
		queues[next] = queues[next][1:]
		w := &v.Queue[i]
		target := -1
		for j := range v.Instances {
			in := &v.Instances[j]
			if !in.Draining && fits(w.Need, in.Free) && (target < 0 || capacity(in) > capacity(&v.Instances[target])) {
				target = j
			}
		}
		if target < 0 {
			continue
		}
		subtract(&v.Instances[target].Free, w.Need)
		heldSlots[next] += w.Need.Slots
		placed = append(placed, decide.Placement{Job: w.Job, Instance: v.Instances[target].ID, Index: i})
	}
	return placed, nil
}

func fits(need, free structs.Resources) bool {
	return need.Slots <= free.Slots && need.MilliCores <= free.MilliCores && need.MemoryBytes <= free.MemoryBytes
}

func subtract(free *structs.Resources, need structs.Resources) {
	free.Slots -= need.Slots
	free.MilliCores -= need.MilliCores
	free.MemoryBytes -= need.MemoryBytes
}
