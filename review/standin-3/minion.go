package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"persimmonrock.example/infra/workerctl"
	"persimmonrock.example/platform/standin"
	"persimmonrock.example/structs/workload"
)

const (
	beatEvery  = 500 * time.Millisecond
	maxHold    = 10 * time.Second
	stopTime   = 50 * time.Millisecond
	listedEnds = 500
	// shortWork is how long a task of the first jobs works, longWork any other one that
	// does not last. All runs of a task take the same.
	shortWork = 200 * time.Millisecond
	longWork  = 2200 * time.Millisecond
	// lastingPayload marks the tasks that last.
	lastingPayload = "lasts"
)

// site is the machine beside which the lives of a minion follow each other.
type site struct {
	log              *record
	number           int
	address, reports string
	labels           []string

	mu    sync.Mutex
	lives int
	life  *minion
	// starts and ends count what minions did here, by job.
	starts map[workload.JobID]int
	ends   map[workload.JobID]map[workload.EndKind]int
}

// minion is one life of a minion. It implements workerctl.Control.
type minion struct {
	site   *site
	info   workload.Worker
	began  time.Time
	start0 workerctl.Clock
	server *http.Server
	done   chan struct{}

	mu      sync.Mutex
	alive   bool
	token   uint64
	lease   workerctl.Clock
	running map[workload.RunID]*run
	highest map[workload.TaskID]int
	ended   []workload.End
	number  uint64
	changed chan struct{}
}

type run struct {
	id       workload.RunID
	began    time.Time
	work     time.Duration // 0 if it lasts
	stopping bool
	timer    *time.Timer
}

// start begins a new life.
func (s *site) start() error {
	l, err := net.Listen("tcp", s.address)
	for n := 0; err != nil && n < 50; n++ {
		time.Sleep(10 * time.Millisecond)
		l, err = net.Listen("tcp", s.address)
	}
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.lives++
	m := &minion{
		site: s, began: time.Now(), start0: workerctl.Clock(1 + rand.Int64N(1<<30)), done: make(chan struct{}), alive: true,
		info: workload.Worker{
			ID: workload.WorkerID(fmt.Sprintf("i-%02d-%d-%04x", s.number, s.lives, rand.IntN(1<<16))), Service: service, Labels: s.labels,
			Capacity: workload.Resources{CPU: 64000, Memory: 256000},
		},
		running: map[workload.RunID]*run{}, highest: map[workload.TaskID]int{}, changed: make(chan struct{}),
	}
	if s.starts == nil {
		s.starts, s.ends = map[workload.JobID]int{}, map[workload.JobID]map[workload.EndKind]int{}
	}
	s.life = m
	s.mu.Unlock()
	m.server = &http.Server{Handler: standin.WorkerHandler(m)}
	go func() { _ = m.server.Serve(l) }() // ends with the life
	go m.report()
	go m.watchLease()
	s.log.add("minion %s is up, labels %v", m.info.ID, s.labels)
	return nil
}

// crash ends the present life like SIGKILL: nothing listens any more, connections are
// closed, and whatever ran is gone without a word.
func (s *site) crash() {
	s.mu.Lock()
	m := s.life
	s.mu.Unlock()
	m.mu.Lock()
	if !m.alive {
		m.mu.Unlock()
		return
	}
	m.alive = false
	close(m.done)
	lost := m.running
	m.running = map[workload.RunID]*run{}
	m.mu.Unlock()
	_ = m.server.Close()
	s.log.add("minion %s crashes", m.info.ID)
	for id, x := range lost {
		if x.timer != nil {
			x.timer.Stop()
		}
		s.log.add("lost with %s: %s, %d ms after its start", m.info.ID, id, time.Since(x.began).Milliseconds())
	}
}

// close ends the site for good.
func (s *site) close() {
	s.mu.Lock()
	m := s.life
	s.mu.Unlock()
	if m != nil {
		_ = m.server.Close()
	}
}

// runs reports whether a run of the job is on the present life.
func (s *site) runs(id workload.JobID) bool {
	s.mu.Lock()
	m := s.life
	s.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	for r := range m.running {
		if r.Task.Job == id {
			return true
		}
	}
	return false
}

// counts returns how many runs of the job were started, and have ended failed.
func (d *deployment) counts(id workload.JobID) (starts, failed int) {
	for _, s := range d.sites {
		s.mu.Lock()
		starts += s.starts[id]
		failed += s.ends[id][workload.EndFailed]
		s.mu.Unlock()
	}
	return starts, failed
}

// clock is a steady clock that is 2 % slow, the most that the pages allow.
func (m *minion) clock() workerctl.Clock {
	return m.start0 + workerctl.Clock(float64(time.Since(m.began).Milliseconds())*0.98)
}

func (m *minion) report() {
	for n := uint64(1); ; n++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = standin.Report(ctx, m.site.reports, m.info, n) // the next report follows soon
		cancel()
		select {
		case <-m.done:
			return
		case <-time.After(beatEvery):
		}
	}
}

