package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	heartbeatTime = 1100 * time.Millisecond
	maxHold       = 10 * time.Second
	stopTime      = 50 * time.Millisecond // at most stop-ms
	gangTime      = 4 * time.Second
	startupTime   = 320 * time.Millisecond
	saveTime      = time.Second
	restoreTime   = 250 * time.Millisecond
	listedEnds    = 500
)

// site is one machine beside which minions live, one after the other.
type site struct {
	d         *deployment
	name      string
	app       string // address at which the minion takes calls
	control   string // address of the agent
	labels    []string
	cpu, mem  int
	clockRate float64

	mu      sync.Mutex
	present *minion
	lives   int
	fault   minionFault
}

// minionFault is what a minion does to the calls of its agent.
type minionFault struct {
	// late is the share of orders that get no answer and are carried out 2 to 12 s
	// later, lost the share of calls that are carried out and get no answer.
	late, lost float64
	// reset is the share of calls whose connection is reset before anything is done,
	// slow delays every answer.
	reset float64
	slow  time.Duration
}

func (s *site) setFault(f minionFault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
}

func (s *site) currentFault() minionFault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// minion is one life of a minion.
type minion struct {
	s     *site
	id    string
	began time.Time
	first int64

	server   *http.Server
	listener net.Listener
	cancel   context.CancelFunc

	mu       sync.Mutex
	alive    bool
	draining bool
	token    uint64
	lease    int64
	running  map[string]*run // by task
	highest  map[string]int
	ended    []end
	number   uint64
	lapsedAt uint64
	changed  chan struct{}
}

type run struct {
	task       string
	n          int
	began      time.Time
	work       time.Duration // what is left when it begins
	saved      int           // in ms of work done before
	working    bool
	workSince  time.Time
	stopping   bool
	timer      *time.Timer
	step       *stepSpec
	gang       string
	checkpoint string
}

type end struct {
	N     uint64
	Task  string
	Run   int
	How   string
	Saved string
}

// start begins a new life.
func (s *site) start() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lives++
	l, err := net.Listen("tcp", s.app)
	for n := 0; err != nil && n < 50; n++ {
		time.Sleep(20 * time.Millisecond)
		l, err = net.Listen("tcp", s.app)
	}
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	m := &minion{
		s: s, id: fmt.Sprintf("i-%s-%d-%04x", s.name, s.lives, rand.IntN(1<<16)), began: time.Now(), first: 1000 + rand.Int64N(1<<30), alive: true, cancel: cancel, listener: l,
		running: map[string]*run{}, highest: map[string]int{}, changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.handle(m.runStart))
	mux.HandleFunc("POST /run-stop", m.handle(m.runStop))
	mux.HandleFunc("POST /pace", m.handle(m.pace))
	mux.HandleFunc("POST /hold", m.handle(m.hold))
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X-Instance-Id", m.id) })
	m.server = &http.Server{Handler: mux}
	s.present = m
	s.d.note("minion up", "minion", m.id)
	go func() { _ = m.server.Serve(l) }()
	go m.watchLease(ctx)
	go m.beat(ctx)
	return nil
}

func (s *site) current() *minion {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.present
}

// crash ends the present life at once, as SIGKILL does: nothing listens any more,
// and all that ran is gone.
func (s *site) crash() {
	m := s.current()
	if m == nil {
		return
	}
	m.mu.Lock()
	if !m.alive {
		m.mu.Unlock()
		return
	}
	m.alive = false
	var lost []*run
	for _, x := range m.running {
		lost = append(lost, x)
	}
	m.running = map[string]*run{}
	m.mu.Unlock()
	m.cancel()
	_ = m.server.Close()
	s.d.note("minion crashed", "minion", m.id, "runs", len(lost))
	for _, x := range lost {
		if x.timer != nil {
			x.timer.Stop()
		}
		s.d.rules.gone(m, x)
		s.d.gangs.broken(x)
	}
}

func (m *minion) clock() int64 {
	return m.first + int64(float64(time.Since(m.began).Milliseconds())*m.s.clockRate)
}

func (m *minion) beat(ctx context.Context) {
	seq := 1
	for ctx.Err() == nil {
		m.mu.Lock()
		state := "ready"
		if m.draining {
			state = "draining"
		}
		m.mu.Unlock()
		body, _ := json.Marshal(map[string]any{
			"service": serviceName, "address": m.s.app, "zone": "barre-hall", "version": "v1", "slots": 8, "state": state, "cold-remaining-ms": 0,
			"capacity": map[string]int{"cpu": m.s.cpu, "mem-mb": m.s.mem, "gpu": 0}, "labels": m.s.labels, "clock-ms": m.clock(), "seq-no": seq,
		})
		seq++
		call, cancel := context.WithTimeout(ctx, time.Second)
		req, err := http.NewRequestWithContext(call, http.MethodPost, "http://"+m.s.control+"/Instances.Heartbeat/"+m.id, bytes.NewReader(body))
		wait := heartbeatTime
		if err == nil {
			req.Header.Set("Content-Type", "application/json")
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				_ = resp.Body.Close()
			} else {
				wait = 200 * time.Millisecond // no acknowledgement: the only node is called again
			}
		}
		cancel()
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
}

