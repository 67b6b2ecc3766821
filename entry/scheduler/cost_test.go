package scheduler

import (
	"fmt"
	"runtime"
	"strings"
	"testing"
	"time"

	"persimmonrock.example/decide/backlog"
	"persimmonrock.example/structs/workload"
)

// Guards against an estimate that falls behind what the scheduler keeps of a job.
func TestCostOfAJobCoversItsMemory(t *testing.T) {
	for _, c := range []struct {
		name         string
		steps, tasks int
		label        int
	}{{"ordinary", 2, 8, 0}, {"many long steps", 100, 1, 500}, {"wide", 1, workload.MaxTasks, 0}, {"many steps", workload.MaxSteps, 1, 0}} {
		const jobs = 200
		kept := make([]*job, jobs)
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		cost := int64(0)
		for n := range kept {
			spec := workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", n)), Payload: "p"}
			for range c.steps {
				spec.Steps = append(spec.Steps, workload.Step{Count: c.tasks, Label: strings.Repeat("a", c.label)})
			}
			kept[n] = newJob(spec)
			kept[n].addDue(time.Time{})
			cost += backlog.Cost(&spec)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		if got := int64(after.HeapAlloc - before.HeapAlloc); got > cost {
			t.Errorf("%s: a job takes %d bytes, estimated at %d", c.name, got/jobs, cost/jobs)
		} else {
			t.Logf("%s: a job takes %d bytes, estimated at %d", c.name, got/jobs, cost/jobs)
		}
		runtime.KeepAlive(kept)
	}
}
