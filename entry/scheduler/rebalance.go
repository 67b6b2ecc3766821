package scheduler

import (
	"time"

	"persimmonrock.example/decide/rebalance"
	"persimmonrock.example/structs/workload"
)

const (
	// rebalanceEvery is the time between two checks of runs that hold up their step.
	rebalanceEvery = 300 * time.Millisecond
	// rebalancePerPlan is the number of moved runs, per scaleUnit workers, from which
	// a check moves none of a further step.
	rebalancePerPlan = 3
	// searchesPerCheck bounds the steps for which one check looks for slots; the next
	// check goes on with the steps after them.
	searchesPerCheck = 30
	// slowPace is the mean pace below which a run may hold up its step. Workers
	// whose filling runs have a lower mean pace take no moved run.
	slowPace = 0.7
	// moveLatency is the time from a stop to the next start of the task, besides the
	// stop itself: two messages each way and a transaction.
	moveLatency = 250 * time.Millisecond
	// leastLeft is the part of a task's expected run time that an unended run is
	// expected to need at least.
	leastLeft = 0.15
)

// MoveCosts are what a move of a run costs: the longest time that a worker takes
// to stop a run, and the time in which a run resumes from a checkpoint.
type MoveCosts struct {
	Stop, Restore time.Duration
}

// runWork is how a filling run gets on, as its agent reported at time at. A run
// without a report works at full pace.
type runWork struct {
	known        bool
	at           time.Duration
	pace         float64
	worked, left time.Duration
}

// now returns the work that is done and left at the given time. The run was first
// reported at presentAt, and expected is what it was expected to work in all.
func (x *runWork) now(now, presentAt, expected time.Duration) (worked, left time.Duration) {
	least := time.Duration(leastLeft * float64(expected))
	if !x.known {
		worked = now - presentAt
		return worked, max(least, expected-worked)
	}
	since := time.Duration(x.pace * float64(now-x.at))
	if x.left > 0 {
		return x.worked + since, max(0, x.left-since)
	}
	return x.worked + since, max(least, expected-x.worked-since)
}

// meanPace is the pace of the run, 1 if it is unknown.
func (x *runWork) meanPace() float64 {
	if !x.known {
		return 1
	}
	return x.pace
}

// forgetWork forgets how the runs of the worker get on: a new process of the agent
// sets their paces anew.
func (l *agentLink) forgetWork() {
	if l.worker == nil {
		return
	}
	for r := range l.worker.runs {
		if _, _, k := l.term.placedRun(l.worker, r); k != nil {
			k.work = runWork{}
		}
	}
}

// rebalance stops filling runs that hold up their step, if their tasks end sooner
// elsewhere, whatever class their job has. The caller has placed all tasks that it
// could.
func (t *Term) rebalance(v *view) {
	if !t.cfg.Policies.Rebalancing.Enabled || v.now-t.lastRebalance < rebalanceEvery {
		return
	}
	t.lastRebalance = v.now
	f := &slotFinder{term: t, v: v}
	left := rebalancePerPlan * fleetScale(len(v.workers))
	passed := 0
	for _, j := range t.active {
		if j.state.Final() || j.queue.Advised {
			continue
		}
		for _, o := range j.occurrences {
			for si, s := range o.steps {
				if !s.spec.Fills || s.spec.Gang || !s.paceHoldsUp() {
					continue
				}
				if passed++; passed <= t.rebalanced {
					continue
				}
				v.setService(j.queue.Service)
				left -= t.rebalanceStep(f, j, o, si)
				if left <= 0 || f.searches >= searchesPerCheck {
					t.rebalanced = passed
					return
				}
			}
		}
	}
	t.rebalanced = 0
}

// paceHoldsUp reports whether a run of the step may be moved for its pace.
func (s *step) paceHoldsUp() bool {
	for i := range s.tasks {
		if k := &s.tasks[i]; k.state == taskPlaced && !k.stopping && k.work.meanPace() < slowPace {
			return true
		}
	}
	return false
}

// workerPaces returns the mean pace of the filling runs on each worker of v.
func (t *Term) workerPaces(v *view) []float64 {
	paces := make([]float64, len(v.workers))
	for i, w := range v.workers {
		sum, n := 0.0, 0
		for r, reserved := range w.runs {
			if reserved.fill == 0 {
				continue
			}
			if _, _, k := t.placedRun(w, r); k != nil {
				sum += k.work.meanPace()
				n++
			}
		}
		paces[i] = 1
		if n > 0 {
			paces[i] = sum / float64(n)
		}
	}
	return paces
}

