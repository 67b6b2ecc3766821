package main

import (
	"context"
	"fmt"
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
	gangWait   = 3 * time.Second
	listedEnds = 500
)

// minion is a life of a minion, on a machine of its own. It implements
// workerctl.Control.
type minion struct {
	log   *record
	fleet *fleet
	info  workload.Worker
	began time.Time

	mu      sync.Mutex
	dark    bool
	token   uint64
	lease   workerctl.Clock
	runs    map[workload.RunID]*run
	highest map[workload.TaskID]int
	ended   []workload.End
	number  uint64
	changed chan struct{}
	silence chan struct{}
}

// run is a run on a minion; it is at work once all members of its gang are there.
type run struct {
	id      workload.RunID
	on      *minion
	working bool
}

// fleet is what all minions have in common.
type fleet struct {
	mu sync.Mutex
	// begun holds the jobs of which a task has started, gangs the members of each
	// run of a gang.
	begun map[workload.JobID]bool
	gangs map[string][]*run
}

// start starts a minion at address, whose agent takes its reports at reports.
func (m *minion) start(address, reports string) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	m.began, m.runs, m.highest = time.Now(), map[workload.RunID]*run{}, map[workload.TaskID]int{}
	m.changed, m.silence = make(chan struct{}), make(chan struct{})
	go func() { _ = http.Serve(l, standin.WorkerHandler(m)) }()
	go m.report(reports)
	go m.watchLease()
	m.log.add("minion %s starts at %s, labels %v", m.info.ID, address, m.info.Labels)
	return nil
}

func (m *minion) isDark() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.dark
}

// goDark loses the minion without a word: it answers nothing any more, and its
// connections stay open.
func (m *minion) goDark() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dark = true
	for id := range m.runs {
		m.log.add("minion %s is lost under %s", m.info.ID, id)
	}
	m.runs = map[workload.RunID]*run{}
	close(m.silence)
	m.log.add("minion %s is dark", m.info.ID)
}

func (m *minion) clock() workerctl.Clock { return workerctl.Clock(1000).Add(time.Since(m.began)) }

func (m *minion) report(address string) {
	for n := uint64(1); !m.isDark(); n++ {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_ = standin.Report(ctx, address, m.info, n) // the next report follows soon
		cancel()
		time.Sleep(beatEvery)
	}
}

// watchLease ends everything when the lease expires.
func (m *minion) watchLease() {
	for !m.isDark() {
		time.Sleep(10 * time.Millisecond)
		m.mu.Lock()
		if m.clock() > m.lease {
			for _, x := range m.runs {
				m.end(x, workload.EndLapsed)
			}
		}
		m.mu.Unlock()
	}
}

// admit checks a call that names an incarnation and shows a token. While the
// minion is dark, it waits until the caller gives up. The caller holds mu.
func (m *minion) admit(ctx context.Context, incarnation workload.WorkerID, token uint64) error {
	switch {
	case m.dark:
		m.mu.Unlock()
		<-ctx.Done()
		m.mu.Lock()
		return workerctl.ErrUnknown
	case incarnation != m.info.ID:
		return workerctl.ErrGone
	case token < m.token:
		return &workerctl.RefusedError{Reason: workerctl.RefusedFence}
	}
	m.token = token
	return nil
}

// extend extends the lease, which never shortens.
func (m *minion) extend(lease workerctl.Clock) {
	m.lease = max(m.lease, min(lease, m.clock().Add(maxHold)))
}

// Start implements workerctl.Control.
func (m *minion) Start(ctx context.Context, incarnation workload.WorkerID, o workerctl.StartOrder) (workerctl.Clock, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(ctx, incarnation, o.Token); err != nil {
		return m.clock(), err
	}
	m.extend(o.Lease)
	switch {
	case m.runs[o.Run] != nil:
		return m.clock(), nil
	case o.Run.Run <= m.highest[o.Run.Task]:
		return m.clock(), &workerctl.RefusedError{Reason: workerctl.RefusedOld}
	case o.Lease <= m.clock():
		return m.clock(), &workerctl.RefusedError{Reason: workerctl.RefusedLate}
	}
	var size, ms int
	if _, err := fmt.Sscanf(o.Payload, "gang of %d, work of %d ms", &size, &ms); err != nil {
		return m.clock(), &workerctl.RefusedError{Reason: workerctl.RefusedInvalid}
	}
	x := &run{id: o.Run, on: m}
	m.runs[o.Run], m.highest[o.Run.Task] = x, o.Run.Run
	m.log.add("minion %s: %s starts", m.info.ID, o.Run)
	m.fleet.join(x, size, time.Duration(ms)*time.Millisecond)
	time.AfterFunc(gangWait, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		if !x.working {
			m.end(x, workload.EndAlone)
		}
	})
	return m.clock(), nil
}

