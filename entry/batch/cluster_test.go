package batch

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/fault"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// cluster simulates one store, some entries and some agents in one bubble of
// fake time, and implements every entry's Directory, Contracts and Placer.
type cluster struct {
	t       *testing.T
	table   *memory.Table
	objects *memory.Objects
	runs    *memory.RunRegistry
	ctx     context.Context
	end     context.CancelFunc
	runTime time.Duration
	lease   time.Duration
	flush   time.Duration
	slots   int
	queue   atomic.Int64
	wait    sync.WaitGroup

	mu        sync.Mutex
	entries   map[string]*entryNode
	agents    map[string]*agentNode
	instances map[string]*instance
	broken    []string
}

// entryNode is one entry process; ctl controls its whole network.
type entryNode struct {
	*Manager
	ctl  *fault.Control
	stop context.CancelFunc
	dead bool
}

func newCluster(t *testing.T) *cluster {
	w := &cluster{
		t: t, table: memory.NewTable(), objects: memory.NewObjects(), runs: memory.NewRunRegistry(zerolog.Nop()),
		runTime: 5 * time.Second, lease: agentLease, slots: agentSlots,
		entries: map[string]*entryNode{}, agents: map[string]*agentNode{}, instances: map[string]*instance{},
	}
	w.queue.Store(20_000)
	w.ctx, w.end = context.WithCancel(t.Context())
	return w
}

func (w *cluster) start(entries, agents int) {
	for i := range entries {
		w.startEntry(fmt.Sprintf("e%d", i))
	}
	for i := range agents {
		w.startAgent(fmt.Sprintf("i%d", i))
	}
}

func (w *cluster) startEntry(name string) {
	e := &entryNode{ctl: fault.NewControl(uint64(structs.ShardOf(structs.Customer(name))))}
	e.Manager = New(Config{Entry: structs.EntryID(name), Address: name, FlushEvery: w.flush}, Deps{
		Table: fault.NewTable(w.table, e.ctl), Directory: w, Contracts: w, Placer: w,
		Peers: &dialer{w, e.ctl}, Log: zerolog.Nop(),
	})
	ctx, stop := context.WithCancel(w.ctx)
	e.stop = stop
	w.mu.Lock()
	w.entries[name] = e
	w.mu.Unlock()
	w.wait.Go(func() { e.Run(ctx) })
}

// kill ends an entry as SIGKILL does: the entry sends nothing any more.
func (w *cluster) kill(name string) {
	e := w.entry(name)
	w.mu.Lock()
	e.dead = true
	w.mu.Unlock()
	e.ctl.Cut(true)
	e.stop()
}

func (w *cluster) entry(name string) *entryNode {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.entries[name]
}

// close stops the cluster and checks that no invariant was broken.
func (w *cluster) close() {
	w.mu.Lock()
	for _, e := range w.entries {
		e.ctl.Heal()
		e.ctl.Cut(true)
		if n := e.count.invariantBroken.Load(); n != 0 {
			w.t.Errorf("%d invariants broken inside entry %s", n, e.cfg.Entry)
		}
	}
	for _, a := range w.agents {
		a.ctl.Heal()
		a.link.Heal()
		a.ctl.Cut(true)
	}
	w.mu.Unlock()
	synctest.Wait()
	if n := w.runs.Violations(); n != 0 {
		w.t.Errorf("%d runs overlapped another run of their job", n)
	}
	w.end()
	for _, in := range w.instances {
		in.worker.Close()
	}
	w.wait.Wait()
	for _, b := range w.broken {
		w.t.Error(b)
	}
}

func (w *cluster) until(limit time.Duration, what string, done func() bool) time.Duration {
	w.t.Helper()
	began := time.Now()
	for !done() {
		if time.Since(began) > limit {
			w.t.Fatalf("after %s: not %s; jobs: %v", limit, what, w.states())
		}
		time.Sleep(50 * time.Millisecond)
	}
	return time.Since(began)
}

func (w *cluster) jobs() map[structs.JobID]structs.Job {
	all := map[structs.JobID]structs.Job{}
	for after := ""; ; {
		rows, _ := w.table.Scan(context.Background(), structs.JobPrefix, after, 1000)
		for _, r := range rows {
			var j structs.Job
			json.Unmarshal(r.Value, &j)
			all[j.ID] = j
			after = r.Key
		}
		if len(rows) < 1000 {
			return all
		}
	}
}

