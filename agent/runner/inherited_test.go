package runner

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// Guards against a run that stays at the pace to which an earlier process of the
// agent has set it, though nothing needs that any more.
func TestPaceOfAnInheritedRunIsSet(t *testing.T) {
	now := time.Hour
	r := New(Config{}, Deps{Log: zerolog.Nop(), Now: func() time.Duration { return now }})
	inc := &incarnation{runs: map[workload.RunID]*run{}, worker: workload.Worker{Capacity: workload.Resources{CPU: 64000}}}
	id := workload.RunID{Task: workload.TaskID{Job: "j"}, Run: 1}
	r.applyRunning(inc, workerctl.RunStatus{Run: id, Progress: 10, Rough: 1})
	inc.runs[id].setSize(dispatch.StartOrder{Run: id, Fills: true, Image: "f", Need: workload.Resources{CPU: 1000}})
	if orders := r.planPaces(inc); len(orders) != 1 || orders[0].pace != fullPace {
		t.Errorf("pace orders %+v, want one for full pace", orders)
	}
	now += time.Second
	if orders := r.planPaces(inc); len(orders) != 0 {
		t.Errorf("pace orders %+v right after the first", orders)
	}
}
