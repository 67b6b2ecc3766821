// Command standin3 plays the cases of the third review against the programs of the
// deploy file. Clients, minions and the platform are its own stand-ins.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(root, record string, trouble bool) int{
	"explore":        explore,
	"scheduled-job":  scheduledJob,
	"flapping-job":   flappingJob,
	"flapping-watch": flappingWatch,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE RECORD, in the repository's root")
		os.Exit(notRun)
	}
	root, err := os.Getwd()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	if _, err := os.Stat(filepath.Join(root, "target", "persimmonrock")); err != nil {
		fmt.Fprintln(os.Stderr, "build the programs first:", err)
		os.Exit(notRun)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- cases[os.Args[1]](root, os.Args[2], os.Getenv("TROUBLE") != "0") }()
	select {
	case status := <-result:
		os.Exit(status)
	case <-stop:
		closeAll()
		os.Exit(notRun)
	}
}