// watchLease ends everything when the lease expires.
func (m *minion) watchLease() {
	for {
		select {
		case <-m.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		m.mu.Lock()
		if m.alive && m.clock() > m.lease {
			for _, x := range m.running {
				m.end(x, workload.EndLapsed)
			}
		}
		m.mu.Unlock()
	}
}

// admit checks a call. The caller holds mu.
func (m *minion) admit(called workload.WorkerID, token uint64) error {
	switch {
	case !m.alive:
		return workerctl.ErrUnknown
	case called != m.info.ID:
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

// Start implements workerctl.Control.
func (m *minion) Start(_ context.Context, called workload.WorkerID, o workerctl.StartOrder) (workerctl.Clock, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(called, o.Token); err != nil {
		return m.clock(), err
	}
	if o.Lease < m.clock() {
		return m.clock(), &workerctl.RefusedError{Reason: workerctl.RefusedLate}
	}
	m.extend(o.Lease)
	if m.running[o.Run] != nil {
		return m.clock(), nil
	}
	if o.Run.Run <= m.highest[o.Run.Task] {
		return m.clock(), &workerctl.RefusedError{Reason: workerctl.RefusedOld}
	}
	x := &run{id: o.Run, began: time.Now(), work: longWork}
	switch o.Payload {
	case lastingPayload:
		x.work = 0
	case firstPayload:
		x.work = shortWork
	}
	m.running[o.Run] = x
	m.site.log.add("start of %s on %s", o.Run, m.info.ID)
	m.site.mu.Lock()
	m.site.starts[o.Run.Task.Job]++
	m.site.mu.Unlock()
	if x.work > 0 {
		x.timer = time.AfterFunc(x.work, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.alive && m.running[x.id] == x {
				m.end(x, workload.EndDone)
			}
		})
	}
	return m.clock(), nil
}

const firstPayload = "the first job"

// end ends a run. The caller holds mu.
func (m *minion) end(x *run, how workload.EndKind) {
	if x.timer != nil {
		x.timer.Stop()
	}
	delete(m.running, x.id)
	m.highest[x.id.Task] = max(m.highest[x.id.Task], x.id.Run)
	m.number++
	m.ended = append(m.ended, workload.End{Number: m.number, Run: x.id, Kind: how})
	m.site.log.add("end of %s on %s: %s", x.id, m.info.ID, how)
	m.site.mu.Lock()
	id := x.id.Task.Job
	if m.site.ends[id] == nil {
		m.site.ends[id] = map[workload.EndKind]int{}
	}
	m.site.ends[id][how]++
	m.site.mu.Unlock()
	close(m.changed)
	m.changed = make(chan struct{})
}

// Stop implements workerctl.Control.
func (m *minion) Stop(_ context.Context, called workload.WorkerID, id workload.RunID, token uint64) (workerctl.Clock, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(called, token); err != nil {
		return m.clock(), err
	}
	m.highest[id.Task] = max(m.highest[id.Task], id.Run)
	if x := m.running[id]; x != nil && !x.stopping {
		x.stopping = true
		time.AfterFunc(stopTime, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if m.alive && m.running[id] == x {
				m.end(x, workload.EndStopped)
			}
		})
	}
	return m.clock(), nil
}

// Pace implements workerctl.Control. No task of the scripts fills.
func (m *minion) Pace(_ context.Context, called workload.WorkerID, _ workload.RunID, _ int, token uint64) (workerctl.Clock, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.clock(), m.admit(called, token)
}

// Hold implements workerctl.Control.
func (m *minion) Hold(ctx context.Context, called workload.WorkerID, o workerctl.HoldOrder) (workerctl.Listing, error) {
	m.mu.Lock()
	if err := m.admit(called, o.Token); err != nil {
		m.mu.Unlock()
		return workerctl.Listing{Now: m.clock()}, err
	}
	if o.Lease > 0 {
		m.extend(o.Lease)
	}
	kept := m.ended[:0]
	for _, e := range m.ended {
		if e.Number > o.Seen {
			kept = append(kept, e)
		}
	}
	m.ended = kept
	waits, changed := m.number <= o.Seen, m.changed
	m.mu.Unlock()
	if waits {
		select {
		case <-changed:
		case <-time.After(o.Wait):
		case <-ctx.Done():
		case <-m.done:
			return workerctl.Listing{}, workerctl.ErrUnknown
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.alive {
		return workerctl.Listing{}, workerctl.ErrUnknown
	}
	l := workerctl.Listing{Now: m.clock(), Ended: append([]workload.End(nil), m.ended[:min(len(m.ended), listedEnds)]...)}
	for _, x := range m.running {
		l.Running = append(l.Running, workerctl.RunStatus{Run: x.id, Progress: x.progress()})
	}
	return l, nil
}

// progress is the part of the work that is done, in percent; 100 while a task that
// lasts is at work.
func (x *run) progress() int {
	if x.work == 0 {
		return 100
	}
	return min(99, int(100*time.Since(x.began)/x.work))
}
