package batch

import (
	"fmt"
	"testing"
	"time"

	"persimmonrock.example/entry/retention"
	"persimmonrock.example/infra"
	"persimmonrock.example/structs"
)

// testRetention is short, to save fake time; a period is a minute.
const testRetention = retention.Keep * time.Minute

// runJobs submits jobs and ends each with a result.
func (y *slotCluster) runJobs(n int) {
	y.mu.Lock()
	y.free["i0"] = instanceSlots
	y.mu.Unlock()
	for i := range n {
		y.submitJob(fmt.Sprintf("j%d", i), event{Size: 1})
		y.objects.Put(y.ctx, fmt.Sprintf("result/j%d", i), []byte("grade"))
		time.Sleep(time.Second)
		y.mu.Lock()
		y.endOne(0)
		y.mu.Unlock()
		time.Sleep(time.Second)
	}
}

// Guards against: a customer repeats a submission under its Idempotency-Key a
// day later, and the job runs again. Thousands of other jobs have ended in the
// meantime, and the shard's owner has deleted the old row to save space. Guards
// also against: rows are never deleted, and the table grows with each job.
func TestEndedJobIsFoundUntilItsRetentionEnds(t *testing.T) {
	const jobs = 10
	runSlotClusterOf(t, Config{Retain: 2, JobRetention: testRetention}, func(y *slotCluster) {
		old := structs.Job{ID: "old", Customer: "acme", Shard: structs.ShardOf("acme"), State: structs.JobDone, Epoch: 1, Submitted: 1}
		y.table.Commit(y.ctx, infra.Txn{Op: "old", Puts: []infra.Put{{Key: structs.JobKey(old.Shard, old.ID), Value: encode(old)}}})
		y.runJobs(jobs)
		bytes := 0
		for _, j := range y.jobs() {
			bytes = max(bytes, len(encode(j)))
		}
		t.Logf("the row of a final job without payload has up to %d bytes", bytes)
		began := time.Now()
		for time.Since(began) < testRetention-time.Minute {
			time.Sleep(time.Minute)
			for i := range jobs {
				spec := structs.JobSpec{Kind: "grade", Declared: structs.Resources{Slots: 1}}
				j, refused := y.m.Submit(y.ctx, structs.Job{ID: structs.JobID(fmt.Sprintf("j%d", i)), Customer: "acme", Spec: spec})
				if refused != nil || j.State != structs.JobDone || j.Epoch != 1 {
					t.Fatalf("after %s the repeat of j%d got %s, epoch %d, %v", time.Since(began), i, j.State, j.Epoch, refused)
				}
			}
			if _, err := y.objects.Get(y.ctx, "result/j0"); err != nil {
				t.Fatalf("after %s the result is gone: %v", time.Since(began), err)
			}
		}
		// The deletion takes 26 advances of the retention epoch, each up to half a
		// period late, and one expirePass.
		time.Sleep(testRetention)
		if n := len(y.jobs()); n != 0 {
			t.Errorf("%d rows are left %s after the last end", n, time.Since(began))
		}
		if _, err := y.objects.Get(y.ctx, "result/j0"); err == nil {
			t.Error("the result outlives its row")
		}
		if n := y.m.count.invariantBroken.Load(); n != 0 {
			t.Errorf("%d invariants broken", n)
		}
	})
}
