package batch

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"pgregory.net/rapid"

	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// startBound is how long a job may fit somewhere and still be queued.
const startBound = sweepEvery + 2*time.Second

// slotWorld is a fleet whose instances gain and lose slots as the test says.
type slotWorld struct {
	world
	m        *Manager
	mu       sync.Mutex
	free     map[string]int
	running  []structs.Job
	revision structs.Revision
	// down agents answer nobody; sequence numbers their reports.
	down     bool
	sequence uint64
	fits     map[structs.JobID]time.Time
}

const instanceSlots = 8

func (y *slotWorld) Entries() []structs.EntryID          { return nil }
func (y *slotWorld) Observe(wire.Load)                   {}
func (y *slotWorld) Entry(string) wire.EntryPeer         { return nil }
func (y *slotWorld) Agent(address string) wire.AgentPeer { return slotAgent{y: y, id: address} }

func (y *slotWorld) Agents() (list []AgentView) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for id, free := range y.free {
		load := wire.Load{Process: id, Sequence: y.sequence, Free: structs.Resources{Slots: free}, Total: structs.Resources{Slots: instanceSlots}}
		list = append(list, AgentView{Instance: structs.InstanceID(id), Address: id, Lease: 1, Load: load})
	}
	return list
}

func (y *slotWorld) Config() structs.Config {
	y.mu.Lock()
	defer y.mu.Unlock()
	return structs.Config{Revision: y.revision}
}

// Place puts each job on any instance with enough slots.
func (y *slotWorld) Place(s Snapshot) (out []Placement) {
	for _, j := range s.Queue {
		p := Placement{Job: j.ID, Reason: "no room", Borrowed: true}
		for i := range s.Agents {
			if free := &s.Agents[i].Load.Free; free.Slots >= slotsOf(j) {
				free.Slots -= slotsOf(j)
				p.Instance = s.Agents[i].Instance
				break
			}
		}
		out = append(out, p)
	}
	return out
}

type slotAgent struct {
	wire.AgentPeer
	y  *slotWorld
	id string
}

func (a slotAgent) Start(_ context.Context, r wire.StartRequest) (reply wire.StartReply, _ error) {
	a.y.mu.Lock()
	defer a.y.mu.Unlock()
	if a.y.down {
		return reply, &wire.PeerError{Step: "start", Sent: true, Err: context.DeadlineExceeded}
	}
	for _, g := range r.Tasks {
		size := max(1, g.Spec.Declared.Slots)
		if a.y.free[a.id] < size {
			reply.Refused = append(reply.Refused, &structs.Refusal{Type: structs.RefusedNoCapacity, Outcome: structs.NotRun})
			continue
		}
		a.y.free[a.id] -= size
		a.y.running = append(a.y.running, structs.Job{ID: g.Job, Shard: g.Shard, Epoch: g.Epoch, Instance: g.Instance, Spec: g.Spec})
		reply.Refused = append(reply.Refused, nil)
	}
	return reply, nil
}

// check fails once a job has fitted for longer than the bound.
func (y *slotWorld) check() {
	most := 0
	y.mu.Lock()
	for _, free := range y.free {
		most = max(most, free)
	}
	y.mu.Unlock()
	for _, t := range y.m.tenures() {
		for _, id := range y.overdue(t, most) {
			y.t.Fatalf("job %s waits for more than %s beside %d free slots", id, startBound, most)
		}
	}
}

// overdue are the jobs of a tenure that have fitted for longer than the bound.
func (y *slotWorld) overdue(t *tenure, most int) (late []structs.JobID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.jobs {
		since, fitted := y.fits[id]
		switch fitting := r.job.State == structs.JobQueued && slotsOf(r.job) <= most && !time.Now().Before(r.notBefore); {
		case !fitting:
			delete(y.fits, id)
		case !fitted:
			y.fits[id] = time.Now()
		case time.Since(since) > startBound:
			late = append(late, id)
		}
	}
	return late
}

// event is one change of a random history of room.
type event struct {
	Kind   string
	Target int
	Size   int
	Pause  time.Duration
}

