package scheduler

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// crashTerm is a term with jobs of one task each.
func crashTerm(ids ...workload.JobID) *Term {
	now := time.Hour
	t := loadedTerm(&now, workload.Queue{Name: "q", Service: "s"})
	for _, id := range ids {
		t.addJob(workload.Job{ID: id, Queue: workload.Queue{Name: "q", Service: "s"}, Steps: []workload.Step{{Count: 1}}})
	}
	return t
}

// crashWorker places a run of each job on a new worker and removes the worker
// as crashed, with these runs as suspects. begun says that the runs were
// certainly there, soon that they began moments before the crash.
func (t *Term) crashWorker(id workload.WorkerID, begun, soon bool, jobs ...workload.JobID) {
	t.crashWorkerAfter(id, begun, soon, nil, jobs...)
}

// crashWorkerAfter is crashWorker with the jobs in last as the last to start there.
func (t *Term) crashWorkerAfter(id workload.WorkerID, begun, soon bool, last []workload.JobID, jobs ...workload.JobID) {
	w := newWorker(id, "node")
	t.workers[id] = w
	fresh := map[workload.RunID]dispatch.SuspectRun{}
	for _, j := range jobs {
		s := t.jobs[j].occurrences[0].steps[0]
		k := &s.tasks[0]
		k.run++
		k.state, k.worker, k.storedRun, k.placedAt = taskPlaced, id, k.run, time.Now()
		s.waiting--
		r := workload.RunID{Task: workload.TaskID{Job: j}, Run: k.run}
		w.add(r, s.spec)
		fresh[r] = dispatch.SuspectRun{Run: r, Begun: begun, Soon: soon, Last: slices.Contains(last, j)}
	}
	t.removeWorker(id, workerLoss{judged: true, fresh: fresh})
}

// Failure guarded against: a job that crashes workers is never failed, or an
// innocent job is failed with it.
func TestJobFailsOnlyForCrashesItAloneCanCause(t *testing.T) {
	type crash struct {
		begun, soon bool
		jobs        []workload.JobID
	}
	both, one := []workload.JobID{"a", "b"}, []workload.JobID{"a"}
	cases := []struct {
		name    string
		crashes []crash
		want    workload.State
	}{
		{"twice alone", []crash{{true, false, one}, {true, false, one}}, workload.Queued},
		{"three times alone", []crash{{true, false, one}, {true, false, one}, {true, false, one}}, workload.Failed},
		{"once among others, once alone", []crash{{true, true, both}, {true, true, one}}, workload.Queued},
		{"once among others, twice alone", []crash{{true, false, both}, {true, false, one}, {true, false, one}}, workload.Failed},
		{"twice alone, by orders without an answer", []crash{{false, false, one}, {false, false, one}}, workload.Queued},
		{"four times among others", []crash{{true, true, both}, {true, true, both}, {true, true, both}, {true, true, both}}, workload.Queued},
		{"three times at once, the last alone", []crash{{true, true, both}, {true, true, both}, {true, true, one}}, workload.Failed},
		{"five times in doubt", []crash{{false, false, one}, {true, true, both}, {false, false, both}, {true, true, both}, {false, false, one}}, workload.Failed},
	}
	for _, c := range cases {
		term := crashTerm("a", "b")
		for i, x := range c.crashes {
			term.crashWorker(workload.WorkerID(rune('0'+i)), x.begun, x.soon, x.jobs...)
		}
		if got := term.jobs["a"].state; got != c.want {
			t.Errorf("%s: job %s, want %s", c.name, got, c.want)
		}
	}
}

// scheduledTerm is a term with a job of one task, three occurrences of which have begun.
func scheduledTerm() (*Term, *job) {
	now := time.Hour
	t := loadedTerm(&now, workload.Queue{Name: "q", Service: "s"})
	t.addJob(scheduledJob)
	j := t.jobs[scheduledJob.ID]
	j.addDue(scheduledJob.Repeat.Due(2))
	return t, j
}

