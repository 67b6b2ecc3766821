package logs

import (
	"fmt"
	"strconv"
	"strings"
)

// PlacedRun is one of the runs in the line of a step's placements.
type PlacedRun struct {
	// Index is the task's index within its step, Run the number of its run.
	Index  int
	Run    int
	Worker string
}

// String returns the form used in the line: INDEX#RUN@WORKER.
func (p PlacedRun) String() string {
	return strconv.Itoa(p.Index) + "#" + strconv.Itoa(p.Run) + "@" + p.Worker
}

// Name returns the run's full name.
func (p PlacedRun) Name(job string, occurrence, step int) string {
	return fmt.Sprintf("%s.%d.%d.%d#%d", job, occurrence, step, p.Index, p.Run)
}

// ParsePlacedRun parses the result of String.
func ParsePlacedRun(text string) (PlacedRun, bool) {
	numbers, worker, hasWorker := strings.Cut(text, "@")
	index, run, hasRun := strings.Cut(numbers, "#")
	p := PlacedRun{Worker: worker}
	var indexErr, runErr error
	p.Index, indexErr = strconv.Atoi(index)
	p.Run, runErr = strconv.Atoi(run)
	return p, hasWorker && hasRun && indexErr == nil && runErr == nil
}
