package layout

import (
	"cmp"
	"slices"

	"persimmonrock.example/structs/workload"
)

// Move moves task One to the worker To, and task Other, unless it is NoOther, to
// the former worker of One.
type Move struct {
	One, To, Other int
}

// NoOther is the value of Move.Other for a move without an exchange.
const NoOther = -1

// Limits bounds a pass.
type Limits struct {
	// Moves is the most moves of a pass.
	Moves int
	// Pass is the number of the pass. Of a large fleet, each pass looks at other
	// workers, besides those with most to gain.
	Pass int
}

const (
	// maxTogether is the most tasks of one image that are exchanged for tasks of
	// another as a group. Where two tasks must leave a worker before anything gains,
	// no single move would.
	maxTogether = 4
	// maxWorkers bounds the workers of a pass, so that it takes a few milliseconds.
	maxWorkers = 160
	// maxCandidates bounds the exchanges that are compared in the end.
	maxCandidates = 600
	// perType is the number of workers considered for each type of exchange.
	perType = 16
	// away is the time, in seconds, for which a moved task's callers lose it;
	// payback is the time within which the gain must exceed that. Both count CPU
	// times seconds.
	away    = 2.0
	payback = 16.0
	// completeWeight is the weight of the work that a worker is open to; the rest is
	// for tasks that come nearer to opening it, so that groups larger than
	// maxTogether are begun.
	completeWeight = 0.6
)

// Exchanges returns up to limits.Moves moves that gain most for the filling work
// per moved task, where the gain pays for the time without the task. No worker
// takes part twice, and at most one task of a step moves.
func (f *Fleet) Exchanges(limits Limits) []Move {
	s := newSearch(f, limits)
	if s == nil {
		return nil
	}
	var moves []Move
	for _, c := range s.candidates() {
		if len(moves) >= limits.Moves {
			break
		}
		if s.used[c.one.worker] || s.used[c.other.worker] {
			continue
		}
		moves = s.carryOut(c, moves, limits.Moves)
	}
	return moves
}

// search looks for the best exchanges of a fleet.
type search struct {
	*Fleet
	occupied occupancy
	// weight is the share of each filling image in the demand.
	weight []float64
	// scale is the part of the room opened that the work which waits could fill.
	scale   float64
	tasksOn [][]int
	// used are the workers, movedSteps the steps that take part in a move.
	used       []bool
	movedSteps map[int]bool
	chosen     []int
	counts     []int
	// smallest is the least CPU of a task of each image.
	smallest []int
}

func newSearch(f *Fleet, limits Limits) *search {
	demand, room, weights := f.demand(), f.room(), 0.0
	for _, q := range f.Weight {
		weights += q
	}
	if len(f.Tasks) == 0 || weights <= 0 {
		return nil
	}
	runnable := f.runnable()
	unmet, idle := demand-runnable, room-runnable
	if unmet < minFlow || idle < minFlow {
		return nil
	}
	s := &search{
		Fleet: f, occupied: f.occupancy(), weight: make([]float64, len(f.Demand)), scale: min(1, unmet/idle),
		tasksOn: make([][]int, len(f.Workers)), used: make([]bool, len(f.Workers)), movedSteps: map[int]bool{}, counts: make([]int, len(f.Presses)),
	}
	for i, q := range f.Weight {
		s.weight[i] = q / weights
	}
	s.smallest = make([]int, len(f.Presses)+1)
	for i := range f.Tasks {
		t := &f.Tasks[i]
		s.tasksOn[t.Worker] = append(s.tasksOn[t.Worker], i)
		if least := &s.smallest[t.Image]; *least == 0 || t.Need.CPU < *least {
			*least = t.Need.CPU
		}
	}
	s.chooseWorkers(limits.Pass)
	return s
}

// chooseWorkers chooses the workers of the pass: all of a small fleet. Of a large
// one, half are those that lose most room, half follow the pass.
func (s *search) chooseWorkers(pass int) {
	all := make([]int, len(s.Workers))
	lost := make([]float64, len(s.Workers))
	for w := range all {
		all[w] = w
		lost[w] = s.Workers[w].Room - s.value(w, s.occupied[w])
	}
	if len(all) <= maxWorkers {
		s.chosen = all
		return
	}
	slices.SortStableFunc(all, func(a, b int) int { return cmp.Compare(lost[b], lost[a]) })
	const half = maxWorkers / 2
	s.chosen = append(s.chosen, all[:half]...)
	rest := all[half:]
	for n := range half {
		s.chosen = append(s.chosen, rest[(pass*half+n)%len(rest)])
	}
}

