// The stand-ins and cases of the review: the platform's store, minions and
// clients around the project's own programs, as separate processes.
package main

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// Exit statuses of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases by name. A case returns the breaches that it saw.
var cases = map[string]func(rec *record, trouble bool) ([]string, error){
	"ends":  manyEnds,
	"wide":  wideJob,
	"crash": twoCrashes,
}

func main() {
	name := flag.String("case", "", "the case to run")
	dir := flag.String("dir", ".", "the folder for record.txt")
	flag.Parse()
	os.Exit(run(*name, *dir, os.Getenv("TROUBLE") != "0"))
}

func run(name, dir string, trouble bool) int {
	do := cases[name]
	if do == nil {
		fmt.Println("no such case:", name)
		return failed
	}
	rec, err := newRecord(filepath.Join(dir, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return failed
	}
	defer rec.close()
	rec.say("case %s, trouble: %t", name, trouble)
	found, err := do(rec, trouble)
	if err != nil {
		rec.say("the case could not run: %v", err)
		return failed
	}
	for i, f := range found {
		if i < 10 {
			rec.say("BROKEN %s", f)
		} else {
			rec.add("BROKEN %s", f)
		}
	}
	rec.say("breaches: %d", len(found))
	if len(found) > 0 {
		return broken
	}
	return held
}
