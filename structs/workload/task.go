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

// String returns the task's name, JOB.OCCURRENCE.STEP.INDEX.
func (t TaskID) String() string {
	return string(t.Job) + "." + strconv.Itoa(t.Occurrence) + "." + strconv.Itoa(t.Step) + "." + strconv.Itoa(t.Index)
}

// taskNameParts is the number of parts of a task's name.
const taskNameParts = 4

// ParseTaskID parses a name that String returned.
func ParseTaskID(s string) (TaskID, error) {
	parts := strings.Split(s, ".")
	if len(parts) != taskNameParts {
		return TaskID{}, fmt.Errorf("task name %q has %d parts, not %d", s, len(parts), taskNameParts)
	}
	var numbers [taskNameParts - 1]int
	for i := range numbers {
		n, err := strconv.Atoi(parts[i+1])
		if err != nil || n < 0 {
			return TaskID{}, fmt.Errorf("task name %q: part %d is not a number", s, i+1)
		}
		numbers[i] = n
	}
	return TaskID{Job: JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Index: numbers[2]}, nil
}

// RunID names one start of a task. A task's run numbers increase from 1.
type RunID struct {
	Task TaskID
	Run  int
}

// String returns the run's name for logs.
func (r RunID) String() string {
	return r.Task.String() + "#" + strconv.Itoa(r.Run)
}

// EndKind is the way in which a run ended.
type EndKind string

// The ways in which a run ends. EndLapsed: the worker's lease expired.
// EndBroken: the gang lost a member. EndAlone: the run waited in vain for its
// gang.
const (
	EndDone    EndKind = "done"
	EndFailed  EndKind = "failed"
	EndStopped EndKind = "stopped"
	EndLapsed  EndKind = "lapsed"
	EndBroken  EndKind = "broken"
	EndAlone   EndKind = "alone"
)

// End is the end of one run, as its worker lists it.
type End struct {
	// Number counts the ended runs of one worker incarnation, from 1.
	Number uint64
	Run    RunID
	Kind   EndKind
	// Checkpoint identifies the progress that the run saved; empty if none.
	Checkpoint string
	// Worked is the run's working time, converted to full speed; 0 if unknown.
	Worked time.Duration
}

// WorkerID names one incarnation of the worker beside an agent.
type WorkerID string

// Worker describes a worker as the worker itself reports it.
type Worker struct {
	ID         WorkerID  `json:"i"`
	Service    string    `json:"s"`
	DataCentre string    `json:"d,omitempty"`
	Labels     []string  `json:"l,omitempty"`
	Capacity   Resources `json:"r"`
	Draining   bool      `json:"x,omitempty"`
}

// HasLabel reports whether the worker has the label. Every worker has the empty
// label.
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
