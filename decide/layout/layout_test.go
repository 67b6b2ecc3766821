package layout

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"persimmonrock.example/decide/pressure"
	"persimmonrock.example/structs/workload"
)

// draw describes a fleet whose serving images are of a few kinds. A filling image
// presses on the images of one kind, or on none.
type draw struct {
	kinds, serving, filling, workers, steps int
}

// threeKinds is a fleet of 71 workers of 32 and 48 cores, nearly all reserved by
// 24 steps of 14 serving tasks, half of which have no two tasks on a worker.
var threeKinds = draw{kinds: 3, serving: 10, filling: 18, workers: 71, steps: 24}

// testFleet is a fleet with what the passes of a test need.
type testFleet struct {
	Fleet
	// spread is the most tasks of a step on a worker, or 0.
	spread []int
	// settled is the pass from which all tasks of a step may move.
	settled []int
	moved   int
	on      map[[2]int]int
}

func (d draw) fleet(rng *rand.Rand) *testFleet {
	f := &testFleet{on: map[[2]int]int{}}
	for w := range d.workers {
		cores := 32000
		if w%3 == 0 {
			cores = 48000
		}
		f.Workers = append(f.Workers, Worker{Free: workload.Resources{CPU: cores, Memory: 1 << 20}})
	}
	for s := range d.serving {
		f.Presses = append(f.Presses, make([]float64, d.filling))
		for i := range d.filling {
			// About two thirds of the filling images press on one kind.
			if i/d.kinds%3 != 0 && i%d.kinds == s%d.kinds {
				f.Presses[s][i] = 1
			}
		}
	}
	for i := range d.filling {
		// Most of the work presses on the kind of most serving images.
		demand := 30000 + rng.Float64()*60000
		if i%d.kinds == 0 {
			demand *= 3
		}
		f.Demand = append(f.Demand, demand)
	}
	f.Weight = f.Demand
	for step := range d.steps {
		f.spread = append(f.spread, (step+1)%2)
		f.settled = append(f.settled, 0)
		f.placeStep(rng, step, rng.IntN(d.serving))
	}
	for w := range f.Workers {
		f.Workers[w].Room = float64(f.Workers[w].Free.CPU)
	}
	for i := range f.Tasks {
		f.Workers[f.Tasks[i].Worker].Room += 0.45 * float64(f.Tasks[i].Need.CPU)
	}
	return f
}

// placeStep places 14 tasks of a step on random workers that have capacity.
func (f *testFleet) placeStep(rng *rand.Rand, step, image int) {
	need := workload.Resources{CPU: 4800 + rng.IntN(3200), Memory: 13000}
	left := 14
	for _, w := range rng.Perm(len(f.Workers)) {
		for left > 0 && need.Fits(f.Workers[w].Free) && !f.full(step, w) {
			f.Workers[w].Free = f.Workers[w].Free.Sub(need)
			f.on[[2]int{step, w}]++
			f.Tasks = append(f.Tasks, Task{Image: image, Step: step, Worker: w, Need: need})
			left--
			if rng.IntN(2) == 0 {
				break
			}
		}
	}
}

// full reports whether a worker has as many tasks of a step as may be together.
func (f *testFleet) full(step, w int) bool {
	return f.spread[step] > 0 && f.on[[2]int{step, w}] >= f.spread[step]
}

// settlePasses is the number of passes for which a step stays as it is after a
// move: 5 s and the time of the move, at 400 ms a pass.
const settlePasses = 16

func (f *testFleet) prepare(pass int) {
	for i := range f.Tasks {
		step := f.Tasks[i].Step
		f.Tasks[i].Fixed = f.settled[step] > pass
		f.Tasks[i].Barred = func(w int) bool { return f.full(step, w) }
	}
}

