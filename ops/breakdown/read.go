package breakdown

import (
	"encoding/json"
	"io"
	"strconv"
	"strings"

	"persimmonrock.example/ops/logs"
	"persimmonrock.example/ops/logtime"
)

// line holds the fields read from a structured line; times are in milliseconds.
type line struct {
	stamp     logtime.Stamp
	Time      float64 `json:"time"`
	Process   string  `json:"process"`
	Message   string  `json:"message"`
	Job       string  `json:"job"`
	Run       string  `json:"run"`
	Image     string  `json:"image"`
	How       string  `json:"how"`
	State     string  `json:"state"`
	Fills     bool    `json:"fills"`
	CPU       float64 `json:"cpu"`
	Pace      float64 `json:"pace"`
	Objective float64 `json:"objective"`
	Over      float64 `json:"over"`
	Filled    bool    `json:"filled"`
	// Checkpoint reports whether the run left a checkpoint at its end.
	Checkpoint bool `json:"checkpoint"`
	// Ran is set only in a scheduler's line about a run's end.
	Ran *float64 `json:"ran"`
	// Placements lists the placed runs of the step that Occurrence and Step
	// name; see logs.PlacedRun.
	Occurrence int      `json:"occurrence"`
	Step       int      `json:"step"`
	Placements []string `json:"placements"`
	// These are set in the lines about passed over tasks.
	Main         string `json:"main"`
	WorkersOpen  int    `json:"workers_open"`
	TasksWaiting int    `json:"tasks_waiting"`
	TasksPaused  int    `json:"tasks_paused"`
	TasksMoving  int    `json:"tasks_moving"`
	TasksSuspect int    `json:"tasks_suspect"`
	// These are set in the lines about the layout; all CPU is in thousandths of a
	// core.
	Service  string  `json:"service"`
	Demand   float64 `json:"demand_cpu"`
	Room     float64 `json:"room_cpu"`
	Runnable float64 `json:"runnable_cpu"`
	Best     float64 `json:"best_cpu"`
	Running  float64 `json:"running_cpu"`
	// Kinds counts the lines that a process left out, by message.
	Kinds map[string]int `json:"kinds"`
}

// Read adds the lines of one log file; files may come in any order.
func (l *Log) Read(r io.Reader) error {
	return logs.EachObject(r, func(object []byte) {
		var parsed line
		stamp, ok := l.clocks.Read(object)
		if ok && json.Unmarshal(object, &parsed) == nil {
			parsed.stamp = stamp
			l.lines = append(l.lines, parsed)
		}
	})
}

// runName is a parsed run name: JOB.OCCURRENCE.STEP.INDEX#RUN.
type runName struct {
	job  string
	step int
	task string
}

func parseRun(name string) (runName, bool) {
	task, _, ok := strings.Cut(name, "#")
	parts := strings.Split(task, ".")
	if !ok || len(parts) != 4 {
		return runName{}, false
	}
	step, err := strconv.Atoi(parts[2])
	if err != nil {
		return runName{}, false
	}
	return runName{job: parts[0], step: step, task: task}, true
}
