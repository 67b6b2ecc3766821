// Command standin-2 plays one case of the review: it starts the project's programs
// as processes beside stand-ins of the platform, the minions and the clients, and
// exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
//
//	standin-2 CASE RECORD     in the repository's root; TROUBLE=0 leaves the disruption out
package main

import (
	"fmt"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	held   = 0
	broken = 1
	failed = 2
)

// record writes what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), strings.TrimSpace(fmt.Sprintf(format, args...)))
}

var cases = map[string]func(d *deployment, trouble bool) int{"5": lastingGang, "6": waitingCount}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin-2 CASE RECORD")
		os.Exit(failed)
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	log := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	log.add("case %s, disruption: %t", os.Args[1], trouble)
	d, err := deploy(log)
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stop
		d.end()
		os.Exit(failed)
	}()
	result := failed
	if err == nil {
		result = cases[os.Args[1]](d, trouble)
	} else {
		log.add("the deployment didn't start: %v", err)
	}
	d.end()
	log.add("result %d: %s", result, [...]string{"the rule held", "the rule was broken", "the case couldn't run"}[result])
	fmt.Println([...]string{"held", "BROKEN", "couldn't run"}[result])
	os.Exit(result)
}
