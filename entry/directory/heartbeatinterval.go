package directory

import (
	"math/rand/v2"
	"sync"
	"time"

	"persimmonrock.example/wire"
)

// Bytes of heartbeats.
const (
	// HeartbeatBytes is the size of one complete heartbeat and its answer on
	// the wire, with tasks of eight customers and five entries
	// (TestHeartbeatsStayWithinTheBudget checks it). It is the assumed size
	// before the first heartbeat.
	HeartbeatBytes = 560
	// HeartbeatBudget bounds an entry's heartbeat traffic in bytes per second,
	// out of a node's 4,000. Requests to the table service use the rest.
	HeartbeatBudget = 850
	// baseBytes is the size of a heartbeat that omits all it can, and
	// senderBytes that of the sender's data. A service adds serviceBytes and the
	// length of its name; a pair of customer and kind adds pairBytes and the
	// lengths of both names.
	baseBytes, senderBytes, serviceBytes, pairBytes = 140, 60, 12, 8
	// A measurement adds sampleBytes and the length of its service's name; each
	// of its kinds adds kindBytes and the length of the kind's name.
	sampleBytes, kindBytes = 30, 6
	// entryListBytes is the size of the list of five entries in an answer.
	entryListBytes = 60
	// sizeWeight is the weight of the newest size in the moving mean.
	sizeWeight = 1.0 / 8
)

// sizes holds the moving mean of heartbeat sizes.
type sizes struct {
	mu   sync.Mutex
	mean float64
}

func (s *sizes) add(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == 0 {
		s.mean = HeartbeatBytes
	}
	s.mean += sizeWeight * (float64(bytes) - s.mean)
}

func (s *sizes) get() float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.mean == 0 {
		return HeartbeatBytes
	}
	return s.mean
}

// estimatedBytes returns the estimated size of r and its answer on the wire.
func estimatedBytes(r wire.HelloRequest) int {
	n := baseBytes
	if r.Omitted.Sender == 0 {
		n += senderBytes
	}
	if r.Entries == 0 {
		n += entryListBytes
	}
	for _, s := range r.Load.Services {
		n += serviceBytes + len(s.Service)
	}
	for _, b := range r.Load.Batch {
		n += pairBytes + len(b.Customer) + len(b.Kind)
	}
	for _, sample := range r.Samples {
		n += sampleBytes + len(sample.Service)
		for _, t := range sample.Together {
			n += kindBytes + len(t.Kind)
		}
	}
	return n
}

// heartbeatInterval returns an interval that grows with the number of agents
// and the size of their heartbeats, so that an entry's traffic stays within
// HeartbeatBudget. The interval is at most MaxHeartbeat.
func (d *Directory) heartbeatInterval() time.Duration {
	d.mu.RLock()
	n := len(d.agents)
	d.mu.RUnlock()
	interval := time.Duration(float64(n) * d.sizes.get() / HeartbeatBudget * float64(time.Second))
	if interval <= d.minInterval {
		return d.minInterval
	}
	return min(max(jittered(interval), d.minInterval), MaxHeartbeat)
}

// jittered returns a random duration from 3/4 to 5/4 of d.
//
// Failure guarded against: an entry is restarted, and all agents connect within
// a few seconds. From then on their heartbeats arrive all at once, minutes
// apart, and the entry's processor and link are idle and overloaded by turns.
func jittered(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}

// Restore completes a heartbeat that omits parts that this entry has kept. ok
// is false if the entry does not hold them.
func (d *Directory) Restore(r wire.HelloRequest) (whole wire.HelloRequest, ok bool) {
	d.sizes.add(estimatedBytes(r))
	if r.Omitted == (wire.HelloSums{}) {
		return r, true
	}
	d.mu.RLock()
	rec := d.agents[r.Load.Instance]
	d.mu.RUnlock()
	if rec == nil {
		return r, false
	}
	rec.mu.Lock()
	kept := rec.lastHello
	rec.mu.Unlock()
	return r.Restore(kept)
}