// join adds a member to its gang, and lets all members work once they are there.
func (f *fleet) join(x *run, size int, work time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.begun[x.id.Task.Job] = true
	members := []*run{x}
	if size > 1 {
		key := fmt.Sprintf("%s run %d", x.id.Task.Job, x.id.Run)
		f.gangs[key] = append(f.gangs[key], x)
		members = f.gangs[key]
	}
	if len(members) == size {
		for _, member := range members {
			go member.work(work)
		}
	}
}

// missing counts the jobs that have not begun.
func (f *fleet) missing(ids []workload.JobID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, id := range ids {
		if !f.begun[id] {
			n++
		}
	}
	return n
}

// work makes the run work for a time, and then ends it as done.
func (x *run) work(d time.Duration) {
	x.on.mu.Lock()
	x.working = true
	x.on.mu.Unlock()
	time.Sleep(d)
	x.on.mu.Lock()
	defer x.on.mu.Unlock()
	x.on.end(x, workload.EndDone)
}

// end lists the end of a run, if it is still there. The caller holds mu.
func (m *minion) end(x *run, how workload.EndKind) {
	if m.dark || m.runs[x.id] != x {
		return
	}
	delete(m.runs, x.id)
	m.number++
	m.ended = append(m.ended, workload.End{Number: m.number, Run: x.id, Kind: how})
	m.log.add("minion %s: %s ends: %s", m.info.ID, x.id, how)
	close(m.changed)
	m.changed = make(chan struct{})
}

// Stop implements workerctl.Control.
func (m *minion) Stop(ctx context.Context, incarnation workload.WorkerID, id workload.RunID, token uint64) (workerctl.Clock, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(ctx, incarnation, token); err != nil {
		return m.clock(), err
	}
	m.highest[id.Task] = max(m.highest[id.Task], id.Run)
	if x := m.runs[id]; x != nil {
		time.AfterFunc(stopTime, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			m.end(x, workload.EndStopped)
		})
	}
	return m.clock(), nil
}

// Pace implements workerctl.Control.
func (m *minion) Pace(ctx context.Context, incarnation workload.WorkerID, _ workload.RunID, _ int, token uint64) (workerctl.Clock, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	err := m.admit(ctx, incarnation, token)
	return m.clock(), err
}

// Hold implements workerctl.Control.
func (m *minion) Hold(ctx context.Context, incarnation workload.WorkerID, o workerctl.HoldOrder) (workerctl.Listing, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.admit(ctx, incarnation, o.Token); err != nil {
		return workerctl.Listing{}, err
	}
	m.extend(o.Lease)
	for len(m.ended) > 0 && m.ended[0].Number <= o.Seen {
		m.ended = m.ended[1:]
	}
	if len(m.ended) == 0 && o.Wait > 0 {
		changed := m.changed
		m.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(o.Wait):
		case <-m.silence:
			<-ctx.Done()
		case <-ctx.Done():
		}
		m.mu.Lock()
	}
	if m.dark || ctx.Err() != nil {
		return workerctl.Listing{}, workerctl.ErrUnknown
	}
	l := workerctl.Listing{Now: m.clock(), Ended: append([]workload.End(nil), m.ended[:min(len(m.ended), listedEnds)]...)}
	for id, x := range m.runs {
		s := workerctl.RunStatus{Run: id, Progress: 50}
		if x.working {
			s.Progress = 100
		}
		l.Running = append(l.Running, s)
	}
	return l, nil
}

// runsOf is the number of runs of a job on the minion.
func (m *minion) runsOf(id workload.JobID) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for x := range m.runs {
		if x.Task.Job == id {
			n++
		}
	}
	return n
}
