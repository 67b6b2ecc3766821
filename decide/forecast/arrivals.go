package forecast

import (
	"sort"

	"persimmonrock.example/decide/order"
)

// arrivals estimates the room that jobs which arrive from now on will take.
type arrivals struct {
	// byRoom holds the recent arrivals by room, sorted by priority and work, with
	// the sum of the work up to each, as a rate in cores.
	byRoom [][]arrivalRate
}

type arrivalRate struct {
	priority int
	work     float64
	sum      float64
}

// maxArriving bounds the share of a room that goes to later arrivals: a queue
// that only grows would otherwise never be served.
const maxArriving = 0.8

func newArrivals(s *Snapshot) arrivals {
	a := arrivals{byRoom: make([][]arrivalRate, len(s.Rooms))}
	if s.Window <= 0 {
		return a
	}
	for _, x := range s.Arrivals {
		a.byRoom[x.Room] = append(a.byRoom[x.Room], arrivalRate{priority: x.Priority, work: x.Work})
	}
	for i, list := range a.byRoom {
		sort.Slice(list, func(x, y int) bool {
			if list[x].priority != list[y].priority {
				return list[x].priority < list[y].priority
			}
			return list[x].work < list[y].work
		})
		sum := 0.0
		for k := range list {
			sum += list[k].work / s.Window.Seconds()
			list[k].sum = min(sum, maxArriving*s.Rooms[i].Usual)
		}
	}
	return a
}

// before is the room, in cores, of the arrivals that come before a job with the
// key. New jobs can still be in time, so they come before all others of their
// priority; among those in time the least work comes first.
func (a *arrivals) before(room int, k order.Key) float64 {
	list := a.byRoom[room]
	n := sort.Search(len(list), func(i int) bool {
		x := &list[i]
		if x.priority != k.Priority {
			return x.priority > k.Priority
		}
		return k.Class == order.InTime && x.work >= k.Work
	})
	if n == 0 {
		return 0
	}
	return list[n-1].sum
}
