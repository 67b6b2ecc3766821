package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
)

const entryLog = `  7.1 edge {"level":"info","process":"entry-1","job":"5c0e7a21d94b36f8","queue":"q","outcome":"stored","time":1000,"message":"job handed in"}
not a structured line
{"level":"info","process":"entry-1","run":"5c0e7a21d94b36f8.0.0.1#1","worker":"w-1","time":1020,"message":"placed"}
{"level":"info","process":"entry-1","run":"ffffe7a21d94b36f.0.0.1#1","worker":"w-1","time":1021,"message":"placed"}
`

const agentLog = `{"level":"info","process":"agent-1","run":"5c0e7a21d94b36f8.0.0.1#1","how":"failed","time":2000,"message":"run ended"}
{"level":"info","process":"agent-1","run":"5c0e7a21d94b36f8.0.0.1#1","cpu":500,"time":1025,"message":"start"}
{"level":"info","process":"agent-1","run":"5c0e7a21d94b36f8.0.0.12#1","cpu":500,"time":1026,"message":"start"}
`

func TestExplainPrintsHistoryOfJob(t *testing.T) {
	dir := t.TempDir()
	a, b := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	for name, text := range map[string]string{a: entryLog, b: agentLog} {
		if err := os.WriteFile(name, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	cases := []struct {
		args   []string
		status int
		want   []string
	}{
		{[]string{"5c0e7a21d94b36f8", a, b}, exitOK, []string{"job handed in", "placed", "start", "start", "run ended"}},
		{[]string{"5c0e7a21d94b36f8.0.0.1", a, b}, exitOK, []string{"placed", "start", "run ended"}},
		{[]string{"0000000000000000", a}, exitError, nil},
		{[]string{"5c0e7a21d94b36f8", filepath.Join(dir, "none.log")}, exitError, nil},
		{nil, exitUsage, nil},
	}
	for _, c := range cases {
		var out, errs strings.Builder
		if status := runExplain(t.Context(), c.args, &out, &errs); status != c.status {
			t.Errorf("%v: status %d, want %d: %s", c.args, status, c.status, errs.String())
		}
		lines := strings.Split(strings.TrimSpace(out.String()), "\n")
		if c.want == nil {
			continue
		}
		if len(lines) != len(c.want) {
			t.Fatalf("%v: %d lines, want %d:\n%s", c.args, len(lines), len(c.want), out.String())
		}
		for i, want := range c.want {
			if !strings.Contains(lines[i], want) {
				t.Errorf("%v: line %d is %q, want %q", c.args, i, lines[i], want)
			}
		}
	}
}

// With hundreds of workers, one line lists all placements of a step in a plan.
// A process at its limit of log lines reports the number that it left out. For
// one task of the step, the command must find the placement and warn that lines
// may be missing.
func TestExplainReadsStepsAndGaps(t *testing.T) {
	const text = `{"process":"entry-1","job":"5c0e7a21d94b36f8","occurrence":0,"step":1,"placements":["0#1@w-1","17#2@w-2"],"time":1020,"message":"placed"}
{"process":"entry-1","lines":3,"kinds":{"placed":3},"time":1500,"message":"lines left out"}
{"process":"entry-1","lines":4,"kinds":{"placed":4},"time":9000,"message":"lines left out"}
`
	file := filepath.Join(t.TempDir(), "a.log")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, id := range []string{"5c0e7a21d94b36f8", "5c0e7a21d94b36f8.0.1.17", "5c0e7a21d94b36f8.0.1.17#2"} {
		var out, errs strings.Builder
		if status := runExplain(t.Context(), []string{id, file}, &out, &errs); status != exitOK || strings.Count(out.String(), "placed") != 1 {
			t.Errorf("%s: status %d:\n%s%s", id, status, out.String(), errs.String())
		}
		if !strings.Contains(errs.String(), "gaps") || !strings.Contains(errs.String(), "lines=3") || strings.Contains(errs.String(), "lines=4") {
			t.Errorf("%s: of the gaps: %q", id, errs.String())
		}
	}
	for _, id := range []string{"5c0e7a21d94b36f8.0.1.1", "5c0e7a21d94b36f8.0.0.17", "5c0e7a21d94b36f8.0.1.17#1"} {
		var out, errs strings.Builder
		if status := runExplain(t.Context(), []string{id, file}, &out, &errs); status != exitError {
			t.Errorf("%s is not in the log: status %d:\n%s", id, status, out.String())
		}
	}
}

func TestExplainSummary(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.log")
	if err := os.WriteFile(file, []byte(entryLog+agentLog), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs strings.Builder
	if status := runExplain(t.Context(), []string{"-summary", file}, &out, &errs); status != exitOK {
		t.Errorf("status %d: %s", status, errs.String())
	}
	if want := "jobs with filling work: 0 in time"; !strings.Contains(out.String(), want) {
		t.Errorf("no %q in:\n%s", want, out.String())
	}
	if status := runExplain(t.Context(), []string{"-summary", file + ".none"}, &out, &errs); status != exitError {
		t.Errorf("no such file: status %d", status)
	}
}

// Guards against a job whose story lacks what a line says of many runs, or that
// is told of the runs of all other jobs.
func TestExplainReadsLinesAboutManyRuns(t *testing.T) {
	file := filepath.Join(t.TempDir(), "a.log")
	text := `{"level":"info","process":"entry-1","count":2,"members":["5c0e7a21d94b36f8.0.0.1#1 w-1 1","ffffe7a21d94b36f.0.0.1#1 w-1 1"],"runs":2,"why":"begun: true","time":1000,"message":"runs may have crashed their workers"}
{"level":"warn","process":"entry-1","count":1,"members":["agent-1 w-1"],"runs":2,"time":1001,"message":"workers lost"}
`
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out, errs strings.Builder
	if status := runExplain(t.Context(), []string{"5c0e7a21d94b36f8", file}, &out, &errs); status != exitOK {
		t.Fatalf("status %d: %s", status, errs.String())
	}
	got := out.String()
	if !strings.Contains(got, "5c0e7a21d94b36f8.0.0.1#1 w-1 1") || strings.Contains(got, "ffffe7a21d94b36f") || strings.Contains(got, "workers lost") {
		t.Errorf("printed %s", got)
	}
}
