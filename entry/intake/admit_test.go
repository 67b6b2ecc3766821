package intake

import (
	"context"
	"errors"
	"net"
	"net/rpc"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"

	"persimmonrock.example/entry/scheduler"
	"persimmonrock.example/infra/rowstore"
	"persimmonrock.example/infra/rowstore/memstore"
	"persimmonrock.example/structs/scheduling"
	"persimmonrock.example/structs/workload"
	"persimmonrock.example/wire/dispatch"
)

const (
	newID = workload.JobID("00000000000000a1")
	// frozenFor is the time after which a frozen scheduler answers.
	frozenFor = 10 * time.Second
)

// schedulerStub answers the calls of an entry.
type schedulerStub struct {
	reply  dispatch.StateReply
	frozen bool
	asked  atomic.Int64
}

// State answers as the scheduler does, if it is not frozen.
func (s *schedulerStub) State(_ dispatch.StateArgs, reply *dispatch.StateReply) error {
	s.asked.Add(1)
	if s.frozen {
		time.Sleep(frozenFor)
	}
	*reply = s.reply
	return nil
}

// Note does nothing.
func (s *schedulerStub) Note(dispatch.NoteArgs, *dispatch.NoteReply) error { return nil }

// bench is one entry, a stub of the scheduler on another one, and the store.
type bench struct {
	*Service
	stub    *schedulerStub
	store   *memstore.Store
	rows    rowstore.Store
	unreach atomic.Bool
	mu      sync.Mutex
	conns   []net.Conn
}

// overloaded is an outlook by which no job of the queue can end in time.
func overloaded(epoch uint64, at time.Duration) *dispatch.Outlook {
	full := dispatch.Backlog{Cores: 1, UpTo: []float64{1e9}, Ahead: []float64{1e6}}
	return &dispatch.Outlook{Epoch: epoch, At: at, Loads: []dispatch.QueueLoad{{Queue: "q", Reserved: full, Filling: full}}}
}

// withEntry runs a test in fake time with an entry that has an outlook by which
// each job is refused, and a scheduler that confirms it.
func withEntry(t *testing.T, enabled bool, test func(ctx context.Context, b *bench)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		b := &bench{stub: &schedulerStub{}, store: memstore.New(1)}
		b.rows = b.store.Client("entry-1")
		defer func() {
			cancel()
			time.Sleep(frozenFor) // calls in flight
			b.closeConns()
		}()
		began := time.Now()
		now := func() time.Duration { return time.Since(began) + time.Second }
		policies := scheduling.Policies{Forecast: scheduling.Forecast{Enabled: enabled}, Admission: scheduling.Admission{Enabled: enabled}}
		newElector := func(node string, rows rowstore.Store) *scheduler.Elector {
			return scheduler.NewElector(scheduler.Config{Node: node, Process: node, Address: node, Policies: policies}, scheduler.Deps{
				Store: rows, Log: zerolog.Nop(), Now: now, Counters: &scheduler.Counters{},
				Config: func() *workload.Config { return nil }, Drains: func() (workload.Drains, time.Duration) { return workload.Drains{}, 0 },
				Link: func(address string) *dispatch.Link { return dispatch.NewLinkWithDial(address, b.dial) },
			})
		}
		leading, stop := context.WithCancel(ctx)
		go newElector("entry-0", b.store.Client("entry-0")).Run(leading)
		time.Sleep(time.Second)
		stop()
		elector := newElector("entry-1", b.rows)
		go elector.Follow(ctx)
		clock := NewStoreClock(now)
		key := rowstore.Key{Table: "op", Key: "config"}
		if _, err := b.rows.Apply(ctx, rowstore.Txn{Puts: []rowstore.Put{{Key: key, Value: []byte("{}")}}}); err != nil {
			t.Fatal(err)
		}
		config := NewFollower(b.rows, ConfigSource{Key: key, Parse: func([]byte) (*workload.Config, error) { return &workload.Config{}, nil }}, zerolog.Nop(), clock)
		go config.Run(ctx)
		b.Service = New(b.rows, config, elector, clock, zerolog.Nop())
		time.Sleep(2 * time.Second)
		b.outlooks.offer(overloaded(9, time.Second), clock.now())
		b.stub.reply = dispatch.StateReply{Leading: true, RefusalConfirmed: true, Outlook: overloaded(9, 2*time.Second), Booked: 5 * time.Second}
		test(ctx, b)
	})
}

// cut ends the connections to the scheduler and prevents new ones.
func (b *bench) cut() {
	b.unreach.Store(true)
	b.closeConns()
}

func (b *bench) closeConns() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range b.conns {
		c.Close()
	}
}

func (b *bench) dial(context.Context) (net.Conn, error) {
	if b.unreach.Load() {
		return nil, errors.New("no route")
	}
	near, far := net.Pipe()
	server := rpc.NewServer()
	if err := server.RegisterName("Scheduler", b.stub); err != nil {
		return nil, err
	}
	b.mu.Lock()
	b.conns = append(b.conns, near)
	b.mu.Unlock()
	go server.ServeConn(far)
	return near, nil
}

func newJob(id workload.JobID) workload.Job {
	return workload.Job{ID: id, Steps: []workload.Step{{Count: 1, Need: workload.Resources{CPU: 1000}, Estimate: time.Second}}}
}