// rebalanceStep moves the runs that hold up a step and returns their number.
func (t *Term) rebalanceStep(f *slotFinder, j *job, o *occurrence, si int) int {
	v, s := f.v, o.steps[si]
	state, tasks := t.stepState(v, j, si, s)
	costs := rebalance.Costs{Transit: t.cfg.MoveCosts.Stop + moveLatency}
	if s.spec.Checkpointing {
		costs.Restore = t.cfg.MoveCosts.Restore
	}
	holding, _ := rebalance.Holding(state, costs)
	if len(holding) == 0 {
		return 0
	}
	slots, at := f.find(s, len(holding))
	moves := rebalance.Decide(state, slots, costs)
	for _, m := range moves {
		i := tasks[m.Run]
		id := workload.TaskID{Job: j.spec.ID, Occurrence: o.number, Step: si, Index: i}
		t.moveRun(v, taskRef{id: id, job: j, step: s, task: &s.tasks[i]}, at[m.Slot], m)
	}
	return len(moves)
}

// stepState returns the step for rebalance.Decide, and the index of the task of
// each of its runs.
func (t *Term) stepState(v *view, j *job, si int, s *step) (rebalance.Step, []int) {
	expected := j.expected()[si]
	state := rebalance.Step{Expected: expected}
	var tasks []int
	now := time.Now()
	for i := range s.tasks {
		k := &s.tasks[i]
		switch {
		case k.state == taskDone:
		case k.state == taskWaiting || k.stopping || k.presentAt == 0:
			state.Floor = max(state.Floor, expected-k.worked)
		default:
			worked, left := k.work.now(v.now, k.presentAt, expected-k.worked)
			r := rebalance.Run{Pace: k.work.meanPace(), Left: left, Moves: k.moves + k.rebalanced, Fixed: !t.mayRebalance(v, k, now)}
			if !s.spec.Checkpointing {
				r.Lost = worked
			}
			state.Runs = append(state.Runs, r)
			tasks = append(tasks, i)
		}
	}
	return state, tasks
}

// mayRebalance reports whether the placed run of k may be stopped for a move. The
// stop must reach the worker, and the pace must have been seen for a while. A task
// that may crash its workers is left to its quarantine.
func (t *Term) mayRebalance(v *view, k *task, now time.Time) bool {
	n := v.index(k.worker)
	if n < 0 || !k.ordered || !k.work.known || k.crashes > 0 || now.Sub(k.placedAt) < relocateAfter {
		return false
	}
	l := v.workers[n].link
	return l != nil && !l.unresponsive
}

// moveRun stops a run and holds capacity for its task on candidate n. If that
// worker is lost meanwhile, the task is placed as any other.
func (t *Term) moveRun(v *view, m taskRef, n int, why rebalance.Move) {
	k, w := m.task, v.workers[n]
	t.deps.Counters.Rebalanced.Add(1)
	if !m.step.spec.Checkpointing {
		t.deps.Counters.Restarted.Add(1)
	}
	k.rebalanced++
	k.avoid = k.worker
	w.hold(m, time.Now())
	k.moving = true
	v.reserve(n, m.step.spec)
	t.deps.Log.Info().Stringer("run", workload.RunID{Task: m.id, Run: k.run}).Str("from", string(k.worker)).Str("room", string(w.id)).
		Float64("pace", k.work.pace).Dur("here", why.Here).Dur("there", why.There).Int("moves", k.rebalanced).
		Msg("run that holds up its step stopped to be moved")
	t.stop(m.id, k)
}

// barsPinned reports whether a task for which capacity is held on candidate n may
// not be placed there. A moved filling task may press on serving tasks, at the pace
// that these bear.
func (v *view) barsPinned(n int, s *workload.Step) bool {
	if !s.Fills {
		return v.candidates[n].Barred
	}
	return !v.workers[n].accepts(v.service) || v.workers[n].quarantine != nil
}

// heldFill is the CPU held here for filling tasks that are being moved here.
func (w *worker) heldFill() int {
	if len(w.held) == 0 {
		return 0
	}
	sum, now := 0, time.Now()
	for _, h := range w.held {
		if h.task.pin == w.id && !h.job.state.Final() && h.holdsFill(now) {
			sum += h.fill
		}
	}
	return sum
}

// holdsFill reports whether the CPU of a filling task is still held. A run whose
// stop takes longer holds it no more.
func (h *heldCapacity) holdsFill(now time.Time) bool { return now.Before(h.task.pinUntil) }
