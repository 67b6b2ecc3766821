package scheduler

import (
	"testing"
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/structs/workload"
)

// Guards against moved runs that undo the trial of a pair of images: until it is
// known how much they press on each other, the pair shares one worker.
func TestUnknownPairsBearNothing(t *testing.T) {
	var l learner
	l.initMaps()
	w := newWorker("w-0", "agent-0")
	w.info.Capacity = workload.Resources{CPU: 16000}
	spare := []spareLoad{{image: "a", load: 0.5}}
	s := &workload.Step{Image: "f", Need: workload.Resources{CPU: 1800}}
	if pace := l.bearablePace(w, spare, s); pace != 0 {
		t.Errorf("pace %v with an unknown pair", pace)
	}
	for range 40 {
		l.model.Observe(pressure.Sample{Serving: "a", Load: 0.2, Used: map[string]float64{"f": 0.2}, Count: 3})
	}
	l.model.Solve(time.Second)
	if pace := l.bearablePace(w, spare, s); pace != 1 {
		t.Errorf("pace %v with a known pair and load to spare", pace)
	}
}
