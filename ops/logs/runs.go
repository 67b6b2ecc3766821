package logs

import (
	"fmt"
	"strconv"
	"strings"
)

// PlacedRun is one of the runs that a line of a step's placements lists.
type PlacedRun struct {
	// Index is the task's within its step, Run its run's number.
	Index  int
	Run    int
	Worker string
}

// String is the run as the line has it: INDEX#RUN@WORKER.
func (p PlacedRun) String() string {
	return strconv.Itoa(p.Index) + "#" + strconv.Itoa(p.Run) + "@" + p.Worker
}

// Name is the run's whole name.
func (p PlacedRun) Name(job string, occurrence, step int) string {
	return fmt.Sprintf("%s.%d.%d.%d#%d", job, occurrence, step, p.Index, p.Run)
}

// ParsePlacedRun reads what String gives.
func ParsePlacedRun(text string) (PlacedRun, bool) {
	numbers, worker, ok := strings.Cut(text, "@")
	index, run, okay := strings.Cut(numbers, "#")
	p := PlacedRun{Worker: worker}
	var indexErr, runErr error
	p.Index, indexErr = strconv.Atoi(index)
	p.Run, runErr = strconv.Atoi(run)
	return p, ok && okay && indexErr == nil && runErr == nil
}