// value is the room of a worker that the filling work may use if it has these
// tasks, for the mean of the work that is asked for.
func (s *search) value(w int, counts []int) float64 {
	tasks := 0
	for _, n := range counts {
		tasks += n
	}
	if tasks == 0 {
		return s.Workers[w].Room
	}
	sum := 0.0
	for i, q := range s.weight {
		if q == 0 {
			continue
		}
		open, pressed := 1.0, 0.0
		for image, n := range counts {
			if n > 0 {
				open *= 1 - s.Presses[image][i]
				pressed += float64(n) * s.Presses[image][i]
			}
		}
		near := 1 - pressed/float64(tasks)
		sum += q * (completeWeight*open + (1-completeWeight)*near*near)
	}
	return s.Workers[w].Room * sum
}

// option is what a worker gains if it gives some tasks of an image for as many of
// another.
type option struct {
	worker int
	gain   float64
}

// exchange is a type of option: count tasks of the image give for as many of the
// image take. The number of images stands for no image.
type exchange struct {
	give, take, count int
}

// candidate is an exchange between two workers.
type candidate struct {
	exchange
	one, other option
	// perTask is the gain for each moved task.
	perTask float64
}

// candidates lists the exchanges that pay, the best first.
func (s *search) candidates() []candidate {
	options := s.options()
	none := len(s.Presses)
	least := s.leastGain()
	var all []candidate
	for n, ones := range options {
		e := s.exchange(n)
		// Each exchange is found from both sides. It is listed from the side that
		// gives an image; if both do, from that with the lower image.
		if e.give == none || e.take != none && e.give > e.take {
			continue
		}
		moved := float64(e.count)
		if e.take != none {
			moved *= 2
		}
		for _, one := range ones {
			for _, other := range options[s.number(exchange{give: e.take, take: e.give, count: e.count})] {
				perTask := (one.gain + other.gain) * s.scale / moved
				if perTask < least {
					break // the others gain less
				}
				if one.worker != other.worker {
					all = append(all, candidate{exchange: e, one: one, other: other, perTask: perTask})
				}
			}
		}
		if len(all) > 4*maxCandidates {
			all = bestFirst(all)[:maxCandidates]
			least = max(least, all[maxCandidates-1].perTask)
		}
	}
	return bestFirst(all)
}

// bestFirst sorts candidates.
func bestFirst(all []candidate) []candidate {
	slices.SortFunc(all, func(a, b candidate) int {
		switch {
		case a.perTask > b.perTask:
			return -1
		case a.perTask < b.perTask:
			return 1
		}
		return cmp.Or(cmp.Compare(a.one.worker, b.one.worker), cmp.Compare(a.other.worker, b.other.worker),
			cmp.Compare(a.give, b.give), cmp.Compare(a.take, b.take), cmp.Compare(a.count, b.count))
	})
	return all
}

// leastGain is the gain for each moved task that pays for the smallest task.
func (s *search) leastGain() float64 {
	least := s.Tasks[0].Need.CPU
	for i := range s.Tasks {
		least = min(least, s.Tasks[i].Need.CPU)
	}
	return max(minFlow, float64(least)*away/payback)
}

// number numbers the exchanges; exchange is its inverse.
func (s *search) number(e exchange) int {
	return (e.give*(len(s.Presses)+1)+e.take)*maxTogether + e.count - 1
}

func (s *search) exchange(n int) exchange {
	images := len(s.Presses) + 1
	pair := n / maxTogether
	return exchange{give: pair / images, take: pair % images, count: n%maxTogether + 1}
}

// options lists, by the number of the exchange, the perType workers that gain most
// by it.
func (s *search) options() [][]option {
	none := len(s.Presses)
	all := make([][]option, (none+1)*(none+1)*maxTogether)
	for _, w := range s.chosen {
		movable := s.movableImages(w)
		before := s.value(w, s.occupied[w])
		for give := 0; give <= none; give++ {
			if give != none && !movable[give] {
				continue
			}
			for take := 0; take <= none; take++ {
				if take != give && (give != none || s.smallest[take] <= s.Workers[w].Free.CPU) {
					s.addOptions(all, w, give, take, before)
				}
			}
		}
	}
	return all
}

// addOptions adds the exchanges of one to maxTogether tasks.
func (s *search) addOptions(all [][]option, w, give, take int, before float64) {
	none := len(s.Presses)
	most := maxTogether
	if give != none {
		most = min(most, s.occupied[w][give])
	}
	copy(s.counts, s.occupied[w])
	for n := 1; n <= most; n++ {
		if give != none {
			s.counts[give]--
		}
		if take != none {
			s.counts[take]++
		}
		e := s.number(exchange{give: give, take: take, count: n})
		all[e] = insertOption(all[e], option{worker: w, gain: s.value(w, s.counts) - before})
	}
}

// insertOption inserts an option into a list of at most perType, the best first.
func insertOption(list []option, o option) []option {
	if len(list) == perType && list[perType-1].gain >= o.gain {
		return list
	}
	if len(list) < perType {
		list = append(list, o)
	}
	i := len(list) - 1
	for ; i > 0 && list[i-1].gain < o.gain; i-- {
		list[i] = list[i-1]
	}
	list[i] = o
	return list
}

