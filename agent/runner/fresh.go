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
	// provenAfter is the time after which a run on a worker that answers is no
	// longer suspected as the cause of a crash.
	provenAfter = time.Second
	// promptCrashTime is the longest time from a run's start to the first
	// failed call if the run crashes its worker at once.
	promptCrashTime = 250 * time.Millisecond
	// promptDownTime is the longest time from a worker's last answer to the
	// first refused call after a crash: a listing and the pause after it.
	promptDownTime = time.Second
	// lastStartWindow is the time within which starts count as simultaneous: the
	// runs of one message are started concurrently.
	lastStartWindow = 40 * time.Millisecond
	// maxLoggedRuns bounds the runs named in one log line.
	maxLoggedRuns = 16
)

// formerIncarnation is an incarnation of the worker that has ended.
type formerIncarnation struct {
	id workload.WorkerID
	// freshRuns are the runs that may have crashed the incarnation.
	freshRuns []dispatch.SuspectRun
	// changed is the version at which the incarnation's end was recorded.
	changed uint64
}

// freshRuns lists the runs that may have crashed the worker: runs that may have
// begun, and had not run for provenAfter at its last answer. A worker that
// announced its shutdown has not crashed. The caller holds mu.
func (inc *incarnation) freshRuns() []dispatch.SuspectRun {
	if inc.leaving {
		return nil
	}
	var list []dispatch.SuspectRun
	last := inc.lastConfirmedStart() - lastStartWindow
	for id, x := range inc.runs {
		if x.mayHaveBegun() && !x.proven(inc.answeredAt) {
			begun := x.state == dispatch.RunPresent && !x.inherited && !x.doubtful && inc.downPromptly()
			list = append(list, dispatch.SuspectRun{Run: id, Begun: begun, Soon: begun && inc.failedAt > 0 && inc.failedAt-x.presentAt <= promptCrashTime, Last: x.sentAt >= last})
		}
	}
	return list
}

// lastConfirmedStart is the time at which the latest of the runs on the worker
// was started. An order without an answer may have been sent after the crash.
func (inc *incarnation) lastConfirmedStart() time.Duration {
	var at time.Duration
	for _, x := range inc.runs {
		if x.state == dispatch.RunPresent {
			at = max(at, x.sentAt)
		}
	}
	return at
}

// downPromptly reports whether a crash must have come while the worker had a
// lease: the last lease has not lapsed, or the worker was down within
// promptDownTime of its last answer. Without a lease the worker runs nothing.
func (inc *incarnation) downPromptly() bool {
	return !inc.lapsed || inc.downAt > 0 && inc.downAt-inc.answeredAt <= promptDownTime
}

// recordFailure sets failedAt at the first ErrUnknown or ErrDown since the
// worker's last answer, and downAt at the first ErrDown. The caller holds mu.
func (r *Runner) recordFailure(inc *incarnation, err error) {
	inc.unlisted = inc.unlisted || err != nil
	if inc.failedAt == 0 && (errors.Is(err, workerctl.ErrUnknown) || errors.Is(err, workerctl.ErrDown)) {
		inc.failedAt = r.deps.Now()
		if r.stopping {
			r.recordChange(true)
		}
	}
	if inc.downAt == 0 && errors.Is(err, workerctl.ErrDown) {
		inc.downAt = r.deps.Now()
		inc.changed = r.recordChange(true)
	}
}

// mayHaveBegun reports whether the run is on the worker, or one of its orders
// may have been carried out.
func (x *run) mayHaveBegun() bool {
	return x.state == dispatch.RunPresent || x.state == dispatch.RunPending && (x.calling || x.uncertain)
}

// proven reports whether the run had been on its worker for provenAfter when
// the worker last answered.
func (x *run) proven(answeredAt time.Duration) bool {
	return x.presentAt > 0 && answeredAt-x.presentAt >= provenAfter
}

// recordPresent records that the run is on the worker. A gang starts working
// when all its members are present, so a gang's run counts from its first work.
func (x *run) recordPresent(works bool, now time.Duration) {
	if x.presentAt == 0 && (works || !x.gang) {
		x.presentAt = now
	}
}

// reportProven reports, once, that a watched run is no longer suspected of a
// crash (see proven). The caller holds mu.
func (r *Runner) reportProven(inc *incarnation, x *run) {
	if x.watched && !x.provenReported && x.proven(inc.answeredAt) {
		x.provenReported = true
		x.changed = r.recordChange(true)
	}
}

// formerIncarnations lists the ended incarnations, and the runs that may have
// crashed an incarnation which ended or lapsed after version since.
func (r *Runner) formerIncarnations(since uint64) (ids []workload.WorkerID, freshRuns []dispatch.SuspectRun) {
	for _, f := range r.former {
		ids = append(ids, f.id)
		if since == 0 || f.changed > since {
			freshRuns = append(freshRuns, f.freshRuns...)
		}
	}
	if inc := r.incarnation; inc != nil && inc.lapsed && (since == 0 || inc.changed > since) {
		freshRuns = append(freshRuns, inc.freshRuns()...)
	}
	return ids, freshRuns
}

func loggedRuns(runs []dispatch.SuspectRun) []fmt.Stringer {
	list := make([]fmt.Stringer, 0, maxLoggedRuns)
	for _, r := range runs[:min(len(runs), maxLoggedRuns)] {
		list = append(list, r.Run)
	}
	return list
}
