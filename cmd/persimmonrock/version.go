package main

import (
	"context"
	"flag"
	"fmt"
	"runtime"
	"runtime/debug"
)

var versionCommand = spec{
	summary: "print the version of this binary", local: true,
	example: `persimmonrock version -json`,
	define:  func(*flag.FlagSet) action { return printVersion },
}

type version struct {
	Version  string `json:"version"`
	Commit   string `json:"commit,omitempty"`
	Modified bool   `json:"modified,omitempty"`
	Go       string `json:"go"`
}

func printVersion(_ context.Context, s *session, _ []string) error {
	v := version{Version: "unknown", Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		v.Version = info.Main.Version
		for _, setting := range info.Settings {
			switch setting.Key {
			case "vcs.revision":
				v.Commit = setting.Value
			case "vcs.modified":
				v.Modified = setting.Value == "true"
			}
		}
	}
	if s.json {
		return s.printJSON(v)
	}
	fmt.Fprintf(s.stdout, "persimmonrock %s %s %s\n", v.Version, v.Commit, v.Go)
	return nil
}
