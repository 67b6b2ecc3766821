package pressure

import (
	"sort"

	"persimmonrock.example/structs/workload"
)

// Task is one serving task that may be moved.
type Task struct {
	Image string
	// Step tells the steps apart: of the tasks of one, at most one moves at a
	// time.
	Step int
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

// tries bounds the exchanges that one look weighs for each move that it may
// find, to a few milliseconds in all; the next look begins at another worker.
const tries = 1500

// Regroup returns up to most moves that together best separate serving images
// that differ in what presses on them, those that are worth it. free is the
// room of each worker.
//
// Where two such images share a worker nearly all filling work presses on one
// of them. Images are known by name only when their tasks are placed; which
// differ is learnt later.
// look numbers the looks.
func Regroup(tasks []Task, free []workload.Resources, difference func(a, b string) float64, look, most int) []Move {
	g := newGrouping(tasks, free, difference)
	mixed := g.mixed()
	var moves []Move
	for n := range mixed {
		if len(moves) >= most || g.tried > tries*most {
			break
		}
		if m, ok := g.bestFrom(mixed[(n+look)%len(mixed)]); ok {
			g.apply(m)
			moves = append(moves, m)
		}
	}
	return moves
}

// grouping is what serves where, and how that changes with the moves found.
type grouping struct {
	tasks []Task
	free  []workload.Resources
	// image is the number of each task's image, apart how much two images
	// differ, by number.
	image []int
	apart [][]float64
	// count is the number of tasks of each image on each worker.
	count   [][]int
	movable []bool
	// on lists the tasks of each worker.
	on [][]int
	// moved are the steps of which a task moves already.
	moved map[int]bool
	tried int
}

func newGrouping(tasks []Task, free []workload.Resources, difference func(a, b string) float64) *grouping {
	g := &grouping{
		tasks: tasks, free: append([]workload.Resources(nil), free...), image: make([]int, len(tasks)),
		count: make([][]int, len(free)), movable: make([]bool, len(free)), on: make([][]int, len(free)), moved: map[int]bool{},
	}
	g.number(difference)
	for w := range g.count {
		g.count[w] = make([]int, len(g.apart))
	}
	for i := range tasks {
		w := tasks[i].Worker
		g.on[w] = append(g.on[w], i)
		g.count[w][g.image[i]]++
		g.movable[w] = g.movable[w] || !tasks[i].Fixed
	}
	return g
}

// number gives the images numbers in the order of their names, and works their
// differences out once.
func (g *grouping) number(difference func(a, b string) float64) {
	numbers := map[string]int{}
	var names []string
	for i := range g.tasks {
		if _, ok := numbers[g.tasks[i].Image]; !ok {
			numbers[g.tasks[i].Image] = 0
			names = append(names, g.tasks[i].Image)
		}
	}
	sort.Strings(names)
	for n, name := range names {
		numbers[name] = n
	}
	g.apart = make([][]float64, len(names))
	for a := range names {
		g.apart[a] = make([]float64, len(names))
		for b := range a {
			g.apart[a][b] = difference(names[b], names[a])
		}
	}
	for i := range g.tasks {
		g.image[i] = numbers[g.tasks[i].Image]
	}
}

// cost is how badly the images on a worker mix: their differences, by the
// number of tasks that would have to leave.
func (g *grouping) cost(w int) float64 {
	sum := 0.0
	for a, n := range g.count[w] {
		if n == 0 {
			continue
		}
		if sum == 0 {
			sum = occupied
		}
		for b, m := range g.count[w][:a] {
			if m > 0 {
				sum += g.apart[a][b] * float64(min(n, m))
			}
		}
	}
	return sum
}

// mixed lists the workers with a task to move whose images mix, the worst
// first.
func (g *grouping) mixed() []int {
	var list []int
	costs := make([]float64, len(g.count))
	for w := range g.count {
		costs[w] = g.cost(w)
		if g.movable[w] && costs[w] > occupied {
			list = append(list, w)
		}
	}
	sort.SliceStable(list, func(i, k int) bool { return costs[list[i]] > costs[list[k]] })
	return list
}

// fixed reports whether task i stays.
func (g *grouping) fixed(i int) bool { return g.tasks[i].Fixed || g.moved[g.tasks[i].Step] }

// bestFrom returns the best move of a task off a worker, if any is worth it.
func (g *grouping) bestFrom(from int) (Move, bool) {
	best, bestGain := Move{}, leastGain
	for _, i := range g.on[from] {
		if g.fixed(i) {
			continue
		}
		for to := range g.free {
			if to != from && !g.tasks[i].Barred[to] {
				g.try(i, to, &best, &bestGain)
			}
		}
	}
	return best, bestGain > leastGain
}

// try weighs moving task i to a worker, alone or for each task there.
func (g *grouping) try(i, to int, best *Move, bestGain *float64) {
	one := &g.tasks[i]
	from := one.Worker
	before := g.cost(from) + g.cost(to)
	weigh := func(other int) {
		g.tried++
		m := Move{One: i, To: to, Other: other}
		g.swap(m, 1)
		gain := before - g.cost(from) - g.cost(to)
		g.swap(m, -1)
		if gain > *bestGain {
			*best, *bestGain = m, gain
		}
	}
	if one.Need.Fits(g.free[to]) {
		weigh(none)
		return
	}
	for _, k := range g.on[to] {
		other := &g.tasks[k]
		if g.fixed(k) || other.Step == one.Step || other.Barred[from] || g.image[k] == g.image[i] {
			continue
		}
		if one.Need.Fits(g.free[to].Add(other.Need)) && other.Need.Fits(g.free[from].Add(one.Need)) {
			weigh(k)
		}
	}
}

// swap applies a move to the counts, or takes it back with by -1.
func (g *grouping) swap(m Move, by int) {
	from := g.tasks[m.One].Worker
	g.count[from][g.image[m.One]] -= by
	g.count[m.To][g.image[m.One]] += by
	if m.Other != none {
		g.count[m.To][g.image[m.Other]] -= by
		g.count[from][g.image[m.Other]] += by
	}
}

// apply takes a move for made, so that the next one of the same look counts
// with it. Room that it frees is not given away: a stop takes its time.
func (g *grouping) apply(m Move) {
	g.swap(m, 1)
	one := &g.tasks[m.One]
	g.moved[one.Step] = true
	if m.Other == none {
		g.free[m.To] = g.free[m.To].Sub(one.Need)
		return
	}
	other := &g.tasks[m.Other]
	g.moved[other.Step] = true
	g.free[m.To] = g.free[m.To].Add(other.Need).Sub(one.Need)
	g.free[one.Worker] = g.free[one.Worker].Add(one.Need).Sub(other.Need)
}
