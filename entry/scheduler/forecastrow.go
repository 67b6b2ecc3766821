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
	return rowstore.Put{Key: runtimesKey, Value: encode(runtimesRow{Runtimes: c.runtimes, Errors: c.errors, Rooms: c.rooms})}, true
}

// restoreRuntimes restores what an earlier scheduler learnt. The caller holds mu.
func (t *Term) restoreRuntimes(row rowstore.Row) {
	c := t.forecaster
	if c == nil {
		return
	}
	var r runtimesRow
	if err := decode(row, &r); err != nil {
		t.deps.Log.Error().Err(err).Msg("learnt run times can't be decoded; learning starts anew")
		return
	}
	c.runtimes, c.errors = r.Runtimes, r.Errors
	if r.Rooms != nil {
		c.stored = r.Rooms
	}
	t.deps.Log.Info().Int("images", len(c.runtimes.Images)).Msg("learnt run times restored")
}

// rowTimes adds to a task's row what a successor needs for its forecasts.
func (k *task) rowTimes(r *taskRow) {
	if k.placedStore == 0 {
		return
	}
	r.Placed, r.Worked = k.placedStore, k.worked.Milliseconds()
}

func (k *task) restoreTimes(r taskRow) {
	k.placedStore, k.fromEarlierTerm = r.Placed, true
	k.worked = time.Duration(r.Worked) * time.Millisecond
}
