package scheduler

import (
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/wire/dispatch"
)

// ownLoad is the load of a serving job without any pressure on it, 0 to 1. All
// tasks of the job carry the same load, which changes within seconds.
type ownLoad struct {
	load float64
	at   time.Duration
}

const (
	// ownLoadGain is the weight of a new measurement of a job's own load. Each
	// worker that runs the job reports an inexact load.
	ownLoadGain = 0.35
	// ownLoadMaxAge is the age up to which a load counts as known.
	ownLoadMaxAge = 2 * time.Second
	// ownLoadReserve is the share of a serving task's CPU that is kept free for
	// changes of the task's load.
	ownLoadReserve = 0.08
	// defaultUnused is the assumed unused share of a task's CPU while the load of
	// the task is unknown.
	defaultUnused = 0.45
)

// updateOwnLoad updates the own load of the job of v: the load that the sampled
// tail shows, less the pressure of filling work.
func (l *learner) updateOwnLoad(v dispatch.ServingSample, this timedSample) {
	load := 1 - l.baseTails[v.Image]/v.Tail
	for image, used := range this.used {
		w := l.model.Weight(pressure.Pair{Serving: v.Image, Filling: image})
		load -= max(l.model.Light(), w.Value) * used
	}
	load = max(0, load)
	o, ok := l.ownLoads[v.Job]
	if ok && this.at-o.at <= ownLoadMaxAge {
		load = o.load + ownLoadGain*(load-o.load)
	}
	l.ownLoads[v.Job] = ownLoad{load: load, at: this.at}
}

func (l *learner) dropStaleLoads(now time.Duration) {
	for id, o := range l.ownLoads {
		if now-o.at > ownLoadMaxAge {
			delete(l.ownLoads, id)
		}
	}
}

// leftover is the reserved CPU of w that filling work may use: the CPU that the
// other tasks leave unused. The sum of the result, if above 0, and the free CPU
// is at most the fillLimit of each serving task with a known load.
//
// A fixed share would leave processors idle while serving tasks have little
// load, and take these tasks over their targets when they have much.
func (l *learner) leftover(w *worker, now time.Duration) int {
	whole := float64(w.info.Capacity.CPU)
	left, bearable := 0.0, 0.0
	bounded := false
	for r, v := range w.runs {
		if v.fill > 0 {
			continue
		}
		o, ok := l.ownLoads[r.Task.Job]
		if !v.serves || !ok || now-o.at > ownLoadMaxAge {
			left += defaultUnused * float64(v.counted.CPU)
			continue
		}
		left += max(0, 1-o.load-ownLoadReserve) * float64(v.counted.CPU)
		if b := l.fillLimit(v, o.load) * whole; !bounded || b < bearable {
			bearable, bounded = b, true
		}
	}
	if bounded {
		free := whole - float64(w.used.CPU)
		left = min(left, bearable-free)
	}
	return int(max(0, left))
}

// fillLimit is the share of a worker that filling work may use until a serving
// task with this own load reaches its target. The work is assumed to have the
// weight of pairs that are known not to press (pressure.Model.Light).
func (l *learner) fillLimit(v reservation, load float64) float64 {
	// Tails are in milliseconds.
	most := 1 - l.baseTails[v.image]/(1000*v.target.Seconds())
	return max(0, most-load) / max(minLightWeight, l.model.Light())
}

// minLightWeight is the least weight that fillLimit assumes for filling work.
const minLightWeight = 0.05
