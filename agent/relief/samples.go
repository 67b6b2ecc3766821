package relief

import (
	"math"
	"slices"
	"strings"
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

const (
	// minInformativeCalls is the least number of calls with which a window always
	// replaces the last sample. Calls differ in size, so fewer calls are weak evidence.
	minInformativeCalls = 3
	// maxInformativeAge is the age at which the last sample is replaced even by a
	// window of fewer than minInformativeCalls calls.
	maxInformativeAge = 10 * time.Second
	// countResolution is the unit to which mean counts of tasks are rounded. A
	// rounded count takes two or three bytes of a heartbeat, an exact one nine.
	countResolution = 1.0 / 16
)

type numberedSample struct {
	sample wire.Sample
	number uint64
	at     time.Duration
}

// samples holds the latest recorded measurement of each service.
type samples struct {
	lastNumber uint64
	latest     map[structs.Service]numberedSample
}

func newSamples() samples { return samples{latest: make(map[structs.Service]numberedSample)} }

func (s *samples) record(now time.Duration, observed decide.Sample) {
	before, known := s.latest[observed.Service]
	if known && observed.Calls < minInformativeCalls && now-before.at < maxInformativeAge {
		return
	}
	s.lastNumber++
	s.latest[observed.Service] = numberedSample{sample: toWire(observed), number: s.lastNumber, at: now}
}

// Sent maps each service to the number of its last measurement that was sent to
// one receiver.
type Sent map[structs.Service]uint64

// next chooses, of the services with an unsent measurement, the service whose last
// sent measurement is the oldest. It returns the unsent measurement and records its
// number in sent.
func (s *samples) next(sent Sent) []wire.Sample {
	best := numberedSample{}
	for name, k := range s.latest {
		if k.number <= sent[name] {
			continue
		}
		before := sent[best.sample.Service]
		if best.number == 0 || sent[name] < before || (sent[name] == before && name < best.sample.Service) {
			best = k
		}
	}
	if best.number == 0 {
		return nil
	}
	sent[best.sample.Service] = best.number
	return []wire.Sample{best.sample}
}

// toWire copies a sample, whose Together is a reused buffer, and rounds its counts.
func toWire(sample decide.Sample) wire.Sample {
	out := wire.Sample{Service: sample.Service, Band: uint8(sample.Band), ServiceTime: sample.ServiceTime, Calls: sample.Calls}
	for _, t := range sample.Together {
		if count := math.Round(t.Count/countResolution) * countResolution; count > 0 {
			out.Together = append(out.Together, wire.KindCount{Kind: t.Kind, Count: count})
		}
	}
	slices.SortFunc(out.Together, func(a, b wire.KindCount) int { return strings.Compare(string(a.Kind), string(b.Kind)) })
	return out
}
