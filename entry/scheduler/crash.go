package scheduler

import (
	"fmt"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/decide/blame"
	"persimmonrock.example/ops/logs"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// A task may crash each worker that starts it, and thereby end all other runs
// there. No end is reported: the run is lost with its worker, as when a machine
// fails. So each task's row counts the workers lost shortly after a start of
// the task. The count is cleared when a run is done or is proven harmless: the
// worker still answers a while after the run's start. If possible, suspect
// tasks start in quarantine (quarantine.go), where only one job can be the
// cause of the next crash. Workers crash for other reasons, too, so a job is
// failed only if its task is far likelier the cause (package blame).

const (
	// maxCrashes is the number of crashes after which a task is not started again,
	// even if each of them may have had another cause.
	maxCrashes = 5
	// freeCrashes is the number of crashes after which a task of a lasting job still
	// starts without a pause. Each further one doubles the pause, from crashPause on.
	freeCrashes = 2
	crashPause  = time.Second
	// lastTrialWait is the longest time for which a job that fails after one more crash
	// is deferred.
	lastTrialWait = time.Minute
	// provenAfter is the time on an answering worker after which a run is not
	// suspected of a crash, if the agent does not name the suspects. An agent may
	// report for up to two seconds that a crashed worker still answers.
	provenAfter = 3 * time.Second
)

// workerLoss describes the loss of a worker.
type workerLoss struct {
	reason string
	// judged says that the worker's agent has named the runs that may have caused
	// the loss; fresh holds these runs.
	judged bool
	fresh  map[workload.RunID]dispatch.SuspectRun
	// crashed says that the incarnation has ended, not just become unreachable.
	crashed bool
}

// freshRuns returns the runs that may have crashed their worker, as its agent
// reports.
func freshRuns(reply *dispatch.WatchReply) map[workload.RunID]dispatch.SuspectRun {
	set := make(map[workload.RunID]dispatch.SuspectRun, len(reply.Fresh))
	for _, r := range reply.Fresh {
		set[r.Run] = r
	}
	return set
}

// suspect is a task that may have crashed its worker.
type suspect struct {
	job  *job
	step *step
	task *task
	run  workload.RunID
	// begun says that the run was certainly on the worker, soon that the worker
	// crashed within moments of the run's start, last that the run was among the
	// last that were started there.
	begun, soon, last bool
	// prime: see markPrime.
	prime bool
	// trial is the loss as evidence against the task.
	trial blame.Trial
}

// suspects lists the tasks that may be the cause of the loss of w. The caller
// holds mu.
func (t *Term) suspects(w *worker, loss workerLoss) []suspect {
	var list []suspect
	for r := range w.runs {
		j, s, k := t.placedRun(w, r)
		if k == nil || k.storedRun < r.Run {
			continue
		}
		fresh, named := loss.fresh[r]
		if loss.judged && named || !loss.judged && !k.provenOn(w) {
			list = append(list, suspect{job: j, step: s, task: k, run: r, begun: fresh.Begun, soon: fresh.Soon, last: fresh.Last, trial: k.trialOn(w)})
		}
	}
	return list
}

// trialOn returns the placed run as a trial on w, which is lost now.
func (k *task) trialOn(w *worker) blame.Trial {
	trial := blame.Trial{Worker: string(w.id), Lost: time.Now()}
	if !k.fromEarlierTerm {
		trial.Began = k.placedAt
	}
	return trial
}

// placedRun returns the job, step and task of a run, or nil if r is no longer
// the placed run of its task or not placed on w.
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

// provenOn reports whether w still answered provenAfter after the placed run
// was first reported there.
func (k *task) provenOn(w *worker) bool {
	return k.presentAt > 0 && w.answeredAt-k.presentAt >= provenAfter
}

// suspectLabel names a run, its worker and the crashes that its task may have
// caused, in log lines on many runs.
func suspectLabel(run workload.RunID, w *worker, k *task) string {
	return fmt.Sprintf("%s %s %d", run, w.id, k.crashes)
}

// recordSuspects counts the loss of w as a possible crash by each suspect. It
// fails the jobs that are known to crash workers, and jobs that were suspected
// too often. The caller holds mu and has removed the runs of w.
func (t *Term) recordSuspects(w *worker, loss workerLoss, suspects []suspect) {
	markPrime(suspects)
	sole := solePrime(suspects)
	chance := t.chanceOfCrash()
	for i := range suspects {
		s := &suspects[i]
		s.trial.Crash, s.trial.Chance = blame.Crash{Confirmed: s.begun, Last: sole && s.prime, Soon: s.soon}, chance
		s.task.addEvidence(s.trial)
		s.task.crashes++
		s.task.prime = s.prime
		s.job.suspect = s.job.suspect || s.prime
		s.job.begun = s.job.begun || s.begun
		s.task.crashedOn, s.task.couldStart = w.agent, time.Time{}
		if s.job.lasts() {
			s.task.notBefore = time.Now().Add(pauseAfter(s.task.crashes))
		}
		if s.step.spec.Lasting {
			s.task.couldStart = s.task.notBefore
		}
		t.deps.Counters.Blamed.Add(1)
		evidence := fmt.Sprintf("begun: %t, soon: %t, prime: %t", s.begun, s.soon, s.prime)
		t.fleetLog.Add(logs.Kind{Level: zerolog.InfoLevel, Message: "runs may have crashed their workers", Why: evidence}, suspectLabel(s.run, w, s.task), 1)
	}
	// The suspects are kept: if w is only unreachable now, its crash is counted when
	// its incarnation ends.
	w.suspects = append(w.suspects, suspects...)
	if loss.crashed {
		t.recordCrash(w, chance)
	}
	for _, s := range suspects {
		if s.job.lasts() && s.task.contained() {
			t.contain(s)
		}
		if s.task.crashes >= maxCrashes || s.deadly() {
			t.failCrashingJob(s)
		}
		s.deferLastTrial(time.Now())
	}
}

// deferLastTrial defers the next runs of the job if one more crash by the task would
// fail it.
func (s *suspect) deferLastTrial(now time.Time) {
	if !s.job.lasts() && s.task.evidence.LikelyDeadly(s.trial.Worker) {
		s.job.deferredUntil = now.Add(lastTrialWait)
	}
}

// deferred reports whether the job waits for capacity that is mostly free. Its tasks
// are most likely in vain, and others lose their runs with the next worker.
func (j *job) deferred(v *view, now time.Time) bool {
	if j.deferredUntil.IsZero() {
		return false
	}
	if now.After(j.deferredUntil) || v.usedShare() < mostlyFree {
		j.deferredUntil = time.Time{}
	}
	return !j.deferredUntil.IsZero()
}

// deadly reports whether the task counts as the cause of its crashes. Those of the
// same task in other occurrences of the job count, too, unless it is done in one.
func (s *suspect) deadly() bool {
	var others []*blame.Evidence
	id := s.run.Task
	for _, o := range s.job.occurrences {
		switch other := &o.steps[id.Step].tasks[id.Index]; {
		case other == s.task:
		case other.state == taskDone:
			return s.task.evidence.Deadly(s.trial.Worker)
		case other.evidence != nil:
			others = append(others, other.evidence)
		}
	}
	return s.task.evidence.Deadly(s.trial.Worker, others...)
}

func (k *task) addEvidence(t blame.Trial) {
	if k.evidence == nil {
		k.evidence = &blame.Evidence{}
	}
	k.evidence.Add(t)
}

// chanceOfCrash is the chance that a fresh run's worker crashes for another reason.
func (t *Term) chanceOfCrash() float64 {
	t.advanceCrashRate()
	return t.crashRate.Chance()
}

func (t *Term) advanceCrashRate() {
	alive := 0
	for _, w := range t.workers {
		if w.alive {
			alive++
		}
	}
	t.crashRate.Advance(t.deps.Now(), alive)
}

// openCrash is a crash with tasks that are still suspected of it.
type openCrash struct{ suspects int }

// recordCrash records that an incarnation has ended. A crash with suspects of one job
// only is a certain one, which fails the job once enough is known. A crash with
// suspects of several jobs proves little: an innocent task may have begun just before
// it. A crash whose suspects have all turned out harmless has another cause.
func (t *Term) recordCrash(w *worker, chance float64) {
	alone, open := true, &openCrash{}
	for _, s := range w.suspects {
		alone = alone && s.job == w.suspects[0].job
		if s.task.crashes > 0 {
			open.suspects++
			s.task.openCrashes = append(s.task.openCrashes, open)
		}
	}
	if open.suspects == 0 && !w.info.Draining {
		t.crashRate.Add(1)
	}
	for i := range w.suspects {
		s := &w.suspects[i]
		if s.task.crashes == 0 {
			continue
		}
		if !alone || !s.begun {
			continue
		}
		s.task.certain++
		t.markDirty(s.job)
		s.trial.Crash.Alone, s.trial.Chance = true, chance
		s.task.addEvidence(s.trial)
		if s.deadly() {
			t.failCrashingJob(*s)
		}
		s.deferLastTrial(time.Now())
	}
}

// withdrawLoss withdraws the loss of a worker that was only unreachable: it answers
// again, so no task has crashed it.
func (t *Term) withdrawLoss(w *worker) {
	for _, s := range w.suspects {
		if s.task.evidence.Withdraw(string(w.id)) {
			s.task.crashes--
			t.markDirty(s.job)
		}
	}
	w.suspects = nil
}

// markPrime marks the prime suspects of a crash: of the runs that were the last
// to start on the worker, those whose tasks were suspected most often before. A
// task that crashes its workers does so within moments of its start, and again
// wherever it runs, whereas a task beside it is rarely suspected twice.
func markPrime(suspects []suspect) {
	most := 0
	for _, s := range suspects {
		if s.last {
			most = max(most, s.task.crashes)
		}
	}
	for i := range suspects {
		s := &suspects[i]
		s.prime = s.last && s.task.crashes == most
	}
}

// solePrime reports whether all prime suspects belong to one job.
func solePrime(suspects []suspect) bool {
	var found *job
	for _, s := range suspects {
		if s.prime && found != nil && s.job != found {
			return false
		}
		if s.prime {
			found = s.job
		}
	}
	return found != nil
}

// failCrashingJob fails the job of a task that crashes its workers, unless the job
// lasts: each of its tasks is started until maxCrashes, with a growing pause.
func (t *Term) failCrashingJob(s suspect) {
	if s.job.state.Final() || s.job.lasts() {
		return
	}
	t.deps.Counters.GivenUp.Add(1)
	t.logCrashing(s, "job failed: it crashes its workers")
	t.end(s.job, workload.Failed)
}

// contain records that a task of a lasting job is not started any more.
func (t *Term) contain(s suspect) {
	t.deps.Counters.Contained.Add(1)
	t.logCrashing(s, "task is not started any more: it crashes its workers")
	s.task.pin = ""
}

func (t *Term) logCrashing(s suspect, message string) {
	t.deps.Log.Warn().Str("job", string(s.job.spec.ID)).Stringer("run", s.run).Int("crashes", s.task.crashes).Int("certain", s.task.certain).Msg(message)
}

// lasts reports whether the job has tasks that run until it is cancelled.
func (j *job) lasts() bool {
	return slices.ContainsFunc(j.spec.Steps, func(s workload.Step) bool { return s.Lasting })
}

// contained reports whether the task is not started any more.
func (k *task) contained() bool { return k.crashes >= maxCrashes }

// pauseAfter is the pause before the next run of a task of a lasting job that is
// suspected of so many crashes.
func pauseAfter(crashes int) time.Duration {
	if crashes <= freeCrashes {
		return 0
	}
	return crashPause << min(crashes-freeCrashes-1, maxCrashes)
}

// pausedByCrashes reports whether a gang waits for a member that is suspected of
// crashes.
func (s *step) pausedByCrashes(now time.Time) bool {
	return slices.ContainsFunc(s.tasks, func(k task) bool {
		return k.state == taskWaiting && (k.contained() || k.crashes > 0 && k.notBefore.After(now))
	})
}

// clearCrashes clears a task's crash counts after a run is done or proven.
func (t *Term) clearCrashes(j *job, k *task) {
	if k.crashes == 0 {
		return
	}
	t.advanceCrashRate()
	for _, open := range k.openCrashes {
		if open.suspects--; open.suspects == 0 {
			t.crashRate.Add(1)
		}
	}
	k.openCrashes = nil
	k.crashes, k.certain, k.evidence, k.prime = 0, 0, nil, false
	j.suspect = false
	j.each(func(_ workload.TaskID, _ *step, other *task) { j.suspect = j.suspect || other.prime })
	t.markDirty(j)
}
