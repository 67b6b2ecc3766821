package scheduler

import (
	"maps"
	"math"
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/wire/dispatch"
)

const (
	// tellEvery is the least time between two tellings of what was learnt to
	// one agent; with many agents it grows, so that there are at most
	// tellsPerSecond on a machine of weakPower. A telling is a kilobyte or two.
	tellEvery      = 300 * time.Millisecond
	tellsPerSecond = 75
	// tellAgain is the time after which an agent is told what it was told
	// before, since that may have been lost on the way.
	tellAgain = 2 * time.Second
	// changedWeight is the least change of a weight that is told at once.
	changedWeight = 0.05
)

// toldPressure is what an agent was told last.
type toldPressure struct {
	// version is that of the model.
	version uint64
	at      time.Duration
	pairs   map[pressure.Pair]pressure.Weight
	base    map[string]float64
}

// tellPressure adds what was learnt of the serving images on the worker, if
// the agent does not know it.
func (l *agentLink) tellPressure(args *dispatch.WatchArgs) {
	t := l.term
	args.SampleEvery, args.SampleUnknown = sampleTimes(len(t.agents), t.cfg.Power)
	now, version := t.deps.Now(), t.learner.model.Version()
	if version == l.told.version || now-l.told.at < tellTime(len(t.agents), t.cfg.Power) {
		return
	}
	pairs := map[pressure.Pair]pressure.Weight{}
	for image := range l.worker.images {
		for filling, w := range t.learner.model.Weights(image) {
			pairs[pressure.Pair{Serving: image, Filling: filling}] = w
		}
	}
	base := map[string]float64{}
	for image := range l.worker.images {
		base[image] = t.learner.base[image]
	}
	if now-l.told.at < tellAgain && l.told.tells(pairs) && maps.Equal(base, l.told.base) {
		return
	}
	l.told = toldPressure{version: version, at: now, pairs: pairs, base: base}
	args.Base = base
	for p, w := range pairs {
		args.Pressure = append(args.Pressure, dispatch.PairWeight{Serving: p.Serving, Filling: p.Filling, Value: w.Value, Known: w.Known})
	}
}

// tellTime is the time between two tellings to one of n agents.
func tellTime(n int, power float64) time.Duration {
	return max(tellEvery, spread(n, tellsPerSecond*strength(power)))
}

// tells reports whether what was told says about the same as pairs.
func (x *toldPressure) tells(pairs map[pressure.Pair]pressure.Weight) bool {
	if len(pairs) != len(x.pairs) {
		return false
	}
	for p, w := range pairs {
		before, ok := x.pairs[p]
		if !ok || before.Known != w.Known || math.Abs(before.Value-w.Value) > changedWeight {
			return false
		}
	}
	return true
}
