package structs

// JobState is the state of a batch job.
type JobState string

// The states of a job. Done, Failed, Cancelled and Parked are final, except
// that an operator may release a parked job.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobDone      JobState = "done"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	JobParked    JobState = "parked"
)

// Final reports whether a job in state s never runs again unless released.
func (s JobState) Final() bool {
	return s == JobDone || s == JobFailed || s == JobCancelled || s == JobParked
}

// Resources is an amount of each limited resource of an instance.
type Resources struct {
	Slots        int   `json:"slots"`
	MilliCores   int   `json:"milli_cores,omitempty"`
	MemoryBytes  int64 `json:"memory_bytes,omitempty"`
	Accelerators int   `json:"accelerators,omitempty"`
	Connections  int   `json:"connections,omitempty"`
}

// JobSpec describes a job as the customer submits it.
type JobSpec struct {
	Kind Kind `json:"kind"`
	// Declared is the size that the customer states; it may be far off.
	Declared Resources `json:"declared"`
	// Runtime is the customer's estimate of the run time; zero if unknown.
	Runtime Duration `json:"runtime,omitempty"`
	// Payload is passed to the task uninterpreted.
	Payload []byte `json:"payload,omitempty"`
}

// Job is one row of the table service under key JobKey. Every change is a
// transaction that is conditional on the row's version and on the epoch of
// the shard's owner.
type Job struct {
	ID       JobID    `json:"id"`
	Customer Customer `json:"customer"`
	Shard    ShardID  `json:"shard"`
	Spec     JobSpec  `json:"spec"`
	State    JobState `json:"state"`
	// Epoch increases with each claim. A result that carries another epoch is
	// refused, so that a holder that lost its lease can't store a result.
	Epoch Epoch `json:"epoch"`
	// Instance and Incarnation name the agent lease that covers a running task.
	Instance    InstanceID  `json:"instance,omitempty"`
	Incarnation Incarnation `json:"incarnation,omitempty"`
	// Checkpoint is the object key from which the next run resumes, or "".
	Checkpoint string `json:"checkpoint,omitempty"`
	// Result is the object key of the result of a done job.
	Result string `json:"result,omitempty"`
	// Reason explains to people why the job waits, failed or is parked.
	Reason string `json:"reason,omitempty"`
	// Evictions counts the claims that ended evicted, cancelled or lost.
	Evictions int `json:"evictions,omitempty"`
	// Failures counts runs that ended in an error of the task itself.
	Failures int `json:"failures,omitempty"`
	// CancelRequested is set while a cancelled job's task is being stopped.
	CancelRequested bool `json:"cancel_requested,omitempty"`
	// Submitted orders jobs within one customer; the shard's owner assigns it.
	Submitted uint64 `json:"submitted,omitempty"`
	// Ended is the epoch in which the job became final, or 0 if not recorded.
	Ended RetentionEpoch `json:"ended,omitempty"`
}
