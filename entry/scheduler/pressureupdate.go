package scheduler

import (
	"maps"
	"math"
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/wire/dispatch"
)

const (
	// pressureUpdateEvery is the least time between two updates to one agent. The
	// time grows with the number of agents, so that a machine of weakPower sends
	// at most pressureUpdatesPerSecond. An update has a kilobyte or two.
	pressureUpdateEvery      = 300 * time.Millisecond
	pressureUpdatesPerSecond = 75
	// pressureUpdateRepeat is the time after which a nearly unchanged update is
	// sent again, since the last one may have been lost.
	pressureUpdateRepeat = 2 * time.Second
	// changedWeight is the change of a weight above which an update is sent before
	// pressureUpdateRepeat has passed.
	changedWeight = 0.05
)

// pressureUpdate is the last update sent to an agent.
type pressureUpdate struct {
	// version is the version of the model.
	version   uint64
	at        time.Duration
	pairs     map[pressure.Pair]pressure.Weight
	baseTails map[string]float64
}

// addPressureUpdate adds the sample intervals, and the learnt weights of the
// worker's serving images if they have changed or are to be repeated.
func (l *agentLink) addPressureUpdate(args *dispatch.WatchArgs) {
	t := l.term
	args.SampleEvery, args.SampleUnknown = sampleIntervals(len(t.agents), t.cfg.Power)
	now, version := t.deps.Now(), t.learner.model.Version()
	if version == l.sentPressure.version || now-l.sentPressure.at < pressureUpdateInterval(len(t.agents), t.cfg.Power) {
		return
	}
	pairs := map[pressure.Pair]pressure.Weight{}
	for image := range l.worker.images {
		for filling, w := range t.learner.model.Weights(image) {
			pairs[pressure.Pair{Serving: image, Filling: filling}] = w
		}
	}
	baseTails := map[string]float64{}
	for image := range l.worker.images {
		baseTails[image] = t.learner.baseTails[image]
	}
	if now-l.sentPressure.at < pressureUpdateRepeat && l.sentPressure.matches(pairs) && maps.Equal(baseTails, l.sentPressure.baseTails) {
		return
	}
	l.sentPressure = pressureUpdate{version: version, at: now, pairs: pairs, baseTails: baseTails}
	args.Base = baseTails
	for p, w := range pairs {
		args.Pressure = append(args.Pressure, dispatch.PairWeight{Serving: p.Serving, Filling: p.Filling, Value: w.Value, Known: w.Known})
	}
}

// pressureUpdateInterval is the time between two updates to one of n agents.
func pressureUpdateInterval(n int, power float64) time.Duration {
	return max(pressureUpdateEvery, turnInterval(n, pressureUpdatesPerSecond*powerScale(power)))
}

// matches reports whether no weight differs by more than changedWeight.
func (x *pressureUpdate) matches(pairs map[pressure.Pair]pressure.Weight) bool {
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
