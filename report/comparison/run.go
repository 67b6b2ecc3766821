// Package comparison runs several policies on the same seeds and reports the
// median and the worst value of each metric.
package comparison

import (
	"sync"
	"time"

	"persimmonrock.example/decide/baseline"
	"persimmonrock.example/decide/model"
	"persimmonrock.example/decide/policy"
	"persimmonrock.example/structs"
)

// Options of a comparison.
type Options struct {
	Seeds    int
	Duration time.Duration
	Parallel int
	// Load multiplies the rate of batch jobs.
	Load float64
	// NoBatch leaves out all batch jobs and the flood.
	NoBatch bool
	// Docs is the directory for written files; "" writes none.
	Docs string
}

type policyBuilder func(instances int, contracts map[structs.Customer]structs.Contract) policy.Policy

type contender struct {
	name      string
	newPolicy policyBuilder
}

// batchShare is the share of the slots that the static split gives to batch
// tasks; the urgent load of the workload needs about the other half.
const batchShare = 0.5

func contenders() []contender {
	type contracts = map[structs.Customer]structs.Contract
	return []contender{
		{"persimmonrock", func(n int, c contracts) policy.Policy { return policy.NewPredictive(n, c) }},
		{"least loaded", func(int, contracts) policy.Policy { return baseline.LeastLoaded{} }},
		{"static split", func(int, contracts) policy.Policy { return baseline.StaticSplit{Batch: batchShare} }},
		{"threshold eviction", func(int, contracts) policy.Policy { return baseline.NewThresholdEviction() }},
	}
}

// seedResults holds the results of one seed without and with the flood (one
// customer sends ten times its usual load), in the order of the contenders.
type seedResults struct {
	plain, flood []*model.Result
}

func runAll(o Options) []seedResults {
	results := make([]seedResults, o.Seeds)
	indices := make(chan int)
	var wg sync.WaitGroup
	for range max(o.Parallel, 1) {
		wg.Go(func() {
			for i := range indices {
				results[i] = runSeed(uint64(i+1), o)
			}
		})
	}
	for i := range results {
		indices <- i
	}
	close(indices)
	wg.Wait()
	return results
}

func runSeed(seed uint64, o Options) seedResults {
	var out seedResults
	for _, flood := range []bool{false, true} {
		if flood && o.NoBatch {
			out.flood = out.plain
			break
		}
		w := model.Generate(model.Options{Seed: seed, Duration: o.Duration, Load: o.Load, NoBatch: o.NoBatch, Flood: flood})
		for _, c := range contenders() {
			r := model.Run(w, c.newPolicy)
			if flood {
				out.flood = append(out.flood, r)
			} else {
				out.plain = append(out.plain, r)
			}
		}
	}
	return out
}
