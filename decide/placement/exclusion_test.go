package placement

import (
	"math/rand/v2"
	"testing"

	"persimmonrock.example/structs/workload"
)

func randomCandidate(rng *rand.Rand) Candidate {
	c := Candidate{
		Capacity: workload.Resources{CPU: 8000 * (1 + rng.IntN(3)), Memory: 32000, GPU: rng.IntN(2)},
		Held:     workload.Resources{CPU: 1000 * rng.IntN(4)}, Leftover: 1000 * rng.IntN(4), FillLoad: 1000 * rng.IntN(6),
		OfStep: rng.IntN(3), LastingOnly: rng.IntN(6) == 0, Barred: rng.IntN(4) == 0, BarredBy: Cause(rng.IntN(int(Causes))),
	}
	c.Free = workload.Resources{CPU: rng.IntN(c.Capacity.CPU + 1), Memory: rng.IntN(c.Capacity.Memory + 1), GPU: rng.IntN(c.Capacity.GPU + 1)}
	if rng.IntN(2) == 0 {
		c.Labels = []string{"a", "r1"}
	}
	return c
}

func randomRequest(rng *rand.Rand, workers int) Request {
	s := &workload.Step{
		Need:  workload.Resources{CPU: 1000 * rng.IntN(12), Memory: 1000 * rng.IntN(24), GPU: rng.IntN(3) / 2},
		Fills: rng.IntN(2) == 0, Lasting: rng.IntN(3) == 0, Spread: rng.IntN(3),
	}
	if rng.IntN(3) == 0 {
		s.Label = "a"
	}
	return Request{Step: s, Avoid: rng.IntN(workers+1) - 1, ExcludeAvoid: rng.IntN(3) == 0}
}

// Guards against a diagnosis that names causes for a task which could be placed,
// or none for a task that is passed over.
func TestEveryWorkerIsExcludedExactlyIfNoneIsChosen(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 7))
	placed, passedOver := 0, 0
	for range 20000 {
		workers := make([]Candidate, 1+rng.IntN(4))
		for i := range workers {
			workers[i] = randomCandidate(rng)
		}
		r := randomRequest(rng, len(workers))
		n, e := Choose(r, workers), Explain(r, workers)
		if (n < 0) != (e.Open == 0) {
			t.Fatalf("chosen %d, %d workers open: %+v of %+v", n, e.Open, r, workers)
		}
		sum := e.Open
		for _, k := range e.Workers {
			sum += k
		}
		if sum != len(workers) {
			t.Fatalf("%d of %d workers classified", sum, len(workers))
		}
		if n >= 0 {
			placed++
			if Exclusions(r, n, &workers[n]) != 0 {
				t.Fatalf("the chosen worker %d is excluded: %+v", n, workers[n])
			}
			continue
		}
		passedOver++
	}
	if placed < 1000 || passedOver < 1000 {
		t.Errorf("%d cases with a worker, %d without", placed, passedOver)
	}
}

func TestExplainNamesTheCauseThatAloneExcludesMost(t *testing.T) {
	fills := workload.Step{Need: workload.Resources{CPU: 4000, Memory: 1000}, Fills: true}
	full := workerWith(func(c *Candidate) { c.FillLoad = 14000 })
	fullAndBarred := workerWith(func(c *Candidate) { c.FillLoad, c.Barred, c.BarredBy = 14000, true, Pressing })
	barred := workerWith(func(c *Candidate) { c.Barred, c.BarredBy = true, Pressing })
	held := workerWith(func(c *Candidate) { c.Free, c.Held = workload.Resources{CPU: 16000}, workload.Resources{Memory: 2000} })
	cases := []struct {
		name    string
		workers []Candidate
		want    Cause
	}{
		{"no worker", nil, NotReady},
		{"filling room is used up", []Candidate{full, full, barred}, FillingFull},
		{"only the bars keep free room from use", []Candidate{fullAndBarred, fullAndBarred, fullAndBarred, barred}, Pressing},
		{"several causes on each worker", []Candidate{fullAndBarred}, FillingFull},
		{"held for another task", []Candidate{held}, HeldForOthers},
	}
	for _, c := range cases {
		e := Explain(Request{Step: &fills, Avoid: -1}, c.workers)
		if got := e.Main(); got != c.want || e.Open != 0 {
			t.Errorf("%s: %s, %d open, want %s", c.name, got, e.Open, c.want)
		}
	}
}
