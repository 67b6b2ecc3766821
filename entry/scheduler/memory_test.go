package scheduler

import (
	"testing"
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/infra/rowstore"
)

// The entry that schedules is killed, and another takes over. If it knew
// nothing of the images, it would place filling work beside serving tasks on
// which it presses, and their users would wait until that is learnt again.
func TestLearningOutlivesItsScheduler(t *testing.T) {
	now := time.Minute
	term := func() *Term {
		x := &Term{deps: Deps{Now: func() time.Duration { return now }}}
		x.learner.begin()
		return x
	}
	before := term()
	if _, due := before.learnt(); due {
		t.Error("nothing was learnt, and it is to be kept")
	}
	pair := pressure.Pair{Serving: "a", Filling: "f"}
	for range 10 {
		before.learner.model.Observe(pressure.Sample{Serving: "a", Load: 0.2, Used: map[string]float64{"f": 0.1}, Count: 1})
	}
	before.learner.model.Solve(time.Second)
	before.learner.base["a"] = 4
	put, due := before.learnt()
	if !due {
		t.Fatal("what was learnt is not kept")
	}
	if _, due := before.learnt(); due {
		t.Error("kept again though nothing has changed")
	}
	after := term()
	after.recall(rowstore.Row{Key: put.Key, Value: put.Value, Version: 1})
	if w := after.learner.model.Weight(pair); !w.Known || w.Value < 1.5 {
		t.Errorf("the next scheduler knows %+v", w)
	}
	if after.learner.base["a"] != 4 {
		t.Errorf("the next scheduler knows the tails %v", after.learner.base)
	}
	broken := term()
	broken.recall(rowstore.Row{Key: put.Key, Value: []byte("{"), Version: 1})
	if w := broken.learner.model.Weight(pair); w.Known {
		t.Errorf("a row that can't be read gives %+v", w)
	}
}
