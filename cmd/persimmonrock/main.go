// Command persimmonrock runs entries and the operators' commands.
package main

import (
	"context"
	"os"
)

func main() {
	os.Exit(dispatch(context.Background(), "persimmonrock", commands(), os.Args[1:], os.Stdout, os.Stderr))
}
