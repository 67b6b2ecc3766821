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
			if i%3 != 0 && i%d.kinds == s%d.kinds {
				f.Presses[s][i] = 1
			}
		}
	}
	for range d.filling {
		f.Demand = append(f.Demand, 40000+rng.Float64()*80000)
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

// placeStep places tasks of a step on the workers in turn, from a random one on,
// as many as fit on a worker beside each other unless the step is spread.
func (f *testFleet) placeStep(rng *rand.Rand, step, image int) {
	need := workload.Resources{CPU: 4800 + rng.IntN(3200), Memory: 13000}
	at := rng.IntN(len(f.Workers))
	for n := 0; n < 14; n++ {
		for tries := 0; ; tries++ {
			if tries > len(f.Workers) {
				return
			}
			if need.Fits(f.Workers[at].Free) && !(f.full(step, at)) {
				break
			}
			at = (at + 1) % len(f.Workers)
		}
		f.Workers[at].Free = f.Workers[at].Free.Sub(need)
		f.on[[2]int{step, at}]++
		f.Tasks = append(f.Tasks, Task{Image: image, Step: step, Worker: at, Need: need})
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

// Load: a draw of images of three kinds, spread over workers by their free
// capacity, where regrouping by differences leaves room idle.
func TestExchangesOpenMoreRoomThanRegrouping(t *testing.T) {
	const passes, most = 100, 4
	var before, regrouped, laidOut [2]float64
	const draws = 5
	moved := [2]int{}
	for seed := range uint64(draws) {
		for n := range 2 {
			f := threeKinds.fleet(rand.New(rand.NewPCG(seed, 9)))
			before[n] += f.share() / draws
			for pass := range passes {
				f.prepare(pass)
				if n == 0 {
					f.carryOut(t, f.regroup(pass, most), pass)
				} else {
					f.carryOut(t, f.snapshot().Exchanges(Limits{Moves: most, Pass: pass}), pass)
				}
				if pass == passes/4 {
					regrouped[n] += f.share() / draws
				}
			}
			laidOut[n] += f.share() / draws
			moved[n] += f.moved / draws
		}
	}
	t.Logf("runnable share of the best: before %.3f; regrouped %.3f after 10 s, %.3f after 40 s, %d moves; by exchanges %.3f, %.3f, %d moves",
		before[0], regrouped[0], laidOut[0], moved[0], regrouped[1], laidOut[1], moved[1])
	if regrouped[1] < regrouped[0] || laidOut[1] < laidOut[0] {
		t.Errorf("exchanges leave %.3f and %.3f, regrouping %.3f and %.3f", regrouped[1], laidOut[1], regrouped[0], laidOut[0])
	}
}
