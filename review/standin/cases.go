package main

import (
	"fmt"
	"sync"
	"time"

	"persimmonrock.example/structs/workload"
)

const storeOutage = 4200 * time.Millisecond

// manyEnds: tasks end on a minion while the store is down. The minion lists the
// first 500 ends and no longer the runs of the others.
func manyEnds(rec *record, trouble bool) ([]string, error) {
	const jobs, width = 58, 32
	d, err := deploy(rec, 2, 3)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return nil, err
	}
	ids := make([]string, jobs)
	var group sync.WaitGroup
	for n := range ids {
		group.Go(func() {
			id, ok := d.submit(n, "work-ms=2800 spread-ms=900", workload.Step{Count: width, Need: workload.Resources{CPU: 100, Memory: 300}, Estimate: 3200 * time.Millisecond})
			if ok {
				ids[n] = id
			}
		})
	}
	group.Wait()
	for _, id := range ids {
		if id == "" {
			return nil, fmt.Errorf("a job was not accepted")
		}
	}
	running := func() (n int, each string) {
		for _, h := range d.hosts {
			m := h.current().running()
			n += m
			each += fmt.Sprintf(" %d", m)
		}
		return n, each
	}
	end := time.Now().Add(8 * time.Second)
	for n, _ := running(); n < jobs*width && time.Now().Before(end); n, _ = running() {
		time.Sleep(20 * time.Millisecond)
	}
	n, each := running()
	rec.say("%d jobs of %d tasks accepted; %d tasks run, by minion:%s", jobs, width, n, each)
	if trouble {
		rec.say("the platform's store is down (silent) for %v", storeOutage)
		d.store.setSilent(true)
		time.Sleep(storeOutage)
		d.store.setSilent(false)
		rec.say("the platform's store is back")
	}
	states := d.awaitStates(ids, 40*time.Second)
	count := map[string]int{}
	for _, s := range states {
		count[s]++
	}
	time.Sleep(2 * time.Second)
	rec.say("states of the jobs: %v; runs: %v", count, rec.counts(""))
	return prefix("TWICE: ", rec.twice()), nil
}

func prefix(p string, list []string) []string {
	for i := range list {
		list[i] = p + list[i]
	}
	return list
}
