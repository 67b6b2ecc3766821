package scheduler

import (
	"fmt"
	"testing"
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/structs/scheduling"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// heldUpTerm is a term with an overdue job whose step of 11 tasks runs on four
// workers, three of them on w-0, which paces them down to a tenth; w-4 and w-5
// are free.
func heldUpTerm(on bool) (*Term, *job, *time.Duration) {
	now := time.Minute
	t := loadedTerm(&now, workload.Queue{Name: "q", Service: "s", Stretch: 2, MaxAttempts: 3})
	t.cfg.Policies.Rebalancing = scheduling.Rebalancing{Enabled: on}
	t.cfg.MoveCosts = MoveCosts{Stop: 200 * time.Millisecond, Restore: 600 * time.Millisecond}
	for i := range 6 {
		w := newWorker(workload.WorkerID(fmt.Sprintf("w-%d", i)), fmt.Sprintf("agent-%d", i))
		w.alive = true
		w.info = workload.Worker{ID: w.id, Service: "s", Capacity: workload.Resources{CPU: 16000, Memory: 64000}}
		w.link = &agentLink{term: t, worker: w, starts: map[workload.RunID]dispatch.StartOrder{}, stops: map[workload.RunID]bool{}, outbox: make(chan struct{}, 1), claimDue: make(chan struct{}, 1)}
		t.workers[w.id] = w
	}
	step := workload.Step{Count: 11, Need: workload.Resources{CPU: 1800, Memory: 1000}, Estimate: 2300 * time.Millisecond, Fills: true, Image: "f"}
	t.addJob(workload.Job{ID: "5c0e7a21d94b36f8", Queue: workload.Queue{Name: "q", Service: "s", Stretch: 2}, Steps: []workload.Step{step}, Accepted: (now - 50*time.Second).Milliseconds()})
	j := t.active[0]
	s := j.occurrences[0].steps[0]
	for i := range s.tasks {
		k, w := &s.tasks[i], t.workers["w-0"]
		if i >= 3 {
			w = t.workers[workload.WorkerID(fmt.Sprintf("w-%d", 1+i%3))]
		}
		*k = task{state: taskPlaced, ordered: true, run: 1, storedRun: 1, agent: w.agent, worker: w.id, placedAt: time.Now().Add(-2 * time.Second), presentAt: now - 1500*time.Millisecond}
		if i < 3 {
			k.work = runWork{known: true, at: now, pace: 0.1, worked: 150 * time.Millisecond, left: 2 * time.Second}
		}
		w.add(workload.RunID{Task: workload.TaskID{Job: j.spec.ID, Index: i}, Run: 1}, s.spec)
	}
	s.waiting, j.started, j.state = 0, true, workload.Running
	return t, j, &now
}

// end reports that the run of a task was stopped.
func end(t *Term, j *job, i int) {
	k := &j.occurrences[0].steps[0].tasks[i]
	r := workload.RunID{Task: workload.TaskID{Job: j.spec.ID, Index: i}, Run: k.run}
	t.applyEnd(t.workers[k.worker], workload.End{Run: r, Kind: workload.EndStopped})
}

func stops(t *Term) (n int) {
	for _, w := range t.workers {
		n += len(w.link.stops)
	}
	return n
}

// Load: a step of an overdue job, without checkpoints, waits for three runs that
// one worker paces down to a tenth, for 20 s; elsewhere they take 2.3 s.
func TestRunsThatHoldUpTheirStepAreMoved(t *testing.T) {
	for _, on := range []bool{false, true} {
		term, j, _ := heldUpTerm(on)
		term.plan()
		want := 0
		if on {
			want = 3
		}
		if got := len(term.workers["w-0"].link.stops); got != want || stops(term) != want {
			t.Fatalf("rebalancing %t: %d runs of w-0 and %d in all are stopped, want %d", on, got, stops(term), want)
		}
		if !on {
			continue
		}
		for i := range 3 {
			end(term, j, i)
		}
		term.plan()
		for i := range 3 {
			if k := j.occurrences[0].steps[0].tasks[i]; k.state != taskPlaced || k.run != 2 || k.worker == "w-0" || k.pin != "" {
				t.Errorf("task %d after the move: %+v", i, k)
			}
		}
	}
}

// Guards against room that is given to other jobs while a task is on its way to
// it, so that the move only loses work.
func TestRoomIsHeldForAMovedTask(t *testing.T) {
	term, j, now := heldUpTerm(true)
	term.plan()
	step := workload.Step{Count: 200, Need: workload.Resources{CPU: 1800, Memory: 1000}, Estimate: time.Second, Fills: true, Image: "f"}
	term.addJob(workload.Job{ID: "6c0e7a21d94b36f8", Queue: j.queue, Steps: []workload.Step{step}, Accepted: now.Milliseconds()})
	term.plan()
	for i := range 3 {
		end(term, j, i)
	}
	term.plan()
	for i := range 3 {
		if k := j.occurrences[0].steps[0].tasks[i]; k.state != taskPlaced {
			t.Errorf("task %d waits after its move: %+v", i, k)
		}
	}
	for _, w := range term.workers {
		if w.fillLoad > w.info.Capacity.CPU {
			t.Errorf("%s has filling work for %d of %d", w.id, w.fillLoad, w.info.Capacity.CPU)
		}
	}
}

// Guards against a task that waits for a worker that was lost while the task was
// on its way to it.
func TestMovedTaskStartsElsewhereIfItsWorkerIsLost(t *testing.T) {
	term, j, _ := heldUpTerm(true)
	term.plan()
	k := &j.occurrences[0].steps[0].tasks[0]
	lost := k.pin
	if lost == "" {
		t.Fatal("no capacity is held")
	}
	for i := range 3 {
		if p := j.occurrences[0].steps[0].tasks[i].pin; p != "" && term.workers[p] != nil {
			term.removeWorker(p, workerLoss{reason: "test", judged: true})
		}
		end(term, j, i)
	}
	term.plan()
	if k.state != taskPlaced || k.worker == lost || k.run != 2 {
		t.Errorf("task %+v, want its second run on another worker than %s", *k, lost)
	}
}

// Guards against moves because of a pace that a former process of the agent has
// reported: the new process sets the paces anew.
func TestNewProcessOfAnAgentForgetsPaces(t *testing.T) {
	term, _, _ := heldUpTerm(true)
	term.workers["w-0"].link.newProcess(7)
	term.plan()
	if n := stops(term); n != 0 {
		t.Errorf("%d runs stopped", n)
	}
}

// Guards against a stop of a run whose agent doesn't answer: nothing would begin
// elsewhere until its lease is over, and the run might end well.
func TestRunOfAnUnresponsiveAgentIsNotMoved(t *testing.T) {
	term, _, _ := heldUpTerm(true)
	term.workers["w-0"].link.unresponsive = true
	term.plan()
	if n := stops(term); n != 0 {
		t.Errorf("%d runs stopped", n)
	}
}

// Load: all workers pace their filling work down alike. A move would only throw
// work away.
func TestNothingMovesBetweenWorkersThatAreEquallyBad(t *testing.T) {
	term, j, now := heldUpTerm(true)
	s := j.occurrences[0].steps[0]
	s.spec.Checkpointing = true
	for n := range 2 {
		w := term.workers[workload.WorkerID(fmt.Sprintf("w-%d", 4+n))]
		id := workload.JobID(fmt.Sprintf("7c0e7a21d94b36f%d", n))
		term.addJob(workload.Job{ID: id, Queue: j.queue, Steps: []workload.Step{{Count: 1, Need: s.spec.Need, Estimate: time.Second, Fills: true, Image: "g"}}, Accepted: now.Milliseconds()})
		o := term.jobs[id].occurrences[0].steps[0]
		o.tasks[0] = task{state: taskPlaced, ordered: true, run: 1, worker: w.id, agent: w.agent, presentAt: *now}
		o.waiting = 0
		w.add(workload.RunID{Task: workload.TaskID{Job: id}, Run: 1}, o.spec)
	}
	for _, other := range term.active {
		other.each(func(_ workload.TaskID, _ *step, k *task) {
			k.work = runWork{known: true, at: *now, pace: 0.3, worked: 150 * time.Millisecond, left: 2 * time.Second}
		})
	}
	for range 20 {
		*now += time.Second
		term.plan()
	}
	if n := stops(term); n != 0 {
		t.Errorf("%d runs stopped though no worker is better", n)
	}
}

// Load: the step presses on the serving tasks of every other worker. While these
// have little load of their own, moved runs get nearly full pace there, ten times
// what they have; near their targets nothing moves.
func TestRunsMoveBesideServingTasksThatBearThem(t *testing.T) {
	for load, want := range map[float64]int{0.2: 3, 0.68: 0} {
		term, _, now := heldUpTerm(true)
		for range 40 {
			term.learner.model.Observe(pressure.Sample{Serving: "a", Load: 0.2, Used: map[string]float64{"f": 0.2}, Count: 3})
		}
		term.learner.model.Solve(0)
		if w := term.learner.model.Weight(pressure.Pair{Serving: "a", Filling: "f"}); !w.Known || w.Value < 0.5 {
			t.Fatalf("the pair has the weight %+v", w)
		}
		term.learner.baseTails["a"] = 4
		term.learner.ownLoads["serving"] = ownLoad{load: load, at: *now}
		serving := &workload.Step{Need: workload.Resources{CPU: 3000}, Lasting: true, TailTarget: 18 * time.Millisecond, Image: "a"}
		for i := range 6 {
			w := term.workers[workload.WorkerID(fmt.Sprintf("w-%d", i))]
			w.add(workload.RunID{Task: workload.TaskID{Job: "serving", Index: i}, Run: 1}, serving)
		}
		term.plan()
		if got := stops(term); got != want {
			t.Errorf("%d runs stopped beside serving tasks with a load of %v, want %d", got, load, want)
		}
	}
}