var scheduledJob = workload.Job{
	ID: "a", Queue: workload.Queue{Name: "q", Service: "s"}, Steps: []workload.Step{{Count: 1}},
	Repeat: workload.Repeat{Count: 8, Interval: 1},
}

// crashOccurrences places a run of each occurrence's task on one new worker, which
// crashes.
func (t *Term) crashOccurrences(id workload.WorkerID, occurrences ...*occurrence) {
	w := newWorker(id, "node")
	t.workers[id] = w
	fresh := map[workload.RunID]dispatch.SuspectRun{}
	for _, o := range occurrences {
		s := o.steps[0]
		k := &s.tasks[0]
		k.run++
		k.state, k.worker, k.storedRun, k.placedAt = taskPlaced, id, k.run, time.Now()
		s.waiting--
		r := workload.RunID{Task: workload.TaskID{Job: scheduledJob.ID, Occurrence: o.number}, Run: k.run}
		w.add(r, s.spec)
		fresh[r] = dispatch.SuspectRun{Run: r, Begun: true, Soon: true, Last: true}
	}
	t.removeWorker(id, workerLoss{judged: true, fresh: fresh})
}

// Failure guarded against: one crash of a worker fails a scheduled job whose
// occurrences overlap there, or a job that crashes its workers in each occurrence is
// never failed.
func TestCrashUnderSeveralOccurrencesCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term, j := scheduledTerm()
		for n, want := range []workload.State{workload.Queued, workload.Queued, workload.Failed} {
			time.Sleep(time.Second)
			term.crashOccurrences(workload.WorkerID(rune('0'+n)), j.occurrences...)
			if j.state != want {
				t.Errorf("after %d crashes the job is %s, want %s", n+1, j.state, want)
			}
		}
		term, j = scheduledTerm()
		for n, o := range j.occurrences {
			time.Sleep(time.Second)
			term.crashOccurrences(workload.WorkerID(rune('0'+n)), o)
		}
		if j.state.Final() {
			t.Errorf("after a crash under each of three occurrences the job is %s", j.state)
		}
		time.Sleep(time.Second)
		term.crashOccurrences("3", j.occurrences[0])
		if j.state != workload.Failed {
			t.Errorf("after the second crash under one of three occurrences the job is %s", j.state)
		}
	})
}

// Failure guarded against: a new scheduler counts a crash once for each occurrence
// whose row tells of it, or again for a run on the crashed worker that is still in a row.
func TestCrashUnderSeveralOccurrencesCountsOnceAfterTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term, j := scheduledTerm()
		term.crashOccurrences("x", j.occurrences[:2]...)
		third := &j.occurrences[2].steps[0].tasks[0]
		third.run, third.state, third.worker, third.agent = 1, taskPlaced, "x", "node"
		row := j.row()

		term, _ = scheduledTerm()
		j = newJob(scheduledJob)
		term.jobs[scheduledJob.ID] = j
		j.restore(row, time.Now())
		time.Sleep(time.Second)
		o := j.occurrences[2]
		r := workload.RunID{Task: workload.TaskID{Job: scheduledJob.ID, Occurrence: 2}, Run: 1}
		w := newWorker("x", "node")
		term.workers["x"] = w
		w.add(r, o.steps[0].spec)
		term.removeWorker("x", workerLoss{judged: true, fresh: map[workload.RunID]dispatch.SuspectRun{r: {Run: r, Begun: true, Last: true}}})
		time.Sleep(time.Second)
		term.crashOccurrences("y", j.occurrences...)
		if j.state.Final() {
			t.Errorf("the job is %s after two crashes, one before the takeover", j.state)
		}
		time.Sleep(time.Second)
		term.crashOccurrences("z", j.occurrences...)
		if j.state != workload.Failed {
			t.Errorf("the job is %s after three crashes, one before the takeover", j.state)
		}
	})
}

