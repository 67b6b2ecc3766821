package scheduler

import (
	"time"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/wire/dispatch"
)

// ownLoad is the load that a serving job carries by itself, 0 to 1. All of its
// tasks carry the same, which moves within seconds.
type ownLoad struct {
	load float64
	at   time.Duration
}

const (
	// ownGain is the weight of a new figure of a job's own load. Each of its
	// workers tells one, and each is rough.
	ownGain = 0.35
	// ownFresh is the age up to which the load counts as known.
	ownFresh = 2 * time.Second
	// ownReserve is the part of a serving task's CPU that is kept for what its
	// load does next.
	ownReserve = 0.08
	// usualLeft is the part that serving tasks are taken to leave unused while
	// their load is not known.
	usualLeft = 0.45
)

// takeOwn follows the own load of the job of v: what its tail shows, less what
// presses on it.
func (l *learner) takeOwn(v dispatch.ServingSample, this timedSample) {
	load := 1 - l.base[v.Image]/v.Tail
	for image, used := range this.used {
		w := l.model.Weight(pressure.Pair{Serving: v.Image, Filling: image})
		load -= max(l.model.Light(), w.Value) * used
	}
	load = max(0, load)
	o, ok := l.own[v.Job]
	if ok && this.at-o.at <= ownFresh {
		load = o.load + ownGain*(load-o.load)
	}
	l.own[v.Job] = ownLoad{load: load, at: this.at}
}

// forgetOwn drops the loads of jobs of which nothing was heard for long.
func (l *learner) forgetOwn(now time.Duration) {
	for id, o := range l.own {
		if now-o.at > ownFresh {
			delete(l.own, id)
		}
	}
}

// leftover is the reserved CPU of w that filling work may count on: what its
// serving tasks are seen to leave unused, as long as that work, light as each of
// it is, does not bring one of them to its target.
//
// A fixed part of what is reserved leaves processors idle while serving tasks
// have little to do, and takes them over their targets when they have much.
func (l *learner) leftover(w *worker, now time.Duration) int {
	whole := float64(w.info.Capacity.CPU)
	left, bearable := 0.0, 0.0
	bounded := false
	for r, v := range w.runs {
		if v.fill > 0 {
			continue
		}
		o, ok := l.own[r.Task.Job]
		if !v.serves || !ok || now-o.at > ownFresh {
			left += usualLeft * float64(v.counted.CPU)
			continue
		}
		left += max(0, 1-o.load-ownReserve) * float64(v.counted.CPU)
		if b := l.bears(v, o.load) * whole; !bounded || b < bearable {
			bearable, bounded = b, true
		}
	}
	if bounded {
		free := whole - float64(w.used.CPU)
		left = min(left, bearable-free)
	}
	return int(max(0, left))
}

// bears is the share of a worker that may be filled beside a serving task that
// carries the load by itself.
func (l *learner) bears(v reservation, load float64) float64 {
	// Tails are in milliseconds.
	most := 1 - l.base[v.image]/(1000*v.target.Seconds())
	return max(0, most-load) / max(leastLight, l.model.Light())
}

// leastLight bounds the share from above where filling work hardly presses.
const leastLight = 0.05