// movableImages reports which images have a task on w that may move now.
func (s *search) movableImages(w int) []bool {
	movable := make([]bool, len(s.Presses))
	for _, i := range s.tasksOn[w] {
		movable[s.Tasks[i].Image] = movable[s.Tasks[i].Image] || !s.Tasks[i].Fixed
	}
	return movable
}

// carryOut appends the moves of a candidate that are possible now, if its whole
// group can move sooner or later: half a group may be worth less than none, and
// would move back. The others of the group follow in later passes, where fewer
// tasks remain to be moved for the same gain.
func (s *search) carryOut(c candidate, moves []Move, most int) []Move {
	group := s.findGroup(c)
	if len(group) < c.count {
		return moves
	}
	for _, m := range group {
		if len(moves) < most && s.possibleNow(m) {
			s.apply(m)
			moves = append(moves, m)
			s.used[c.one.worker], s.used[c.other.worker] = true, true
		}
	}
	return moves
}

// findGroup finds tasks for all exchanges of a candidate, if possible such as may
// move now. It returns fewer if there are not enough.
func (s *search) findGroup(c candidate) []Move {
	from, to := c.one.worker, c.other.worker
	free := [2]workload.Resources{s.Workers[from].Free, s.Workers[to].Free}
	taken := map[int]bool{}
	var group []Move
	for len(group) < c.count {
		m, ok := s.findTasks(c, free, taken)
		if !ok {
			break
		}
		one := &s.Tasks[m.One]
		taken[m.One] = true
		free[0], free[1] = free[0].Add(one.Need), free[1].Sub(one.Need)
		if m.Other != NoOther {
			taken[m.Other] = true
			free[0], free[1] = free[0].Sub(s.Tasks[m.Other].Need), free[1].Add(s.Tasks[m.Other].Need)
		}
		group = append(group, m)
	}
	return group
}

// findTasks finds tasks for one exchange of a candidate, with the free capacity
// of its two workers. It prefers tasks that may move now.
func (s *search) findTasks(c candidate, free [2]workload.Resources, taken map[int]bool) (Move, bool) {
	from, to := c.one.worker, c.other.worker
	found, ok := Move{}, false
	for _, i := range s.tasksOn[from] {
		one := &s.Tasks[i]
		if taken[i] || !s.fits(i, c.give, to) {
			continue
		}
		if c.take == len(s.Presses) {
			m := Move{One: i, To: to, Other: NoOther}
			if one.Need.Fits(free[1]) && s.pays(c, one.Need.CPU) {
				if s.possibleNow(m) {
					return m, true
				}
				found, ok = m, true
			}
			continue
		}
		for _, k := range s.tasksOn[to] {
			other := &s.Tasks[k]
			if taken[k] || !s.fits(k, c.take, from) || other.Step == one.Step || !s.pays(c, (one.Need.CPU+other.Need.CPU)/2) ||
				!one.Need.Fits(free[1].Add(other.Need)) || !other.Need.Fits(free[0].Add(one.Need)) {
				continue
			}
			m := Move{One: i, To: to, Other: k}
			if s.possibleNow(m) {
				return m, true
			}
			found, ok = m, true
		}
	}
	return found, ok
}

// possibleNow reports whether the tasks of a move may be stopped now.
func (s *search) possibleNow(m Move) bool {
	ready := func(i int) bool { return !s.Tasks[i].Fixed && !s.movedSteps[s.Tasks[i].Step] }
	one := &s.Tasks[m.One]
	if m.Other == NoOther {
		return ready(m.One) && one.Need.Fits(s.Workers[m.To].Free)
	}
	other := &s.Tasks[m.Other]
	return ready(m.One) && ready(m.Other) && one.Need.Fits(s.Workers[m.To].Free.Add(other.Need)) && other.Need.Fits(s.Workers[one.Worker].Free.Add(one.Need))
}

// pays reports whether the gain of each moved task exceeds what the task's
// callers lose while it is away.
func (s *search) pays(c candidate, cpu int) bool { return c.perTask*payback > float64(cpu)*away }

// fits reports whether a task is of the image and may run on a worker.
func (s *search) fits(i, image, to int) bool {
	t := &s.Tasks[i]
	return t.Image == image && !t.Stuck && (t.Barred == nil || !t.Barred(to))
}

// apply records a move for the rest of the pass. Capacity freed without an
// exchange isn't used again: stopping a task takes time.
func (s *search) apply(m Move) {
	one := &s.Tasks[m.One]
	from := one.Worker
	s.movedSteps[one.Step] = true
	if m.Other == NoOther {
		s.Workers[m.To].Free = s.Workers[m.To].Free.Sub(one.Need)
		return
	}
	other := &s.Tasks[m.Other]
	s.movedSteps[other.Step] = true
	s.Workers[m.To].Free = s.Workers[m.To].Free.Add(other.Need).Sub(one.Need)
	s.Workers[from].Free = s.Workers[from].Free.Add(one.Need).Sub(other.Need)
}
