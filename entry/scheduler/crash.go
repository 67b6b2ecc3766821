package scheduler

import (
	"time"

	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// A task may crash each worker that starts it, and take with it what else runs
// there. Nothing of that shows in an end: the run is lost with its worker, as
// when a machine fails. So each task counts the workers that were lost under its
// fresh runs, in its row, until a run of it has stood the test; quarantine.go
// sees to it that one job alone can be the cause of the next crash.

const (
	// crashesToFail is the number of workers that crash for certain under a task,
	// while no other job can be the cause, until its job is given up.
	crashesToFail = 2
	// soonToFail is the number of workers in a row that crash within moments of
	// the task's start, the last one while no other job can be the cause.
	soonToFail = 3
	// maxCrashes is the number of workers that a task may have crashed until its
	// job is given up in any case.
	maxCrashes = 5
	// provenBySight is how long a run has to be seen on a worker, for what its
	// agent did not judge, until it is not taken for the cause of a crash. An
	// agent says for up to two seconds that a crashed worker answers.
	provenBySight = 3 * time.Second
)

// loss is how a worker was lost.
type loss struct {
	why string
	// told says that the worker's agent has judged which runs may be the cause;
	// fresh are those.
	told  bool
	fresh map[workload.RunID]dispatch.FreshRun
	// crashed says that the worker's life is over; it may be out of reach else.
	crashed bool
}

// freshRuns is the set of the runs that an agent has named.
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
	// crashed within moments of its start.
	begun, soon bool
}

// suspects lists the tasks that may be the cause of a loss. The caller holds
// mu.
func (t *Term) suspects(w *worker, how loss) []suspect {
	var list []suspect
	for r := range w.runs {
		j, _, k := t.placedRun(w, r)
		if k == nil || k.storedRun < r.Run {
			continue
		}
		fresh, named := how.fresh[r]
		if how.told && named || !how.told && !k.provenOn(w) {
			list = append(list, suspect{job: j, task: k, run: r, begun: fresh.Begun, soon: fresh.Soon})
		}
	}
	return list
}

// placedRun finds the task of a run that is on record at w; it is nil if the
// task was placed anew or has ended since.
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
	return k.presentAt > 0 && w.seenAt-k.presentAt >= provenBySight
}

// blame counts the loss of w against the suspects, and gives up the jobs that
// are known to be the cause, or may have been too often. The caller holds mu and
// has taken the runs off the record.
func (t *Term) blame(w *worker, how loss, suspects []suspect) {
	for _, s := range suspects {
		s.task.crashes++
		s.task.crashedAt, s.task.crashedOn = time.Now(), w.agent
		s.task.soon = s.task.nextSoon(s.soon)
		t.deps.Counters.Blamed.Add(1)
		t.deps.Log.Info().Stringer("run", s.run).Str("worker", string(w.id)).Int("crashes", s.task.crashes).Bool("begun", s.begun).Bool("soon", s.soon).
			Msg("run may have crashed its worker")
	}
	// A worker that is out of reach is lost once more when its life is known to
	// be over.
	w.suspects = append(w.suspects, suspects...)
	if how.crashed {
		t.convict(w.suspects)
	}
	for _, s := range suspects {
		if s.task.crashes >= maxCrashes {
			t.giveUp(s)
		}
	}
}

// nextSoon counts the crashes in a row within moments of a start.
func (k *task) nextSoon(soon bool) int {
	if !soon {
		return 0
	}
	return k.soon + 1
}

// convict counts a crash of which one job alone can be the cause, and gives the
// job up if that was not the first one. Among several jobs, or once, an innocent
// task may have begun in the wrong moment.
func (t *Term) convict(suspects []suspect) {
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
		t.mark(s.job)
		if s.task.certain >= crashesToFail || s.task.soon >= soonToFail {
			t.giveUp(s)
		}
	}
}

// giveUp fails the job of a task that crashes its workers.
func (t *Term) giveUp(s suspect) {
	if s.job.state.Final() {
		return
	}
	t.deps.Counters.GivenUp.Add(1)
	t.deps.Log.Warn().Str("job", string(s.job.spec.ID)).Stringer("run", s.run).Int("crashes", s.task.crashes).Int("certain", s.task.certain).
		Msg("job failed: it crashes its workers")
	t.end(s.job, workload.Failed)
}

// absolve forgets the crashes of a task of which a run has stood the test.
func (t *Term) absolve(j *job, k *task) {
	if k.crashes == 0 {
		return
	}
	k.crashes, k.certain, k.soon = 0, 0, 0
	t.mark(j)
}
