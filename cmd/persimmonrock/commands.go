package main

import (
	"context"
	"fmt"
	"io"
)

// command is one word of the command line and the function that it runs. run
// returns the process's exit status.
type command struct {
	name    string
	summary string
	run     func(ctx context.Context, args []string, stdout, stderr io.Writer) int
}

func commands() []command {
	return []command{
		{"entry", "run an entry process", runEntry},
		{"dev", "run a whole deployment in this process, with in-memory stand-ins", runDev},
		group("contract", "apply, get, list and delete contracts; make keys", contractCommands),
		group("backend", "list and retire backend servers", backendCommands),
		group("instance", "list, stop and resume instances", instanceCommands),
		group("job", "submit, list, get, wait for, cancel and release jobs", jobCommands),
		group("peer", "make certificates for the system's own processes", peerCommands),
		timelineCommand.command("timeline"),
		drainsCommand.command("drains"),
		explainCommand(),
		group("settings", "check a settings file", settingsCommands),
		versionCommand.command("version"),
	}
}

// group returns a command that runs the member named by its next word.
func group(name, summary string, members []spec) command {
	return command{name, summary, func(ctx context.Context, args []string, stdout, stderr io.Writer) int {
		var list []command
		for _, m := range members {
			list = append(list, m.command(name+" "+m.name))
		}
		return dispatch(ctx, "persimmonrock "+name, list, args, stdout, stderr)
	}}
}

// dispatch runs the command that the first argument names.
func dispatch(ctx context.Context, name string, list []command, args []string, stdout, stderr io.Writer) int {
	if len(args) == 0 {
		printCommands(stderr, name, list)
		return exitUsage
	}
	switch args[0] {
	case "-h", "-help", "--help", "help":
		printCommands(stdout, name, list)
		return exitOK
	}
	for _, c := range list {
		if c.name == args[0] || c.name == lastWord(name)+" "+args[0] {
			return c.run(ctx, args[1:], stdout, stderr)
		}
	}
	fmt.Fprintf(stderr, "%s: there is no command %q\n\n", name, args[0])
	printCommands(stderr, name, list)
	return exitUsage
}

func printCommands(w io.Writer, name string, list []command) {
	fmt.Fprintf(w, "Usage: %s COMMAND [flags] [arguments]\n\nCommands:\n", name)
	for _, c := range list {
		fmt.Fprintf(w, "  %-10s %s\n", lastWord(c.name), c.summary)
	}
	fmt.Fprintf(w, "\n\"%s COMMAND -h\" explains a command by example.\n", name)
}
