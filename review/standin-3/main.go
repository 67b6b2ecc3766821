// Command standin-3 plays the scripts of the third review against the programs of the
// deploy file. Its minions and checks are its own; store, settings, reports and the
// calls of minions are the project's stand-ins.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses of a script.
const (
	held   = 0
	broken = 1
	notRun = 2
)

var cases = map[string]func(d *deployment, folder string, trouble bool) int{
	"scheduled-job":  scheduledJob,
	"flapping-job":   flappingJob,
	"flapping-watch": flappingWatch,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage, in the repository's root: standin-3 CASE FOLDER")
		os.Exit(notRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// play runs a case on a deployment of its own, and ends all that it has started.
func play(script func(*deployment, string, bool) int, folder string) int {
	log, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	defer log.close()
	d, err := newDeployment(log)
	if err != nil {
		log.add("%v", err)
		return notRun
	}
	defer d.end()
	if err := d.start(); err != nil {
		log.add("could not run: %v", err)
		return notRun
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	result := make(chan int, 1)
	go func() { result <- script(d, folder, os.Getenv("TROUBLE") != "0") }()
	select {
	case status := <-result:
		log.add("exit status %d", status)
		return status
	case s := <-stop:
		log.add("could not run: %v", s)
		return notRun
	}
}
