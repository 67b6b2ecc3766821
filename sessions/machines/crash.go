package machines

import (
	"time"

	"persimmonrock.example/structs/workload"
)

// formerCapacity is a capacity that a worker offered until a change.
type formerCapacity struct {
	capacity workload.Resources
	until    time.Time
}

// Crash ends the worker and all its runs.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash(workload.RunID{})
}

// Kill is like Crash, but afterwards the worker's address refuses calls.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusing = true
	w.crash(workload.RunID{})
}

// crash ends the worker; by is the run that caused the crash, if any.
func (w *Worker) crash(by workload.RunID) {
	if !w.alive {
		return
	}
	w.alive = false
	close(w.changed)
	w.changed = make(chan struct{})
	for _, x := range w.running {
		x.timer.Stop()
		w.rules.crashed(x.run, x.run == by)
		time.AfterFunc(answerTime, func() {
			for _, m := range w.rules.breakGang(x.run) {
				m.on.endBroken(m.run)
			}
		})
	}
	w.running = map[workload.RunID]*activeRun{}
}

// endBroken ends a run whose gang has lost another member.
func (w *Worker) endBroken(run workload.RunID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x := w.running[run]; x != nil && w.alive {
		w.end(x, workload.EndBroken)
	}
}

func (w *Worker) scheduleCrash(x *activeRun) *time.Timer {
	return time.AfterFunc(crashTime, func() {
		w.mu.Lock()
		crashes, callback := w.alive && w.running[x.run] == x, w.onCrash
		if crashes {
			w.refusing = true
			w.crash(x.run)
		}
		w.mu.Unlock()
		if crashes && callback != nil {
			callback()
		}
	})
}

// OnCrash sets the function to call after a run has crashed the worker.
func (w *Worker) OnCrash(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCrash = f
}

// SetCapacity changes the offered capacity; the worker's next report contains
// it.
func (w *Worker) SetCapacity(c workload.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.formerCapacities = append(w.formerCapacities, formerCapacity{capacity: w.info.Capacity, until: time.Now()})
	w.info.Capacity = c
}

// shrinkGrace is the time after a shrink during which tasks may still fill the
// worker's former capacity; it is the users' strictest bound.
const shrinkGrace = contactTime + heartbeat

// allows reports whether the worker may run tasks that reserve sum. The caller
// holds mu.
func (w *Worker) allows(sum workload.Resources) bool {
	for _, f := range w.formerCapacities {
		if sum.Fits(f.capacity) && time.Since(f.until) <= shrinkGrace {
			return true
		}
	}
	return sum.Fits(w.info.Capacity)
}
