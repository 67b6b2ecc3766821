// Package workload defines the types of jobs made of steps: what a client
// submits, the workers and runs, and the ends of runs.
package workload

import "time"

// JobID is the identifier that the client chose for its job.
type JobID string

// Resources is an amount that a worker offers or a task uses.
type Resources struct {
	// CPU is in thousandths of a core.
	CPU int `json:"c,omitempty"`
	// Memory is in megabytes.
	Memory int `json:"m,omitempty"`
	// GPU counts accelerators.
	GPU int `json:"g,omitempty"`
}

// Add returns the sum of both amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPU: r.CPU + o.CPU, Memory: r.Memory + o.Memory, GPU: r.GPU + o.GPU}
}

// Sub returns r less o; fields may become negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPU: r.CPU - o.CPU, Memory: r.Memory - o.Memory, GPU: r.GPU - o.GPU}
}

// Fits reports whether free has at least the amounts of r.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.GPU <= free.GPU
}

// Step is one step of a job: Count tasks of the same kind.
type Step struct {
	Count int       `json:"n"`
	Need  Resources `json:"r"`
	// Estimate is the client's rough estimate of a task's run time.
	Estimate time.Duration `json:"e,omitempty"`
	// After lists earlier steps all of whose tasks must be done first.
	After []int `json:"a,omitempty"`
	// Checkpointing tasks save their progress and resume from it.
	Checkpointing bool `json:"k,omitempty"`
	// Gang tasks work only together, at the same time and with one run number.
	Gang bool `json:"g,omitempty"`
	// Coupled tasks slow down when they span racks.
	Coupled bool `json:"t,omitempty"`
	// Label must be among the worker's labels, if Label is set.
	Label string `json:"l,omitempty"`
	// DataRack is the rack that holds the step's data, if any.
	DataRack string `json:"d,omitempty"`
	// Spread is the maximum number of the step's tasks per worker; 0 is no
	// limit.
	Spread int `json:"s,omitempty"`
	// Copies allows several runs of one task at a time.
	Copies bool `json:"y,omitempty"`
	// Lasting tasks run until the job is cancelled and restart after any end.
	Lasting bool `json:"o,omitempty"`
	// Image names the program; tasks of one image behave alike.
	Image string `json:"i,omitempty"`
	// TailTarget is the bound on a lasting task's tail latency; 0 is none.
	TailTarget time.Duration `json:"x,omitempty"`
	// Fills marks filling tasks: they use processor time that other tasks leave
	// unused, and their CPU is not counted against the worker's capacity.
	Fills bool `json:"f,omitempty"`
	// MayMiss bounds the lasting tasks that a drain moves at a time; 0 means 1.
	MayMiss int `json:"z,omitempty"`
}

// Reserved returns the amount of a worker's capacity that one task occupies.
func (s Step) Reserved() Resources {
	if s.Fills {
		return Resources{Memory: s.Need.Memory, GPU: s.Need.GPU}
	}
	return s.Need
}

// Repeat describes a job whose steps run several times.
type Repeat struct {
	// Count is the number of occurrences; 0 means one immediate run.
	Count int `json:"n,omitempty"`
	// First is the due time of occurrence 0, in milliseconds since 1970.
	First int64 `json:"f,omitempty"`
	// Interval is the time between due times, in milliseconds.
	Interval int64 `json:"i,omitempty"`
}

// Due returns the time before which occurrence k may not start.
func (r Repeat) Due(k int) time.Time {
	return time.UnixMilli(r.First + int64(k)*r.Interval)
}

// Job is an accepted job as the store holds it. It is immutable.
type Job struct {
	ID JobID `json:"id"`
	// Queue is the queue as configured when the job was accepted.
	Queue Queue `json:"q"`
	// Payload is passed to each task unchanged.
	Payload string `json:"p"`
	Steps   []Step `json:"s"`
	Repeat  Repeat `json:"r,omitzero"`
	// Accepted is the time of acceptance by the store's clock, in milliseconds.
	Accepted int64 `json:"at"`
}

// Occurrences returns the number of times that the steps run.
func (j Job) Occurrences() int {
	if j.Repeat.Count > 0 {
		return j.Repeat.Count
	}
	return 1
}

// Tasks returns the number of tasks of one occurrence.
func (j *Job) Tasks() int {
	tasks := 0
	for i := range j.Steps {
		tasks += j.Steps[i].Count
	}
	return tasks
}

// State is the state of a job as clients see it.
type State string

// The states of a job.
const (
	Queued    State = "queued"
	Running   State = "running"
	Completed State = "completed"
	Failed    State = "failed"
	Cancelled State = "cancelled"
)

// Known reports whether the state is one of those above.
func (s State) Known() bool { return s == Queued || s == Running || s.Final() }

// Final reports whether the state never changes again.
func (s State) Final() bool {
	return s == Completed || s == Failed || s == Cancelled
}