// Failure guarded against: workers that were unreachable for a while count as crashed by
// the tasks that had just begun there, though they answer again, and the job is failed.
func TestUnreachableWorkersThatAnswerAgainAreNoCrashes(t *testing.T) {
	for _, returns := range []bool{true, false} {
		term := crashTerm("a")
		j := term.jobs["a"]
		s := j.occurrences[0].steps[0]
		k := &s.tasks[0]
		for n := range maxCrashes {
			id := workload.WorkerID(rune('0' + n))
			w := newWorker(id, "node-"+string(id))
			w.link = &agentLink{term: term, node: w.agent, worker: w}
			term.addWorker(w)
			k.run++
			k.state, k.worker, k.storedRun, k.placedAt = taskPlaced, id, k.run, time.Now()
			s.waiting--
			r := workload.RunID{Task: workload.TaskID{Job: "a"}, Run: k.run}
			w.add(r, s.spec)
			term.requeueRuns(w, workerLoss{judged: true, fresh: map[workload.RunID]dispatch.SuspectRun{r: {Run: r, Begun: true, Last: true}}})
			if returns {
				w.link.updateWorker(&dispatch.WatchReply{Listed: true, Worker: workload.Worker{ID: id, Service: "s"}})
			}
		}
		if failed := j.state == workload.Failed; failed == returns {
			t.Errorf("the workers return: %t; the job is %s, its task suspected of %d crashes", returns, j.state, k.crashes)
		}
	}
}

// Guards against a task that crashes many workers before its job is failed,
// although it was the last to start on each of them.
func TestPrimeSuspectFailsAfterFewCrashes(t *testing.T) {
	type crash struct{ last, jobs []workload.JobID }
	both, a, b := []workload.JobID{"a", "b"}, []workload.JobID{"a"}, []workload.JobID{"b"}
	cases := []struct {
		name    string
		crashes []crash
		want    workload.State
	}{
		{"last among others, then alone", []crash{{a, both}, {a, a}}, workload.Queued},
		{"last among others, then twice alone", []crash{{a, both}, {a, a}, {a, a}}, workload.Failed},
		{"once, alone", []crash{{a, a}}, workload.Queued},
		{"another job's task started later", []crash{{b, both}, {a, a}}, workload.Queued},
		{"twice last among others", []crash{{a, both}, {a, both}}, workload.Queued},
		{"three times last among others", []crash{{a, both}, {a, both}, {a, both}}, workload.Failed},
		{"three times, always with the same other task", []crash{{both, both}, {both, both}, {both, both}}, workload.Queued},
		{"three times, suspected less often than the other at first", []crash{{b, b}, {both, both}, {a, both}}, workload.Queued},
	}
	for _, c := range cases {
		term := crashTerm("a", "b")
		for i, x := range c.crashes {
			term.crashWorkerAfter(workload.WorkerID(rune('0'+i)), true, false, x.last, x.jobs...)
		}
		if got := term.jobs["a"].state; got != c.want {
			t.Errorf("%s: job %s, want %s", c.name, got, c.want)
		}
	}
}

// Guards against a job that is failed after one crash, because an earlier worker
// became unresponsive before the start of the run there was confirmed.
func TestUnconfirmedRunIsNoPrimeCrash(t *testing.T) {
	type crash struct {
		begun bool
		jobs  []workload.JobID
	}
	both, a := []workload.JobID{"a", "b"}, []workload.JobID{"a"}
	cases := []struct {
		name    string
		crashes []crash
		want    workload.State
	}{
		{"unresponsive, then a crash", []crash{{false, a}, {true, a}}, workload.Queued},
		{"a crash, then unresponsive", []crash{{true, a}, {false, a}}, workload.Queued},
		{"unresponsive between two crashes", []crash{{true, both}, {false, a}, {true, a}}, workload.Queued},
		{"unresponsive between three crashes", []crash{{true, both}, {false, a}, {true, a}, {true, a}}, workload.Failed},
		{"as the only prime suspect", []crash{{false, both}, {true, both}, {true, both}}, workload.Queued},
	}
	for _, c := range cases {
		term := crashTerm("a", "b")
		for i, x := range c.crashes {
			term.crashWorkerAfter(workload.WorkerID(rune('0'+i)), x.begun, false, a, x.jobs...)
		}
		if got := term.jobs["a"].state; got != c.want {
			t.Errorf("%s: job %s, want %s", c.name, got, c.want)
		}
	}
}

