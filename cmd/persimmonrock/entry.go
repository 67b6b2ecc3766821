package main

import (
	"context"
	"io"

	"persimmonrock.example/cmd/machine"
	"persimmonrock.example/cmd/node"
)

// Exit statuses of all commands.
const (
	exitOK    = 0
	exitError = 1
	exitUsage = 2
)

func runEntry(ctx context.Context, args []string, _, stderr io.Writer) int {
	if machine.Configured() && len(args) == 0 {
		return machine.RunEntry(ctx, stderr)
	}
	return node.RunEntry(ctx, args, stderr)
}
