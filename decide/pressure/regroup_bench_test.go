package pressure

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"persimmonrock.example/structs/workload"
)

// A scheduler of 73 workers with 440 serving tasks of ten images regroups two
// or three times a second. If each difference is computed from the likelihoods
// of eighteen filling images when needed, a pass takes 163 ms and delays short
// jobs; from mean weights 49 ms, and with cached differences 14 ms (one after
// the other, beside other work). With numbered images, four moves per pass are
// found in 7.8 ms.
func BenchmarkRegroup(b *testing.B) {
	const workers, images = 73, 10
	rng := rand.New(rand.NewPCG(1, 2))
	var m Model
	for s := range images {
		for f := range 18 {
			observe(&m, fmt.Sprint("s", s), fmt.Sprint("f", f), 1.5*float64((s+f)%2))
		}
	}
	m.Solve(time.Second)
	var tasks []Task
	free := make([]workload.Resources, workers)
	for w := range free {
		free[w] = resources(rng.IntN(4))
		for range 6 {
			tasks = append(tasks, serve(fmt.Sprint("s", rng.IntN(images)), w))
		}
	}
	difference := func(x, y string) float64 {
		d, _ := m.Difference(x, y)
		return d
	}
	for pass := 0; b.Loop(); pass++ {
		Regroup(tasks, free, difference, pass, 4)
	}
}
