package main

import (
	"fmt"
	"time"

	"persimmonrock.example/structs/workload"
)

const (
	crashed    = 4500 * time.Millisecond
	crashAfter = 300 * time.Millisecond
)

// twoCrashes: two minions crash, each while it has just begun a task of one job that
// lasts.
func twoCrashes(rec *record, trouble bool) ([]string, error) {
	const tasks = 6
	d, err := deploy(rec, 2, 11)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return nil, err
	}
	id, ok := d.submit(0, "work-ms=600000 lasts", workload.Step{Count: tasks, Need: workload.Resources{CPU: 13000, Memory: 26000}, Estimate: 320 * time.Millisecond, Lasting: true})
	if !ok {
		return nil, fmt.Errorf("the job was not accepted")
	}
	if trouble {
		task := id + ".0.0.0"
		for n := range 2 {
			h := d.hostOf(task, 10*time.Second)
			if h == nil {
				return nil, fmt.Errorf("run %d of %s does not start", n+1, task)
			}
			time.Sleep(crashAfter)
			h.crash()
			rec.say("a minion that has begun %s is down for %v", task, crashed)
			time.AfterFunc(crashed, func() { _ = h.start() })
		}
	}
	states := d.awaitStates([]string{id}, 25*time.Second)
	c := rec.counts(id + ".")
	rec.say("job %s is %s; its runs: %v", id, states[id], c)
	if states[id] == "failed" && c["failed"] == 0 {
		return []string{fmt.Sprintf("LOST: job %s, which lasts, is shown as failed, though none of its runs has ended failed; %d of its %d tasks run", id, c["running"], tasks)}, nil
	}
	if c["running"] != tasks {
		return nil, fmt.Errorf("%d tasks run, not %d", c["running"], tasks)
	}
	return nil, nil
}

// hostOf waits for a run of the task that is under way and returns its host.
func (d *deployment) hostOf(task string, limit time.Duration) *minionHost {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		for _, h := range d.hosts {
			m := h.current()
			m.mu.Lock()
			for id := range m.runs {
				if id.Task.String() == task {
					m.mu.Unlock()
					return h
				}
			}
			m.mu.Unlock()
		}
	}
	return nil
}