// Failure guarded against: a job is failed for three crashes where workers crash so
// often that three by chance are likely for one of many jobs.
func TestJobIsNotFailedForAsManyCrashesAsOthersSee(t *testing.T) {
	const workers = 12
	for _, unrelated := range []int{0, 60} {
		term := crashTerm("a")
		at := term.deps.Now()
		for range unrelated {
			at += time.Second
			term.deps.Now = func() time.Duration { return at }
			for len(term.workers) < workers {
				id := workload.WorkerID(fmt.Sprint("w-", at, len(term.workers)))
				w := newWorker(id, "node-"+string(id))
				w.alive = true
				term.addWorker(w)
			}
			for id := range term.workers {
				term.removeWorker(id, workerLoss{reason: "test", judged: true})
				break
			}
		}
		for n := 1; n <= maxCrashes; n++ {
			term.crashWorker(workload.WorkerID(rune('0'+n)), true, false, "a")
			least := 3
			if unrelated > 0 {
				least = 4
			}
			if failed := term.jobs["a"].state == workload.Failed; failed != (n >= least) {
				t.Errorf("with %d unrelated crashes, the job is failed after %d: %t", unrelated, n, failed)
			}
		}
	}
}

// Failure guarded against: the last crash before a job is failed ends others' runs
// while capacity is scarce, or the job stands still beside free capacity.
func TestJobIsDeferredBeforeItsLastTrial(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := crashTerm("a")
		k := &term.jobs["a"].occurrences[0].steps[0].tasks[0]
		for _, id := range []workload.WorkerID{"x", "y"} {
			term.crashWorker(id, true, true, "a")
		}
		w := newWorker("w", "node-w")
		w.alive, w.info = true, workload.Worker{ID: "w", Service: "s", Capacity: workload.Resources{CPU: 1000}}
		other := workload.RunID{Task: workload.TaskID{Job: "b"}, Run: 1}
		term.addWorker(w)
		w.add(other, &workload.Step{Need: workload.Resources{CPU: 600}})
		term.plan()
		if k.state == taskPlaced {
			t.Fatal("the job's task started while capacity is scarce")
		}
		w.remove(other)
		term.plan()
		if k.state != taskPlaced {
			t.Error("the job's task waits while capacity is free")
		}
		term.crashWorker("z", true, true, "a")
		if s := term.jobs["a"].state; s != workload.Failed {
			t.Errorf("the job is %s after its last trial", s)
		}
	})
}

// Failure guarded against: a job whose last trial is deferred waits forever while
// capacity stays scarce.
func TestDeferralIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := crashTerm("a")
		for _, id := range []workload.WorkerID{"x", "y"} {
			term.crashWorker(id, true, true, "a")
		}
		w := newWorker("w", "node-w")
		w.alive, w.info = true, workload.Worker{ID: "w", Service: "s", Capacity: workload.Resources{CPU: 1000}}
		term.addWorker(w)
		w.add(workload.RunID{Task: workload.TaskID{Job: "b"}, Run: 1}, &workload.Step{Need: workload.Resources{CPU: 600}})
		time.Sleep(lastTrialWait + time.Millisecond)
		term.plan()
		if k := term.jobs["a"].occurrences[0].steps[0].tasks[0]; k.state != taskPlaced {
			t.Error("the job's task still waits")
		}
	})
}

