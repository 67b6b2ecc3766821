package scheduler

import (
	"encoding/json"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/structs/workload"
)

// Tables of the scheduler.
const (
	// JobsTable holds accepted jobs and cancellations, which entries write once.
	// Its partitions spread the writes of all entries.
	JobsTable = "jobs"
	// progressTable holds the progress of each job. Only the scheduler writes it,
	// in the partition that also holds the lease.
	progressTable = "progress"
	// partsTable holds the tasks of jobs whose progress does not fit into one row, in
	// the same partition.
	partsTable = "progress-parts"
	// learntTable holds the learnt weights and tail latencies of images.
	learntTable   = "learnt"
	leaseTable    = "scheduler"
	schedulerPart = "s"
)

// jobParts is the number of partitions for submissions. A partition executes
// one transaction at a time, in 8 ms. If the store is 70 times slower, 32
// partitions take 57 submissions a second, so that submissions rarely wait.
const jobParts = 32

// cancelSuffix marks the row of a job's cancellation.
const cancelSuffix = ".c"

var leaseKey = rowstore.Key{Table: leaseTable, Part: schedulerPart, Key: "lease"}

// leaseEndsKey addresses the row that a scheduler writes with the release of its
// lease.
var leaseEndsKey = rowstore.Key{Table: leaseTable, Part: schedulerPart, Key: "lease-ends"}

// JobKey addresses the row of an accepted job.
func JobKey(id workload.JobID) rowstore.Key {
	return rowstore.Key{Table: JobsTable, Part: jobPart(id), Key: string(id)}
}

// CancelKey addresses the row of a job's cancellation.
func CancelKey(id workload.JobID) rowstore.Key {
	return rowstore.Key{Table: JobsTable, Part: jobPart(id), Key: string(id) + cancelSuffix}
}

// ProgressKey addresses the row of a job's progress.
func ProgressKey(id workload.JobID) rowstore.Key {
	return rowstore.Key{Table: progressTable, Part: schedulerPart, Key: string(id)}
}

func jobPart(id workload.JobID) string {
	return strconv.Itoa(rowstore.Spread(string(id), jobParts))
}

func jobPartNames() []string {
	parts := make([]string, jobParts)
	for n := range parts {
		parts[n] = strconv.Itoa(n)
	}
	return parts
}

// splitJobKey returns a row's job, and whether the row is its cancellation.
func splitJobKey(key string) (id workload.JobID, cancel bool) {
	base, cancel := strings.CutSuffix(key, cancelSuffix)
	return workload.JobID(base), cancel
}

// leaseRow is the scheduler's lease. Each transaction of the commit loop renews
// the row, on the condition that the row's version is unchanged. So the row
// fences off an earlier scheduler, serves as the heartbeat, and shows whether a
// transaction without an answer was applied.
type leaseRow struct {
	Node string `json:"n"`
	// Process distinguishes two processes of one machine.
	Process string `json:"p"`
	Address string `json:"a"`
	// Count rises by 1 with each transaction of the term, from a random start.
	Count uint64 `json:"c"`
	// Epoch is the version of the write that took the lease; 0 in that write.
	Epoch uint64 `json:"e,omitempty"`
	// Released says that the scheduler has ended its term by itself.
	Released bool `json:"r,omitempty"`
	// Power is the processor power of the holder's machine, in cores.
	Power float64 `json:"w,omitempty"`
	// Successor is the one node that may take the lease within successorWait of
	// its release.
	Successor string `json:"h,omitempty"`
	// SentBy is the latest time that the store's clock could show when the write was
	// sent, in ms; 0 in a write of a version without it.
	SentBy int64 `json:"t,omitempty"`
}

// leaseEndsRow holds what a scheduler that releases its lease knows of the leases
// of workers. Times are in ms from before the row was sent.
type leaseEndsRow struct {
	// Epoch is that of the scheduler that wrote the row.
	Epoch uint64 `json:"e"`
	// Silent is the time left until the last lease of each worker expires that is
	// not in contact, Others a bound for all other workers.
	Silent map[workload.WorkerID]int64 `json:"s,omitempty"`
	Others int64                       `json:"o"`
}

// progressRow is the stored progress of a job.
type progressRow struct {
	State workload.State `json:"s"`
	// Seen is the time for which schedulers have seen the stored final state, in ms.
	Seen int64 `json:"z,omitempty"`
	// Retire is the version of the job's row if the row may be deleted, else 0.
	Retire uint64 `json:"x,omitempty"`
	// Next is the first occurrence that has not begun.
	Next int `json:"n,omitempty"`
	// NoRunSince is the time since which the job has had no run, in ms of the
	// store's clock. A job whose first run is not recorded has no row.
	NoRunSince  int64           `json:"i,omitempty"`
	Workers     []workerRef     `json:"w,omitempty"`
	Occurrences []occurrenceRow `json:"o,omitempty"`
	// Span is the number of tasks in a part, if the tasks are in parts. Live then
	// holds 1 plus the number of each live occurrence, by its slot, else 0.
	Span int   `json:"a,omitempty"`
	Live []int `json:"l,omitempty"`
}

type workerRef struct {
	Agent  string            `json:"a"`
	Worker workload.WorkerID `json:"w"`
}

type occurrenceRow struct {
	Number int       `json:"k,omitempty"`
	Steps  []stepRow `json:"s"`
}

// stepRow holds the done tasks as bits, and the other tasks that were ever
// placed as a list.
type stepRow struct {
	// The bits in Done begin at the task From; those before are in other rows.
	Done  []byte    `json:"d,omitempty"`
	From  int       `json:"a,omitempty"`
	Tasks []taskRow `json:"t,omitempty"`
	// Placed is the mean time from the job's acceptance to the placement of the runs on
	// record, in ms, while ends are forecast. A time for each run would double the
	// row.
	Placed int64 `json:"p,omitempty"`
}

type taskRow struct {
	Index int `json:"i,omitempty"`
	Run   int `json:"r"`
	Fails int `json:"f,omitempty"`
	// Crashes counts the workers that the task may have crashed, Certain the
	// crashes that no other job can have caused.
	Crashes int `json:"x,omitempty"`
	Certain int `json:"y,omitempty"`
	// Worker is 1 plus the index in progressRow.Workers of the run's worker; 0 if
	// the task is not placed.
	Worker     int    `json:"w,omitempty"`
	Checkpoint string `json:"c,omitempty"`
	// Worked is the working time of earlier runs, in ms, while ends are forecast.
	Worked int64 `json:"m,omitempty"`
}

func encode(v any) []byte {
	text, err := json.Marshal(v)
	if err != nil {
		// The types above always encode.
		panic(err)
	}
	return text
}

func decode(r rowstore.Row, into any) error {
	return eris.Wrapf(json.Unmarshal(r.Value, into), "row %s/%s", r.Key.Table, r.Key.Key)
}

// StoredState returns the state that a progress row shows of a job whose own row has
// the version job. A job without a progress row is queued, and so is one whose
// progress row is that of a deleted job of the same identifier.
func StoredState(row rowstore.Row, job uint64) (workload.State, error) {
	if row.Version == 0 {
		return workload.Queued, nil
	}
	var p progressRow
	err := decode(row, &p)
	if p.Retire != 0 && p.Retire != job {
		return workload.Queued, err
	}
	return p.State, err
}
