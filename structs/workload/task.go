package workload

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// TaskID names one task of one occurrence of a job.
type TaskID struct {
	Job        JobID
	Occurrence int
	Step       int
	Index      int
}

// String gives the task's name, JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// taskNameParts is the number of parts of a task's name.
const taskNameParts = 4

// ParseTaskID reads what String gives.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != taskNameParts {
		return TaskID{}, fmt.Errorf("task name %q has %d parts, not %d", s, len(parts), taskNameParts)
	}
	var numbers [taskNameParts - 1]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task name %q: part %d is no number", s, i+1)
		}
		numbers[i] = n
	}
	return TaskID{Job: JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// RunID names one start of a task. Run numbers of a task start at 1 and rise.
type RunID struct {
	Task TaskID
	Run  int
}

// String gives the run for logs.
func (r RunID) String() string {
	return r.Task.String() + "#" + strconv.Itoa(r.Run)
}

// EndKind says how a run ended.
type EndKind string

// The ways in which a run ends.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	EndBroken  EndKind = "broken"
	EndAlone   EndKind = "alone"
)

// End is one end that a worker lists.
type End struct {
	// Number counts the ends of one life of a worker, from 1.
	Number uint64
	Run    RunID
	Kind   EndKind
	// Checkpoint is what the run saved; empty if nothing.
	Checkpoint string
	// Worked is how long the run worked, counted as if at full speed; 0 if it
	// is not known.
	Worked time.Duration
}

// WorkerID names one life of the worker beside an agent.
type WorkerID string

// Worker is what a worker says of itself.
type Worker struct {
	ID         WorkerID  `json:"i"`
	Service    string    `json:"s"`
	DataCentre string    `json:"d,omitempty"`
	Labels     []string  `json:"l,omitempty"`
	Capacity   Resources `json:"r"`
	Draining   bool      `json:"x,omitempty"`
}

// HasLabel reports whether the worker carries the label; each worker carries
// the empty one.
func (w Worker) HasLabel(label string) bool {
	if label == "" {
		return true
	}
	for _, l := range w.Labels {
		if l == label {
			return true
		}
	}
	return false
}
