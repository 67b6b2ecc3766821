package scheduler

import (
	"fmt"
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
)

// fleetTerm is a term whose workers all run tasks of jobs: running tasks in all,
// 40 in a job, and nothing waits.
func fleetTerm(workers, running int) (*Term, *time.Duration) {
	const width = 40
	now := time.Minute
	queue := workload.Queue{Name: "q", Service: "s", Stretch: 2, MaxAttempts: 3}
	t := loadedTerm(&now, queue)
	list := make([]*worker, workers)
	for i := range list {
		w := newWorker(workload.WorkerID(fmt.Sprint("w-", i)), fmt.Sprint("agent-", i))
		w.alive = true
		w.info = workload.Worker{ID: w.id, Service: "s", Capacity: workload.Resources{CPU: 64000, Memory: 250000}, Labels: []string{"a", "r1"}}
		t.addWorker(w)
		list[i] = w
	}
	for n := range running / width {
		step := workload.Step{Count: width, Need: workload.Resources{CPU: 2000, Memory: 5000}, Estimate: 3 * time.Second}
		t.addJob(workload.Job{ID: workload.JobID(fmt.Sprintf("%016x", n)), Queue: queue, Steps: []workload.Step{step}, Accepted: now.Milliseconds()})
	}
	placed := 0
	for _, j := range t.active {
		j.started = true
		j.each(func(id workload.TaskID, s *step, k *task) {
			w := list[placed%workers]
			placed++
			k.state, k.run, k.storedRun, k.ordered, k.agent, k.worker = taskPlaced, 1, 1, true, w.agent, w.id
			s.waiting--
			w.add(workload.RunID{Task: id, Run: 1}, s.spec)
		})
	}
	return t, &now
}

// BenchmarkFleet measures what the scheduler does for a fleet at its highest load:
// a plan with nothing to place, a tick, the encoding of one job's progress, and
// the restoring of all jobs by a successor.
func BenchmarkFleet(b *testing.B) {
	for _, size := range []struct{ workers, running int }{{1000, 7000}, {1000, 28000}, {2000, 28000}, {2000, 56000}} {
		name := fmt.Sprintf("workers:%d,running:%d/", size.workers, size.running)
		t, _ := fleetTerm(size.workers, size.running)
		b.Run(name+"plan", func(b *testing.B) {
			for b.Loop() {
				t.plan()
			}
		})
		b.Run(name+"tick", func(b *testing.B) {
			for b.Loop() {
				t.expireWorkers()
				t.beginOccurrences()
				t.updateDrains()
				t.evacuateDrained()
				t.planLayout()
				t.updateOutlook()
				t.countAgents()
				t.countDrained()
			}
		})
		b.Run(name+"encode", func(b *testing.B) {
			for b.Loop() {
				encode(t.active[0].row())
			}
		})
		var rows []rowstore.Row
		bytes := 0
		for _, j := range t.active {
			row := rowstore.Row{Key: ProgressKey(j.spec.ID), Value: encode(j.row())}
			rows = append(rows, row)
			bytes += len(row.Value)
		}
		b.Run(name+"restore", func(b *testing.B) {
			for b.Loop() {
				b.StopTimer()
				now := time.Minute
				next := loadedTerm(&now, t.active[0].queue)
				b.StartTimer()
				for _, j := range t.active {
					next.addJob(j.spec)
				}
				for _, row := range rows {
					next.restoreProgress(row, time.Now())
				}
			}
			b.ReportMetric(float64(bytes), "bytes")
		})
	}
}