// Failure guarded against: crashes that a harmless task was suspected of do not count
// as crashes with other causes.
func TestCrashesOfClearedTasksAreUnrelated(t *testing.T) {
	term := crashTerm("a", "b")
	before := term.chanceOfCrash()
	term.crashWorker("w", true, true, "a", "b")
	for _, id := range []workload.JobID{"a", "b"} {
		if got := term.chanceOfCrash(); got != before {
			t.Errorf("the chance of an unrelated crash is %v while %s is suspect, %v before", got, id, before)
		}
		j := term.jobs[id]
		term.clearCrashes(j, &j.occurrences[0].steps[0].tasks[0])
	}
	if got := term.chanceOfCrash(); got <= before {
		t.Errorf("the chance of an unrelated crash is %v after the tasks were cleared, %v before", got, before)
	}
}

// Guards against innocent tasks that wait for a quarantine, in which only the
// cause of the crash belongs.
func TestOnlyPrimeSuspectsAreQuarantined(t *testing.T) {
	term := crashTerm("a", "b")
	term.crashWorkerAfter("w", true, true, []workload.JobID{"a"}, "a", "b")
	for id, want := range map[workload.JobID]bool{"a": true, "b": false} {
		if got := term.jobs[id].occurrences[0].steps[0].awaitsQuarantine(time.Now()); got != want {
			t.Errorf("job %s awaits quarantine: %t, want %t", id, got, want)
		}
	}
}

// Guards against a suspect that starts outside a quarantine because it had no
// capacity until long after the crash.
func TestSuspectIsQuarantinedHoweverLateThereIsCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := crashTerm("a")
		s := term.jobs["a"].occurrences[0].steps[0]
		s.spec.Need = workload.Resources{CPU: 1000}
		term.crashWorkerAfter("w", true, true, []workload.JobID{"a"}, "a")
		time.Sleep(2 * quarantineWait)
		w := newWorker("w-2", "node-2")
		w.alive, w.info = true, workload.Worker{ID: "w-2", Service: "s", Capacity: workload.Resources{CPU: 1000}}
		term.workers[w.id] = w
		term.plan()
		if s.tasks[0].state != taskPlaced || w.quarantine == nil {
			t.Errorf("task state %d, quarantine %v", s.tasks[0].state, w.quarantine)
		}
	})
}

// Guards against a suspect that waits for a quarantine for longer than
// quarantineWait though a worker has capacity for it.
func TestWaitForQuarantineIsBoundedOnceThereIsCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		term := crashTerm("a")
		s := term.jobs["a"].occurrences[0].steps[0]
		term.crashWorkerAfter("w", true, true, []workload.JobID{"a"}, "a")
		other := newWorker("w-2", "node-2")
		other.alive, other.info = true, workload.Worker{ID: "w-2", Service: "s"}
		other.quarantine = &quarantine{job: "b", since: time.Now(), used: true}
		free := newWorker("w-3", "node-3")
		free.alive, free.info = true, workload.Worker{ID: "w-3", Service: "s"}
		term.workers[other.id], term.workers[free.id] = other, free
		term.addJob(workload.Job{ID: "b", Queue: workload.Queue{Name: "q", Service: "s"}, Steps: []workload.Step{{Count: 1, Lasting: true}}})
		k := &term.jobs["b"].occurrences[0].steps[0].tasks[0]
		k.state, k.run, k.worker, k.crashes = taskPlaced, 1, "w-2", 1
		other.add(workload.RunID{Task: workload.TaskID{Job: "b"}, Run: 1}, &workload.Step{})
		term.plan()
		if s.tasks[0].state == taskPlaced {
			t.Fatal("the suspect started outside a quarantine at once")
		}
		time.Sleep(quarantineWait + time.Millisecond)
		term.plan()
		if s.tasks[0].state != taskPlaced {
			t.Error("the suspect still waits")
		}
	})
}

