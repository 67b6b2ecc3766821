package scheduler

import (
	"slices"

	"github.com/rs/zerolog"

	"persimmonrock.example/ops/logs"
	"persimmonrock.example/structs/workload"
)

// label names the worker and its instance in log lines on many workers.
func (w *worker) label() string { return w.agent + " " + string(w.id) }

// addWorker adds an incarnation.
func (t *Term) addWorker(w *worker) {
	t.workers[w.id] = w
	t.byAgent[w.agent] = append(t.byAgent[w.agent], w)
}

// removeWorker removes an incarnation that has ended, and requeues its runs.
func (t *Term) removeWorker(id workload.WorkerID, loss workerLoss) {
	w := t.workers[id]
	if w == nil {
		return
	}
	delete(t.workers, id)
	t.byAgent[w.agent] = slices.DeleteFunc(t.byAgent[w.agent], func(x *worker) bool { return x == w })
	if len(t.byAgent[w.agent]) == 0 {
		delete(t.byAgent, w.agent)
	}
	if w.link != nil && w.link.worker == w {
		w.link.worker = nil
	}
	loss.crashed = true
	t.requeueRuns(w, loss)
}

// requeueRuns makes all tasks placed on w wait again, and records which of them
// may have caused the loss of w.
func (t *Term) requeueRuns(w *worker, loss workerLoss) {
	suspects := t.suspects(w, loss)
	if w.alive || len(w.runs) > 0 {
		t.fleetLog.Add(logs.Kind{Level: zerolog.WarnLevel, Message: "workers lost", Why: loss.reason}, w.label(), len(w.runs))
	}
	w.alive = false
	t.recordLoss(w)
	for r := range w.runs {
		if j, s, k := t.placedRun(w, r); k != nil {
			t.deps.Counters.Lost.Add(1)
			t.recordLostRun(w, s, k)
			j.release(s, k, "")
			t.markDirty(j)
		}
		w.remove(r)
	}
	t.recordSuspects(w, loss, suspects)
	if w.link != nil {
		// Version 0 requests a report of all runs, should the worker return.
		w.link.since = 0
	}
	t.wakeUp()
}

// expireWorkers requeues the runs of workers whose last lease has expired.
func (t *Term) expireWorkers() bool {
	now := t.deps.Now()
	lost := false
	for _, w := range t.workers {
		if w.leaseEnd > 0 && now > w.leaseEnd && (w.alive || len(w.runs) > 0) {
			// A planned stop of the agent is not a crash, so only the runs that it named
			// are suspected.
			t.requeueRuns(w, workerLoss{reason: "its last lease has expired", judged: w.agentStopping(), fresh: w.freshAtStop})
			lost = true
		}
	}
	return lost
}

// evacuate stops lasting and checkpointing tasks on a worker that is draining:
// they would end with the worker in any case, and can progress elsewhere.
func (t *Term) evacuate(w *worker) {
	for r := range w.runs {
		_, s, k := t.placedRun(w, r)
		if k != nil && (s.spec.Lasting || s.spec.Checkpointing) {
			t.stop(r.Task, k)
		}
	}
}
