package main

import (
	"fmt"
	"strings"
	"time"
)

const (
	// finishTime and idleTime are the bounds of LOST: finish_s, and the 3 s in which
	// a job has nothing running.
	finishTime = 14 * time.Second
	idleTime   = 3 * time.Second
)

// wideJob: among ordinary jobs comes one with many small tasks.
func wideJob(rec *record, trouble bool) ([]string, error) {
	d, err := deploy(rec, 2, 6)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return nil, err
	}
	ordinary := job{Spec: "work-ms=1000", Steps: []step{{Count: 6, CPU: 960, MemMB: 1900, EstimateMs: 1000}}}
	first, ok := d.submit(0, ordinary)
	if !ok || d.awaitStates([]string{first}, 10*time.Second)[first] != "completed" {
		return nil, fmt.Errorf("an ordinary job is not completed")
	}
	if trouble {
		// 64 cores and 160 GB of the 384 cores and 1,536 GB of the service.
		wide, ok := d.submit(1, job{Spec: "work-ms=60000", Steps: []step{{Count: 3200, CPU: 20, MemMB: 50, EstimateMs: 60000}}})
		if !ok {
			return nil, fmt.Errorf("the wide job was not accepted")
		}
		rec.say("job %s of 3,200 tasks is accepted", wide)
	}
	var ids []string
	for n := range 20 {
		if id, ok := d.submit(n, ordinary); ok {
			ids = append(ids, id)
		}
		time.Sleep(250 * time.Millisecond)
	}
	rec.say("%d ordinary jobs are accepted; the traffic ends", len(ids))
	time.Sleep(finishTime)
	from := time.Now()
	time.Sleep(idleTime)
	states := d.awaitStates(ids, 0)
	used := d.usedCPU(rec)
	rec.say("states: %v; %d of %d thousandths of a core in use", tally(states), used, len(d.hosts)*64000)
	var found []string
	for _, id := range ids {
		if states[id] == "completed" || 2*used >= len(d.hosts)*64000 || rec.ranSince(id+".", from) {
			continue
		}
		found = append(found, fmt.Sprintf("LOST: job %s is %s and has had nothing running from %.1f s to %.1f s after the end of the traffic, beside free capacity",
			id, states[id], finishTime.Seconds(), (finishTime+idleTime).Seconds()))
	}
	return found, nil
}

func tally(states map[string]string) map[string]int {
	n := map[string]int{}
	for _, s := range states {
		n[s]++
	}
	return n
}

// ranSince reports whether a task whose name begins with prefix has run at the time
// or since.
func (r *record) ranSince(prefix string, at time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task, list := range r.runs {
		for _, x := range list {
			if strings.HasPrefix(task, prefix) && (x.ended.IsZero() || x.ended.After(at)) {
				return true
			}
		}
	}
	return false
}

// usedCPU is the processor capacity that the running tasks request.
func (d *deployment) usedCPU(rec *record) int {
	sum := 0
	rec.mu.Lock()
	defer rec.mu.Unlock()
	for task, list := range rec.runs {
		for _, x := range list {
			if x.ended.IsZero() {
				sum += cpuOf[task[:16]]
			}
		}
	}
	return sum
}