var roomEvents = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
	return event{
		Kind:   rapid.SampledFrom([]string{"submit", "submit", "many", "end", "end", "free", "take", "come", "go", "revision"}).Draw(t, "kind"),
		Target: rapid.IntRange(0, 3).Draw(t, "target"),
		Size:   rapid.IntRange(1, instanceSlots).Draw(t, "size"),
		Pause:  time.Duration(rapid.IntRange(10, 20_000).Draw(t, "pause")) * time.Millisecond,
	}
}), 20, 60)

func (y *slotWorld) happen(n int, e event) {
	id := fmt.Sprintf("i%d", e.Target)
	y.mu.Lock()
	defer y.mu.Unlock()
	free, known := y.free[id]
	switch e.Kind {
	case "submit":
		go y.hand(fmt.Sprintf("j%d", n), e)
	case "many":
		for i := range 150 {
			go y.hand(fmt.Sprintf("j%d-%d", n, i), event{Target: e.Target, Size: instanceSlots})
		}
	case "free":
		if known {
			y.free[id] = min(instanceSlots, free+e.Size)
		}
	case "take":
		if known {
			y.free[id] = max(0, free-e.Size)
		}
	case "come":
		if !known {
			y.free[id] = e.Size
		}
	case "go":
		delete(y.free, id)
	case "revision":
		y.revision++
	case "end":
		y.endOne(e.Target)
	}
}

func (y *slotWorld) hand(id string, e event) {
	c := structs.Customer([]string{"acme", "kowhai", "hill", "acme"}[e.Target])
	spec := structs.JobSpec{Kind: "grade", Declared: structs.Resources{Slots: e.Size}}
	y.m.Submit(y.ctx, structs.Job{ID: structs.JobID(id), Customer: c, Spec: spec})
}

// endOne ends a running task and gives its slots back, if its instance stands.
func (y *slotWorld) endOne(at int) {
	if len(y.running) == 0 {
		return
	}
	at %= len(y.running)
	j := y.running[at]
	y.running = append(y.running[:at], y.running[at+1:]...)
	if free, known := y.free[string(j.Instance)]; known {
		y.free[string(j.Instance)] = min(instanceSlots, free+slotsOf(j))
	}
	report := wire.TaskReport{Job: j.ID, Shard: j.Shard, Epoch: j.Epoch, End: wire.EndDone, Result: "result/" + string(j.ID)}
	go y.m.ServeReport(wire.ReportRequest{Instance: j.Instance, Reports: []wire.TaskReport{report}}, &wire.ReportReply{})
}

// inSlotWorld runs a story with one owner of all shards and no instance.
func inSlotWorld(t *testing.T, story func(y *slotWorld)) { inSlotWorldOf(t, Config{}, story) }

func inSlotWorldOf(t *testing.T, config Config, story func(y *slotWorld)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		y := &slotWorld{free: map[string]int{}, fits: map[structs.JobID]time.Time{}}
		y.t, y.ctx, y.table, y.objects = t, ctx, memory.NewTable(), memory.NewObjects()
		y.queue.Store(20_000)
		config.Entry, config.Address = "e", "e"
		y.m = New(config, Deps{
			Table: y.table, Objects: y.objects, Directory: y, Contracts: y, Placer: y, Peers: y, Log: zerolog.Nop(),
		})
		ended := make(chan error, 1)
		go func() { ended <- y.m.Run(ctx) }()
		defer func() {
			stop()
			<-ended
		}()
		time.Sleep(5 * time.Second)
		story(y)
	})
}

// Story: a customer's job stays queued beside a worker that has room for it.
// The queue was looked at, nothing fitted, and no sign of the room that came
// free later reached the owner: a task ended, an urgent call ended, an
// instance or a contract came, all at once or while a sweep was under way.
func TestJobThatFitsStartsInTime(t *testing.T) {
	for seed := range *seeds {
		events := roomEvents.Example(*firstSeed + seed)
		t.Run(fmt.Sprint(*firstSeed+seed), func(t *testing.T) {
			inSlotWorld(t, func(y *slotWorld) {
				for n, e := range events {
					y.happen(n, e)
					for until := time.Now().Add(e.Pause); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
						y.check()
					}
				}
				for range 200 {
					time.Sleep(100 * time.Millisecond)
					y.check()
				}
			})
		})
	}
}
