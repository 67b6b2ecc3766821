// Command persimmonrock-agent runs beside the backend servers of one instance
// and decides which calls and tasks the instance admits.
package main

import (
	"context"
	"os"

	"persimmonrock.example/cmd/machine"
	"persimmonrock.example/cmd/node"
)

func main() {
	if machine.Configured() && len(os.Args) == 1 {
		os.Exit(machine.RunAgent(context.Background(), os.Stderr))
	}
	os.Exit(node.RunAgent(context.Background(), os.Args[1:], os.Stderr))
}
