package scheduler

import (
	"testing"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/ops/logs"
)

// The scheduling entry is killed, and another takes over. Without the learnt
// weights, it would place filling work beside serving tasks on which that work
// presses. Calls to these tasks would be slow until the new scheduler has
// learnt the weights.
func TestLearntWeightsSurviveTakeover(t *testing.T) {
	now := time.Minute
	term := func() *Term {
		x := &Term{deps: Deps{Now: func() time.Duration { return now }, Counters: &Counters{}}, fleetLog: logs.NewBatch(zerolog.Nop())}
		x.learner.initMaps()
		return x
	}
	before := term()
	if _, due := before.learntPut(); due {
		t.Error("a write is due though nothing was learnt")
	}
	pair := pressure.Pair{Serving: "a", Filling: "f"}
	for range 10 {
		before.learner.model.Observe(pressure.Sample{Serving: "a", Load: 0.2, Used: map[string]float64{"f": 0.1}, Count: 1})
	}
	before.learner.model.Solve(time.Second)
	before.learner.baseTails["a"] = 4
	put, due := before.learntPut()
	if !due {
		t.Fatal("no write is due for the learnt weights")
	}
	if _, due := before.learntPut(); due {
		t.Error("a write is due again though nothing has changed")
	}
	after := term()
	after.restoreLearnt(rowstore.Row{Key: put.Key, Value: put.Value, Version: 1})
	if w := after.learner.model.Weight(pair); !w.Known || w.Value < 1.5 {
		t.Errorf("the next scheduler knows %+v", w)
	}
	if after.learner.baseTails["a"] != 4 {
		t.Errorf("the next scheduler knows the tails %v", after.learner.baseTails)
	}
	broken := term()
	broken.restoreLearnt(rowstore.Row{Key: put.Key, Value: []byte("{"), Version: 1})
	if w := broken.learner.model.Weight(pair); w.Known {
		t.Errorf("a row that can't be read gives %+v", w)
	}
}
