package machines

import (
	"time"

	"persimmonrock.example/structs/workload"
)

// formerCapacity is what a worker offered until it shrank.
type formerCapacity struct {
	capacity workload.Resources
	until    time.Time
}

// Crash ends the life of the worker and of all that runs there.
func (w *Worker) Crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.crash(workload.RunID{})
}

// Kill is Crash with the address of the worker refusing calls.
func (w *Worker) Kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.refusing = true
	w.crash(workload.RunID{})
}

// crash ends the life; by is the run that is the cause, if any.
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
				m.on.breakOff(m.run)
			}
		})
	}
	w.running = map[workload.RunID]*working{}
}

// breakOff ends a member of a gang of which another one is gone.
func (w *Worker) breakOff(run workload.RunID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if x := w.running[run]; x != nil && w.alive {
		w.end(x, workload.EndBroken)
	}
}

// crashSoon lets a run that has begun crash the worker.
func (w *Worker) crashSoon(x *working) *time.Timer {
	return time.AfterFunc(crashTime, func() {
		w.mu.Lock()
		crashes, then := w.alive && w.running[x.run] == x, w.onCrash
		if crashes {
			w.refusing = true
			w.crash(x.run)
		}
		w.mu.Unlock()
		if crashes && then != nil {
			then()
		}
	})
}

// OnCrash sets what is called when a run has crashed the worker.
func (w *Worker) OnCrash(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.onCrash = f
}

// SetCapacity changes what the worker offers; its next report says so.
func (w *Worker) SetCapacity(c workload.Resources) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.larger = append(w.larger, formerCapacity{capacity: w.info.Capacity, until: time.Now()})
	w.info.Capacity = c
}

// shrinkGrace is how long after it shrank a worker may still be filled to what
// it offered before, on the users' tightest terms.
const shrinkGrace = contact + heartbeat

// holds reports whether the worker may hold that much. The caller holds mu.
func (w *Worker) holds(sum workload.Resources) bool {
	for _, f := range w.larger {
		if sum.Fits(f.capacity) && time.Since(f.until) <= shrinkGrace {
			return true
		}
	}
	return sum.Fits(w.info.Capacity)
}