func (m *minion) watchLease(ctx context.Context) {
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		m.mu.Lock()
		var lapsed []*run
		if m.alive && m.lease > 0 && m.clock() > m.lease {
			for _, x := range m.running {
				lapsed = append(lapsed, x)
			}
			for _, x := range lapsed {
				m.end(x, "lapsed")
			}
			if m.number > 0 {
				m.lapsedAt = m.number
			}
		}
		m.mu.Unlock()
	}
}

type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"task-spec"`
	Deadline   int64  `json:"deadline-ms"`
	Token      uint64 `json:"fencing-token"`
	Checkpoint string `json:"checkpoint"`
	Ticket     string `json:"ticket"`
	Seen       uint64 `json:"last-seen"`
	WaitMs     int64  `json:"wait-ms"`
	Percent    int    `json:"percent"`
}

func (m *minion) handle(do func(context.Context, order) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("X-Target-Instance") != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		f := m.s.currentFault()
		if rand.Float64() < f.reset {
			panic(http.ErrAbortHandler)
		}
		time.Sleep(f.slow)
		if r.URL.Path != "/hold" && rand.Float64() < f.late {
			time.AfterFunc(2*time.Second+rand.N(10*time.Second), func() {
				if m.lives() {
					do(context.Background(), o)
				}
			})
			<-r.Context().Done()
			return
		}
		status, body := do(r.Context(), o)
		if rand.Float64() < f.lost {
			<-r.Context().Done()
			return
		}
		if !m.lives() {
			panic(http.ErrAbortHandler)
		}
		body["clock-ms"] = m.clock()
		writeJSON(w, status, body)
	}
}

func (m *minion) lives() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.alive
}

// leave drains the minion, lets it end by itself, and starts the next one.
func (s *site) leave(drain, down time.Duration) {
	m := s.current()
	m.mu.Lock()
	m.draining = true
	m.mu.Unlock()
	s.d.note("draining", "minion", m.id)
	time.Sleep(drain)
	call, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if req, err := http.NewRequestWithContext(call, http.MethodPost, "http://"+s.control+"/Instances.Deregister/"+m.id, nil); err == nil {
		if resp, err := http.DefaultClient.Do(req); err == nil {
			_ = resp.Body.Close()
		}
	}
	if s.current() == m {
		s.crash()
		time.Sleep(down)
		_ = s.start()
	}
}

func refused(why string) (int, map[string]any) {
	return http.StatusConflict, map[string]any{"reason": why}
}

func (m *minion) extend(deadline int64) {
	if deadline <= 0 {
		return
	}
	longest := m.clock() + maxHold.Milliseconds()
	m.lease = max(m.lease, min(deadline, longest))
}

func (m *minion) runStart(_ context.Context, o order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.alive {
		return http.StatusOK, map[string]any{} // nobody gets it
	}
	if o.Token < m.token {
		return refused("fence")
	}
	m.token = o.Token
	if o.Deadline < m.clock() {
		return refused("late")
	}
	m.extend(o.Deadline)
	if x := m.running[o.Task]; x != nil && x.n == o.Run {
		return http.StatusOK, map[string]any{}
	}
	if o.Run <= m.highest[o.Task] || m.running[o.Task] != nil && m.running[o.Task].n > o.Run {
		return refused("old")
	}
	if m.s.d.rules.advised(o.Task) && !m.s.d.adviser.valid(o.Task, m.id, o.Ticket) {
		return refused("ticket")
	}
	step := m.s.d.rules.started(m, o)
	x := &run{task: o.Task, n: o.Run, began: time.Now(), step: step, checkpoint: o.Checkpoint}
	m.running[o.Task] = x
	if step == nil {
		return http.StatusOK, map[string]any{}
	}
	if _, err := fmt.Sscanf(o.Checkpoint, "%d", &x.saved); err != nil {
		x.saved = 0
	}
	if step.Gang {
		x.gang = o.Task[:strings.LastIndex(o.Task, ".")] + fmt.Sprintf("#%d", o.Run)
		m.s.d.gangs.join(m, x)
		return http.StatusOK, map[string]any{}
	}
	m.begin(x)
	return http.StatusOK, map[string]any{}
}

// begin lets a run work. The caller holds mu.
func (m *minion) begin(x *run) {
	x.working, x.workSince = true, time.Now()
	if x.step.Lasting {
		return
	}
	left := x.step.workTime(x.task) - time.Duration(x.saved)*time.Millisecond
	if x.saved > 0 {
		left += restoreTime
	}
	how := "done"
	if x.step.fails(x.task) {
		how = "failed"
	}
	x.timer = time.AfterFunc(left, func() {
		m.mu.Lock()
		if !m.alive || m.running[x.task] != x {
			m.mu.Unlock()
			return
		}
		m.end(x, how)
		m.mu.Unlock()
		if x.gang != "" {
			m.s.d.gangs.ended(x, how)
		}
	})
}

// end ends a run. The caller holds mu.
func (m *minion) end(x *run, how string) {
	if x.timer != nil {
		x.timer.Stop()
	}
	delete(m.running, x.task)
	m.highest[x.task] = max(m.highest[x.task], x.n)
	m.number++
	saved := ""
	if how != "done" && x.step != nil && x.step.Checkpointing {
		saved = x.save()
	}
	m.ended = append(m.ended, end{m.number, x.task, x.n, how, saved})
	m.s.d.rules.ended(m, x, m.number, how)
	close(m.changed)
	m.changed = make(chan struct{})
	if x.gang != "" && how != "done" && how != "failed" {
		go m.s.d.gangs.broken(x)
	}
}

// save returns the checkpoint that a run has produced so far.
func (x *run) save() string {
	if !x.working {
		return x.checkpoint
	}
	done := int(time.Since(x.workSince).Milliseconds())
	if x.saved > 0 {
		done = max(0, done-int(restoreTime.Milliseconds()))
	}
	return fmt.Sprintf("%08d", x.saved+done)
}

func (m *minion) runStop(_ context.Context, o order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Token < m.token {
		return refused("fence")
	}
	m.token = o.Token
	m.highest[o.Task] = max(m.highest[o.Task], o.Run)
	x := m.running[o.Task]
	if x == nil || x.n != o.Run || x.stopping {
		return http.StatusOK, map[string]any{}
	}
	x.stopping = true
	time.AfterFunc(stopTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.alive && m.running[o.Task] == x {
			m.end(x, "stopped")
		}
	})
	return http.StatusOK, map[string]any{}
}

func (m *minion) pace(_ context.Context, o order) (int, map[string]any) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if o.Token < m.token {
		return refused("fence")
	}
	m.token = o.Token
	return http.StatusOK, map[string]any{}
}

func (m *minion) hold(ctx context.Context, o order) (int, map[string]any) {
	m.mu.Lock()
	if o.Token < m.token {
		m.mu.Unlock()
		return refused("fence")
	}
	m.token = o.Token
	m.extend(o.Deadline)
	kept := m.ended[:0]
	for _, e := range m.ended {
		if e.N > o.Seen {
			kept = append(kept, e)
		} else if e.N > m.lapsedAt {
			m.s.d.rules.noted(m, e)
		}
	}
	m.ended = kept
	number, changed := m.number, m.changed
	m.mu.Unlock()
	if wait := min(o.WaitMs, 2000); wait > 0 && number <= o.Seen {
		select {
		case <-changed:
		case <-time.After(time.Duration(wait) * time.Millisecond):
		case <-ctx.Done():
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	running, ended := [][]any{}, [][]any{}
	for _, x := range m.running {
		percent, saved := 0, x.checkpoint
		if x.step != nil && x.working {
			took := time.Since(x.workSince)
			switch {
			case x.step.Lasting && took >= startupTime:
				percent = 100
			case !x.step.Lasting:
				percent = min(99, int(100*(took+time.Duration(x.saved)*time.Millisecond)/max(1, x.step.workTime(x.task))))
			}
			if x.step.Checkpointing && took >= saveTime {
				saved = x.save()
			}
		}
		running = append(running, []any{x.task, x.n, saved, percent, 5})
	}
	for _, e := range m.ended[:min(len(m.ended), listedEnds)] {
		ended = append(ended, []any{e.N, e.Task, e.Run, e.How, e.Saved})
	}
	return http.StatusOK, map[string]any{"running": running, "ended": ended}
}

// gangs holds the members of gangs that are present.
type gangs struct {
	mu      sync.Mutex
	members map[string][]member
	ends    map[string]string
}

type member struct {
	m *minion
	x *run
}

// join adds a member, and lets the gang work once all are present. The caller holds
// the minion's mu.
func (g *gangs) join(m *minion, x *run) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[x.gang] = append(g.members[x.gang], member{m, x})
	if len(g.members[x.gang]) == x.step.Count {
		for _, other := range g.members[x.gang] {
			go other.work()
		}
		return
	}
	time.AfterFunc(gangTime, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.alive && m.running[x.task] == x && !x.working {
			m.end(x, "alone")
		}
	})
}

func (k member) work() {
	k.m.mu.Lock()
	defer k.m.mu.Unlock()
	if k.m.alive && k.m.running[k.x.task] == k.x && !k.x.working {
		k.m.begin(k.x)
	}
}

// ended ends all other members as done, or as broken if one has failed.
func (g *gangs) ended(x *run, how string) {
	if how != "done" {
		how = "broken"
	}
	g.endOthers(x, how)
}

// broken ends the other members of a run that has ended otherwise.
func (g *gangs) broken(x *run) {
	if x.gang != "" {
		g.endOthers(x, "broken")
	}
}

func (g *gangs) endOthers(x *run, how string) {
	g.mu.Lock()
	list := append([]member(nil), g.members[x.gang]...)
	g.mu.Unlock()
	for _, k := range list {
		if k.x == x {
			continue
		}
		k.m.mu.Lock()
		if k.m.alive && k.m.running[k.x.task] == k.x && k.x.working {
			k.m.end(k.x, how)
		}
		k.m.mu.Unlock()
	}
}
