package breakdown

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
)

// Room sums the filling work over the time of the log, in core-seconds.
type Room struct {
	// Demand is what the filling work asked for, Running what ran of it, Left what
	// serving tasks left for it.
	Demand, Running, Left float64
	// Runnable bounds what could run where the serving tasks lay, Best what could
	// run wherever they might lie.
	Runnable, Best float64
}

const (
	// maxPassedOverGap and maxLayoutGap are the most time, in milliseconds, between
	// two lines about one step or service for which the later one counts. Lines come
	// each second while there is something to tell.
	maxPassedOverGap = 1500
	maxLayoutGap     = 2000
)

// waits sums up the lines of the scheduler's diagnosis.
type waits struct {
	passedOver map[string]float64
	room       Room
	// last is the time of the last line of each step and service.
	last map[string]float64
}

// since returns the time, in seconds, since the last line with a key.
func (w *waits) since(key string, at, most float64) float64 {
	if w.last == nil {
		w.last, w.passedOver = map[string]float64{}, map[string]float64{}
	}
	before, ok := w.last[key]
	w.last[key] = at
	if !ok {
		return 0
	}
	return min(most, max(0, at-before)) / 1000
}

func (w *waits) addPassedOver(l *line) {
	d := w.since(l.Job+"."+strconv.Itoa(l.Occurrence)+"."+strconv.Itoa(l.Step), l.Time, maxPassedOverGap)
	cause := l.Main
	if l.WorkersOpen > 0 {
		cause = "open"
	}
	for name, tasks := range map[string]int{cause: l.TasksWaiting, "paused": l.TasksPaused, "moving": l.TasksMoving, "awaits_quarantine": l.TasksSuspect} {
		if tasks > 0 && d > 0 {
			w.passedOver[name] += d * float64(tasks)
		}
	}
}

func (w *waits) addLayout(l *line) {
	const milli = 1000
	d := w.since("layout of "+l.Service, l.Time, maxLayoutGap) / milli
	w.room.Demand += d * l.Demand
	w.room.Running += d * l.Running
	w.room.Left += d * l.Room
	w.room.Runnable += d * l.Runnable
	w.room.Best += d * l.Best
}

// printWaits prints why tasks waited and what room there was, if the log says so.
func (r *Report) printWaits(w io.Writer) error {
	total := 0.0
	for _, seconds := range r.PassedOver {
		total += seconds
	}
	causes := slices.SortedFunc(maps.Keys(r.PassedOver), func(a, b string) int {
		return cmp.Or(cmp.Compare(r.PassedOver[b], r.PassedOver[a]), cmp.Compare(a, b))
	})
	for i, c := range causes {
		if i == 0 {
			fmt.Fprintf(w, "\ntasks were passed over for %.0f s, by the cause that excluded most workers:\n", total)
		}
		fmt.Fprintf(w, "  %-18s %8.0f s  %3.0f %%\n", c, r.PassedOver[c], 100*r.PassedOver[c]/total)
	}
	m := &r.Room
	if m.Demand == 0 {
		return nil
	}
	_, err := fmt.Fprintf(w, "\nfilling work, core-seconds: %.0f asked for, %.0f ran, %.0f could run where serving tasks lay, %.0f at their best; they left %.0f\n",
		m.Demand, m.Running, m.Runnable, m.Best, m.Left)
	return err
}
