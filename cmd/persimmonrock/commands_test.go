package main

import (
	"bytes"
	"context"
	"encoding/pem"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/google/go-cmp/cmp"

	"persimmonrock.example/structs"
)

var update = flag.Bool("update", false, "write the golden files")

// step is one command line of a session; before prepares the fake entry.
type step struct {
	line   string
	before func(*fakeEntry)
}

// runGolden runs the steps against one fake entry and compares the transcript.
func runGolden(t *testing.T, name string, steps []step) {
	t.Helper()
	fake := &fakeEntry{contracts: map[string]structs.Contract{}, accepted: map[string]structs.Revision{}, revision: 6}
	server := httptest.NewServer(fake)
	defer server.Close()
	t.Setenv(envServer, server.URL)
	t.Chdir("testdata")
	var all strings.Builder
	for _, s := range steps {
		if s.before != nil {
			fake.mu.Lock()
			s.before(fake)
			fake.mu.Unlock()
		}
		t.Setenv(envKey, operatorKey)
		if strings.HasPrefix(s.line, "job") && !strings.HasPrefix(s.line, "job release") {
			t.Setenv(envKey, customerKey)
		}
		var stdout, stderr bytes.Buffer
		status := dispatch(context.Background(), "persimmonrock", commands(), strings.Fields(s.line), &stdout, &stderr)
		fmt.Fprintf(&all, "$ persimmonrock %s\n%s", s.line, stdout.String())
		if stderr.Len() > 0 {
			fmt.Fprintf(&all, "--- stderr\n%s", stderr.String())
		}
		fmt.Fprintf(&all, "--- exit status %d\n\n", status)
		for _, line := range strings.Split(stdout.String(), "\n") {
			if utf8.RuneCountInString(line) > lineWidth {
				t.Errorf("%s: a line of %d characters: %s", s.line, utf8.RuneCountInString(line), line)
			}
		}
	}
	path := name + ".golden"
	if *update {
		os.WriteFile(path, []byte(all.String()), 0o644)
		return
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), all.String()); diff != "" {
		t.Errorf("run with -update after a change that is meant (-want +got):\n%s", diff)
	}
}

func TestContractSession(t *testing.T) {
	runGolden(t, "contract", []step{
		{line: "contract apply broken.json"},
		{line: "contract apply -dry-run granite.json"},
		{line: "contract apply granite.json", before: func(f *fakeEntry) { f.behind = 1 }},
		{line: "contract apply granite.json"},
		{line: "contract apply -wait granite-larger.json", before: func(f *fakeEntry) { f.behind = 2 }},
		{line: "contract get granite"},
		{line: "contract list"},
		{line: "contract status"},
		{line: "contract apply granite-revision-7.json"},
		{line: "contract apply -json granite.json"},
		{line: "contract delete -wait granite", before: func(f *fakeEntry) { f.behind = 1 }},
		{line: "contract delete granite"},
		{line: "contract get -server http://127.0.0.1:0 -key-file absent granite"},
		{line: "contract drop granite"},
	})
}

// An operator's change is accepted, but the answer is lost. The command repeats
// the change under the same operation ID and must report the revision of the
// first acceptance, not a conflict with the first attempt. Another operator's
// change between the command's read and write must win instead.
func TestContractApplyWithLostAnswerAndRace(t *testing.T) {
	runGolden(t, "contract_faults", []step{
		{line: "contract apply granite.json", before: func(f *fakeEntry) { f.loseAnswer = true }},
		{line: "contract list"},
		{line: "contract apply granite-larger.json", before: func(f *fakeEntry) { f.race = true }},
		{line: "contract list"},
	})
}

func TestOperationSession(t *testing.T) {
	runGolden(t, "operations", []step{
		{line: "instance list", before: func(f *fakeEntry) { f.busy = 2 }},
		{line: "instance stop instance-1 -wait", before: func(f *fakeEntry) { f.busy = 2 }},
		{line: "instance resume instance-1"},
		{line: "instance stop instance-9"},
		{line: "backend list"},
		{line: "backend retire -wait instance-1 assay-check", before: func(f *fakeEntry) { f.busy = 2 }},
		{line: "backend retire instance-1 assay-chek"},
		{line: "timeline -job j-3"},
		{line: "timeline -since 5m -json"},
		{line: "timeline -since yesterday"},
		{line: "timeline"},
		{line: "settings check entry.json"},
		{line: "settings check -json agent.json"},
		{line: "settings check entry-broken.json"},
	})
}

func TestJobSession(t *testing.T) {
	ends := func(states ...structs.JobState) func(*fakeEntry) {
		return func(f *fakeEntry) { f.state = states }
	}
	runGolden(t, "job", []step{
		{line: "job submit"},
		{line: "job submit -kind grade-report -payload broken.json"},
		{line: "job submit -kind grade-report -payload payload.json -runtime 2h"},
		{line: "job submit -wait -kind grade-report", before: ends("queued", "queued", "running", "done")},
		{line: "job wait j-2", before: ends("running", "parked")},
		{line: "job wait j-2 -timeout 2s", before: ends("running")},
		{line: "job get -json j-1", before: ends("done")},
		{line: "job list"},
		{line: "job list -state done -json"},
		{line: "job result j-1"},
		{line: "job cancel j-2"},
		{line: "job release j-2"},
		{line: "job release -customer granite j-2"},
	})
}

// The help text of a command must contain an example.
func TestHelp(t *testing.T) {
	groups := map[string][]spec{
		"contract": contractCommands, "backend": backendCommands, "instance": instanceCommands,
		"job": jobCommands, "settings": settingsCommands, "": {timelineCommand, versionCommand},
	}
	for group, members := range groups {
		for _, m := range members {
			words := strings.Fields(group + " " + m.name)
			if group == "" {
				words = []string{"timeline"}
			}
			var stdout, stderr bytes.Buffer
			status := dispatch(context.Background(), "persimmonrock", commands(), append(words, "-h"), &stdout, &stderr)
			if status != exitOK || !strings.Contains(stdout.String(), "Example:\n  persimmonrock") && !strings.Contains(stdout.String(), "Example:\n  cat") {
				t.Errorf("%v -h: status %d\n%s%s", words, status, stdout.String(), stderr.String())
			}
		}
	}
}

// The server's certificate is signed by an authority that the system does not
// trust. The command may send it the key only if -ca names that authority.
func TestKeyAndCertificateFiles(t *testing.T) {
	server := httptest.NewTLSServer(&fakeEntry{})
	defer server.Close()
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	dir := t.TempDir()
	key, ca := filepath.Join(dir, "key"), filepath.Join(dir, "ca")
	os.WriteFile(key, []byte(operatorKey+"\n"), 0o600)
	os.WriteFile(ca, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: server.Certificate().Raw}), 0o600)
	for _, c := range []struct {
		flags []string
		want  int
	}{{[]string{"-ca", ca}, exitOK}, {nil, exitError}, {[]string{"-ca", key}, exitUsage}} {
		var stdout, stderr bytes.Buffer
		args := append([]string{"contract", "list", "-server", server.URL, "-key-file", key}, c.flags...)
		if status := dispatch(context.Background(), "persimmonrock", commands(), args, &stdout, &stderr); status != c.want {
			t.Errorf("%v: status %d: %s", c.flags, status, stderr.String())
		}
	}
}
