package runner

import (
	"context"
	"time"

	"persimmonrock.example/wire/dispatch"
)

const (
	// paceInterval is the time that the rough figures cover.
	paceInterval = 500 * time.Millisecond
	// slowDown is the share of its target at which a serving task's tail
	// slows what fills beside it. The figures are rough, and a tail over its
	// target for seconds is what users see.
	slowDown = 0.88
	// speedUp is the share below which filling work is let go faster.
	speedUp = 0.70
	// cut and raise change the pace: quickly down, slowly up.
	cut   = 0.5
	raise = 12
	// leastPace is the pace below which filling work stands still.
	leastPace = 8
	fullPace  = 100
)

// paceState is the pace of all filling work on a worker.
type paceState struct {
	// pace is 0 to 100.
	pace int
	set  bool
}

// next is the pace after the worst share of its target that a serving task's
// tail has reached.
func next(pace int, worst float64) int {
	switch {
	case worst > 1:
		pace = int(float64(pace) * cut * cut)
	case worst > slowDown:
		pace = int(float64(pace) * cut)
	case worst < speedUp:
		pace = min(fullPace, pace+raise)
	}
	if worst > slowDown && pace < leastPace {
		return 0
	}
	return pace
}

func (r *Runner) paceLoop(ctx context.Context) {
	ticker := time.NewTicker(paceInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		r.mu.Lock()
		l := r.life
		var orders []paced
		if l != nil {
			orders = r.planPace(l)
		}
		r.mu.Unlock()
		for _, o := range orders {
			r.pace(ctx, l, o)
		}
	}
}

// planPace returns the orders that bring all filling work to its pace.
func (r *Runner) planPace(l *life) []paced {
	if !l.pace.set {
		l.pace = paceState{pace: fullPace, set: true}
	}
	worst := 0.0
	filling := 0
	for _, x := range l.runs {
		if x.state != dispatch.RunPresent {
			continue
		}
		if x.fills {
			filling++
		}
		if x.tailTarget > 0 {
			worst = max(worst, x.rough/float64(x.tailTarget.Milliseconds()))
		}
	}
	if filling == 0 {
		// What begins to fill later starts at the pace that was right when
		// the last one ended.
		return nil
	}
	before := l.pace.pace
	l.pace.pace = next(before, worst)
	if before != l.pace.pace {
		r.deps.Log.Info().Int("pace", l.pace.pace).Int("before", before).Float64("tail_share", worst).Int("filling", filling).Msg("pace changed")
	}
	var orders []paced
	for _, x := range l.runs {
		if x.fills && x.state == dispatch.RunPresent && !x.stopping && x.pace != l.pace.pace {
			orders = append(orders, paced{run: x.id, pace: l.pace.pace})
		}
	}
	return orders
}
