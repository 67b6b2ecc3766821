// Package layout decides which serving images share workers.
//
// A filling image does not run on a worker where it presses on a serving image.
// Serving images that different filling images press on, on one worker, leave
// room there that hardly any filling work may use. This package measures how
// much of the filling work could run for a distribution of the serving tasks,
// how much could run at best, and which moves of serving tasks gain most.
package layout

import "persimmonrock.example/structs/workload"

// Fleet is a snapshot of the workers of one service, their serving tasks, and
// the filling work that waits and runs. All CPU is in thousandths of a core.
type Fleet struct {
	Workers []Worker
	Tasks   []Task
	// Presses is the probability that a filling image (second index) presses on a
	// serving image (first index) so much that it does not run beside it.
	Presses [][]float64
	// Demand is the CPU that each filling image asks for.
	Demand []float64
	// Weight is, for each filling image, the CPU by which the layout is chosen: that
	// of Demand and of work that is expected.
	Weight []float64
}

// Worker is one worker.
type Worker struct {
	// Free is the capacity that no task has reserved.
	Free workload.Resources
	// Room is the CPU that filling work may use, whether it does or not.
	Room float64
}

// Task is one serving task.
type Task struct {
	// Image is an index of Fleet.Presses.
	Image int
	// Step identifies the task's step; at most one task of a step moves in a pass.
	Step int
	// Worker is the index of the task's worker.
	Worker int
	Need   workload.Resources
	// Fixed tasks may not move now. Stuck tasks may never move.
	Fixed, Stuck bool
	// Barred reports whether a worker is excluded for the task, besides those
	// without capacity; nil bars none.
	Barred func(worker int) bool
}

// barredBy is the probability from which a filling image counts as barred by a
// serving image. Pairs of which nothing is known run together.
const barredBy = 0.5

// occupancy counts the tasks of each serving image on each worker.
type occupancy [][]int

func (f *Fleet) occupancy() occupancy {
	o := make(occupancy, len(f.Workers))
	cells := make([]int, len(f.Workers)*len(f.Presses))
	for w := range o {
		o[w], cells = cells[:len(f.Presses):len(f.Presses)], cells[len(f.Presses):]
	}
	for i := range f.Tasks {
		o[f.Tasks[i].Worker][f.Tasks[i].Image]++
	}
	return o
}