// Guards against suspects of several jobs on one worker, whose crash shows nothing
// about any of them.
func TestSuspectsOfDifferentJobsStartApart(t *testing.T) {
	term := crashTerm("a", "b")
	jobs := []workload.JobID{"a", "b"}
	term.crashWorkerAfter("w", true, true, jobs, jobs...)
	for _, id := range jobs {
		// Each has waited for a quarantine long enough.
		term.jobs[id].occurrences[0].steps[0].tasks[0].couldStart = time.Now().Add(-quarantineWait)
	}
	for _, id := range []workload.WorkerID{"w-1", "w-2"} {
		w := newWorker(id, "node-"+string(id))
		w.alive, w.info = true, workload.Worker{ID: id, Service: "s", Capacity: workload.Resources{CPU: 1000}}
		term.workers[id] = w
	}
	// Alone, each would be placed on w-1, where most capacity is free.
	term.workers["w-2"].info.Capacity.CPU = 500
	term.workers["w-2"].add(workload.RunID{Task: workload.TaskID{Job: "c"}, Run: 1}, &workload.Step{Need: workload.Resources{CPU: 400}})
	term.plan()
	a, b := term.jobs["a"].occurrences[0].steps[0].tasks[0], term.jobs["b"].occurrences[0].steps[0].tasks[0]
	if a.state != taskPlaced || b.state != taskPlaced || a.worker == b.worker {
		t.Errorf("placed on %q and %q", a.worker, b.worker)
	}
}

// Guards against a crash that nobody counts, because the worker's agent was
// stopping, and against suspicion of runs that a planned stop has ended.
func TestRunsNamedByAStoppingAgentAreSuspected(t *testing.T) {
	for _, named := range []bool{false, true} {
		term := crashTerm("a")
		s := term.jobs["a"].occurrences[0].steps[0]
		k := &s.tasks[0]
		run := workload.RunID{Task: workload.TaskID{Job: "a"}, Run: 1}
		k.state, k.run, k.storedRun, k.worker = taskPlaced, 1, 1, "w"
		s.waiting--
		w := newWorker("w", "node")
		w.alive, w.link = true, &agentLink{term: term}
		w.add(run, s.spec)
		term.workers["w"] = w
		fresh := map[workload.RunID]dispatch.SuspectRun{}
		if named {
			fresh[run] = dispatch.SuspectRun{Run: run, Begun: true, Last: true}
		}
		w.link.recordStopping(w, &dispatch.WatchReply{LeaseEnd: time.Second}, fresh)
		at := term.deps.Now()
		term.deps.Now = func() time.Duration { return at + 2*time.Second }
		term.expireWorkers()
		if suspected := k.crashes == 1; k.state != taskWaiting || suspected != named {
			t.Errorf("named by the agent: %t; task state %d, suspected: %t", named, k.state, suspected)
		}
	}
}

// Failure guarded against: a gang is placed on a worker whose capacity has
// shrunk since the worker was put in quarantine for the gang's job.
func TestGangWaitsWhereItNoLongerFits(t *testing.T) {
	now, at := time.Hour, time.Now()
	term := loadedTerm(&now, workload.Queue{Name: "q", Service: "s"})
	w := newWorker("w", "node")
	w.alive = true
	w.info = workload.Worker{ID: "w", Service: "s", Capacity: workload.Resources{CPU: 4000}}
	w.quarantine = &quarantine{job: "a", since: at}
	term.workers["w"] = w
	gang := workload.Step{Count: 4, Need: workload.Resources{CPU: 1500}, Gang: true}
	term.addJob(workload.Job{ID: "a", Queue: workload.Queue{Name: "q", Service: "s"}, Steps: []workload.Step{gang}})
	j := term.jobs["a"]
	v := term.newView()
	v.setService("s")
	term.planQuarantine(v, j, j.occurrences[0], 0, at)
	if !w.used.Fits(w.info.Capacity) {
		t.Errorf("%+v of %+v is reserved", w.used, w.info.Capacity)
	}
}
