package machines

import (
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/rowstore/oddvalue"
	"persimmonrock.example/structs/workload"
)

// overwrite puts a value of another writer into the store.
func (sim *Simulation) overwrite(key rowstore.Key, value []byte) {
	must(sim.Store.ApplyNow(rowstore.Txn{Puts: []rowstore.Put{{Key: key, Value: value}}}))
}

// Failure guarded against: no entry schedules any more once another writer has
// replaced the row of the scheduler's lease.
func TestOddLeaseRowIsReplaced(t *testing.T) {
	const takeover = 10 * second
	for _, v := range oddvalue.Whole() {
		for _, killed := range []bool{false, true} {
			t.Run(v.Name, func(t *testing.T) {
				simulate(t, Options{Entries: 2, Machines: 4}, func(t *testing.T, sim *Simulation, c *Client) {
					submit(t, c, job(1, 4))
					c.Await([]workload.JobID{JobID(1)}, time.Minute)
					if killed {
						leader := sim.Leader()
						leader.Kill()
						defer leader.Start()
					}
					sim.overwrite(rowstore.Key{Table: "scheduler", Part: "s", Key: "lease"}, v.Text)
					submit(t, c, job(2, 4))
					c.Await([]workload.JobID{JobID(2)}, takeover)
					if s := c.State(JobID(2)); s != workload.Completed {
						t.Errorf("the job is %s after %v", s, takeover)
					}
				})
			})
		}
	}
}