// carryOut moves tasks and checks capacity, spread and the bound on moves of a
// step.
func (f *testFleet) carryOut(t *testing.T, moves []Move, pass int) {
	t.Helper()
	for _, m := range moves {
		from := f.Tasks[m.One].Worker
		f.move(t, m.One, m.To, pass)
		if m.Other != NoOther {
			f.move(t, m.Other, from, pass)
		}
	}
	for w := range f.Workers {
		if f.Workers[w].Free.CPU < 0 {
			t.Fatalf("worker %d is overfull by %d", w, -f.Workers[w].Free.CPU)
		}
	}
	for at, n := range f.on {
		if f.spread[at[0]] > 0 && n > f.spread[at[0]] {
			t.Fatalf("%d tasks of spread step %d on worker %d", n, at[0], at[1])
		}
	}
}

func (f *testFleet) move(t *testing.T, i, to, pass int) {
	t.Helper()
	x := &f.Tasks[i]
	if f.settled[x.Step] > pass {
		t.Fatalf("step %d moves again", x.Step)
	}
	f.settled[x.Step] = pass + settlePasses
	f.on[[2]int{x.Step, x.Worker}]--
	f.on[[2]int{x.Step, to}]++
	f.Workers[x.Worker].Free = f.Workers[x.Worker].Free.Add(x.Need)
	f.Workers[to].Free = f.Workers[to].Free.Sub(x.Need)
	room := 0.45 * float64(x.Need.CPU)
	f.Workers[x.Worker].Room += float64(x.Need.CPU) - room
	f.Workers[to].Room -= float64(x.Need.CPU) - room
	x.Worker = to
	f.moved++
}

// snapshot copies what a pass may change.
func (f *testFleet) snapshot() *Fleet {
	c := f.Fleet
	c.Workers = append([]Worker(nil), f.Workers...)
	c.Tasks = append([]Task(nil), f.Tasks...)
	return &c
}

// share is the runnable part of what could run at best.
func (f *testFleet) share() float64 {
	m := f.Measure()
	return m.Runnable / m.Best
}

// regroup finds the moves of pressure.Regroup.
func (f *testFleet) regroup(pass, most int) []Move {
	var tasks []pressure.Task
	for _, x := range f.Tasks {
		barred := map[int]bool{}
		for w := range f.Workers {
			if x.Barred(w) {
				barred[w] = true
			}
		}
		tasks = append(tasks, pressure.Task{Image: fmt.Sprintf("s%02d", x.Image), Step: x.Step, Worker: x.Worker, Need: x.Need, Fixed: x.Fixed, Barred: barred})
	}
	var free []workload.Resources
	for _, w := range f.Workers {
		free = append(free, w.Free)
	}
	difference := func(a, b string) float64 {
		var x, y int
		_, _ = fmt.Sscanf(a, "s%d", &x)
		_, _ = fmt.Sscanf(b, "s%d", &y)
		differing, either := 0.0, 0.0
		for i, p := range f.Presses[x] {
			differing += math.Abs(p - f.Presses[y][i])
			either += max(p, f.Presses[y][i])
		}
		return differing / either
	}
	var moves []Move
	for _, m := range pressure.Regroup(tasks, free, difference, pass, most) {
		moves = append(moves, Move{One: m.One, To: m.To, Other: m.Other})
	}
	return moves
}

