package machines

import (
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

// crasher is the job of which task 0 of step 0 crashes each worker.
const crasher = 1

func crashes(r workload.RunID) Outcome {
	return Outcome{For: second, Crashes: r.Task.Job == JobID(crasher) && r.Task.Step == 0 && r.Task.Index == 0}
}

// expect notes a failure for each job that does not end as wanted within a minute.
func expect(t *testing.T, c *Client, want workload.State, ids ...workload.JobID) {
	t.Helper()
	open := c.Await(ids, 60*second)
	for _, id := range ids {
		if s, ok := open[id]; ok {
			t.Errorf("job %s is %s after a minute", id, s)
		} else if s := c.State(id); s != want {
			t.Errorf("job %s ended %s, not %s", id, s, want)
		}
	}
}

// awaitGivenUp fails the test unless the crashing job fails before it has
// crashed more than most workers.
func awaitGivenUp(t *testing.T, w *World, c *Client, most int) {
	t.Helper()
	expect(t, c, workload.Failed, JobID(crasher))
	if n := w.Rules.Crashes(); n > most {
		t.Errorf("%d workers crashed, more than %d", n, most)
	}
}

// Failure guarded against: a task that crashes its workers is started for ever.
func TestTaskThatCrashesItsWorkersIsGivenUp(t *testing.T) {
	for _, back := range []time.Duration{time.Second, 3 * time.Second, 8 * time.Second} {
		play(t, Options{Entries: 2, Machines: 4, Outcome: crashes, BackAfter: back}, func(t *testing.T, w *World, c *Client) {
			submit(t, c, job(crasher, 4))
			awaitGivenUp(t, w, c, 3)
		})
	}
}

// Failure guarded against: jobs beside a task that crashes its workers are given up with it.
func TestJobsBesideACrashingTaskAreDone(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 3, Outcome: crashes}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, lastingJob(2, 6))
		var ids []workload.JobID
		for n := range 12 {
			if n == 6 {
				submit(t, c, job(crasher, 4))
			}
			submit(t, c, job(10+n, 3))
			ids = append(ids, JobID(10+n))
			time.Sleep(200 * time.Millisecond)
		}
		awaitGivenUp(t, w, c, 3)
		expect(t, c, workload.Completed, ids...)
		if s := c.State(JobID(2)); s != workload.Running {
			t.Errorf("the lasting job is %s", s)
		}
	})
}

// Failure guarded against: a task of another kind than the usual crashes workers for ever.
func TestCrashingTaskOfAnyKindIsGivenUp(t *testing.T) {
	kinds := map[string]func(*workload.Job){
		"gang":    func(j *workload.Job) { j.Steps[0].Gang = true },
		"lasting": func(j *workload.Job) { *j = lastingJob(crasher, 3) },
		"serving": func(j *workload.Job) {
			*j = lastingJob(crasher, 3)
			j.Steps[0].TailTarget = second
			j.Steps[0].Image = "a"
		},
		"filling":     func(j *workload.Job) { j.Steps[0].Fills = true; j.Steps[0].Image = "b" },
		"spread":      func(j *workload.Job) { j.Steps[0].Spread = 1 },
		"copies":      func(j *workload.Job) { j.Steps[0].Copies = true },
		"checkpoints": func(j *workload.Job) { j.Steps[0].Checkpointing = true },
		"advised":     func(j *workload.Job) { j.Queue.Advised = true },
		"repeated": func(j *workload.Job) {
			j.Repeat = workload.Repeat{Count: 2, First: time.Now().UnixMilli(), Interval: 2000}
		},
		"as a worker":  func(j *workload.Job) { j.Steps[0].Need = capacity; j.Steps[0].Count = 1 },
		"no attempts":  func(j *workload.Job) { j.Queue.MaxAttempts = 0 },
		"gang, spread": func(j *workload.Job) { j.Steps[0].Gang, j.Steps[0].Spread = true, 1 },
	}
	for name, change := range kinds {
		t.Run(name, func(t *testing.T) {
			play(t, Options{Entries: 2, Machines: 5, Outcome: crashes}, func(t *testing.T, w *World, c *Client) {
				j := job(crasher, 3)
				change(&j)
				submit(t, c, j)
				awaitGivenUp(t, w, c, 5)
			})
		})
	}
}

// Failure guarded against: crashes are forgotten with the scheduler, the agent or the store's answers.
func TestCrashesAreKeptThroughRestarts(t *testing.T) {
	disturb := map[string]func(w *World){
		"scheduler killed": func(w *World) {
			if l := w.Leader(); l != nil {
				l.Kill()
				time.Sleep(second)
				l.Start()
			}
		},
		"agents killed": func(w *World) {
			for _, a := range w.Agents() {
				a.Kill()
			}
			time.Sleep(second)
			w.StartAll()
		},
		"all killed": func(w *World) { w.KillAll(); time.Sleep(second); w.StartAll() },
		"answers of the store lost": func(w *World) {
			w.Store.SetLost(0.4, true)
			time.Sleep(2 * second)
			w.Store.SetLost(0, false)
		},
	}
	for name, f := range disturb {
		t.Run(name, func(t *testing.T) {
			play(t, Options{Entries: 3, Machines: 4, Outcome: crashes}, func(t *testing.T, w *World, c *Client) {
				submit(t, c, job(crasher, 4))
				for seen := 0; seen < 5; {
					time.Sleep(20 * time.Millisecond)
					if n := w.Rules.Crashes(); n > seen {
						seen = n
						f(w)
					}
					if c.State(JobID(crasher)).Final() {
						break
					}
				}
				awaitGivenUp(t, w, c, 5)
			})
		})
	}
}

// Failure guarded against: workers that crash by themselves make jobs fail.
func TestCrashesOfWorkersThatNoTaskCausedFailNoJob(t *testing.T) {
	play(t, Options{Entries: 2, Machines: 3}, func(t *testing.T, w *World, c *Client) {
		submit(t, c, lastingJob(1, 6))
		submit(t, c, job(2, 6))
		for n := range 8 {
			time.Sleep(2 * second)
			a := w.Agents()[n%3]
			a.Worker().Crash()
			time.Sleep(second)
			a.NewWorker()
		}
		expect(t, c, workload.Completed, JobID(2))
		time.Sleep(8 * second)
		running := 0
		for _, a := range w.Agents() {
			running += len(a.Worker().Running())
		}
		if s := c.State(JobID(1)); s != workload.Running || running != 6 {
			t.Errorf("the lasting job is %s, %d of its 6 tasks run", s, running)
		}
	})
}

// Failure guarded against: a worker's crash is put down to runs that had lapsed there long before.
func TestCrashOfAWorkerThatWasSilentConvictsNobody(t *testing.T) {
	long := func(workload.RunID) Outcome { return Outcome{For: 20 * second} }
	play(t, Options{Entries: 2, Machines: 4, Outcome: long}, func(t *testing.T, w *World, c *Client) {
		j := job(1, 1)
		j.Steps = j.Steps[:1]
		submit(t, c, j)
		for range 2 {
			time.Sleep(300 * time.Millisecond)
			at := w.runningOn(JobID(1))
			if at == nil {
				t.Error("the job does not run")
				return
			}
			at.Worker().SetDark(true)
			for w.runningOn(JobID(1)) == nil || w.runningOn(JobID(1)) == at {
				time.Sleep(20 * time.Millisecond)
			}
			at.NewWorker()
		}
		expect(t, c, workload.Completed, JobID(1))
	})
}
