package scheduler

import (
	"time"

	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// A task may crash each worker that starts it, and with it the other runs
// there. No end shows this: the run is lost with its worker, as when a machine
// fails. So each task counts, in its row, the workers that were lost under its
// fresh runs, until one of its runs is proven. quarantine.go ensures that one
// job alone can be the cause of the next crash.

const (
	// crashesToFail is the number of workers that crash for certain under a task,
	// while no other job can be the cause, until its job is failed.
	crashesToFail = 2
	// quickCrashesToFail is the same for workers in a row that crash within
	// moments of the task's start, if no other job can be the cause of the last.
	quickCrashesToFail = 3
	// maxCrashes is the number of workers that a task may have crashed until its
	// job is failed in any case.
	maxCrashes = 5
	// provenAfter is the time for which a run that its agent did not judge must
	// be seen on a worker to be no suspect of a crash. An agent reports for up to
	// two seconds that a crashed worker answers.
	provenAfter = 3 * time.Second
)

// workerLoss describes the loss of a worker.
type workerLoss struct {
	reason string
	// judged says that the worker's agent has named the runs that may be the
	// cause, as fresh.
	judged bool
	fresh  map[workload.RunID]dispatch.FreshRun
	// crashed says that the incarnation has ended; else it may be unreachable.
	crashed bool
}

// freshRuns returns the set of the runs that an agent reports as fresh.
func freshRuns(reply *dispatch.WatchReply) map[workload.RunID]dispatch.FreshRun {
	set := make(map[workload.RunID]dispatch.FreshRun, len(reply.Fresh))
	for _, r := range reply.Fresh {
		set[r.Run] = r
	}
	return set
}

// suspect is a task that may have crashed its worker.
type suspect struct {
	job  *job
	task *task
	run  workload.RunID
	// begun says that the run was on the worker for certain, soon that the worker
	// crashed within moments of the run's start.
	begun, soon bool
}

// suspects lists the tasks that may be the cause of a loss. The caller holds
// mu.
func (t *Term) suspects(w *worker, loss workerLoss) []suspect {
	var list []suspect
	for r := range w.runs {
		j, _, k := t.placedRun(w, r)
		if k == nil || k.storedRun < r.Run {
			continue
		}
		fresh, named := loss.fresh[r]
		if loss.judged && named || !loss.judged && !k.provenOn(w) {
			list = append(list, suspect{job: j, task: k, run: r, begun: fresh.Begun, soon: fresh.Soon})
		}
	}
	return list
}

// placedRun returns the task of a run that is on record at w, or nil if the
// task was placed again or has ended since.
func (t *Term) placedRun(w *worker, r workload.RunID) (*job, *step, *task) {
	j := t.jobs[r.Task.Job]
	if j == nil {
		return nil, nil, nil
	}
	s, k := j.find(r.Task)
	if k == nil || k.state != taskPlaced || k.run != r.Run || k.worker != w.id {
		return nil, nil, nil
	}
	return j, s, k
}

// provenOn reports whether the placed run was seen on w for long enough.
func (k *task) provenOn(w *worker) bool {
	return k.presentAt > 0 && w.answeredAt-k.presentAt >= provenAfter
}

// recordSuspects counts the loss of w against the suspects, and fails the jobs
// that are known to be the cause, or may have been too often. The caller holds
// mu and has taken the runs off the record.
func (t *Term) recordSuspects(w *worker, loss workerLoss, suspects []suspect) {
	for _, s := range suspects {
		s.task.crashes++
		s.task.crashedAt, s.task.crashedOn = time.Now(), w.agent
		s.task.quickCrashes = s.task.nextQuickCrashes(s.soon)
		t.deps.Counters.Blamed.Add(1)
		t.deps.Log.Info().Stringer("run", s.run).Str("worker", string(w.id)).Int("crashes", s.task.crashes).Bool("begun", s.begun).Bool("soon", s.soon).
			Msg("run may have crashed its worker")
	}
	// A worker lost as unreachable is lost again when its incarnation has ended.
	w.suspects = append(w.suspects, suspects...)
	if loss.crashed {
		t.countCertainCrash(w.suspects)
	}
	for _, s := range suspects {
		if s.task.crashes >= maxCrashes {
			t.failCrashingJob(s)
		}
	}
}

// nextQuickCrashes counts the crashes in a row within moments of a start.
func (k *task) nextQuickCrashes(soon bool) int {
	if !soon {
		return 0
	}
	return k.quickCrashes + 1
}

// countCertainCrash counts a crash of which one job alone can be the cause, and
// fails the job at its limit. Among several jobs, or once, an innocent task may
// have begun at the wrong moment.
func (t *Term) countCertainCrash(suspects []suspect) {
	for _, s := range suspects {
		if s.job != suspects[0].job {
			return
		}
	}
	for _, s := range suspects {
		if !s.begun || s.task.crashes == 0 {
			continue
		}
		s.task.certain++
		t.markDirty(s.job)
		if s.task.certain >= crashesToFail || s.task.quickCrashes >= quickCrashesToFail {
			t.failCrashingJob(s)
		}
	}
}

func (t *Term) failCrashingJob(s suspect) {
	if s.job.state.Final() {
		return
	}
	t.deps.Counters.GivenUp.Add(1)
	t.deps.Log.Warn().Str("job", string(s.job.spec.ID)).Stringer("run", s.run).Int("crashes", s.task.crashes).Int("certain", s.task.certain).
		Msg("job failed: it crashes its workers")
	t.end(s.job, workload.Failed)
}

// clearCrashes clears the crashes of a task after one of its runs is proven.
func (t *Term) clearCrashes(j *job, k *task) {
	if k.crashes == 0 {
		return
	}
	k.crashes, k.certain, k.quickCrashes = 0, 0, 0
	t.markDirty(j)
}