// Load: 71 workers, serving tasks of three kinds that reserve most of their CPU,
// half of them spread, each step on random workers; filling work for more than the
// room. Regrouping by differences leaves room idle, as it moves by no demand and
// finds no groups.
func TestExchangesOpenMoreRoomThanRegrouping(t *testing.T) {
	const passes, most, draws = 100, 4, 5
	type outcome struct{ before, early, late, moves float64 }
	play := func(seed uint64, find func(f *testFleet, pass int) []Move) outcome {
		f := threeKinds.fleet(rand.New(rand.NewPCG(seed, 9)))
		o := outcome{before: f.share()}
		for pass := range passes {
			f.prepare(pass)
			f.carryOut(t, find(f, pass), pass)
			if pass == passes/4 {
				o.early = f.share()
			}
		}
		o.late, o.moves = f.share(), float64(f.moved)
		return o
	}
	var regrouped, exchanged outcome
	add := func(sum *outcome, o outcome) {
		sum.before += o.before / draws
		sum.early += o.early / draws
		sum.late += o.late / draws
		sum.moves += o.moves / draws
	}
	for seed := range uint64(draws) {
		add(&regrouped, play(seed, func(f *testFleet, pass int) []Move { return f.regroup(pass, most) }))
		add(&exchanged, play(seed, func(f *testFleet, pass int) []Move { return f.snapshot().Exchanges(Limits{Moves: most, Pass: pass}) }))
	}
	t.Logf("runnable part of the best at first, after %d and %d passes, and moves: regrouping %.3f, by exchanges %.3f", passes/4, passes, regrouped, exchanged)
	if exchanged.early < regrouped.early+0.03 || exchanged.late < regrouped.late || exchanged.late < 0.9 {
		t.Errorf("exchanges leave %.3f, regrouping %.3f", exchanged, regrouped)
	}
}

// Guards against moves without end, each of which stops a serving task: a group of
// which only a part can move is worth less than nothing, and would move back.
func TestExchangesEnd(t *testing.T) {
	for seed := range uint64(10) {
		f := threeKinds.fleet(rand.New(rand.NewPCG(seed, 3)))
		last := 0
		for pass := range 200 {
			clear(f.settled)
			f.prepare(pass)
			moves := f.snapshot().Exchanges(Limits{Moves: 4, Pass: pass})
			f.carryOut(t, moves, pass)
			if len(moves) > 0 {
				last = pass
			}
		}
		if last > 150 {
			t.Errorf("seed %d: moves in pass %d, %d in all", seed, last, f.moved)
		}
	}
}

// A moved task is away for seconds. None moves while all work that is asked for
// could run where the serving tasks lie, or while no work is asked for.
func TestNothingMovesWithoutWorkThatWaits(t *testing.T) {
	for _, demand := range []float64{0, 500} {
		f := threeKinds.fleet(rand.New(rand.NewPCG(1, 9)))
		f.prepare(0)
		for i := range f.Demand {
			f.Demand[i] = demand
		}
		if moves := f.snapshot().Exchanges(Limits{Moves: 4}); len(moves) > 0 {
			t.Errorf("demand of %.0f: moves %v", demand, moves)
		}
	}
}

// Steps that bound their missing tasks, among others, are never moved, nor does a
// group that needs one of them begin.
func TestStuckTasksStay(t *testing.T) {
	f := threeKinds.fleet(rand.New(rand.NewPCG(2, 9)))
	for pass := range 50 {
		f.prepare(pass)
		for i := range f.Tasks {
			f.Tasks[i].Stuck = f.Tasks[i].Step%3 == 0
		}
		moves := f.snapshot().Exchanges(Limits{Moves: 4, Pass: pass})
		for _, m := range moves {
			if f.Tasks[m.One].Stuck || m.Other != NoOther && f.Tasks[m.Other].Stuck {
				t.Fatalf("pass %d moves a stuck task: %+v", pass, m)
			}
		}
		f.carryOut(t, moves, pass)
	}
	if f.moved == 0 {
		t.Error("no task moved")
	}
}

// A pass runs two or three times a second beside the plans. Limit: a few
// milliseconds for 1,000 workers.
func BenchmarkExchanges(b *testing.B) {
	for _, d := range []draw{threeKinds, {kinds: 3, serving: 10, filling: 18, workers: 1000, steps: 340}} {
		b.Run(fmt.Sprintf("workers:%d", d.workers), func(b *testing.B) {
			f := d.fleet(rand.New(rand.NewPCG(4, 4)))
			for i := range f.Demand {
				f.Demand[i] *= float64(d.workers) / 71
				if i%d.kinds != 0 {
					f.Demand[i] = 0 // the rest of the room stands idle
				}
			}
			f.prepare(0)
			for pass := 0; b.Loop(); pass++ {
				f.snapshot().Exchanges(Limits{Moves: d.workers / 20, Pass: pass})
			}
		})
	}
}
