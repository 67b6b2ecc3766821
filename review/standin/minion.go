package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold    = 10 * time.Second
	stopTime   = 200 * time.Millisecond
	listedEnds = 500
	startup    = 320 * time.Millisecond
	beatEvery  = 1100 * time.Millisecond
)

// capacity of a minion, as on the sheet of gnac-sched.
type capacity struct {
	CPU   int `json:"cpu"`
	MemMB int `json:"mem-mb"`
	GPU   int `json:"gpu"`
}

// minionHost is the machine of a minion. It runs one life of the minion at a
// time, at the same address.
type minionHost struct {
	rec     *record
	name    string
	zone    string
	rack    string
	room    capacity
	address string
	control string

	mu    sync.Mutex
	lives int
	life  *minion
	srv   *http.Server
}

// minion is one life.
type minion struct {
	host  *minionHost
	id    string
	began time.Time

	mu      sync.Mutex
	dead    bool
	seq     int
	token   uint64
	lease   int64
	runs    map[string]*taskRun
	highest map[string]int
	ended   []endRow
	number  int
	seen    int
	changed chan struct{}
}

type taskRun struct {
	task     string
	run      int
	began    time.Time
	work     time.Duration
	lasts    bool
	stopping bool
	timer    *time.Timer
}

type endRow struct {
	number int
	task   string
	run    int
	how    string
}

func (e endRow) MarshalJSON() ([]byte, error) {
	return json.Marshal([]any{e.number, e.task, e.run, e.how, ""})
}

// start begins a new life, with a new ID.
func (h *minionHost) start() error {
	l, err := net.Listen("tcp", h.address)
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lives++
	m := &minion{host: h, id: fmt.Sprintf("i-%s-%d", h.name, h.lives), began: time.Now(), runs: map[string]*taskRun{}, highest: map[string]int{}, changed: make(chan struct{})}
	h.life = m
	h.srv = &http.Server{Handler: m.handler()}
	go h.srv.Serve(l)
	go m.beat()
	go m.watchLease()
	h.rec.add("minion %s begins", m.id)
	return nil
}

// crash ends the present life: what runs there is gone, nothing listens.
func (h *minionHost) crash() string {
	h.mu.Lock()
	m, srv := h.life, h.srv
	h.mu.Unlock()
	m.mu.Lock()
	m.dead = true
	n := len(m.runs)
	var lost []string
	for key, x := range m.runs {
		x.timer.Stop()
		lost = append(lost, key)
	}
	m.runs = map[string]*taskRun{}
	m.mu.Unlock()
	srv.Close()
	h.rec.crashed(m, lost)
	h.rec.add("minion %s crashes with %d runs", m.id, n)
	return m.id
}

func (h *minionHost) current() *minion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}

func (m *minion) clock() int64 { return time.Since(m.began).Milliseconds() + 1000 }

// beat sends heartbeats to the agent's address on the minion's machine.
func (m *minion) beat() {
	client := &http.Client{Timeout: time.Second}
	for {
		m.mu.Lock()
		if m.dead {
			m.mu.Unlock()
			return
		}
		m.seq++
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": m.host.address, "zone": m.host.zone, "version": "v1", "slots": 8, "state": "ready",
			"cold-remaining-ms": 0, "capacity": m.host.room, "labels": []string{"a", m.host.rack}, "clock-ms": m.clock(), "seq-no": m.seq,
		})
		m.mu.Unlock()
		resp, err := client.Post("http://"+m.host.control+"/Instances.Heartbeat/"+m.id, "application/json", bytes.NewReader(body))
		if err == nil {
			resp.Body.Close()
		}
		pause := beatEvery
		if err != nil {
			pause = 200 * time.Millisecond
		}
		time.Sleep(pause)
	}
}

// watchLease kills everything when the lease expires.
func (m *minion) watchLease() {
	for {
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
		if m.dead {
			m.mu.Unlock()
			return
		}
		if len(m.runs) > 0 && m.clock() > m.lease {
			for _, x := range m.runs {
				m.end(x, "lapsed")
			}
			m.host.rec.lapsed(m, m.number)
		}
		m.mu.Unlock()
	}
}

