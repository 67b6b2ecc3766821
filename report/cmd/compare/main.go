// Command compare simulates the same workloads with the project's policy and
// three baselines, and writes the table and the plots of
// docs/MEASUREMENTS.md.
//
//	go run ./report/cmd/compare
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"persimmonrock.example/report/comparison"
)

func main() {
	var o comparison.Options
	flag.IntVar(&o.Seeds, "seeds", 24, "number of seeds, counted from 1")
	flag.DurationVar(&o.Duration, "duration", 10*time.Minute, "virtual time of each run")
	flag.IntVar(&o.Parallel, "parallel", 2, "runs at once")
	flag.Float64Var(&o.Load, "load", 1, "factor of the rate of batch jobs")
	flag.BoolVar(&o.NoBatch, "nobatch", false, "leave out all batch jobs and the flood")
	flag.StringVar(&o.Docs, "docs", "docs", "directory for the table and plots; empty writes none")
	flag.Parse()
	table, err := comparison.Run(o)
	if err != nil {
		fmt.Fprintln(os.Stderr, "compare:", err)
		os.Exit(1)
	}
	fmt.Print(table)
}
