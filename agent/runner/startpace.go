package runner

import (
	"context"

	"persimmonrock.example/wire/dispatch"
)

// applyStartingPace records the pace at which the run's order lets it start, from
// which planPaces goes on. Runs of the same job and image that are present keep
// their pace, and x takes it.
func (inc *incarnation) applyStartingPace(x *run) {
	if x.startPace <= 0 || !x.fills {
		return
	}
	if _, ok := inc.paces[x.paceKey()]; ok {
		return
	}
	if inc.paces == nil {
		inc.paces = map[paceKey]float64{}
	}
	inc.paces[x.paceKey()] = float64(x.startPace) / fullPace
}

// sendStartingPace sends the pace of a run that has just started, if its order
// demands one: until the next planPaces it would work at full pace.
func (r *Runner) sendStartingPace(ctx context.Context, inc *incarnation, x *run) {
	r.mu.Lock()
	var orders []paceOrder
	if r.incarnation == inc && x.startPace > 0 && x.state == dispatch.RunPresent && x.pacedAt == 0 {
		orders = r.paceOrders(inc)
	}
	r.mu.Unlock()
	for _, o := range orders {
		r.sendPace(ctx, inc, o)
	}
}