type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"task-spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fencing-token"`
	Seen     int    `json:"last-seen"`
	WaitMs   int64  `json:"wait-ms"`
}

func (m *minion) handler() http.Handler {
	mux := http.NewServeMux()
	for path, do := range map[string]func(http.ResponseWriter, *http.Request, order){
		"/run-start": m.runStart, "/run-stop": m.runStop, "/pace": m.pace, "/hold": m.hold,
	} {
		mux.HandleFunc("POST "+path, func(w http.ResponseWriter, r *http.Request) {
			var o order
			if json.NewDecoder(r.Body).Decode(&o) != nil {
				w.WriteHeader(http.StatusBadRequest)
				return
			}
			if id := r.Header.Get("X-Target-Instance"); id != m.id {
				w.WriteHeader(http.StatusMisdirectedRequest)
				return
			}
			do(w, r, o)
		})
	}
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	return mux
}

// fence refuses lower tokens than the highest seen. The caller holds mu.
func (m *minion) fence(w http.ResponseWriter, o order) bool {
	if o.Token < m.token {
		m.refuse(w, "fence")
		return false
	}
	m.token = o.Token
	return true
}

func (m *minion) refuse(w http.ResponseWriter, why string) {
	writeJSON(w, http.StatusConflict, map[string]any{"clock-ms": m.clock(), "reason": why})
}

func (m *minion) extend(deadline int64) {
	m.lease = max(m.lease, min(deadline, m.clock()+maxHold.Milliseconds()))
}

// percent of the work that is done. A task that lasts is at work after a short
// startup.
func (x *taskRun) percent() int {
	switch {
	case !x.lasts:
		return min(99, int(100*time.Since(x.began)/x.work))
	case time.Since(x.began) < startup:
		return 50
	}
	return 100
}

func runKey(task string, run int) string { return task + "#" + strconv.Itoa(run) }

// workOf reads the duration from the task's text: "work-ms=N".
func workOf(spec, task string) time.Duration {
	ms := 1000
	if _, text, ok := strings.Cut(spec, "work-ms="); ok {
		if n, err := strconv.Atoi(strings.Fields(text)[0]); err == nil {
			ms = n
		}
	}
	if _, text, ok := strings.Cut(spec, "spread-ms="); ok {
		if n, err := strconv.Atoi(strings.Fields(text)[0]); err == nil && n > 0 {
			h := 0
			for _, c := range task {
				h = (h*31 + int(c)) % 1000003
			}
			ms += h % n
		}
	}
	return time.Duration(ms) * time.Millisecond
}

func (m *minion) runStart(w http.ResponseWriter, _ *http.Request, o order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead || !m.fence(w, o) {
		return
	}
	m.extend(o.Deadline)
	key := runKey(o.Task, o.Run)
	switch {
	case m.runs[key] != nil:
	case o.Deadline < m.clock():
		m.refuse(w, "late")
		return
	case o.Run <= m.highest[o.Task]:
		m.refuse(w, "old")
		return
	default:
		x := &taskRun{task: o.Task, run: o.Run, began: time.Now(), work: workOf(o.Spec, o.Task), lasts: strings.Contains(o.Spec, "lasts")}
		m.runs[key] = x
		m.highest[o.Task] = o.Run
		m.host.rec.started(m, o)
		x.timer = time.AfterFunc(x.work, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.runs[key] == x && !x.stopping {
				m.end(x, "done")
			}
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock-ms": m.clock()})
}

// end records the end of a run. The caller holds mu.
func (m *minion) end(x *taskRun, how string) {
	x.timer.Stop()
	delete(m.runs, runKey(x.task, x.run))
	m.number++
	e := endRow{m.number, x.task, x.run, how}
	m.ended = append(m.ended, e)
	m.host.rec.ended(m, e)
	close(m.changed)
	m.changed = make(chan struct{})
}

func (m *minion) runStop(w http.ResponseWriter, _ *http.Request, o order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead || !m.fence(w, o) {
		return
	}
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	if x := m.runs[runKey(o.Task, o.Run)]; x != nil && !x.stopping {
		x.stopping = true
		time.AfterFunc(stopTime, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.runs[runKey(o.Task, o.Run)] == x {
				m.end(x, "stopped")
			}
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"clock-ms": m.clock()})
}

func (m *minion) pace(w http.ResponseWriter, _ *http.Request, o order) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.dead && m.fence(w, o) {
		writeJSON(w, http.StatusOK, map[string]any{"clock-ms": m.clock()})
	}
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, o order) {
	m.mu.Lock()
	if m.dead || !m.fence(w, o) {
		m.mu.Unlock()
		return
	}
	if o.Deadline > 0 {
		m.extend(o.Deadline)
	}
	m.acknowledge(o.Seen)
	wait, changed := o.WaitMs > 0 && len(m.ended) == 0, m.changed
	m.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMs) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	running := [][]any{}
	for _, x := range m.runs {
		running = append(running, []any{x.task, x.run, "", x.percent(), 0})
	}
	ended := append([]endRow{}, m.ended[:min(len(m.ended), listedEnds)]...)
	writeJSON(w, http.StatusOK, map[string]any{"clock-ms": m.clock(), "running": running, "ended": ended})
}

// acknowledge forgets the ends up to seen. The caller holds mu.
func (m *minion) acknowledge(seen int) {
	n := 0
	for n < len(m.ended) && m.ended[n].number <= seen {
		m.host.rec.noted(m, m.ended[n])
		n++
	}
	m.ended = m.ended[n:]
	m.seen = max(m.seen, seen)
}

// running returns the number of runs.
func (m *minion) running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.runs)
}
