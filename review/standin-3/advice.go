package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	advicePrefix = "/pufi791/"
	decideTime   = 200 * time.Millisecond
	perWorker    = 10 * time.Millisecond
	ticketValid  = 3 * time.Second
)

// adviser is the policy service: it permits a step on some sites.
type adviser struct {
	d       *deployment
	address string
	turn    sync.Mutex
	mu      sync.Mutex
	waiting int
	issued  map[string]time.Time
}

func (a *adviser) listen(ip string) error {
	l, err := net.Listen("tcp", ip+":0")
	if err != nil {
		return err
	}
	a.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /advise", a.advise)
	go func() { _ = http.Serve(l, mux) }() // ends with the process
	return nil
}

// permitted reports whether the step may run on the minion; about two of three sites.
func (a *adviser) permitted(step, id string) bool {
	h := fnv.New32a()
	_, _ = h.Write([]byte(step + siteOf(id)))
	return h.Sum32()%3 != 0
}

// siteOf returns the site in a minion's ID.
func siteOf(id string) string {
	f := strings.Split(id, "-")
	if len(f) < 2 {
		return ""
	}
	return f[1]
}

func (a *adviser) advise(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&q) != nil || len(q.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	a.mu.Lock()
	full := a.waiting >= 32
	if !full {
		a.waiting++
	}
	a.mu.Unlock()
	if full {
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.turn.Lock()
	time.Sleep(decideTime + time.Duration(len(q.Workers))*perWorker)
	a.turn.Unlock()
	good := [][2]string{}
	a.mu.Lock()
	a.waiting--
	for _, id := range q.Workers {
		if a.permitted(q.Step, id) {
			ticket := fmt.Sprintf("%s|%s|%d", q.Step, id, time.Now().UnixNano())
			a.issued[ticket] = time.Now()
			good = append(good, [2]string{id, ticket})
		}
	}
	a.mu.Unlock()
	a.d.note("advice", "step", q.Step, "asked", len(q.Workers), "good", len(good))
	writeJSON(w, http.StatusOK, map[string]any{"good": good, "valid-ms": ticketValid.Milliseconds()})
}

// valid reports whether a ticket lets the task start on the minion.
func (a *adviser) valid(task, id, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	at, ok := a.issued[ticket]
	step := task[:strings.LastIndex(task, ".")]
	return ok && time.Since(at) <= ticketValid && strings.HasPrefix(ticket, step+"|"+id+"|")
}
