package scheduler

import (
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

// applyFormerEnds applies the ends of runs that worker id carried out although
// they are on record at a former life of its instance. It is called before the
// former life is removed, with all whose ends are not known.
//
// Guards against a task that starts again after its end: an order to the former
// life may reach the new one, and a short run is done there before the agent
// hears of the new life. The caller holds mu.
func (t *Term) applyFormerEnds(id workload.WorkerID, ends []workload.End) {
	if id.Born() == 0 {
		return
	}
	for _, e := range ends {
		j := t.jobs[e.Run.Task.Job]
		if j == nil {
			continue
		}
		_, k := j.find(e.Run.Task)
		if k == nil || k.state != taskPlaced || k.run != e.Run.Run || k.worker == id || k.worker.Instance() != id.Instance() {
			continue
		}
		if w := t.workers[k.worker]; w != nil {
			t.applyEnd(w, e)
		}
	}
}

// removeFormer removes a worker that has ended, and reports whether it has. The
// former life of an instance whose present life may have further ends stays on
// record, but takes no more work, until they are known or its lease has expired.
//
// Guards against a task that starts again after its end: the present life may have
// carried out more orders to the former one than it lists ends at once. The caller
// holds mu.
func (t *Term) removeFormer(id workload.WorkerID, reply *dispatch.WatchReply, loss workerLoss) bool {
	w := t.workers[id]
	if w == nil {
		return false
	}
	if w.loss == nil {
		w.loss = &loss
	}
	if reply.EndsUnknown && id != reply.Worker.ID && id.Instance() == reply.Worker.ID.Instance() {
		w.alive = false
		return false
	}
	t.removeWorker(id, *w.loss)
	return true
}
