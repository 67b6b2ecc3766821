package machines

import (
	"fmt"
	"testing"
	"time"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/rowstore/oddvalue"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// overwrite puts a value of another writer into the store.
func (sim *Simulation) overwrite(key rowstore.Key, value []byte) {
	must(sim.Store.ApplyNow(rowstore.Txn{Puts: []rowstore.Put{{Key: key, Value: value}}}))
}

// spreadJob is a lasting job with one task on each of n workers.
func spreadJob(number, n int) workload.Job {
	j := lastingJob(number, n)
	j.Steps[0].Spread = 1
	return j
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

// Failure guarded against: a worker stands idle for good once another writer has
// replaced its agent's row, at once or with the next scheduler.
func TestOddAgentRowIsWrittenAgain(t *testing.T) {
	const machines, repair = 4, 30 * second
	for _, v := range append(oddvalue.Whole(), oddvalue.Value{Name: "no address", Text: []byte(`{"a":""}`)}) {
		t.Run(v.Name, func(t *testing.T) {
			simulate(t, Options{Entries: 2, Machines: machines}, func(t *testing.T, sim *Simulation, c *Client) {
				submit(t, c, spreadJob(1, machines))
				awaitRunning(t, sim.Agents(), machines)
				sim.overwrite(dispatch.AgentKey(sim.Agents()[0].Node), v.Text)
				time.Sleep(5 * second)
				if took := awaitRunning(t, sim.Agents(), machines); took > 0 {
					t.Errorf("a task was lost beside the odd row; it runs again %v later", took)
				}
				leader := sim.Leader()
				leader.Kill()
				time.Sleep(second)
				leader.Start()
				time.Sleep(10 * second)
				if took := awaitRunning(t, sim.Agents(), machines); took > repair {
					t.Errorf("after a takeover, the worker stands idle for %v", took)
				}
			})
		})
	}
}

// Failure guarded against: one odd report of another writer under a worker's identifier
// makes its agent drop the worker's own reports, or take it for replaced.
func TestOddReportLeavesTheWorkerInUse(t *testing.T) {
	const machines = 4
	for _, c := range []struct {
		name   string
		number uint64
		born   int64
		keep   bool
	}{
		{"the largest number", 1<<64 - 1, 0, false}, {"a high number", 4000000000, 0, false}, {"a number soon reached", 100, 0, false},
		{"a start time of a worker that tells none", 5, 1 << 53, false},
		{"the largest number, where lives share an identifier", 1<<64 - 1, 0, true},
		{"a late start time", 5, 1 << 53, true}, {"no start time", 5, -1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			simulate(t, Options{Entries: 2, Machines: machines, KeepInstances: c.keep}, func(t *testing.T, sim *Simulation, client *Client) {
				time.Sleep(3 * second)
				for _, a := range sim.Agents() {
					info, _ := a.Worker().Info()
					switch {
					case c.born > 0:
						info.ID = workload.NewWorkerID(info.ID.Instance(), c.born)
					case c.born < 0:
						info.ID = workload.WorkerID(info.ID.Instance())
					}
					a.mu.Lock()
					a.runner.Reported(info, c.number)
					a.mu.Unlock()
				}
				time.Sleep(10 * second)
				submit(t, client, job(1, 8))
				client.Await([]workload.JobID{JobID(1)}, 5*second)
				if s := client.State(JobID(1)); s != workload.Completed {
					t.Errorf("the job is %s", s)
				}
				submit(t, client, spreadJob(2, machines))
				if took := awaitRunning(t, sim.Agents(), machines); took > 3*second {
					t.Errorf("the tasks run on all workers after %v", took)
				}
			})
		})
	}
}

// TestRandomDaysOfOddWriter simulates random days on which another writer leaves odd
// rows and reports between the other faults.
func TestRandomDaysOfOddWriter(t *testing.T) {
	for i := range max(1, *seeds/3) {
		seed := *firstSeed + uint64(i)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { randomDay(t, seed, 1.0/16, (*day).oddFault) })
	}
}

// oddFault draws a fault of any kind, or an odd row or report. The returned function
// injects it.
func (d *day) oddFault() func() {
	rng := d.faultRNG
	agent := d.sim.agents[rng.IntN(len(d.sim.agents))]
	whole := oddvalue.Whole()
	odd := map[rowstore.Key][]byte{}
	switch rng.IntN(6) {
	case 0:
		odd[rowstore.Key{Table: "scheduler", Part: "s", Key: "lease"}] = d.oddValue("scheduler")
	case 1:
		odd[dispatch.AgentKey(agent.Node)] = whole[rng.IntN(len(whole))].Text
	case 2:
		job := fmt.Sprintf("%016x", rng.Uint64())
		for _, key := range []rowstore.Key{
			{Table: "jobs", Part: fmt.Sprint(rowstore.Spread(job, 32)), Key: job}, {Table: "progress", Part: "s", Key: job},
			{Table: "progress-parts", Part: "s", Key: job + ".100.0"}, {Table: "learnt", Part: "s", Key: "pressure"}, dispatch.AgentKey(job),
		} {
			odd[key] = d.oddValue(key.Table)
		}
	case 3:
		number := []uint64{1<<64 - 1, 4000000000, 100}[rng.IntN(3)]
		return func() { agent.reportOddly(number) }
	default:
		return d.fault()
	}
	return func() {
		for key, value := range odd {
			d.sim.overwrite(key, value)
		}
	}
}

// reportOddly sends a report with a number that the worker has not reached.
func (a *Agent) reportOddly(number uint64) {
	info, _ := a.Worker().Info()
	a.mu.Lock()
	r := a.runner
	a.mu.Unlock()
	if r != nil {
		r.Reported(info, number)
	}
}

// oddValue returns a value that replaces a whole row, or one of the table's values with
// an odd part.
func (d *day) oddValue(table string) []byte {
	rng := d.faultRNG
	rows := d.sim.Store.RowsOf(table)
	if len(rows) == 0 || table == dispatch.AgentsTable || rng.IntN(2) == 0 {
		whole := oddvalue.Whole()
		return whole[rng.IntN(len(whole))].Text
	}
	return oddvalue.Mutate(rng, rows[rng.IntN(len(rows))].Value)
}
