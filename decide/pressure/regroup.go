package pressure

import (
	"sort"

	"persimmonrock.example/structs/workload"
)

// Task is one serving task that may be moved.
type Task struct {
	Image string
	// Step identifies the task's step; at most one task of a step moves in a pass.
	Step int
	// Worker is the index of the task's worker.
	Worker int
	Need   workload.Resources
	// Fixed tasks count in the cost of their worker but are not moved.
	Fixed bool
	// Barred holds the workers excluded for the task, besides those without
	// capacity.
	Barred map[int]bool
}

// Move moves the task One to the worker To, and the task Other, unless it is
// -1, to the former worker of One.
type Move struct {
	One   int
	To    int
	Other int
}

// noOther is the value of Move.Other for a move without an exchange.
const noOther = -1

// minGain is the cost reduction that a move must exceed, because a moved task
// is unavailable for a second or two.
const minGain = 0.35

// servingCost is the cost of a worker with any serving task. On workers without
// serving tasks all filling work runs at full speed.
const servingCost = 2.5

// maxEvaluations times maxMoves bounds the moves evaluated in one pass, so that
// it takes a few milliseconds. The next pass starts at another worker.
const maxEvaluations = 1500

// Regroup returns up to maxMoves moves that separate serving images on which
// different filling images press. Each is the best move from its worker and
// gains more than minGain. free is the free capacity of each worker; pass
// is the number of the pass and determines its first worker.
//
// Where two such images share a worker, nearly all filling work presses on one
// of them. Placement can't avoid this: differences are learnt from running tasks.
func Regroup(tasks []Task, free []workload.Resources, difference func(a, b string) float64, pass, maxMoves int) []Move {
	g := newGrouping(tasks, free, difference)
	mixed := g.mixed()
	var moves []Move
	for n := range mixed {
		if len(moves) >= maxMoves || g.evaluated > maxEvaluations*maxMoves {
			break
		}
		if m, ok := g.bestFrom(mixed[(n+pass)%len(mixed)]); ok {
			g.apply(m)
			moves = append(moves, m)
		}
	}
	return moves
}

// grouping is the distribution of the serving tasks, with the moves found so
// far.
type grouping struct {
	tasks []Task
	free  []workload.Resources
	// image is the number of each task's image. differences is indexed by the
	// numbers of two images, the larger one first.
	image       []int
	differences [][]float64
	// count is the number of tasks of each image on each worker.
	count   [][]int
	movable []bool
	// tasksOn lists the tasks of each worker.
	tasksOn [][]int
	// movedSteps holds the steps that have a moving task.
	movedSteps map[int]bool
	evaluated  int
}

func newGrouping(tasks []Task, free []workload.Resources, difference func(a, b string) float64) *grouping {
	g := &grouping{
		tasks: tasks, free: append([]workload.Resources(nil), free...), image: make([]int, len(tasks)),
		count: make([][]int, len(free)), movable: make([]bool, len(free)), tasksOn: make([][]int, len(free)), movedSteps: map[int]bool{},
	}
	g.numberImages(difference)
	for w := range g.count {
		g.count[w] = make([]int, len(g.differences))
	}
	for i := range tasks {
		w := tasks[i].Worker
		g.tasksOn[w] = append(g.tasksOn[w], i)
		g.count[w][g.image[i]]++
		g.movable[w] = g.movable[w] || !tasks[i].Fixed
	}
	return g
}

// numberImages numbers the images in the order of their names, and computes
// their differences once.
func (g *grouping) numberImages(difference func(a, b string) float64) {
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
	g.differences = make([][]float64, len(names))
	for a := range names {
		g.differences[a] = make([]float64, len(names))
		for b := range a {
			g.differences[a][b] = difference(names[b], names[a])
		}
	}
	for i := range g.tasks {
		g.image[i] = numbers[g.tasks[i].Image]
	}
}

// cost is the cost of a worker's mix of images: servingCost plus, for each two
// images, their difference times the number of tasks to move to separate them.
func (g *grouping) cost(w int) float64 {
	sum := 0.0
	for a, n := range g.count[w] {
		if n == 0 {
			continue
		}
		if sum == 0 {
			sum = servingCost
		}
		for b, m := range g.count[w][:a] {
			if m > 0 {
				sum += g.differences[a][b] * float64(min(n, m))
			}
		}
	}
	return sum
}

// mixed lists the workers with a movable task and images that differ, in
// descending order of cost.
func (g *grouping) mixed() []int {
	var list []int
	costs := make([]float64, len(g.count))
	for w := range g.count {
		costs[w] = g.cost(w)
		if g.movable[w] && costs[w] > servingCost {
			list = append(list, w)
		}
	}
	sort.SliceStable(list, func(i, k int) bool { return costs[list[i]] > costs[list[k]] })
	return list
}

func (g *grouping) fixed(i int) bool { return g.tasks[i].Fixed || g.movedSteps[g.tasks[i].Step] }

// bestFrom returns the best move of a task off a worker, if the move gains more
// than minGain.
func (g *grouping) bestFrom(from int) (Move, bool) {
	best, bestGain := Move{}, minGain
	for _, i := range g.tasksOn[from] {
		if g.fixed(i) {
			continue
		}
		for to := range g.free {
			if to != from && !g.tasks[i].Barred[to] {
				g.tryMove(i, to, &best, &bestGain)
			}
		}
	}
	return best, bestGain > minGain
}

// tryMove evaluates moving task i to a worker: alone if the task fits there, else
// in exchange with each of that worker's tasks in turn.
func (g *grouping) tryMove(i, to int, best *Move, bestGain *float64) {
	one := &g.tasks[i]
	from := one.Worker
	before := g.cost(from) + g.cost(to)
	evaluate := func(other int) {
		g.evaluated++
		m := Move{One: i, To: to, Other: other}
		g.adjustCounts(m, 1)
		gain := before - g.cost(from) - g.cost(to)
		g.adjustCounts(m, -1)
		if gain > *bestGain {
			*best, *bestGain = m, gain
		}
	}
	if one.Need.Fits(g.free[to]) {
		evaluate(noOther)
		return
	}
	for _, k := range g.tasksOn[to] {
		other := &g.tasks[k]
		if g.fixed(k) || other.Step == one.Step || other.Barred[from] || g.image[k] == g.image[i] {
			continue
		}
		if one.Need.Fits(g.free[to].Add(other.Need)) && other.Need.Fits(g.free[from].Add(one.Need)) {
			evaluate(k)
		}
	}
}

// adjustCounts applies a move to the counts (by 1) or reverts it (by -1).
func (g *grouping) adjustCounts(m Move, by int) {
	from := g.tasks[m.One].Worker
	g.count[from][g.image[m.One]] -= by
	g.count[m.To][g.image[m.One]] += by
	if m.Other != noOther {
		g.count[m.To][g.image[m.Other]] -= by
		g.count[from][g.image[m.Other]] += by
	}
}

// apply records a move, so that later moves of the pass account for it.
// Capacity freed without an exchange is not reused: stopping a task takes time.
func (g *grouping) apply(m Move) {
	g.adjustCounts(m, 1)
	one := &g.tasks[m.One]
	g.movedSteps[one.Step] = true
	if m.Other == noOther {
		g.free[m.To] = g.free[m.To].Sub(one.Need)
		return
	}
	other := &g.tasks[m.Other]
	g.movedSteps[other.Step] = true
	g.free[m.To] = g.free[m.To].Add(other.Need).Sub(one.Need)
	g.free[one.Worker] = g.free[one.Worker].Add(one.Need).Sub(other.Need)
}
