package placement

import (
	"testing"

	"persimmonrock.example/structs/workload"
)

var fullCapacity = workload.Resources{CPU: 16000, Memory: 64000}

func worker() Candidate {
	return Candidate{Capacity: fullCapacity, Free: fullCapacity, Rack: "r1", Labels: []string{"a", "r1"}}
}

func workerWith(f func(*Candidate)) Candidate {
	c := worker()
	f(&c)
	return c
}

func TestChoose(t *testing.T) {
	plain := workload.Step{Need: workload.Resources{CPU: 2000, Memory: 1000}}
	fills := plain
	fills.Fills = true
	fills.Image = "f"
	serves := plain
	serves.TailTarget = 1
	labelled := plain
	labelled.Label = "gold"
	spread := plain
	spread.Spread = 2
	near := plain
	near.DataRack = "r2"
	full := workerWith(func(c *Candidate) { c.Free = workload.Resources{CPU: 1000, Memory: 64000} })
	half := workerWith(func(c *Candidate) { c.Free.CPU = 8000 })
	cases := []struct {
		name    string
		step    workload.Step
		avoid   int
		workers []Candidate
		want    int
	}{
		{"no worker", plain, -1, nil, -1},
		{"no capacity", plain, -1, []Candidate{full}, -1},
		{"no memory", plain, -1, []Candidate{workerWith(func(c *Candidate) { c.Free.Memory = 10 })}, -1},
		{"the emptiest", plain, -1, []Candidate{half, worker()}, 1},
		{"not a barred one", plain, -1, []Candidate{half, workerWith(func(c *Candidate) { c.Barred = true })}, 0},
		{"label", labelled, -1, []Candidate{worker()}, -1},
		{"label found", labelled, -1, []Candidate{worker(), workerWith(func(c *Candidate) { c.Labels = []string{"gold"} })}, 1},
		{"spread", spread, -1, []Candidate{workerWith(func(c *Candidate) { c.OfStep = 2 })}, -1},
		{"near its data", near, -1, []Candidate{worker(), workerWith(func(c *Candidate) { c.Rack = "r2"; c.Free.CPU = 3000 })}, 1},
		{"a suspect one last", plain, -1, []Candidate{workerWith(func(c *Candidate) { c.Suspect = true }), half}, 1},
		{"a suspect one if no other fits", plain, -1, []Candidate{workerWith(func(c *Candidate) { c.Suspect = true }), full}, 0},
		{"not where it failed", plain, 0, []Candidate{worker(), half}, 1},
		{"serving tasks together", serves, -1, []Candidate{worker(), workerWith(func(c *Candidate) { c.Serving = 2; c.Free.CPU = 6000 })}, 1},
		{"serving tasks by image", serves, -1, []Candidate{
			workerWith(func(c *Candidate) { c.Serving = 2; c.Mix = 1 }), workerWith(func(c *Candidate) { c.Serving = 2; c.SameImage = true }),
		}, 1},
		{"others beside serving tasks", plain, -1, []Candidate{worker(), workerWith(func(c *Candidate) { c.Serving = 1; c.Free.CPU = 9000 })}, 1},
		{"filling work needs no reserved capacity", fills, -1, []Candidate{workerWith(func(c *Candidate) { c.Free.CPU = 0; c.Leftover = 7200 })}, 0},
		{"but unused processor time", fills, -1, []Candidate{workerWith(func(c *Candidate) { c.Free.CPU = 0; c.Leftover = 7200; c.FillLoad = 7000 })}, -1},
		{"filling work away from what it presses on", fills, -1, []Candidate{
			workerWith(func(c *Candidate) { c.Serving = 2; c.Pressed = 0.4 }), workerWith(func(c *Candidate) { c.Serving = 2; c.FillLoad = 8000 }),
		}, 1},
	}
	for _, c := range cases {
		if got := Choose(Request{Step: &c.step, Avoid: c.avoid}, c.workers); got != c.want {
			t.Errorf("%s: worker %d, want %d", c.name, got, c.want)
		}
	}
}

// In the largest supported fleet, 1,000 workers, one placement must take less than
// 20 µs.
func BenchmarkChoose(b *testing.B) {
	workers := make([]Candidate, 1000)
	for i := range workers {
		workers[i] = worker()
		workers[i].Free.CPU = (i * 7919) % 16000
		workers[i].Serving = i % 3
	}
	step := workload.Step{Need: workload.Resources{CPU: 2000, Memory: 1000}}
	r := Request{Step: &step, Avoid: -1}
	b.ReportAllocs()
	for b.Loop() {
		Choose(r, workers)
	}
}
