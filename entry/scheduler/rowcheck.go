package scheduler

import (
	"fmt"
	"math"
	"time"

	"github.com/rotisserie/eris"
	"github.com/rs/zerolog"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/ops/logs"
	"persimmonrock.example/structs/workload"
)

// Other writers may leave values in the scheduler's tables that it can't use. Such a
// row has no effect, and the other rows hold. A value that decodes is checked before
// use: an index out of range would end each process that takes the lease.

// maxLabel bounds what a log line says of a row, in bytes.
const maxLabel = 200

// rejectRow counts and logs a row that is not used.
func (t *Term) rejectRow(row rowstore.Row, err error) {
	t.deps.Counters.RowsRejected.Add(1)
	label := fmt.Sprintf("%.*q: %.*s", maxLabel, row.Key.Key, maxLabel, err)
	t.fleetLog.Add(logs.Kind{Level: zerolog.ErrorLevel, Message: "rows not used", Why: "table " + row.Key.Table}, label, 1)
}

// decodeJob decodes the row of an accepted job.
func decodeJob(row rowstore.Row) (workload.Job, error) {
	var j workload.Job
	if err := decode(row, &j); err != nil {
		return j, err
	}
	if id, _ := splitJobKey(row.Key.Key); j.ID != id {
		return j, eris.Errorf("row %s/%s holds job %.20q", row.Key.Table, row.Key.Key, j.ID)
	}
	return j, eris.Wrapf(j.Check(), "row %s/%s", row.Key.Table, row.Key.Key)
}

// check returns an error unless the row can be the progress of the job, or a part of
// it.
func (p *progressRow) check(spec *workload.Job) error {
	occurrences := spec.Occurrences()
	switch {
	case !p.State.Known() && p.State != "":
		return eris.Errorf("state %.20q", p.State)
	case p.Seen < 0 || p.Seen > math.MaxInt64/int64(time.Millisecond):
		return eris.Errorf("final state seen for %d ms", p.Seen)
	case p.Next < 0 || p.Next > occurrences:
		return eris.Errorf("next occurrence %d of %d", p.Next, occurrences)
	case p.Span < 0 || p.Span > workload.MaxTasks:
		return eris.Errorf("parts of %d tasks", p.Span)
	}
	seen := map[int]bool{}
	for _, o := range p.Occurrences {
		if o.Number < 0 || o.Number >= occurrences || seen[o.Number] {
			return eris.Errorf("occurrence %d of %d", o.Number, occurrences)
		}
		seen[o.Number] = true
		if err := o.check(spec, len(p.Workers)); err != nil {
			return eris.Wrapf(err, "occurrence %d", o.Number)
		}
	}
	clear(seen)
	for _, n := range p.Live {
		if n < 0 || n > occurrences || n > 0 && seen[n] {
			return eris.Errorf("live occurrence %d of %d", n-1, occurrences)
		}
		seen[n] = true
	}
	return nil
}

func (o *occurrenceRow) check(spec *workload.Job, workers int) error {
	if len(o.Steps) > len(spec.Steps) {
		return eris.Errorf("%d steps of %d", len(o.Steps), len(spec.Steps))
	}
	for i, s := range o.Steps {
		if err := s.check(spec.Steps[i].Count, workers); err != nil {
			return eris.Wrapf(err, "step %d", i)
		}
	}
	return nil
}

func (s *stepRow) check(tasks, workers int) error {
	if s.From < 0 || s.From > tasks || len(s.Done) > (tasks-s.From+7)/8 {
		return eris.Errorf("%d bytes of done tasks from task %d of %d", len(s.Done), s.From, tasks)
	}
	if s.Placed < 0 {
		return eris.Errorf("placed after %d ms", s.Placed)
	}
	listed := make(map[int]bool, len(s.Tasks))
	for _, k := range s.Tasks {
		switch {
		case k.Index < 0 || k.Index >= tasks || listed[k.Index] || s.isDone(k.Index):
			return eris.Errorf("task %d of %d", k.Index, tasks)
		case k.Worker < 0 || k.Worker > workers:
			return eris.Errorf("worker %d of %d of task %d", k.Worker, workers, k.Index)
		case k.Run < 1 || min(k.Fails, k.Crashes, k.Certain) < 0 || max(k.Run, k.Fails, k.Crashes, k.Certain) > math.MaxInt32:
			return eris.Errorf("run %d, %d failures and %d crashes, %d certain, of task %d", k.Run, k.Fails, k.Crashes, k.Certain, k.Index)
		case k.Worked < 0 || k.Worked > math.MaxInt64/int64(time.Millisecond):
			return eris.Errorf("task %d has worked for %d ms", k.Index, k.Worked)
		}
		listed[k.Index] = true
	}
	return nil
}

// isDone reports whether the row holds task i as done.
func (s *stepRow) isDone(i int) bool {
	n := i - s.From
	return n >= 0 && n/8 < len(s.Done) && s.Done[n/8]&(1<<(n%8)) != 0
}

// longestLeft bounds the time left of a lease that a row may state.
const longestLeft = time.Hour

// check returns an error unless the row can state the time left of leases.
func (r *leaseEndsRow) check() error {
	if r.Others < 0 || r.Others > longestLeft.Milliseconds() {
		return eris.Errorf("leases end in %d ms", r.Others)
	}
	for id, left := range r.Silent {
		if left < 0 || left > longestLeft.Milliseconds() {
			return eris.Errorf("leases of %.40q end in %d ms", id, left)
		}
	}
	return nil
}
