package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/ops/breakdown"
	"persimmonrock.example/ops/logs"
	"persimmonrock.example/ops/logtime"
)

// explainCommand returns the command that traces a job. It reads the log files
// of all processes, since an engineer has no other source.
func explainCommand() command {
	return command{"explain", "print the story of a job from the log files of all processes", runExplain}
}

const explainUsage = `Print what all processes logged of a job, a task or a run, in the order of time.

    persimmonrock explain 5c0e7a21d94b36f8 entry-1.log entry-2.log agent-*.log
    cat *.log | persimmonrock explain 5c0e7a21d94b36f8.0.1.17

With -summary, tell where the time of all jobs with filling work went: at
work, waiting for a worker, paced down beside serving tasks, run again.

    persimmonrock explain -summary entry-*.log agent-*.log

Lines are put in order by each process's steady clock and by what processes tell
of each other, not by wall clocks, which may jump. A time marked ~ is that of a
process that nothing but its wall clock places.
`

func runExplain(_ context.Context, args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("explain", flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.Usage = func() { fmt.Fprint(stderr, explainUsage) }
	summary := flags.Bool("summary", false, "sum up all jobs with filling work")
	if err := flags.Parse(args); err != nil {
		return exitUsage
	}
	if *summary {
		return runSummary(flags.Args(), stdout, stderr)
	}
	if flags.NArg() == 0 {
		flags.Usage()
		return exitUsage
	}
	lines, gaps, err := readHistory(flags.Arg(0), flags.Args()[1:])
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitError
	}
	if len(lines) == 0 {
		fmt.Fprintf(stderr, "no line names %s\n", flags.Arg(0))
		printGaps(stderr, gaps)
		return exitError
	}
	for _, l := range lines {
		fmt.Fprintln(stdout, l)
	}
	printGaps(stderr, gaps)
	return exitOK
}

// printGaps prints the lines that report gaps: the history may be incomplete.
func printGaps(w io.Writer, gaps []*logLine) {
	if len(gaps) == 0 {
		return
	}
	fmt.Fprintln(w, "the logs have gaps, so lines may be missing:")
	for _, l := range gaps {
		fmt.Fprintln(w, l)
	}
}

func runSummary(files []string, stdout, stderr io.Writer) int {
	var all breakdown.Log
	err := readLogs(files, all.Read)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitError
	}
	report := all.Report()
	if err := report.Print(stdout); err != nil {
		fmt.Fprintln(stderr, err)
		return exitError
	}
	return exitOK
}

// readLogs passes each file to read, or standard input if no file is named.
func readLogs(files []string, read func(io.Reader) error) error {
	if len(files) == 0 {
		return eris.Wrap(read(os.Stdin), "standard input")
	}
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return err
		}
		err = read(f)
		_ = f.Close() // it was only read
		if err != nil {
			return eris.Wrap(err, name)
		}
	}
	return nil
}

// logLine is one structured log line.
type logLine struct {
	stamp logtime.Stamp
	// at is the line's position in time among the lines of all processes, in
	// milliseconds. uncertain marks a position that only the wall clock gives.
	at        float64
	uncertain bool
	Process   string `json:"process"`
	Message   string `json:"message"`
	Job       string `json:"job"`
	Run       string `json:"run"`
	// Placements lists the placed runs of one step; see logs.PlacedRun.
	Occurrence int      `json:"occurrence"`
	Step       int      `json:"step"`
	Placements []string `json:"placements"`
	// Members lists what a line of a logs.Batch is about; a member may begin with a
	// run.
	Members []string `json:"members"`
	fields  map[string]any
}

// mentions reports whether the line is about id, the name of a job, task or
// run.
func (l *logLine) mentions(id string) bool {
	if l.Job == id || isPartOf(l.Run, id) {
		return true
	}
	if len(l.membersOf(id)) > 0 {
		return true
	}
	for _, placed := range l.Placements {
		if p, ok := logs.ParsePlacedRun(placed); ok && isPartOf(p.Name(l.Job, l.Occurrence, l.Step), id) {
			return true
		}
	}
	return false
}

// membersOf returns the members that begin with a run of the job or task id.
func (l *logLine) membersOf(id string) []string {
	var members []string
	for _, m := range l.Members {
		run, _, _ := strings.Cut(m, " ")
		if isPartOf(run, id) {
			members = append(members, m)
		}
	}
	return members
}

// isPartOf reports whether run is id, or a run of the job or task id.
func isPartOf(run, id string) bool {
	rest, ok := strings.CutPrefix(run, id)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '#')
}

// isGap reports whether the line says that the process left out log lines.
func (l *logLine) isGap() bool { return l.Message == logs.MessageLeftOut }

// String returns the line in human-readable form.
func (l *logLine) String() string {
	var names []string
	for name := range l.fields {
		switch name {
		case "time", "steady_us", "start_id", "process", "message", "level", "job":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	mark := " "
	if l.uncertain {
		mark = "~"
	}
	text := fmt.Sprintf("%s%s%-20s %-16s", time.UnixMicro(int64(l.at*1000)).UTC().Format("15:04:05.000"), mark, l.Process, l.Message)
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, l.fields[name])
	}
	return text
}

// readHistory returns the lines about id, and the lines that report gaps in the
// same period. Both are ordered by time.
func readHistory(id string, files []string) (lines, gaps []*logLine, err error) {
	var clocks logtime.Log
	if err := readLogs(files, func(r io.Reader) error { return scanLog(r, id, &clocks, &lines, &gaps) }); err != nil {
		return nil, nil, err
	}
	axis := clocks.Axis()
	for _, l := range slices.Concat(lines, gaps) {
		l.at, l.uncertain = axis.Time(l.stamp), axis.Uncertain(l.stamp)
	}
	lines = sortByTime(lines)
	if len(lines) > 0 {
		first, last := lines[0].at, lines[len(lines)-1].at+float64(maxGapDelay.Milliseconds())
		gaps = slices.DeleteFunc(gaps, func(l *logLine) bool { return l.at < first || l.at > last })
	}
	return lines, sortByTime(gaps), nil
}

// maxGapDelay is the maximum time after which a process reports the lines that
// it left out.
const maxGapDelay = 2 * time.Second

func sortByTime(lines []*logLine) []*logLine {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].at < lines[j].at })
	return lines
}

// scanLog reads one log. It adds the lines about id to lines, and the lines
// that report gaps to gaps.
func scanLog(r io.Reader, id string, clocks *logtime.Log, lines, gaps *[]*logLine) error {
	return logs.EachObject(r, func(object []byte) {
		var l logLine
		stamp, ok := clocks.Read(object)
		l.stamp = stamp
		if !ok || json.Unmarshal(object, &l) != nil || !l.isGap() && !l.mentions(id) {
			return
		}
		if json.Unmarshal(object, &l.fields) != nil {
			return
		}
		if l.isGap() {
			*gaps = append(*gaps, &l)
			return
		}
		if members := l.membersOf(id); len(members) > 0 {
			// The others belong to other jobs.
			l.fields["members"] = members
		}
		*lines = append(*lines, &l)
	})
}
