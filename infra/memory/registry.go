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
	// Ended is set once the program has returned and its work has stopped.
	Ended bool
}

// RunRegistry records when each run on a group of workers actually starts and
// stops, independently of agents, leases and rows. It counts the pairs of runs
// of one job that overlap or have the same epoch.
type RunRegistry struct {
	log zerolog.Logger

	mu         sync.Mutex
	runs       map[structs.JobID][]*Run
	violations int
}

// NewRunRegistry returns an empty registry, which writes the first broken
// invariant to log.
func NewRunRegistry(log zerolog.Logger) *RunRegistry {
	return &RunRegistry{log: log, runs: make(map[structs.JobID][]*Run)}
}

// recordStart records a start and checks the job's earlier runs. If one hasn't
// ended, the task runs in two places at once; if one has the same epoch, its
// claim runs twice. The check is sound because workers call recordStart before
// the program's first step and recordEnd after its last one.
func (r *RunRegistry) recordStart(run Run) *Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, earlier := range r.runs[run.Job] {
		if earlier.Ended && earlier.Epoch != run.Epoch {
			continue
		}
		r.violations++
		if r.violations == 1 {
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

func (r *RunRegistry) recordEnd(run *Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run.Ended = true
}

// Violations counts the pairs of runs of one job that overlapped or had the
// same epoch.
func (r *RunRegistry) Violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}

// Runs returns the runs of a job in order of their starts.
func (r *RunRegistry) Runs(id structs.JobID) []Run {
	r.mu.Lock()
	defer r.mu.Unlock()
	runs := make([]Run, 0, len(r.runs[id]))
	for _, run := range r.runs[id] {
		runs = append(runs, *run)
	}
	return runs
}

// Running returns the jobs that run now, sorted by ID.
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
