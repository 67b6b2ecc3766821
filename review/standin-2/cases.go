package main

import (
	"net/http"
	"time"

	"persimmonrock.example/structs/workload"
)

const (
	gangSize = 4
	// gangWorks is the work of the gang's tasks in review/5/ending.json.
	gangWorks = 4 * time.Second
	// restartTime and idleTime are those of the rule: from 6 s after its last run, a
	// task that lasts has to run, and may not for less than 3 s.
	restartTime = 6 * time.Second
	idleTime    = 3 * time.Second
)

// lastingGang: the tasks of a gang that lasts end by themselves as done, all
// together. LOST: none of them runs again, on an idle service. Without the
// disruption, they work for an hour.
func lastingGang(d *deployment, trouble bool) int {
	path := "review/5/ending.json"
	if !trouble {
		path = "review/5/working.json"
	}
	id, ok := d.submit(path)
	if !ok {
		return failed
	}
	for end := time.Now().Add(3 * time.Second); d.runsOf(id) < gangSize; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return failed
		}
	}
	lastRun := time.Now()
	for end := lastRun.Add(gangWorks + restartTime + idleTime + 2*time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if d.runsOf(id) > 0 {
			lastRun = time.Now()
		}
	}
	idle := time.Since(lastRun)
	d.log.add("nothing of job %s has run for %v", id, idle.Round(time.Millisecond))
	for n := range entries {
		d.call(n, http.MethodGet, string(id), nil)
	}
	if idle > restartTime+idleTime {
		return broken
	}
	return held
}

const (
	waitingJobs = 6
	// visible is the time of the rule: visible_ms + 2 s.
	visible = 3*time.Second + 2*time.Second
)

// waitingCount: the only minion of its kind is lost without a word, and jobs for
// it are handed in. MIXED: an entry gives as waiting under half of the jobs that
// were accepted over visible_ms + 2 s before and haven't begun.
func waitingCount(d *deployment, trouble bool) int {
	if trouble {
		d.minions[0].goDark()
	}
	var ids []workload.JobID
	for range waitingJobs {
		id, ok := d.submit("review/6/job.json")
		if !ok {
			return failed
		}
		ids = append(ids, id)
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(visible + time.Second)
	result := held
	for n := range 3 * entries {
		unbegun := d.fleet.missing(ids)
		count := d.waiting(n)
		d.log.add("entry %d gives %d waiting; %d of %d jobs haven't begun", n%entries+1, count, unbegun, waitingJobs)
		if count >= 0 && 2*count < unbegun {
			result = broken
		}
		time.Sleep(time.Second / 2)
	}
	return result
}
