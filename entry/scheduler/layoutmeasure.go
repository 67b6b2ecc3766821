package scheduler

import "time"

const (
	// measureEvery is the time between two measures of the layout, pairsEvery that
	// between two lists of the learnt pairs.
	measureEvery = time.Second
	pairsEvery   = 5 * time.Second
	// maxPairLines bounds the serving images of one list.
	maxPairLines = 32
)

// measureLayout logs how much of the filling work could run where the serving
// tasks lie, how much at best, and now and then the pairs that press. The caller
// holds mu.
func (t *Term) measureLayout() {
	now := t.deps.Now()
	if !t.loaded || !t.cfg.Policies.Diagnosis.Enabled || now-t.lastMeasured < measureEvery {
		return
	}
	t.lastMeasured = now
	t.updateDemand(now)
	withPairs := now-t.lastPairs >= pairsEvery
	if withPairs {
		t.lastPairs = now
	}
	v := t.newView()
	for service, d := range t.demand {
		f := t.snapshotFleet(v, service)
		if len(f.Tasks) == 0 {
			continue
		}
		m := f.Measure()
		running := 0.0
		for _, cpu := range d.running {
			running += cpu
		}
		t.deps.Log.Info().Str("service", service).Float64("demand_cpu", m.Demand).Float64("room_cpu", m.Room).
			Float64("runnable_cpu", m.Runnable).Float64("best_cpu", m.Best).Float64("running_cpu", running).Int("known", f.known).Int("pairs", f.pairs).Msg("layout measured")
		if withPairs {
			t.logPairs(f)
		}
	}
}

func (t *Term) logPairs(f *fleetSnapshot) {
	on := make([]map[int]bool, len(f.serving))
	for i := range f.Tasks {
		x := &f.Tasks[i]
		if on[x.Image] == nil {
			on[x.Image] = map[int]bool{}
		}
		on[x.Image][x.Worker] = true
	}
	for s, image := range f.serving[:min(len(f.serving), maxPairLines)] {
		var pressing []string
		for i, p := range f.Presses[s] {
			if p == 1 {
				pressing = append(pressing, f.filling[i])
			}
		}
		t.deps.Log.Info().Str("image", image).Int("workers", len(on[s])).Strs("pressed_by", pressing).Msg("pairs learnt")
	}
}
