package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/platform/standin"
	"persimmonrock.example/structs/workload"
)

const (
	maxHold    = 10 * time.Second
	stopTime   = 200 * time.Millisecond
	listedEnds = 500
	startup    = 320 * time.Millisecond
	beatEvery  = 500 * time.Millisecond
)

// minionHost is the machine of a minion. It runs one life of the minion at a
// time, at the same address.
type minionHost struct {
	rec     *record
	name    string
	rack    string
	address string
	// reports is where the agent takes the minion's reports.
	reports string

	mu    sync.Mutex
	lives int
	life  *minion
	srv   *http.Server
}

// minion is one life, a workerctl.Control.
type minion struct {
	host  *minionHost
	info  workload.Worker
	began time.Time

	mu      sync.Mutex
	dead    bool
	token   uint64
	lease   workerctl.Clock
	runs    map[workload.RunID]*taskRun
	highest map[workload.TaskID]int
	ended   []workload.End
	number  uint64
	changed chan struct{}
}

type taskRun struct {
	id       workload.RunID
	began    time.Time
	work     time.Duration
	lasts    bool
	stopping bool
	timer    *time.Timer
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
	m := &minion{
		host: h, began: time.Now(), runs: map[workload.RunID]*taskRun{}, highest: map[workload.TaskID]int{}, changed: make(chan struct{}),
		info: workload.Worker{
			ID: workload.WorkerID(fmt.Sprintf("i-%s-%d", h.name, h.lives)), Service: serviceName, Labels: []string{"a", h.rack},
			Capacity: workload.Resources{CPU: hostCPU, Memory: hostMemory},
		},
	}
	h.life = m
	h.srv = &http.Server{Handler: standin.WorkerHandler(m)}
	go h.srv.Serve(l)
	go m.report()
	go m.watchLease()
	h.rec.add("minion %s begins", m.info.ID)
	return nil
}

// crash ends the present life: what runs there is gone, nothing listens.
func (h *minionHost) crash() workload.WorkerID {
	h.mu.Lock()
	m, srv := h.life, h.srv
	h.mu.Unlock()
	m.mu.Lock()
	m.dead = true
	n := len(m.runs)
	for _, x := range m.runs {
		x.timer.Stop()
	}
	m.runs = map[workload.RunID]*taskRun{}
	m.mu.Unlock()
	srv.Close()
	h.rec.crashed(m)
	h.rec.add("minion %s crashes with %d runs", m.info.ID, n)
	return m.info.ID
}

func (h *minionHost) current() *minion {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.life
}

func (m *minion) clock() workerctl.Clock { return workerctl.Clock(1000).Add(time.Since(m.began)) }

// report sends reports to the agent until the life ends.
func (m *minion) report() {
	for n := uint64(1); ; n++ {
		m.mu.Lock()
		dead := m.dead
		m.mu.Unlock()
		if dead {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = standin.Report(ctx, m.host.reports, m.info, n) // the next report follows soon
		cancel()
		time.Sleep(beatEvery)
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
				m.end(x, workload.EndLapsed)
			}
			m.host.rec.lapsed(m, m.number)
		}
		m.mu.Unlock()
	}
}

// admit checks a call that names an incarnation and shows a token. The caller
// holds mu.
func (m *minion) admit(incarnation workload.WorkerID, token uint64) error {
	switch {
	case m.dead:
		return workerctl.ErrUnknown
	case incarnation != m.info.ID:
		return workerctl.ErrGone
	case token < m.token:
		return &workerctl.RefusedError{Reason: workerctl.RefusedFence}
	}
	m.token = token
	return nil
}

func (m *minion) extend(lease workerctl.Clock) {
	m.lease = max(m.lease, min(lease, m.clock().Add(maxHold)))
}

// number reads "name=N" from a task's text.
func number(spec, name string) int {
	_, text, ok := strings.Cut(spec, name+"=")
	if !ok {
		return 0
	}
	n, _ := strconv.Atoi(strings.Fields(text)[0])
	return n
}

