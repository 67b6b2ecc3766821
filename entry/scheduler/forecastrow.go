package scheduler

import (
	"time"

	"persimmonrock.example/decide/forecast"
	"persimmonrock.example/infra/rowstore"
)

// runtimesKey addresses the row of the learnt run times. Without them, the
// forecasts of a new scheduler would be off by the errors of the estimates.
var runtimesKey = rowstore.Key{Table: learntTable, Part: schedulerPart, Key: "runtimes"}

// runtimesRow is the stored state of a forecaster.
type runtimesRow struct {
	Runtimes forecast.Runtimes     `json:"r"`
	Errors   forecast.Errors       `json:"e"`
	Rooms    map[string]storedRoom `json:"c,omitempty"`
}

// runtimesPut returns the write that saves the learnt run times, if one is due.
// The caller holds mu.
func (t *Term) runtimesPut() (rowstore.Put, bool) {
	c := t.forecaster
	if c == nil {
		return rowstore.Put{}, false
	}
	now := t.deps.Now()
	if c.changes == c.savedChanges || now-c.savedAt < saveEvery {
		return rowstore.Put{}, false
	}
	c.savedChanges, c.savedAt = c.changes, now
	row := runtimesRow{Runtimes: c.runtimes, Errors: c.errors, Rooms: c.rooms}
	most := max(len(c.runtimes.Queues), len(c.runtimes.Images), len(c.runtimes.Paces), len(c.rooms))
	return t.boundedPut(runtimesKey, most, func(n int) any { return row.most(n) }), true
}

// restoreRuntimes restores what an earlier scheduler learnt. The caller holds mu.
func (t *Term) restoreRuntimes(row rowstore.Row) {
	c := t.forecaster
	if c == nil {
		return
	}
	var r runtimesRow
	if err := decode(row, &r); err != nil {
		t.rejectRow(row, err)
		return
	}
	c.runtimes, c.errors = r.Runtimes, r.Errors
	if r.Rooms != nil {
		c.stored = r.Rooms
	}
	t.deps.Log.Info().Int("images", len(c.runtimes.Images)).Msg("learnt run times restored")
}

// rowWorked is the working time of earlier runs as a task's row holds it.
func (k *task) rowWorked() int64 {
	if k.placedStore == 0 {
		return 0
	}
	return k.worked.Milliseconds()
}

// rowPlaced is stepRow.Placed of the tasks from from to before to, of a job that was
// accepted at the given time.
func (s *step) rowPlaced(from, to int, accepted int64) int64 {
	sum, n := int64(0), int64(0)
	for i := from; i < to; i++ {
		if k := &s.tasks[i]; k.state == taskPlaced && k.placedStore > 0 {
			sum += k.placedStore - accepted
			n++
		}
	}
	if n == 0 || s.spec.Lasting {
		return 0
	}
	return max(1, sum/n)
}

// restoreTimes restores what the rows say of a task's runs.
func (k *task) restoreTimes(r taskRow, s stepRow, accepted int64) {
	k.fromEarlierTerm = true
	k.worked = time.Duration(r.Worked) * time.Millisecond
	if s.Placed > 0 {
		k.placedStore = accepted + s.Placed
	}
}
