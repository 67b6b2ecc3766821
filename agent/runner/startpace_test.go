package runner

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// Guards against a run that works at full pace beside a serving task on which it
// presses until the first samples after its start.
func TestRunBeginsAtTheOrderedPace(t *testing.T) {
	now := time.Hour
	r := New(Config{}, Deps{Log: zerolog.Nop(), Now: func() time.Duration { return now }})
	r.weights = map[pressure.Pair]pressure.Weight{{Serving: "a", Filling: "f"}: {Value: 2, Known: true}}
	r.base = map[string]float64{"a": 4}
	inc := &incarnation{worker: workload.Worker{Capacity: workload.Resources{CPU: 64000}}, runs: map[workload.RunID]*run{}}
	inc.addRun("serves", run{image: "a", tailTarget: 18 * time.Millisecond, progress: startedProgress, rough: 6, rate: 1.0 / 6})
	x := &run{id: workload.RunID{Task: workload.TaskID{Job: "one"}, Run: 1}, image: "f", fills: true, need: workload.Resources{CPU: 6400}, startPace: 50}
	inc.runs[x.id] = x
	r.confirmRun(inc, x, 0)
	orders := r.paceOrders(inc)
	if x.state != dispatch.RunPresent || len(orders) != 1 || orders[0].pace != 50 {
		t.Fatalf("orders %+v after the start, want a pace of 50 %%", orders)
	}
	r.planPaces(inc)
	if got := inc.paceOf(x); got <= 0.5 || got >= 1 {
		t.Errorf("next pace %.2f, want a bounded rise from 0.5", got)
	}
}