// submit submits a job with a client's deadline and returns how long it took.
func (b *bench) submit(ctx context.Context, id workload.JobID) (time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*time.Second)
	defer cancel()
	begun := time.Now()
	err := b.Submit(ctx, workload.Queue{Name: "q", Stretch: 2, TargetLatency: time.Second}, newJob(id))
	return time.Since(begun), err
}

// Guards against a refusal after which the job runs, and one that leaves the
// client without a time to come back.
func TestOverloadIsRefusedBeforeAnythingIsStored(t *testing.T) {
	withEntry(t, true, func(ctx context.Context, b *bench) {
		_, err := b.submit(ctx, newID)
		var unavailable *workload.UnavailableError
		if !errors.Is(err, workload.ErrOverloaded) || !errors.As(err, &unavailable) || unavailable.RetryAfter < b.stub.reply.Booked {
			t.Errorf("error %v", err)
		}
		if row, err := rowstore.Get(ctx, b.rows, scheduler.JobKey(newID)); err != nil || row.Version != 0 {
			t.Errorf("the refused job has the row %+v %v", row, err)
		}
	})
	withEntry(t, false, func(ctx context.Context, b *bench) {
		if _, err := b.submit(ctx, newID); err != nil || b.stub.asked.Load() > 0 {
			t.Errorf("without the policy: %v, asked %d times", err, b.stub.asked.Load())
		}
	})
}

// Each case guards against a refusal while one part has failed, or while the job
// is stored. None of them may keep the client waiting.
func TestJobIsAcceptedInDoubt(t *testing.T) {
	const bound = 700 * time.Millisecond
	for name, c := range map[string]struct {
		fail func(ctx context.Context, b *bench)
		// asked says that the scheduler is asked.
		asked bool
	}{
		"the scheduler is killed":               {fail: func(_ context.Context, b *bench) { b.cut() }},
		"the scheduler is frozen":               {asked: true, fail: func(_ context.Context, b *bench) { b.stub.frozen = true }},
		"the scheduler is cut from the store":   {asked: true, fail: func(_ context.Context, b *bench) { b.stub.reply = dispatch.StateReply{} }},
		"the entry is cut from the scheduler":   {fail: func(_ context.Context, b *bench) { b.cut() }},
		"a new scheduler has no outlook yet":    {asked: true, fail: func(_ context.Context, b *bench) { b.stub.reply = dispatch.StateReply{Leading: true} }},
		"the newest outlook has room":           {asked: true, fail: func(_ context.Context, b *bench) { b.stub.reply.Outlook = &dispatch.Outlook{Epoch: 9, At: time.Minute} }},
		"the scheduler has the job":             {asked: true, fail: func(_ context.Context, b *bench) { b.stub.reply = dispatch.StateReply{Leading: true, Known: true} }},
		"the outlook is old, and nothing newer": {asked: true, fail: func(_ context.Context, b *bench) { time.Sleep(5 * time.Second); b.stub.reply.Outlook = nil }},
		"the outlook is too old to ask":         {fail: func(context.Context, *bench) { time.Sleep(askAge + time.Second) }},
		"the store is slow":                     {asked: true, fail: func(_ context.Context, b *bench) { b.store.SetSlow(100) }},
		"the outcome of an attempt was unknown": {fail: func(_ context.Context, b *bench) { b.noteUndecided() }},
		"the job was stored through another entry": {asked: true, fail: func(ctx context.Context, b *bench) {
			key := scheduler.JobKey(newID)
			if _, err := b.store.Client("entry-2").Apply(ctx, rowstore.Txn{Conds: []rowstore.Cond{{Key: key}}, Puts: []rowstore.Put{{Key: key, Value: []byte("{}")}}}); err != nil {
				t.Fatal(err)
			}
		}},
	} {
		t.Run(name, func(t *testing.T) {
			withEntry(t, true, func(ctx context.Context, b *bench) {
				c.fail(ctx, b)
				took, err := b.submit(ctx, newID)
				if err != nil || took > bound && name != "the store is slow" {
					t.Errorf("error %v after %v", err, took)
				}
				if c.asked != (b.stub.asked.Load() > 0) {
					t.Errorf("the scheduler was asked %d times", b.stub.asked.Load())
				}
			})
		})
	}
}

// Guards against a client that is told 429 while the store does not tell whether
// its job is stored.
func TestSilentStoreIsNoRefusalForOverload(t *testing.T) {
	withEntry(t, true, func(ctx context.Context, b *bench) {
		b.store.SetFault("entry-1", memstore.Unresponsive)
		if _, err := b.submit(ctx, newID); err == nil || errors.Is(err, workload.ErrOverloaded) {
			t.Errorf("silent store: %v", err)
		}
	})
}

// Guards against a refusal of a job whose first attempt was stored while its
// answer was lost.
func TestLostAnswerOfTheStoreIsNoRefusal(t *testing.T) {
	withEntry(t, true, func(ctx context.Context, b *bench) {
		b.store.SetLost(1, true)
		room := b.stub.reply
		b.stub.reply = dispatch.StateReply{Leading: true}
		if _, err := b.submit(ctx, newID); !errors.Is(err, workload.ErrUndecided) {
			t.Fatalf("first attempt: %v", err)
		}
		b.stub.reply = room
		for n := range 20 {
			b.outlooks.offer(overloaded(9, time.Duration(n+3)*time.Second), b.clock.now())
			if _, err := b.submit(ctx, newID); errors.Is(err, workload.ErrOverloaded) {
				t.Error("the repeated job is refused")
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
}
