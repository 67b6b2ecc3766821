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

// maxStartDelay is the longest time for which a job may fit and stay queued.
const maxStartDelay = sweepEvery + 2*time.Second

// slotCluster is a fleet whose instances gain and lose slots as the test directs.
type slotCluster struct {
	cluster
	m        *Manager
	mu       sync.Mutex
	free     map[string]int
	running  []structs.Job
	revision structs.Revision
	// down makes agents answer no start; sequence is that of their last reports.
	down     bool
	sequence uint64
	fits     map[structs.JobID]time.Time
}

const instanceSlots = 8

func (y *slotCluster) Entries() []structs.EntryID          { return nil }
func (y *slotCluster) Observe(wire.Load)                   {}
func (y *slotCluster) Entry(string) wire.EntryPeer         { return nil }
func (y *slotCluster) Agent(address string) wire.AgentPeer { return slotAgent{y: y, id: address} }

func (y *slotCluster) Agents() (list []AgentView) {
	y.mu.Lock()
	defer y.mu.Unlock()
	for id, free := range y.free {
		load := wire.Load{Process: id, Sequence: y.sequence, Free: structs.Resources{Slots: free}, Total: structs.Resources{Slots: instanceSlots}}
		list = append(list, AgentView{Instance: structs.InstanceID(id), Address: id, Lease: 1, Load: load})
	}
	return list
}

func (y *slotCluster) Config() structs.Config {
	y.mu.Lock()
	defer y.mu.Unlock()
	return structs.Config{Revision: y.revision}
}

// Place puts each job on any instance with enough slots.
func (y *slotCluster) Place(s Snapshot) (out []Placement) {
	for _, j := range s.Queue {
		p := Placement{Job: j.ID, Reason: "no free capacity", Borrowed: true}
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
	y  *slotCluster
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

// checkStartDelays fails the test if a job is overdue.
func (y *slotCluster) checkStartDelays() {
	most := 0
	y.mu.Lock()
	for _, free := range y.free {
		most = max(most, free)
	}
	y.mu.Unlock()
	for _, t := range y.m.tenures() {
		for _, id := range y.overdue(t, most) {
			y.t.Fatalf("job %s waits for more than %s beside %d free slots", id, maxStartDelay, most)
		}
	}
}

// overdue returns a tenure's queued jobs that, without a backoff, have fitted
// some instance for longer than maxStartDelay. The parameter most is the largest
// number of free slots on one instance.
func (y *slotCluster) overdue(t *tenure, most int) (late []structs.JobID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, r := range t.jobs {
		since, fitted := y.fits[id]
		switch fitting := r.job.State == structs.JobQueued && slotsOf(r.job) <= most && !time.Now().Before(r.notBefore); {
		case !fitting:
			delete(y.fits, id)
		case !fitted:
			y.fits[id] = time.Now()
		case time.Since(since) > maxStartDelay:
			late = append(late, id)
		}
	}
	return late
}

// event is one step of a random history of free capacity.
type event struct {
	Kind   string
	Target int
	Size   int
	Pause  time.Duration
}

var capacityEvents = rapid.SliceOfN(rapid.Custom(func(t *rapid.T) event {
	return event{
		Kind:   rapid.SampledFrom([]string{"submit", "submit", "many", "end", "end", "free", "take", "come", "go", "revision"}).Draw(t, "kind"),
		Target: rapid.IntRange(0, 3).Draw(t, "target"),
		Size:   rapid.IntRange(1, instanceSlots).Draw(t, "size"),
		Pause:  time.Duration(rapid.IntRange(10, 20_000).Draw(t, "pause")) * time.Millisecond,
	}
}), 20, 60)

func (y *slotCluster) applyEvent(n int, e event) {
	id := fmt.Sprintf("i%d", e.Target)
	y.mu.Lock()
	defer y.mu.Unlock()
	free, known := y.free[id]
	switch e.Kind {
	case "submit":
		go y.submitJob(fmt.Sprintf("j%d", n), e)
	case "many":
		for i := range 150 {
			go y.submitJob(fmt.Sprintf("j%d-%d", n, i), event{Target: e.Target, Size: instanceSlots})
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

func (y *slotCluster) submitJob(id string, e event) {
	c := structs.Customer([]string{"acme", "kowhai", "hill", "acme"}[e.Target])
	spec := structs.JobSpec{Kind: "grade", Declared: structs.Resources{Slots: e.Size}}
	y.m.Submit(y.ctx, structs.Job{ID: structs.JobID(id), Customer: c, Spec: spec})
}

// endOne ends a running task and frees its slots if its instance still exists.
func (y *slotCluster) endOne(at int) {
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

// runSlotCluster runs a test with one owner of all shards and no instance.
func runSlotCluster(t *testing.T, test func(y *slotCluster)) { runSlotClusterOf(t, Config{}, test) }

func runSlotClusterOf(t *testing.T, config Config, test func(y *slotCluster)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, stop := context.WithCancel(t.Context())
		y := &slotCluster{free: map[string]int{}, fits: map[structs.JobID]time.Time{}}
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
		test(y)
	})
}

// Guards against: a job stays queued beside a worker that has capacity for it.
// The owner considers the queue, nothing fits, and the owner then misses a
// change that frees capacity: a task or an urgent call ends, or an instance or
// a contract is added, all at once or during a sweep.
func TestJobThatFitsStartsInTime(t *testing.T) {
	for seed := range *seeds {
		events := capacityEvents.Example(*firstSeed + seed)
		t.Run(fmt.Sprint(*firstSeed+seed), func(t *testing.T) {
			runSlotCluster(t, func(y *slotCluster) {
				for n, e := range events {
					y.applyEvent(n, e)
					for until := time.Now().Add(e.Pause); time.Now().Before(until); time.Sleep(100 * time.Millisecond) {
						y.checkStartDelays()
					}
				}
				for range 200 {
					time.Sleep(100 * time.Millisecond)
					y.checkStartDelays()
				}
			})
		})
	}
}
