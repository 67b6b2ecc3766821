package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	clientDeadline = 3 * time.Second
	clientTries    = 5
)

type step struct {
	Count      int   `json:"count"`
	CPU        int   `json:"cpu"`
	MemMB      int   `json:"mem-mb"`
	EstimateMs int   `json:"estimated-ms"`
	After      []int `json:"after,omitempty"`
	Lasts      bool  `json:"long-running,omitempty"`
}

type job struct {
	Spec  string `json:"task-spec"`
	Steps []step `json:"steps"`
}

// cpuOf is what a task of each job requests, in thousandths of a core.
var (
	cpuMu sync.Mutex
	cpuOf = map[string]int{}
)

func newID() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// call makes one call to an entry; status is 0 without an answer.
func (d *deployment) call(entry int, method, id string, body any) (status int, text string) {
	var in io.Reader
	if body != nil {
		b, _ := json.Marshal(body)
		in = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, "http://"+d.entries[entry%len(d.entries)].front()+queuePrefix+id, in)
	if err != nil {
		return 0, ""
	}
	req.Host = queueHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{Timeout: clientDeadline}
	resp, err := client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	out, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, strings.TrimSpace(string(out))
}

// submit hands a job in, with the retries of a client at the other entries. It
// reports whether the job was accepted.
func (d *deployment) submit(entry int, j job) (id string, accepted bool) {
	id = newID()
	cpuMu.Lock()
	cpuOf[id] = j.Steps[0].CPU
	cpuMu.Unlock()
	for try := range clientTries {
		status, _ := d.call(entry+try, http.MethodPost, id, j)
		d.rec.add("job %s is handed in: %d", id, status)
		switch {
		case status >= 200 && status < 300:
			return id, true
		case status >= 400 && status < 500 && status != http.StatusTooManyRequests:
			return id, false
		}
		time.Sleep(300 * time.Millisecond)
	}
	return id, false
}

// state asks for a job's state.
func (d *deployment) state(entry int, id string) (int, string) {
	status, text := d.call(entry, http.MethodGet, id, nil)
	var a struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(text), &a)
	return status, a.State
}

// awaitStates asks for the states of jobs until all are final or the time is over.
func (d *deployment) awaitStates(ids []string, limit time.Duration) map[string]string {
	states := map[string]string{}
	end := time.Now().Add(limit)
	for {
		open := 0
		for n, id := range ids {
			if s := states[id]; s == "completed" || s == "failed" || s == "cancelled" {
				continue
			}
			status, s := d.state(n, id)
			if s != states[id] {
				d.rec.add("job %s is shown: %d %s", id, status, s)
			}
			states[id] = s
			if s != "completed" && s != "failed" && s != "cancelled" {
				open++
			}
		}
		if open == 0 || time.Now().After(end) {
			return states
		}
		time.Sleep(200 * time.Millisecond)
	}
}
