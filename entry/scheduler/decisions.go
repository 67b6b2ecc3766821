package scheduler

import (
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/ops/logs"
	"persimmonrock.example/structs/workload"
)

// This file logs the runs of a term. A step has tens of tasks that are placed
// together and end one after the other. On hundreds of workers, thousands of
// tasks end in a second. A line for each would exceed the log limit of a
// process, and dropped lines would be missing when a request is to be traced.
// So there is one line for all placements of a step in a plan, and one for the
// step's completion. Ends of runs that do not advance their step have a line
// each. Agents log each start and end.

// logKnown logs a job without stored progress.
func (t *Term) logKnown(j *job) {
	t.deps.Log.Info().Str("job", string(j.spec.ID)).Str("queue", j.spec.Queue.Name).Int("steps", len(j.spec.Steps)).
		Int64("age_ms", t.storeNow()-j.spec.Accepted).Dur("objective", j.objective()).Msg("job known")
}

// placements lists the runs of one step that a plan has placed.
type placements struct {
	runs []string
	// freeCPU is the least CPU left free on any of their workers.
	freeCPU int
}

func (p *placements) add(index, run int, w workload.WorkerID, freeCPU int) {
	if len(p.runs) == 0 || freeCPU < p.freeCPU {
		p.freeCPU = freeCPU
	}
	p.runs = append(p.runs, logs.PlacedRun{Index: index, Run: run, Worker: string(w)}.String())
}

// logPlaced logs the placements of a step and resets the list.
func (t *Term) logPlaced(v *view, j *job, o *occurrence, si int) {
	if len(v.placed.runs) == 0 {
		return
	}
	logStep(t.deps.Log.Info(), j, o.number, si).Strs("placements", v.placed.runs).Int("free_cpu", v.placed.freeCPU).
		Int("waiting", o.steps[si].waiting).Int64("wait_ms", t.storeNow()-j.spec.Accepted).Msg("placed")
	v.placed = placements{}
}

// logDone logs the completion of a step, if all of its tasks are done.
func (t *Term) logDone(j *job, s *step, r workload.RunID) {
	if !s.complete() {
		return
	}
	logStep(t.deps.Log.Info(), j, r.Task.Occurrence, r.Task.Step).Int("tasks", len(s.tasks)).Int("last", r.Task.Index).
		Int64("age_ms", t.storeNow()-j.spec.Accepted).Str("job_state", string(j.state)).Msg("step done")
}

// logEnd logs the end of a run that does not advance its step.
func (t *Term) logEnd(j *job, s *step, k *task, e workload.End, w *worker) {
	t.deps.Log.Info().Stringer("run", e.Run).Str("how", string(e.Kind)).Str("worker", string(w.id)).Dur("ran", time.Since(k.placedAt)).
		Dur("estimate", s.spec.Estimate).Str("job_state", string(j.state)).Msg("run ended")
}

func logStep(e *zerolog.Event, j *job, occurrence, step int) *zerolog.Event {
	return e.Str("job", string(j.spec.ID)).Int("occurrence", occurrence).Int("step", step)
}
