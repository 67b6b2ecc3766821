package runner

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// Filling work of a new image presses on a serving task, and half a second
// passes until a figure shows it. Beside pairs of which nothing is known the
// worker is listed, and sampled, twice as often; beside known ones it is not.
func TestUnknownPairsAreSampledTwiceAsOften(t *testing.T) {
	now := time.Hour
	r := New(Config{}, Deps{Log: zerolog.Nop(), Now: func() time.Duration { return now }})
	r.learn(&dispatch.WatchArgs{SampleEvery: 500 * time.Millisecond, SampleUnknown: 250 * time.Millisecond})
	r.weights = map[pressure.Pair]pressure.Weight{{Serving: "a", Filling: "known"}: {Value: 2, Known: true}}
	l := &life{worker: workload.Worker{Capacity: workload.Resources{CPU: 64000}}, runs: map[workload.RunID]*run{}}
	sampled := func(after time.Duration) bool {
		r.sample = nil
		now += after
		r.takeSample(l)
		return r.sample != nil
	}
	l.addRun("serves", run{image: "a", tailTarget: 18 * time.Millisecond, progress: atWork, rough: 8, rate: 1.0 / 8})
	l.addRun("known", run{image: "known", fills: true, need: workload.Resources{CPU: 6400}})
	if r.listingWait(l) != holdWait || !sampled(time.Second) || sampled(r.sampleEvery/2) {
		t.Error("beside a known pair a listing waits less, or samples are taken more often")
	}
	l.addRun("new", run{image: "new", fills: true, need: workload.Resources{CPU: 6400}})
	if r.listingWait(l) >= holdWait || !sampled(time.Second) || !sampled(r.sampleEvery/2) {
		t.Error("beside an unknown pair figures are as old as beside a known one")
	}
}
