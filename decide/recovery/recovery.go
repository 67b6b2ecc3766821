// Package recovery decides where tasks return after most workers were lost at
// once, as when all machines lose power.
package recovery

import "time"

const (
	// returnWithin is the time after its worker was replaced, or after it lost its
	// run, within which a machine or a task counts as returning.
	returnWithin = 3 * time.Second
	// massShare is the share of replaced workers above which a loss is that of most
	// workers. A new scheduler judges by the workers that it has heard of: while
	// these are few, there is hardly another place for a task.
	massShare = 0.5
)

// Worker is a worker that is alive.
type Worker struct {
	Machine string
	// ReplacedAt is when the worker replaced one on the same machine that was lost
	// with its runs; 0 if it did not.
	ReplacedAt time.Duration
}

// Lost is the loss of a lasting task's run with its worker.
type Lost struct {
	Machine string
	At      time.Duration
}

// Fleet is the state of all workers at one time.
type Fleet struct {
	now  time.Duration
	mass bool
	// returned indexes the returned workers by machine.
	returned map[string]int
}

// NewFleet judges the workers at now.
func NewFleet(workers []Worker, now time.Duration) Fleet {
	f := Fleet{now: now, returned: map[string]int{}}
	for i, w := range workers {
		if w.ReplacedAt > 0 && now-w.ReplacedAt <= returnWithin {
			f.returned[w.Machine] = i
		}
	}
	f.mass = float64(len(f.returned)) > massShare*float64(len(workers))
	return f
}

// Mass reports whether most workers were lost at once and have returned.
func (f *Fleet) Mass() bool { return f.mass }

// Home returns the index of the worker to which a task is to return, or -1 if it
// may run anywhere. After the loss of one machine, its tasks run elsewhere: the
// machine may be the cause. After the loss of most, the former places are the best
// that are known: which tasks share a worker was found out over time.
func (f *Fleet) Home(l Lost) int {
	if !f.mass || l.Machine == "" || f.now-l.At > returnWithin {
		return -1
	}
	if i, ok := f.returned[l.Machine]; ok {
		return i
	}
	return -1
}
