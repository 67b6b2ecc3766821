package scheduler

import (
	"cmp"
	"math"
	"slices"
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/infra/rowstore"
)

// saveEvery is the least time between two saves of the learnt weights. Each
// save adds a few kilobytes to a transaction.
const saveEvery = 3 * time.Second

// learntKey addresses the row of the learnt weights. Without them, a new
// scheduler would place filling work beside serving tasks on which this work
// presses, for the ten seconds that learning takes.
var learntKey = rowstore.Key{Table: learntTable, Part: schedulerPart, Key: "pressure"}

// learntRow is the stored state of a learner.
type learntRow struct {
	// Base is the lowest tail latency of each serving image, in milliseconds.
	Base  map[string]float64 `json:"b"`
	Pairs []learntPair       `json:"p"`
}

type learntPair struct {
	Serving  string  `json:"s"`
	Filling  string  `json:"f"`
	Value    float64 `json:"v"`
	Evidence float64 `json:"e"`
}

// learntPut returns the write that saves the learnt weights, if one is due. The
// caller holds mu.
func (t *Term) learntPut() (rowstore.Put, bool) {
	now := t.deps.Now()
	version := t.learner.model.Version()
	if version == t.savedVersion || now-t.savedAt < saveEvery {
		return rowstore.Put{}, false
	}
	t.savedVersion, t.savedAt = version, now
	row := learntRow{Base: t.learner.baseTails}
	for _, l := range t.learner.model.Export() {
		row.Pairs = append(row.Pairs, learntPair{Serving: l.Serving, Filling: l.Filling, Value: roundThousandth(l.Value), Evidence: roundThousandth(l.Evidence)})
	}
	slices.SortStableFunc(row.Pairs, func(a, b learntPair) int { return cmp.Compare(b.Evidence, a.Evidence) })
	return t.boundedPut(learntKey, max(len(row.Pairs), len(row.Base)), func(n int) any { return row.most(n) }), true
}

// roundThousandth rounds x to a thousandth, for a small row.
func roundThousandth(x float64) float64 { return math.Round(x*1000) / 1000 }

// restoreLearnt restores what an earlier scheduler learnt. The caller holds mu.
func (t *Term) restoreLearnt(row rowstore.Row) {
	var r learntRow
	if err := decode(row, &r); err != nil {
		t.rejectRow(row, err)
		return
	}
	var all []pressure.PairEstimate
	for _, p := range r.Pairs {
		all = append(all, pressure.PairEstimate{Pair: pressure.Pair{Serving: p.Serving, Filling: p.Filling}, Value: p.Value, Evidence: p.Evidence})
	}
	t.learner.initMaps()
	for image, tail := range r.Base {
		t.learner.baseTails[image] = tail
	}
	t.learner.model.Import(all)
	t.savedVersion = t.learner.model.Version()
	t.deps.Log.Info().Int("pairs", len(all)).Int("images", len(r.Base)).Msg("learnt weights restored")
}
