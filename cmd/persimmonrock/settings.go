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
)

var settingsCommands = []spec{{
	name: "check", summary: "check a settings file as the process would at its start",
	arguments: []string{"FILE"}, local: true,
	example: `
persimmonrock settings check entry.json
persimmonrock settings check -kind agent agent.json

The exit status is 0 for a good file and 2 for a bad one. Each fault is printed with
file, line, column, key and what was expected.`,
	define: func(flags *flag.FlagSet) action {
		kind := flags.String("kind", "", `"entry" or "agent" (else told by the key "instance")`)
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
	default:
		return usageError(`-kind: want "entry" or "agent", got %q`, kind)
	}
	if err != nil {
		return err
	}
	if s.json {
		return s.printJSON(map[string]string{"file": path, "kind": kind, "state": "good"})
	}
	fmt.Fprintf(s.stdout, "%s: good settings of an %s\n", path, kind)
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
