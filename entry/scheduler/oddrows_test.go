package scheduler

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/rowstore/oddvalue"
	"persimmonrock.example/structs/workload"
)

// oddJob is a job of every kind of step, whose rows are damaged.
func oddJob(n int) workload.Job {
	need := workload.Resources{CPU: 100, Memory: 100}
	return workload.Job{
		ID: workload.JobID(fmt.Sprintf("%016x", n)), Queue: workload.Queue{Name: "q", Service: "s"}, Payload: "p", Accepted: 5000,
		Steps: []workload.Step{
			{Count: 9, Need: need, Estimate: time.Second}, {Count: 3, Need: need, Gang: true, After: []int{0}}, {Count: 2, Need: need, Checkpointing: true, Spread: 1},
		},
		Repeat: workload.Repeat{Count: 3, First: time.Now().UnixMilli() - 1000, Interval: 100},
	}
}

// storedRows returns the rows of a job some of whose tasks have run.
func storedRows(j workload.Job, rowBytes int) map[rowstore.Key][]byte {
	t := partsTerm(rowBytes)
	t.addJob(j)
	x := t.jobs[j.ID]
	for i, o := range x.occurrences {
		for n := range o.steps[0].tasks {
			k := &o.steps[0].tasks[n]
			k.run, k.storedRun, k.crashes, k.certain, k.checkpoint = 1+n, 1+n, n%3, n%2, "c"
			switch {
			case n < 3+i:
				k.state = taskDone
				o.steps[0].done++
				o.steps[0].waiting--
			case n < 6:
				k.state, k.agent, k.worker = taskPlaced, "node-0", "w-0"
				o.steps[0].waiting--
			}
		}
	}
	x.state = workload.Running
	rows := partsStore{JobKey(j.ID): encode(j)}
	rows.apply(x.changedRows(rowBytes))
	return rows
}

// restoreAll gives a new term the rows of earlier schedulers, lets it plan, and
// returns it.
func restoreAll(rows map[rowstore.Key][]byte, rowBytes int) *Term {
	t := partsTerm(rowBytes)
	byTable := map[string][]rowstore.Row{}
	for k, v := range rows {
		byTable[k.Table] = append(byTable[k.Table], rowstore.Row{Key: k, Value: v, Version: 7})
	}
	for _, list := range byTable {
		slices.SortFunc(list, func(a, b rowstore.Row) int { return slices.Compare([]byte(a.Key.Key), []byte(b.Key.Key)) })
	}
	t.mu.Lock()
	t.addJobRows(byTable[JobsTable])
	t.storedParts = groupParts(byTable[partsTable])
	for _, row := range byTable[progressTable] {
		t.restoreProgress(row, time.Now())
	}
	for _, row := range byTable[learntTable] {
		t.restoreLearnt(row)
		t.restoreRuntimes(row)
	}
	t.mu.Unlock()
	for i := range 8 {
		w := newWorker(workload.WorkerID(fmt.Sprint("w-", 1+i)), fmt.Sprint("node-", 1+i))
		w.alive, w.info = true, workload.Worker{ID: w.id, Service: "s", Capacity: workload.Resources{CPU: 64000, Memory: 64000}}
		t.addWorker(w)
	}
	t.plan()
	for _, j := range t.jobs {
		j.changedRows(rowBytes)
	}
	return t
}

// Failure guarded against: one odd row, left by another writer, ends each process that
// takes the lease, or holds up the jobs in the other rows.
func TestOddRowsOfOneJobLeaveTheOthersAlone(t *testing.T) {
	const damaged, sound = 1, 2
	check := func(t *testing.T, name string, key rowstore.Key, value []byte, rowBytes int) {
		t.Helper()
		defer func() {
			if r := recover(); r != nil {
				t.Errorf("%s in %s/%s %.200q: panic: %v", name, key.Table, key.Key, value, r)
			}
		}()
		rows := storedRows(oddJob(damaged), rowBytes)
		rows[key] = value
		rows[JobKey(oddJob(sound).ID)] = encode(oddJob(sound))
		term := restoreAll(rows, rowBytes)
		j := term.jobs[oddJob(sound).ID]
		if j == nil || !j.hasPlaced() {
			t.Errorf("%s in %s/%s %.200q: the other job doesn't run", name, key.Table, key.Key, value)
		}
	}
	for _, rowBytes := range []int{rowstore.DefaultRowBytes, 2048} {
		for key, whole := range storedRows(oddJob(damaged), rowBytes) {
			for _, v := range oddvalue.Whole() {
				check(t, v.Name, key, v.Text, rowBytes)
			}
			for seed := range uint64(300) {
				check(t, fmt.Sprint("seed ", seed), key, oddvalue.Mutate(rand.New(rand.NewPCG(seed, 65)), whole), rowBytes)
			}
		}
	}
}
