package memory

import (
	"slices"
	"sync"

	"github.com/rs/zerolog"

	"persimmonrock.example/structs"
)

// Run is one execution of a task's program on one worker.
type Run struct {
	Job    structs.JobID
	Epoch  structs.Epoch
	Worker structs.InstanceID
	// Ended says that the program has returned and its work has stopped.
	Ended bool
}

// RunRegistry watches the workers that share it: it records when each run
// really starts and stops, whatever agents, leases and rows say of it, and
// counts every start of a job that still runs anywhere.
type RunRegistry struct {
	log zerolog.Logger

	mu     sync.Mutex
	runs   map[structs.JobID][]*Run
	broken int
}

// NewRunRegistry returns an empty registry; the first broken invariant is
// written to log.
func NewRunRegistry(log zerolog.Logger) *RunRegistry {
	return &RunRegistry{log: log, runs: make(map[structs.JobID][]*Run)}
}

// begin records a start. Failure guarded against: a task runs in two places
// at once, or one claim of it runs twice. It shows as a run of the job that
// hasn't ended, or that had this epoch. The check holds because workers call
// begin before the program's first step and end after its last one.
func (r *RunRegistry) begin(run Run) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, earlier := range r.runs[run.Job] {
		if earlier.Ended && earlier.Epoch != run.Epoch {
			continue
		}
		r.broken++
		if r.broken == 1 {
			r.log.Error().
				Str("job", string(run.Job)).
				Str("worker", string(run.Worker)).Uint64("epoch", uint64(run.Epoch)).
				Str("other_worker", string(earlier.Worker)).Uint64("other_epoch", uint64(earlier.Epoch)).
				Msg("invariant broken: a task runs twice")
		}
	}
	r.runs[run.Job] = append(r.runs[run.Job], &run)
	return &run
}

func (r *RunRegistry) end(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Ended = true
}

// Broken counts the runs that overlapped an earlier run of their job, and the
// repeated runs of one epoch.
func (r *RunRegistry) Broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}

// Runs returns the runs of a job in the order of their starts.
func (r *RunRegistry) Runs(id structs.JobID) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, 0, len(r.runs[id]))
	for _, run := range r.runs[id] {
		runs = append(runs, *run)
	}
	return runs
}

// Running returns the jobs that run now, in order of their IDs.
func (r *RunRegistry) Running() []structs.JobID {
	r.mu.Lock()
	defer r.mu.Unlock()
	var ids []structs.JobID
	for id, runs := range r.runs {
		if slices.ContainsFunc(runs, func(run *Run) bool { return !run.Ended }) {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
