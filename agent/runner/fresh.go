package runner

import (
	"fmt"
	"time"

	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	// provenAfter is how long a run has to be on a worker that answers until
	// the run is no longer taken for the cause of a crash.
	provenAfter = time.Second
	// namedRuns bounds the runs that one log line names.
	namedRuns = 16
)

// fresh lists the runs that may have crashed the worker: they may have begun,
// and the worker has not answered since they had been there for provenAfter.
// The caller holds mu.
func (l *life) fresh() []workload.RunID {
	var list []workload.RunID
	for id, x := range l.runs {
		if x.mayHaveBegun() && !x.proven(l.answeredAt) {
			list = append(list, id)
		}
	}
	return list
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

// named returns what a log line shows of runs.
func named(runs []workload.RunID) []fmt.Stringer {
	list := make([]fmt.Stringer, 0, namedRuns)
	for _, r := range runs[:min(len(runs), namedRuns)] {
		list = append(list, r)
	}
	return list
}
