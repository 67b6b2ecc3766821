package main

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"net/http"
	"sync"
	"time"

	"persimmonrock.example/platform/standin"
	"persimmonrock.example/structs/workload"
)

const (
	clientDeadline = 3 * time.Second
	clientTries    = 5
)

// cpuOf is what a task of each job requests, in thousandths of a core.
var (
	cpuMu sync.Mutex
	cpuOf = map[string]int{}
)

func newID() workload.JobID {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return workload.JobID(hex.EncodeToString(b[:]))
}

// client returns a client of an entry, and the context of one call.
func (d *deployment) client(entry int) (*standin.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), clientDeadline)
	return &standin.Client{Address: d.entries[entry%len(d.entries)].Clients(), HTTP: http.DefaultClient}, ctx, cancel
}

// submit hands a job in, with the retries of a client at the other entries. It
// reports whether the job was accepted.
func (d *deployment) submit(entry int, payload string, step workload.Step) (id string, accepted bool) {
	j := workload.Job{ID: newID(), Payload: payload, Steps: []workload.Step{step}}
	id = string(j.ID)
	cpuMu.Lock()
	cpuOf[id] = step.Need.CPU
	cpuMu.Unlock()
	for try := range clientTries {
		c, ctx, cancel := d.client(entry + try)
		err := c.Submit(ctx, queue, j)
		cancel()
		d.rec.add("job %s is handed in: accepted %t, %v", id, err == nil, err)
		if err == nil {
			return id, true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return id, false
}

// state asks for a job's state; it is "unknown" without an answer.
func (d *deployment) state(entry int, id string) string {
	c, ctx, cancel := d.client(entry)
	defer cancel()
	s, err := c.State(ctx, queue, workload.JobID(id))
	switch {
	case errors.Is(err, workload.ErrNoJob):
		return "no such job"
	case err != nil:
		return "unknown"
	}
	return string(s)
}

// awaitStates asks for the states of jobs until all are final or the time is over.
func (d *deployment) awaitStates(ids []string, limit time.Duration) map[string]string {
	states := map[string]string{}
	end := time.Now().Add(limit)
	for {
		open := 0
		for n, id := range ids {
			if workload.State(states[id]).Final() {
				continue
			}
			s := d.state(n, id)
			if s != states[id] {
				d.rec.add("job %s is shown as: %s", id, s)
			}
			states[id] = s
			if !workload.State(s).Final() {
				open++
			}
		}
		if open == 0 || time.Now().After(end) {
			return states
		}
		time.Sleep(200 * time.Millisecond)
	}
}
