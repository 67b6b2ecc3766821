package pressure

import (
	"sort"

	"persimmonrock.example/structs/workload"
)

// Task is one serving task that may be moved.
type Task struct {
	Image string
	// Worker is the index of its worker.
	Worker int
	Need   workload.Resources
	// Fixed tasks count, and are not moved.
	Fixed bool
	// Barred holds the workers that may not take it, beside those without
	// room.
	Barred map[int]bool
}

// Move says which tasks change places: One goes to the worker To, and Other,
// if there is one, to where One was.
type Move struct {
	One   int
	To    int
	Other int
}

// none is the Other of a move without an exchange.
const none = -1

// leastGain is the least improvement for which tasks are moved: a task is
// away for a second or two for it.
const leastGain = 0.35

// occupied is the cost of a worker on which anything serves at all: on the
// others all filling work runs at full speed.
const occupied = 2.5

// tries bounds the exchanges that one look weighs, to a few milliseconds; the
// next look begins at another worker.
const tries = 1500

// Regroup returns the move that best separates serving images that differ in
// what presses on them, if any is worth it. free is the room of each worker.
//
// Where two such images share a worker nearly all filling work presses on one
// of them. Images are known by name only when their tasks are placed; which
// differ is learnt later.
// look numbers the looks.
func Regroup(tasks []Task, free []workload.Resources, difference func(a, b string) float64, look int) (Move, bool) {
	g := newGrouping(tasks, len(free), difference)
	mixed := g.mixed()
	for n := range mixed {
		if g.tried > tries {
			break
		}
		from := mixed[(n+look)%len(mixed)]
		best, bestGain := Move{}, leastGain
		for _, i := range g.on[from] {
			if tasks[i].Fixed {
				continue
			}
			for to := range free {
				if to != from && !tasks[i].Barred[to] {
					g.try(tasks, free, i, to, &best, &bestGain)
				}
			}
		}
		if bestGain > leastGain {
			return best, true
		}
	}
	return Move{}, false
}

// grouping counts the images on each worker.
type grouping struct {
	count      []map[string]int
	movable    []bool
	difference func(a, b string) float64
	// on lists the tasks of each worker.
	on    [][]int
	tried int
}

func newGrouping(tasks []Task, workers int, difference func(a, b string) float64) *grouping {
	g := &grouping{count: make([]map[string]int, workers), movable: make([]bool, workers), difference: difference, on: make([][]int, workers)}
	for i := range g.count {
		g.count[i] = map[string]int{}
	}
	for i, t := range tasks {
		g.on[t.Worker] = append(g.on[t.Worker], i)
		g.count[t.Worker][t.Image]++
		g.movable[t.Worker] = g.movable[t.Worker] || !t.Fixed
	}
	return g
}

// cost is how badly the images on a worker mix: their differences, by the
// number of tasks that would have to leave.
func (g *grouping) cost(w int) float64 {
	sum := 0.0
	for a, n := range g.count[w] {
		if n > 0 && sum == 0 {
			sum = occupied
		}
		for b, m := range g.count[w] {
			if a < b && n > 0 && m > 0 {
				sum += g.difference(a, b) * float64(min(n, m))
			}
		}
	}
	return sum
}

// mixed lists the workers with a task to move whose images mix, the worst
// first.
func (g *grouping) mixed() []int {
	var list []int
	for w := range g.count {
		if g.movable[w] && g.cost(w) > occupied {
			list = append(list, w)
		}
	}
	sort.Slice(list, func(i, k int) bool { return g.cost(list[i]) > g.cost(list[k]) })
	return list
}

// try weighs moving task i to a worker, alone or for each task there.
func (g *grouping) try(tasks []Task, free []workload.Resources, i, to int, best *Move, bestGain *float64) {
	from := tasks[i].Worker
	if g.tried > tries {
		return
	}
	before := g.cost(from) + g.cost(to)
	weigh := func(other int) {
		g.tried++
		g.swap(tasks, i, to, other, 1)
		gain := before - g.cost(from) - g.cost(to)
		g.swap(tasks, i, to, other, -1)
		if gain > *bestGain {
			*best, *bestGain = Move{One: i, To: to, Other: other}, gain
		}
	}
	if tasks[i].Need.Fits(free[to]) {
		weigh(none)
		return
	}
	for _, k := range g.on[to] {
		if tasks[k].Fixed || tasks[k].Barred[from] || tasks[k].Image == tasks[i].Image {
			continue
		}
		if tasks[i].Need.Fits(free[to].Add(tasks[k].Need)) && tasks[k].Need.Fits(free[from].Add(tasks[i].Need)) {
			weigh(k)
		}
	}
}

// swap applies a move to the counts, or takes it back with by -1.
func (g *grouping) swap(tasks []Task, i, to, other, by int) {
	from := tasks[i].Worker
	g.count[from][tasks[i].Image] -= by
	g.count[to][tasks[i].Image] += by
	if other != none {
		g.count[to][tasks[other].Image] -= by
		g.count[from][tasks[other].Image] += by
	}
}
