package main

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"

	"github.com/tailscale/hujson"

	"persimmonrock.example/ops/settings"
)

// Kinds of settings files.
const (
	kindEntry = "entry"
	kindAgent = "agent"
	// kindScheduling is the file with the scheduling policies.
	kindScheduling = "scheduling"
)

// describedKinds names the process or part to which settings belong.
var describedKinds = map[string]string{kindEntry: "an entry", kindAgent: "an agent", kindScheduling: "the scheduling policies"}

var settingsCommands = []spec{{
	name: "check", summary: "check a settings file as the process would at its start",
	arguments: []string{"FILE"}, local: true,
	example: `
persimmonrock settings check entry.json
persimmonrock settings check -kind agent agent.json
persimmonrock settings check -kind scheduling scheduling.json

The exit status is 0 for a good file and 2 for a bad one. Each fault is printed with
file, line, column, key and what was expected.`,
	define: func(flags *flag.FlagSet) action {
		kind := flags.String("kind", "", `"entry", "agent" or "scheduling" (else "agent" with the key "instance", or "entry")`)
		return func(_ context.Context, s *session, args []string) error {
			return checkSettings(s, *kind, args[0])
		}
	},
}}

func checkSettings(s *session, kind, path string) error {
	if kind == "" {
		kind = detectKind(path)
	}
	var err error
	switch kind {
	case kindEntry:
		into := settings.DefaultEntry()
		err = settings.Load(path, &into, (*settings.Entry).Check)
	case kindAgent:
		into := settings.DefaultAgent()
		err = settings.Load(path, &into, (*settings.Agent).Check)
	case kindScheduling:
		_, err = settings.LoadScheduling(path)
	default:
		return usageError(`-kind: want "entry", "agent" or "scheduling", got %q`, kind)
	}
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(map[string]string{"file": path, "kind": kind, "state": "good"})
	}
	fmt.Fprintf(s.stdout, "%s: good settings of %s\n", path, describedKinds[kind])
	return nil
}

// detectKind recognises the settings of an agent by a key that only agents
// have. A file that can't be read is reported by the check.
func detectKind(path string) string {
	text, err := os.ReadFile(path)
	if err != nil {
		return kindEntry
	}
	plain, err := hujson.Standardize(text)
	var keys map[string]json.RawMessage
	if err != nil || json.Unmarshal(plain, &keys) != nil {
		return kindEntry
	}
	if _, found := keys["instance"]; found {
		return kindAgent
	}
	return kindEntry
}
