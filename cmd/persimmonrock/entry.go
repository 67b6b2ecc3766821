package main

import (
	"context"
	"io"
	"strings"

	"persimmonrock.example/cmd/machine"
	"persimmonrock.example/cmd/node"
)

// Exit statuses of all commands.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

// runEntry runs an entry with the settings of its machine, unless the arguments
// name a settings file.
func runEntry(ctx context.Context, args []string, _, stderr io.Writer) int {
	if machine.Configured() && !namesSettings(args) {
		return machine.RunEntry(ctx, args, stderr)
	}
	return node.RunEntry(ctx, args, stderr)
}

func namesSettings(args []string) bool {
	for _, a := range args {
		if strings.HasPrefix(strings.TrimLeft(a, "-"), "settings") {
			return true
		}
	}
	return false
}
