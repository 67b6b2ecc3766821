package scheduler

import (
	"testing"

	"persimmonrock.example/structs/workload"
)

// Guards against a task that starts at a worker which announces another service,
// or none that is configured, or that it leaves.
func TestWorkerIsUsedOnlyForItsService(t *testing.T) {
	w := newWorker("w", "instance")
	w.alive = true
	for _, c := range []struct {
		info workload.Worker
		want bool
	}{
		{workload.Worker{Service: "s"}, true},
		{workload.Worker{Service: "unknown"}, false},
		{workload.Worker{}, false},
		{workload.Worker{Service: "s", Draining: true}, false},
	} {
		if w.info = c.info; w.accepts("s") != c.want {
			t.Errorf("worker %+v accepted: %t", c.info, !c.want)
		}
	}
}