func (w *cluster) states() map[structs.JobState]int {
	n := map[structs.JobState]int{}
	for _, j := range w.jobs() {
		n[j.State]++
	}
	return n
}

func (w *cluster) owner(c structs.Customer) string {
	row, _ := w.table.Get(context.Background(), structs.ShardKey(structs.ShardOf(c)))
	var l structs.ShardLease
	json.Unmarshal(row.Value, &l)
	return string(l.Owner)
}

func (w *cluster) allSettled(n int) func() bool {
	return func() bool {
		s := w.states()
		return s[structs.JobDone]+s[structs.JobCancelled]+s[structs.JobFailed] == n
	}
}

func (w *cluster) submit(at string, c structs.Customer, id string) *structs.Refusal {
	job := structs.Job{ID: structs.JobID(id), Customer: c, Spec: structs.JobSpec{Kind: "grade"}}
	_, refused := w.entry(at).Submit(w.ctx, job)
	return refused
}

// cutStore cuts all processes off the store, or reconnects them.
func (w *cluster) cutStore(down bool) {
	plan := fault.Plan{}
	if down {
		plan = fault.Plan{Down: 1, Match: func(o fault.Operation) bool { return o.Service == "table" && o.Key != "net" }}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, e := range w.entries {
		e.ctl.Set(plan)
	}
	for _, a := range w.agents {
		a.ctl.Set(plan)
	}
}

func (w *cluster) sum(of func(*counters) int64) (n int64) {
	for _, e := range w.entries {
		n += of(&e.count)
	}
	return n
}

// waitServed waits until every shard has an owner that serves it, and the
// shards are spread evenly over the entries.
func (w *cluster) waitServed() {
	w.until(time.Minute, "all shards served", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		n, even := 0, true
		for _, e := range w.entries {
			even = even && len(e.tenures()) <= (structs.ShardCount+len(w.entries)-1)/len(w.entries)
			for s := range structs.ShardID(structs.ShardCount) {
				if e.tenure(s) != nil {
					n++
				}
			}
		}
		return even && n == structs.ShardCount
	})
	// The other entries learn the owners at their next reading.
	time.Sleep(DefaultScanEvery + time.Second)
}

// The next methods implement Directory, Contracts and Placer.

func (w *cluster) Agents() []AgentView {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []AgentView
	for _, a := range w.agents {
		if a.last.Address != "" {
			list = append(list, AgentView{
				Instance: structs.InstanceID(a.id), Address: a.id, Lease: a.last.Lease, Load: a.last.Load,
			})
		}
	}
	slices.SortFunc(list, func(a, b AgentView) int { return strings.Compare(a.Address, b.Address) })
	return list
}

func (w *cluster) Entries() (ids []structs.EntryID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for name, e := range w.entries {
		if !e.dead {
			ids = append(ids, structs.EntryID(name))
		}
	}
	return ids
}

func (w *cluster) Observe(l wire.Load) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if a := w.agents[string(l.Instance)]; a != nil {
		a.last.Load = l
	}
}

func (w *cluster) Config() structs.Config {
	c := structs.Config{Revision: 1, Contracts: map[structs.Customer]structs.Contract{}}
	names := []string{"acme", "kowhai", "hill"}
	for i := range 96 {
		names = append(names, fmt.Sprintf("c%d", i))
	}
	for _, name := range names {
		c.Contracts[structs.Customer(name)], _ = w.Contract(structs.Customer(name))
	}
	return c
}

func (w *cluster) Ended(End) {}

func (w *cluster) Contract(c structs.Customer) (structs.Contract, bool) {
	return structs.Contract{Customer: c, BatchQueue: int(w.queue.Load()), Share: 1}, true
}

func (w *cluster) Place(s Snapshot) (out []Placement) {
	for _, j := range s.Queue {
		p := Placement{Job: j.ID, Reason: "no free capacity"}
		for i := range s.Agents {
			if s.Agents[i].Load.Free.Slots > 0 && len(out) < s.Max {
				s.Agents[i].Load.Free.Slots--
				p.Instance = s.Agents[i].Instance
				break
			}
		}
		out = append(out, p)
	}
	return out
}

type dialer struct {
	w   *cluster
	ctl *fault.Control
}

func (d *dialer) Agent(address string) wire.AgentPeer { return &agentLink{dialer: d, to: address} }
func (d *dialer) Entry(address string) wire.EntryPeer { return &entryLink{dialer: d, to: address} }

