package decide

import (
	"slices"
	"time"

	"persimmonrock.example/structs"
)

// Tuning of Sizes.
const (
	sizeSamples = 32
	minSizeRuns = 4
	// Lack of memory kills a task, so the estimate of memory is conservative.
	// Processors are shared: a few tasks together use about the median each.
	memoryQuantile  = 0.95
	coreQuantile    = 0.5
	runtimeQuantile = 0.95
	memoryMargin    = 1.10
	maxSizeRows     = 16_384
	maxMemory       = int64(1) << 50
	maxMilliCores   = 1 << 24
	maxRuntime      = 366 * 24 * time.Hour
)

type sizeKey struct {
	customer structs.Customer
	kind     structs.Kind
}

// ring holds the last sizeSamples values and a sorted copy of them, so that
// reading a quantile needs no sort.
type ring struct {
	values, sorted [sizeSamples]int64
	count, next    int
}

func (r *ring) add(v int64) {
	r.values[r.next] = v
	r.next = (r.next + 1) % sizeSamples
	r.count = min(r.count+1, sizeSamples)
	copy(r.sorted[:r.count], r.values[:r.count])
	slices.Sort(r.sorted[:r.count])
}

func (r *ring) quantile(q float64) int64 {
	if r.count == 0 {
		return 0
	}
	return r.sorted[min(int(q*float64(r.count)), r.count-1)]
}

type sizeRow struct {
	memory, cores, runtime ring
}

// Sizes learns the real use of jobs, per customer and kind: declared sizes are
// far off in both directions. The zero value is ready for use.
type Sizes struct {
	rows    map[sizeKey]*sizeRow
	dropped uint64
}

// Dropped returns the number of measurements dropped for negative or absurd
// values or for lack of a free row.
func (s *Sizes) Dropped() uint64 { return s.dropped }

// Observe records the peak use and the duration of one run; unknown values are 0.
// Callers must pass only runs that completed or that used more than expected.
// Observe returns false if it drops the measurement.
func (s *Sizes) Observe(c structs.Customer, k structs.Kind, used structs.Resources, ran time.Duration) bool {
	bad := !nonNegative(used) || used.MemoryBytes > maxMemory || used.MilliCores > maxMilliCores ||
		ran < 0 || ran > maxRuntime || k == ""
	if bad {
		s.dropped++
		return false
	}
	row := s.row(sizeKey{c, k})
	if row == nil {
		s.dropped++
		return false
	}
	if used.MemoryBytes > 0 {
		row.memory.add(used.MemoryBytes)
	}
	if used.MilliCores > 0 {
		row.cores.add(int64(used.MilliCores))
	}
	if ran > 0 {
		row.runtime.add(int64(ran))
	}
	return true
}

func (s *Sizes) row(k sizeKey) *sizeRow {
	if r := s.rows[k]; r != nil {
		return r
	}
	if s.rows == nil {
		s.rows = make(map[sizeKey]*sizeRow)
	}
	if len(s.rows) >= maxSizeRows {
		return nil
	}
	r := &sizeRow{}
	s.rows[k] = r
	return r
}

// Estimate returns the expected use and run time of a job. After minSizeRuns runs
// these are the 95th percentile of memory plus a margin, the median of processor
// use and the 95th percentile of run time. Before that, they are the declared
// values, but memory is at least the most that a run used plus the margin. Slots,
// accelerators and connections are as declared, since they are allocated whole.
func (s *Sizes) Estimate(c structs.Customer, k structs.Kind, declared structs.Resources, runtime time.Duration) (structs.Resources, time.Duration) {
	r := s.rows[sizeKey{c, k}]
	if r == nil {
		return declared, runtime
	}
	if n := r.memory.count; n > 0 && n < minSizeRuns {
		// One run proves a declared size too small; only several prove it too
		// large.
		most := r.memory.sorted[n-1]
		declared.MemoryBytes = max(declared.MemoryBytes, int64(memoryMargin*float64(most)))
	}
	if r.memory.count >= minSizeRuns {
		declared.MemoryBytes = int64(memoryMargin * float64(r.memory.quantile(memoryQuantile)))
	}
	if r.cores.count >= minSizeRuns {
		declared.MilliCores = int(r.cores.quantile(coreQuantile))
	}
	if r.runtime.count >= minSizeRuns {
		runtime = time.Duration(r.runtime.quantile(runtimeQuantile))
	}
	return declared, runtime
}
