package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"persimmonrock.example/ops/breakdown"
	"persimmonrock.example/ops/logs"
)

// explainCommand reads the log files of all processes, since an engineer who
// asks what became of a job has nothing else.
func explainCommand() command {
	return command{"explain", "print the story of a job from the log files of all processes", runExplain}
}

const explainUsage = `Print what all processes logged of a job, a task or a run, in the order of time.

    persimmonrock explain 5c0e7a21d94b36f8 entry-1.log entry-2.log agent-*.log
    cat *.log | persimmonrock explain 5c0e7a21d94b36f8.0.1.17

With -summary, tell where the time of all jobs with filling work went: at
work, waiting for a worker, paced down beside serving tasks, run again.

    persimmonrock explain -summary entry-*.log agent-*.log

Times are those of each process's own clock.
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
	lines, err := readStory(flags.Arg(0), flags.Args()[1:])
	if err != nil {
		fmt.Fprintln(stderr, err)
		return exitError
	}
	if len(lines) == 0 {
		fmt.Fprintf(stderr, "no line names %s\n", flags.Arg(0))
		return exitError
	}
	for _, l := range lines {
		fmt.Fprintln(stdout, l)
	}
	return exitOK
}

// runSummary prints where the time of jobs went.
func runSummary(files []string, stdout, stderr io.Writer) int {
	var all breakdown.Log
	err := eachLog(files, all.Read)
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

// eachLog reads the files, or standard input if there are none.
func eachLog(files []string, read func(io.Reader) error) error {
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

// logLine is one structured line.
type logLine struct {
	Time    int64  `json:"time"`
	Process string `json:"process"`
	Message string `json:"message"`
	Job     string `json:"job"`
	Run     string `json:"run"`
	fields  map[string]any
}

// about reports whether the line is about id: a job, or a task or run of it.
func (l *logLine) about(id string) bool {
	if l.Job == id {
		return true
	}
	rest, ok := strings.CutPrefix(l.Run, id)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '#')
}

// String gives the line as a person reads it.
func (l *logLine) String() string {
	var names []string
	for name := range l.fields {
		switch name {
		case "time", "process", "message", "level", "job":
		default:
			names = append(names, name)
		}
	}
	sort.Strings(names)
	text := fmt.Sprintf("%s %-20s %-16s", time.UnixMilli(l.Time).UTC().Format("15:04:05.000"), l.Process, l.Message)
	for _, name := range names {
		text += fmt.Sprintf(" %s=%v", name, l.fields[name])
	}
	return text
}

func readStory(id string, files []string) ([]*logLine, error) {
	var lines []*logLine
	if err := eachLog(files, func(r io.Reader) error { return scanLog(r, id, &lines) }); err != nil {
		return nil, err
	}
	return sorted(lines), nil
}

func sorted(lines []*logLine) []*logLine {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	return lines
}

// scanLog adds the lines about id.
func scanLog(r io.Reader, id string, lines *[]*logLine) error {
	return logs.EachObject(r, func(object []byte) {
		var l logLine
		if json.Unmarshal(object, &l) != nil || !l.about(id) {
			return
		}
		if json.Unmarshal(object, &l.fields) == nil {
			*lines = append(*lines, &l)
		}
	})
}