// workOf is the duration of a task: work-ms, and up to spread-ms more by its name.
func workOf(spec string, task workload.TaskID) time.Duration {
	ms := number(spec, "work-ms")
	if n := number(spec, "spread-ms"); n > 0 {
		h := 0
		for _, c := range task.String() {
			h = (h*31 + int(c)) % 1000003
		}
		ms += h % n
	}
	return time.Duration(ms) * time.Millisecond
}

// Start implements workerctl.Control.
func (m *minion) Start(_ context.Context, incarnation workload.WorkerID, o workerctl.StartOrder) (workerctl.Clock, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(incarnation, o.Token); err != nil {
		return m.clock(), err
	}
	m.extend(o.Lease)
	switch {
	case m.runs[o.Run] != nil:
		return m.clock(), nil
	case o.Lease < m.clock():
		return m.clock(), &workerctl.RefusedError{Reason: workerctl.RefusedLate}
	case o.Run.Run <= m.highest[o.Run.Task]:
		return m.clock(), &workerctl.RefusedError{Reason: workerctl.RefusedOld}
	}
	x := &taskRun{id: o.Run, began: time.Now(), work: workOf(o.Payload, o.Run.Task), lasts: strings.Contains(o.Payload, "lasts")}
	m.runs[o.Run] = x
	m.highest[o.Run.Task] = o.Run.Run
	m.host.rec.started(m, o.Run)
	x.timer = time.AfterFunc(x.work, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if m.runs[o.Run] == x && !x.stopping {
			m.end(x, workload.EndDone)
		}
	})
	return m.clock(), nil
}

// end records the end of a run. The caller holds mu.
func (m *minion) end(x *taskRun, how workload.EndKind) {
	x.timer.Stop()
	delete(m.runs, x.id)
	m.number++
	e := workload.End{Number: m.number, Run: x.id, Kind: how}
	m.ended = append(m.ended, e)
	m.host.rec.ended(m, e)
	close(m.changed)
	m.changed = make(chan struct{})
}

// Stop implements workerctl.Control.
func (m *minion) Stop(_ context.Context, incarnation workload.WorkerID, run workload.RunID, token uint64) (workerctl.Clock, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(incarnation, token); err != nil {
		return m.clock(), err
	}
	m.highest[run.Task] = max(m.highest[run.Task], run.Run)
	if x := m.runs[run]; x != nil && !x.stopping {
		x.stopping = true
		time.AfterFunc(stopTime, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.runs[run] == x {
				m.end(x, workload.EndStopped)
			}
		})
	}
	return m.clock(), nil
}

// Pace implements workerctl.Control.
func (m *minion) Pace(_ context.Context, incarnation workload.WorkerID, _ workload.RunID, _ int, token uint64) (workerctl.Clock, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock(), m.admit(incarnation, token)
}

// Hold implements workerctl.Control.
func (m *minion) Hold(ctx context.Context, incarnation workload.WorkerID, o workerctl.HoldOrder) (workerctl.Listing, error) {
	m.mu.Lock()
	if err := m.admit(incarnation, o.Token); err != nil {
		m.mu.Unlock()
		return workerctl.Listing{}, err
	}
	if o.Lease > 0 {
		m.extend(o.Lease)
	}
	m.acknowledge(o.Seen)
	wait, changed := o.Wait > 0 && len(m.ended) == 0, m.changed
	m.mu.Unlock()
	if wait {
		select {
		case <-changed:
		case <-time.After(o.Wait):
		case <-ctx.Done():
			return workerctl.Listing{}, workerctl.ErrUnknown
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.dead {
		return workerctl.Listing{}, workerctl.ErrUnknown
	}
	l := workerctl.Listing{Now: m.clock()}
	for _, x := range m.runs {
		l.Running = append(l.Running, workerctl.RunStatus{Run: x.id, Progress: x.percent()})
	}
	l.Ended = append(l.Ended, m.ended[:min(len(m.ended), listedEnds)]...)
	return l, nil
}

// acknowledge forgets the ends up to seen. The caller holds mu.
func (m *minion) acknowledge(seen uint64) {
	n := 0
	for n < len(m.ended) && m.ended[n].Number <= seen {
		m.host.rec.noted(m, m.ended[n])
		n++
	}
	m.ended = m.ended[n:]
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

// running returns the number of runs.
func (m *minion) running() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.runs)
}
