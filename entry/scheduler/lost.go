package scheduler

import "persimmonrock.example/structs/workload"

// dead notes that a life of a worker is over: nothing of it runs any more.
func (t *Term) dead(id workload.WorkerID, how loss) {
	w := t.workers[id]
	if w == nil {
		return
	}
	delete(t.workers, id)
	if w.link != nil && w.link.worker == w {
		w.link.worker = nil
	}
	how.crashed = true
	t.loseRuns(w, how)
}

// loseRuns makes everything on record at w wait again.
func (t *Term) loseRuns(w *worker, how loss) {
	suspects := t.suspects(w, how)
	if w.alive || len(w.runs) > 0 {
		t.deps.Log.Warn().Str("worker", string(w.id)).Str("instance", w.agent).Int("runs", len(w.runs)).Int("suspects", len(suspects)).
			Str("why", how.why).Msg("worker lost")
	}
	w.alive = false
	for r := range w.runs {
		if j, s, k := t.placedRun(w, r); k != nil {
			t.deps.Counters.Lost.Add(1)
			j.release(s, k, "")
			t.mark(j)
		}
		w.remove(r)
	}
	t.blame(w, how, suspects)
	if w.link != nil {
		// Should the worker come back, all of its runs are compared anew.
		w.link.since = 0
	}
	t.wakeUp()
}

// loseWorkers finds the workers whose last lease is over.
func (t *Term) loseWorkers() bool {
	now := t.deps.Now()
	lost := false
	for _, w := range t.workers {
		if w.bound > 0 && now > w.bound && (w.alive || len(w.runs) > 0) {
			t.loseRuns(w, loss{why: "its last lease is over"})
			lost = true
		}
	}
	return lost
}

// evacuate moves lasting work off a worker that leaves: it ends with the
// worker in any case, and the time until then is better spent elsewhere.
func (t *Term) evacuate(w *worker) {
	for r := range w.runs {
		_, s, k := t.placedRun(w, r)
		if k != nil && (s.spec.Lasting || s.spec.Checkpointing) {
			t.stop(r.Task, k)
		}
	}
}
