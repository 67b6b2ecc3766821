package runner

import (
	"errors"
	"fmt"
	"time"

	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	// provenAfter is how long a run has to be on a worker that answers until
	// the run is no longer taken for the cause of a crash.
	provenAfter = time.Second
	// crashSoon is the longest time from the start of a run to the first call that
	// fails, if the run has crashed its worker at once.
	crashSoon = 250 * time.Millisecond
	// downSoon is the longest time from a worker's last answer to the first call
	// that is refused after a crash: a listing and its pause.
	downSoon = time.Second
	// namedRuns bounds the runs that one log line names.
	namedRuns = 16
)

// formerLife is a life that is over.
type formerLife struct {
	id workload.WorkerID
	// fresh are the runs that may have crashed it.
	fresh []dispatch.FreshRun
	// changed is the change that told of its end.
	changed uint64
}

// fresh lists the runs that may have crashed the worker: they may have begun,
// and the worker has not answered since they had been there for provenAfter. A
// worker that has said that it ends has not crashed. The caller holds mu.
func (l *life) fresh() []dispatch.FreshRun {
	if l.left {
		return nil
	}
	var list []dispatch.FreshRun
	for id, x := range l.runs {
		if x.mayHaveBegun() && !x.proven(l.answeredAt) {
			begun := x.state == dispatch.RunPresent && !x.found && l.crashedThen()
			list = append(list, dispatch.FreshRun{Run: id, Begun: begun, Soon: begun && l.failedAt > 0 && l.failedAt-x.presentAt <= crashSoon})
		}
	}
	return list
}

// crashedThen reports whether the worker has crashed, if it has, soon after it
// last answered, and not later: after its last lease it runs nothing.
func (l *life) crashedThen() bool {
	return !l.lapsed || l.downAt > 0 && l.downAt-l.answeredAt <= downSoon
}

// noteFailed notes that a call was left without an answer, or refused by the
// worker's address. The caller holds mu.
func (r *Runner) noteFailed(l *life, err error) {
	if l.failedAt == 0 && (errors.Is(err, workerctl.ErrUnknown) || errors.Is(err, workerctl.ErrDown)) {
		l.failedAt = r.deps.Now()
	}
	if l.downAt == 0 && errors.Is(err, workerctl.ErrDown) {
		l.downAt = r.deps.Now()
	}
}

// mayHaveBegun reports whether the run is on the worker, or an order of it may
// have been carried out.
func (x *run) mayHaveBegun() bool {
	return x.state == dispatch.RunPresent || x.state == dispatch.RunPending && (x.calling || x.uncertain)
}

// proven reports whether the run had been on its worker for provenAfter when
// the worker last answered.
func (x *run) proven(answeredAt time.Duration) bool {
	return x.presentAt > 0 && answeredAt-x.presentAt >= provenAfter
}

// seenPresent notes that the run is on the worker. The members of a gang begin
// to work when all are there, so a run of a gang counts from its first work.
func (x *run) seenPresent(works bool, now time.Duration) {
	if x.presentAt == 0 && (works || !x.gang) {
		x.presentAt = now
	}
}

// tellProven tells once that a run is proven of which the scheduler wants to
// know. The caller holds mu.
func (r *Runner) tellProven(l *life, x *run) {
	if x.watched && !x.toldProven && x.proven(l.answeredAt) {
		x.toldProven = true
		x.changed = r.touch(true)
	}
}

// formerLives lists the lives that are over, and the runs that may have crashed
// those of them, or the present one, of which the caller has not read since.
func (r *Runner) formerLives(since uint64) (lives []workload.WorkerID, fresh []dispatch.FreshRun) {
	for _, f := range r.former {
		lives = append(lives, f.id)
		if since == 0 || f.changed > since {
			fresh = append(fresh, f.fresh...)
		}
	}
	if l := r.life; l != nil && l.lapsed && (since == 0 || l.changed > since) {
		fresh = append(fresh, l.fresh()...)
	}
	return lives, fresh
}

// named returns what a log line shows of runs.
func named(runs []dispatch.FreshRun) []fmt.Stringer {
	list := make([]fmt.Stringer, 0, namedRuns)
	for _, r := range runs[:min(len(runs), namedRuns)] {
		list = append(list, r.Run)
	}
	return list
}
