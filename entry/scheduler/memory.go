package scheduler

import (
	"math"
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/infra/rowstore"
)

// keepEvery is the time between two records of what was learnt: a few
// kilobytes, with a transaction that is due anyway.
const keepEvery = 3 * time.Second

// learntKey is the row of what schedulers have learnt. A new scheduler that
// knew nothing would place filling work beside serving tasks on which it
// presses, for the ten seconds that learning takes.
var learntKey = rowstore.Key{Table: learntTable, Part: schedulerPart, Key: "pressure"}

// learntRow is what is kept of a learner.
type learntRow struct {
	// Base is the lowest tail seen of each serving image, in milliseconds.
	Base  map[string]float64 `json:"b"`
	Pairs []learntPair       `json:"p"`
}

type learntPair struct {
	Serving  string  `json:"s"`
	Filling  string  `json:"f"`
	Value    float64 `json:"v"`
	Evidence float64 `json:"e"`
}

// learnt returns the write that records what was learnt, if one is due. The
// caller holds mu.
func (t *Term) learnt() (rowstore.Put, bool) {
	now := t.deps.Now()
	version := t.learner.model.Version()
	if version == t.keptVersion || now-t.keptAt < keepEvery {
		return rowstore.Put{}, false
	}
	t.keptVersion, t.keptAt = version, now
	row := learntRow{Base: t.learner.base}
	for _, l := range t.learner.model.Export() {
		row.Pairs = append(row.Pairs, learntPair{Serving: l.Serving, Filling: l.Filling, Value: short(l.Value), Evidence: short(l.Evidence)})
	}
	return rowstore.Put{Key: learntKey, Value: encode(row)}, true
}

// short leaves a thousandth of precision, for a small row.
func short(x float64) float64 { return math.Round(x*1000) / 1000 }

// recall takes what an earlier scheduler has learnt. The caller holds mu.
func (t *Term) recall(row rowstore.Row) {
	var r learntRow
	if err := decode(row, &r); err != nil {
		t.deps.Log.Error().Err(err).Msg("what was learnt can't be read; it is learnt anew")
		return
	}
	var all []pressure.Learnt
	for _, p := range r.Pairs {
		all = append(all, pressure.Learnt{Pair: pressure.Pair{Serving: p.Serving, Filling: p.Filling}, Value: p.Value, Evidence: p.Evidence})
	}
	t.learner.begin()
	for image, tail := range r.Base {
		t.learner.base[image] = tail
	}
	t.learner.model.Import(all)
	t.keptVersion = t.learner.model.Version()
	t.deps.Log.Info().Int("pairs", len(all)).Int("images", len(r.Base)).Msg("learnt before")
}
