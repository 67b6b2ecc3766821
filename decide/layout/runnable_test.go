package layout

import (
	"math"
	"math/rand/v2"
	"testing"

	"persimmonrock.example/structs/workload"
)

func smallFleet(rng *rand.Rand) *Fleet {
	f := &Fleet{}
	for range 1 + rng.IntN(5) {
		f.Workers = append(f.Workers, Worker{Room: float64(1000 * rng.IntN(20))})
	}
	images := 1 + rng.IntN(5)
	for range images {
		f.Demand = append(f.Demand, float64(1000*rng.IntN(30)))
	}
	for s := range 3 {
		f.Presses = append(f.Presses, make([]float64, images))
		for i := range images {
			f.Presses[s][i] = float64(rng.IntN(2))
		}
	}
	for range rng.IntN(8) {
		f.Tasks = append(f.Tasks, Task{Image: rng.IntN(3), Worker: rng.IntN(len(f.Workers)), Need: workload.Resources{CPU: 1000 * (1 + rng.IntN(8))}})
	}
	return f
}

// smallestCut is the least, over all sets of filling images, of the demand of the
// set and the room that is open to any of the other images: the greatest flow.
func smallestCut(f *Fleet) float64 {
	least := math.Inf(1)
	for set := range 1 << len(f.Demand) {
		sum := 0.0
		for i, d := range f.Demand {
			if set>>i&1 == 1 {
				sum += d
			}
		}
		for w, counts := range f.occupancy() {
			open := f.openTo(counts)
			for i := range f.Demand {
				if set>>i&1 == 0 && open[i] == 1 {
					sum += f.Workers[w].Room
					break
				}
			}
		}
		least = min(least, sum)
	}
	return least
}

func TestRunnableIsTheGreatestFlow(t *testing.T) {
	rng := rand.New(rand.NewPCG(6, 1))
	for range 2000 {
		f := smallFleet(rng)
		m := f.Measure()
		if want := smallestCut(f); math.Abs(m.Runnable-want) > 1 {
			t.Fatalf("%.0f is runnable, want %.0f: %+v", m.Runnable, want, f)
		}
		if m.Best < m.Runnable-1 || m.Best > min(m.Demand, m.Room)+1 {
			t.Fatalf("best %.0f of demand %.0f and room %.0f, %.0f runnable", m.Best, m.Demand, m.Room, m.Runnable)
		}
	}
}

// A draw that can't be served is known as such: all serving tasks are of one
// kind, on which most of the work presses. No layout helps, and the bound says so.
func TestBestShowsADrawThatCannotBeServed(t *testing.T) {
	cases := []struct {
		name           string
		images         [2]int
		runnable, best float64
	}{
		{"two kinds on each worker", [2]int{0, 1}, 0, 20000},
		{"one kind", [2]int{0, 0}, 10000, 10000},
	}
	for _, c := range cases {
		f := &Fleet{Workers: []Worker{{Room: 10000}, {Room: 10000}}, Presses: [][]float64{{1, 0}, {0, 1}}, Demand: []float64{50000, 10000}}
		for w := range f.Workers {
			for _, image := range c.images {
				f.Tasks = append(f.Tasks, Task{Image: image, Worker: w, Need: workload.Resources{CPU: 4000}})
			}
		}
		if m := f.Measure(); m.Runnable != c.runnable || m.Best != c.best {
			t.Errorf("%s: %.0f runnable, %.0f at best, want %.0f and %.0f", c.name, m.Runnable, m.Best, c.runnable, c.best)
		}
	}
}
