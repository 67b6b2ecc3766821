package runner

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// Filling work of a new image presses on a serving task, and a measurement
// shows this only after half a second. While the pressure of a pair of images
// is unknown, the worker is listed and sampled twice as often; with known pairs
// it is not.
func TestUnknownPairsAreSampledTwiceAsOften(t *testing.T) {
	now := time.Hour
	r := New(Config{}, Deps{Log: zerolog.Nop(), Now: func() time.Duration { return now }})
	r.applyUpdate(&dispatch.WatchArgs{SampleEvery: 500 * time.Millisecond, SampleUnknown: 250 * time.Millisecond})
	r.weights = map[pressure.Pair]pressure.Weight{{Serving: "a", Filling: "known"}: {Value: 2, Known: true}}
	inc := &incarnation{worker: workload.Worker{Capacity: workload.Resources{CPU: 64000}}, runs: map[workload.RunID]*run{}}
	sampled := func(after time.Duration) bool {
		r.sample = nil
		now += after
		r.takeSample(inc)
		return r.sample != nil
	}
	inc.addRun("serves", run{image: "a", tailTarget: 18 * time.Millisecond, progress: startedProgress, rough: 8, rate: 1.0 / 8})
	inc.addRun("known", run{image: "known", fills: true, need: workload.Resources{CPU: 6400}})
	if r.listingWait(inc) != holdWait || !sampled(time.Second) || sampled(r.sampleInterval/2) {
		t.Error("with a known pair a listing waits less, or samples are taken more often")
	}
	inc.addRun("new", run{image: "new", fills: true, need: workload.Resources{CPU: 6400}})
	if r.listingWait(inc) >= holdWait || !sampled(time.Second) || !sampled(r.sampleInterval/2) {
		t.Error("with an unknown pair figures are as old as with a known one")
	}
}