type agentLink struct {
	wire.AgentPeer
	*dialer
	to string
}

type entryLink struct {
	wire.EntryPeer
	*dialer
	to string
}

// remoteTable presents the remote side of an exchange as a table service, so
// that the fault plans of both processes apply to the exchange.
type remoteTable struct {
	infra.Table
	run func()
}

func (s remoteTable) Commit(context.Context, infra.Txn) ([]uint64, error) {
	s.run()
	return nil, nil
}

// exchange runs one request at a process; target controls the process's faults.
func exchange[R any](ctx context.Context, d *dialer, target *fault.Control, run func(*R) error) (R, error) {
	replies := make(chan R, 1)
	failed := make(chan error, 1)
	d.w.wait.Go(func() {
		var reply R
		remote := fault.NewTable(remoteTable{run: func() { run(&reply) }}, target)
		if _, err := fault.NewTable(remote, d.ctl).Commit(ctx, infra.Txn{Puts: []infra.Put{{Key: "net"}}}); err != nil {
			failed <- err
			return
		}
		replies <- reply
	})
	var none R
	select {
	case reply := <-replies:
		return reply, nil
	case err := <-failed:
		return none, &wire.PeerError{Step: "test", Sent: !errors.Is(err, infra.ErrUnavailable), Err: err}
	case <-ctx.Done():
		return none, &wire.PeerError{Step: "test", Sent: true, Err: ctx.Err()}
	}
}

var errNoProcess = &wire.PeerError{Step: "test", Err: errors.New("no such process")}

func (l *agentLink) agent() *agentNode {
	l.w.mu.Lock()
	defer l.w.mu.Unlock()
	return l.w.agents[l.to]
}

func (l *agentLink) Start(ctx context.Context, r wire.StartRequest) (wire.StartReply, error) {
	a := l.agent()
	if a == nil {
		return wire.StartReply{}, errNoProcess
	}
	return exchange(ctx, l.dialer, a.ctl, func(reply *wire.StartReply) error { return a.Start(r, reply) })
}

func (l *agentLink) Stop(ctx context.Context, r wire.StopRequest) error {
	a := l.agent()
	if a == nil {
		return errNoProcess
	}
	_, err := exchange(ctx, l.dialer, a.ctl, func(reply *wire.Empty) error { return a.Stop(r, reply) })
	return err
}

func (l *entryLink) Submit(ctx context.Context, r wire.SubmitRequest) (wire.SubmitReply, error) {
	return atEntry(ctx, l, func(e *entryNode, reply *wire.SubmitReply) error { return e.ServeSubmit(r, reply) })
}

func (l *entryLink) CancelJobs(ctx context.Context, r wire.CancelJobsRequest) (wire.CancelJobsReply, error) {
	return atEntry(ctx, l, func(e *entryNode, reply *wire.CancelJobsReply) error { return e.ServeCancel(r, reply) })
}

func (l *entryLink) ReleaseJob(ctx context.Context, r wire.ReleaseJobRequest) (wire.ReleaseJobReply, error) {
	return atEntry(ctx, l, func(e *entryNode, reply *wire.ReleaseJobReply) error { return e.ServeRelease(r, reply) })
}

func (l *entryLink) Report(ctx context.Context, r wire.ReportRequest) (wire.ReportReply, error) {
	return atEntry(ctx, l, func(e *entryNode, reply *wire.ReportReply) error { return e.ServeReport(r, reply) })
}

// Hello puts the agent into the directory, as an entry does.
func (l *entryLink) Hello(ctx context.Context, r wire.HelloRequest) (wire.HelloReply, error) {
	return atEntry(ctx, l, func(e *entryNode, reply *wire.HelloReply) error {
		l.w.mu.Lock()
		defer l.w.mu.Unlock()
		if a := l.w.agents[r.Address]; a != nil && a.ctl == l.ctl {
			a.last = r
		}
		config := l.w.Config()
		*reply = wire.HelloReply{Next: 500 * time.Millisecond, Config: &config}
		return nil
	})
}

func atEntry[R any](ctx context.Context, l *entryLink, run func(*entryNode, *R) error) (R, error) {
	e := l.w.entry(l.to)
	if e == nil {
		var none R
		return none, errNoProcess
	}
	return exchange(ctx, l.dialer, e.ctl, func(reply *R) error { return run(e, reply) })
}
