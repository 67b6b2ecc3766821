package agent

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"persimmonrock.example/infra"
	"persimmonrock.example/infra/fault"
	"persimmonrock.example/infra/memory"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
	"pgregory.net/rapid"
)

// TestMain fixes the seed and the number of checks of the random tests;
// -rapid.seed and -rapid.checks override them.
func TestMain(m *testing.M) {
	given := make(map[string]bool)
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "20", "rapid.nofailfile": "true"} {
		if !given[name] {
			_ = flag.Set(name, value)
		}
	}
	os.Exit(m.Run())
}

// job is the queue owner's record of one job.
type job struct {
	id         structs.JobID
	epoch      structs.Epoch
	state      structs.JobState
	runsOn     *host
	lease      structs.Incarnation
	confirmed  bool
	checkpoint string
	progress   byte
}

// host is one instance with its present agent.
type host struct {
	*rig
	agent         *Agent
	kill          func()
	leaseRow      infra.Row
	leaseRowSince time.Time
}

// owner stands for the entry that owns the queue. It claims, grants, applies
// reports and requeues by the rules of docs/ARCHITECTURE.md and no others.
type owner struct {
	hosts     []*host
	jobs      []*job
	claims    int
	violation string
	mu        sync.Mutex
	// sent are all grants so far; answersLost drops the answers to starts.
	sent        []wire.TaskGrant
	answersLost bool
	// margin is the time that the owner waits beyond a lease's length.
	margin time.Duration
}

const (
	taskSteps     = 100
	hostLease     = 40 * time.Second
	ownerInterval = 250 * time.Millisecond
)

// program runs taskSteps steps of a second and saves its state after each.
func program(ctx context.Context, t memory.Task) ([]byte, error) {
	at := byte(0)
	if len(t.Checkpoint) == 1 {
		at = t.Checkpoint[0]
	}
	for ; at < taskSteps; at++ {
		if err := t.Step(ctx, time.Second); err != nil {
			return nil, err
		}
		t.Save([]byte{at + 1}, 0)
	}
	return []byte{at}, nil
}

func newOwner(t *testing.T, hosts, jobs int) *owner {
	o := &owner{margin: 2 * time.Second}
	first := newRig(t, t.Context())
	for i := range hosts {
		r := newRig(t, t.Context())
		r.store, r.runs, r.bodies = first.store, first.runs, first.bodies
		r.config.Instance = structs.InstanceID(fmt.Sprint("i", i))
		r.config.Lease = hostLease
		r.entry.applyReport = o.applyReport
		r.worker = memory.NewWorker(memory.WorkerOptions{
			Instance: r.config.Instance, Registry: r.runs, StopDelay: 300 * time.Millisecond,
			Kinds: map[structs.Kind]memory.Program{"steps": program},
		})
		h := &host{rig: r}
		h.agent, h.kill = r.agent()
		o.hosts = append(o.hosts, h)
	}
	for i := range jobs {
		o.jobs = append(o.jobs, &job{id: structs.JobID(fmt.Sprint("j", i)), state: structs.JobQueued})
	}
	return o
}

// applyReport applies a report; it ignores other epochs and jobs not running.
func (o *owner) applyReport(r wire.TaskReport) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, j := range o.jobs {
		if j.id != r.Job || j.epoch != r.Epoch || j.state != structs.JobRunning {
			continue
		}
		switch r.End {
		case wire.EndDone:
			body, err := j.runsOn.bodies.Get(context.Background(), r.Result)
			if err != nil || len(body) != 1 || body[0] != taskSteps {
				o.violation = fmt.Sprintf("%s is done without a whole result: %v %v", j.id, body, err)
			}
			j.state = structs.JobDone
		case wire.EndEvicted, wire.EndLost, wire.EndNotStarted:
			j.state = structs.JobQueued
			o.resumeFrom(j, r.Checkpoint)
		default:
			o.violation = fmt.Sprintf("%s ended as %s: %s", j.id, r.End, r.Error)
		}
	}
	return true
}

// resumeFrom records a checkpoint, which must exist and not be behind the last.
func (o *owner) resumeFrom(j *job, key string) {
	if key == "" {
		return
	}
	state, err := j.runsOn.bodies.Get(context.Background(), key)
	at := append(state, 0)[0]
	if err != nil || at < j.progress {
		o.violation = fmt.Sprintf("%s: checkpoint %s is %v %v, had %d", j.id, key, state, err, j.progress)
		return
	}
	j.checkpoint, j.progress = key, at
}

// step reads the lease rows, requeues the jobs whose runs are known to have
// stopped, and claims and grants queued jobs.
func (o *owner) step() {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, h := range o.hosts {
		o.observe(h)
	}
	for _, j := range o.jobs {
		if j.state == structs.JobRunning && o.runFenced(j) {
			j.state = structs.JobQueued
		}
		if j.state == structs.JobQueued {
			o.claim(j)
		}
		if j.state == structs.JobRunning && !j.confirmed {
			o.start(j)
		}
	}
}

func leaseOf(r infra.Row) (l structs.AgentLease) {
	_ = json.Unmarshal(r.Value, &l)
	return l
}

func (o *owner) observe(h *host) {
	row, err := h.store.Get(context.Background(), structs.AgentLeaseKey(h.config.Instance))
	if err != nil || row.Version != h.leaseRow.Version {
		h.leaseRow, h.leaseRowSince = row, time.Now()
		return
	}
	l := leaseOf(row)
	if l.State != structs.LeaseActive || time.Since(h.leaseRowSince) <= l.Length.Std()+o.margin {
		return
	}
	l.State = structs.LeaseFenced
	value, _ := json.Marshal(l)
	_, _ = h.store.Commit(context.Background(), infra.Txn{
		Op: fmt.Sprint("fence", row.Version), Conds: []infra.Cond{{Key: row.Key, Version: row.Version}},
		Puts: []infra.Put{{Key: row.Key, Value: value}},
	})
}

func (o *owner) runFenced(j *job) bool {
	l := leaseOf(j.runsOn.leaseRow)
	return l.Incarnation > j.lease || (l.Incarnation == j.lease && l.State != structs.LeaseActive)
}

func (o *owner) claim(j *job) {
	o.claims++
	h := o.hosts[o.claims%len(o.hosts)]
	if l := leaseOf(h.leaseRow); l.State == structs.LeaseActive && h.entry.lastHello().Lease == l.Incarnation {
		j.state, j.runsOn, j.lease, j.confirmed = structs.JobRunning, h, l.Incarnation, false
		j.epoch++
	}
}

func (o *owner) start(j *job) {
	h := j.runsOn
	if h.entry.isDown() || h.agent == nil {
		return
	}
	var reply wire.StartReply
	o.sent = append(o.sent, wire.TaskGrant{
		Job: j.id, Epoch: j.epoch, Incarnation: j.lease, Instance: h.config.Instance, Customer: "kowhai",
		Checkpoint: j.checkpoint, Spec: structs.JobSpec{Kind: "steps", Declared: structs.Resources{Slots: 1}},
	})
	_ = h.agent.RPC().Start(wire.StartRequest{Tasks: o.sent[len(o.sent)-1:]}, &reply)
	if o.answersLost {
		return
	}
	j.confirmed = reply.Refused[0] == nil
	if !j.confirmed {
		j.state = structs.JobQueued
	}
}

func (o *owner) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(ownerInterval) {
		o.step()
	}
	synctest.Wait()
}

func (o *owner) done() int {
	n := 0
	for _, j := range o.jobs {
		if j.state == structs.JobDone {
			n++
		}
	}
	return n
}

func (e *fakeEntry) isDown() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.down
}

func (e *fakeEntry) setDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = down
}

// freeze stops or resumes everything that the host's present agent sends.
func (h *host) freeze(on bool) {
	for _, c := range []*fault.Control{h.process, h.table, h.objects} {
		if on {
			c.Freeze()
		} else {
			c.Unfreeze()
		}
	}
	h.entry.setDown(on)
}

// replace kills the agent, or freezes it as a zombie, and starts another. The
// returned function resumes a zombie for a moment and then kills it. The
// functions in before run after the new agent's fault controls exist and before
// the new agent starts.
func (h *host) replace(zombie bool, before ...func()) func() {
	old, frozen := h.kill, []*fault.Control{h.process, h.table, h.objects}
	if zombie {
		h.freeze(true)
	} else {
		h.freeze(false)
		old()
	}
	h.process, h.table, h.objects = fault.NewControl(1), fault.NewControl(2), fault.NewControl(3)
	h.entry.setDown(false)
	for _, do := range before {
		do()
	}
	h.agent, h.kill = h.rig.agent()
	return func() {
		for _, c := range frozen {
			c.Unfreeze()
		}
		if zombie {
			time.Sleep(300 * time.Millisecond)
			old()
		}
	}
}

// disruption is one failure or operation at a host.
type disruption struct {
	After time.Duration
	Host  int
	What  string
	// Wake resumes the oldest zombie afterwards.
	Wake bool
}

// drawDisruptions draws all disruptions before the fake time begins.
func drawDisruptions(t *rapid.T) []disruption {
	out := make([]disruption, rapid.IntRange(1, 12).Draw(t, "upsets"))
	for i := range out {
		out[i] = disruption{
			After: time.Duration(rapid.IntRange(1, 60).Draw(t, "seconds")) * time.Second,
			Host:  rapid.IntRange(0, 1).Draw(t, "host"),
			What: rapid.SampledFrom([]string{
				"freeze", "thaw", "store", "objects", "entry", "heal", "kill", "zombie", "evict", "lose", "delay", "late", "deaf",
			}).Draw(t, "what"),
			Wake: rapid.Bool().Draw(t, "wake"),
		}
	}
	return out
}

func (o *owner) apply(u disruption, after *[]func()) {
	h := o.hosts[u.Host]
	switch what := u.What; what {
	case "freeze", "thaw":
		h.freeze(what == "freeze")
	case "store":
		h.table.Cut(true)
	case "objects":
		h.objects.Cut(true)
	case "entry":
		h.entry.setDown(true)
	case "late":
		_ = h.agent.RPC().Start(wire.StartRequest{Tasks: o.sent}, &wire.StartReply{})
	case "deaf":
		o.answersLost = !o.answersLost
	case "lose":
		h.table.Next(fault.LoseAnswer)
	case "delay":
		h.table.Set(fault.Plan{Delay: 0.5, AnswerTimeout: fault.Exactly(time.Second), ApplyDelay: fault.Range{Min: time.Second, Max: time.Minute}})
	case "heal":
		h.freeze(false)
		h.table.Heal()
		h.objects.Heal()
	case "kill", "zombie":
		*after = append(*after, h.replace(what == "zombie"))
	case "evict":
		for _, j := range o.jobs {
			if j.state == structs.JobRunning && j.runsOn == h && !h.entry.isDown() {
				_ = h.agent.RPC().Stop(wire.StopRequest{Reason: wire.StopEvicted, Tasks: []wire.TaskRef{{Job: j.id, Epoch: j.epoch}}}, nil)
			}
		}
	}
}

// Long jobs run while agents are killed, frozen past their lease and resumed,
// told to evict, and cut off from the store, the entries or both. A job must
// never run in two places at once, must resume from its last checkpoint, and
// must be done once.
func TestRandomFailuresOfTasks(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		disruptions := drawDisruptions(rt)
		problem := ""
		synctest.Test(t, func(t *testing.T) {
			o := newOwner(t, 2, 4)
			var after []func()
			for _, u := range disruptions {
				o.advance(u.After)
				o.apply(u, &after)
				if u.Wake && len(after) > 0 {
					after[0]()
					after = after[1:]
				}
			}
			for _, wake := range after {
				wake()
			}
			o.answersLost = false
			problem = o.finish()
		})
		if problem != "" {
			rt.Fatal(problem)
		}
	})
}

// finish clears all faults, waits for the jobs to end and returns the problem
// found, or "".
func (o *owner) finish() string {
	for _, h := range o.hosts {
		h.freeze(false)
		h.table.Heal()
		h.objects.Heal()
		h.process.Heal()
	}
	for range 72 {
		o.advance(5 * time.Second)
		if o.done() == len(o.jobs) {
			break
		}
	}
	problem := o.problem()
	for _, h := range o.hosts {
		h.kill()
		h.worker.Close()
		h.table.Wait()
	}
	return problem
}

func (o *owner) problem() string {
	switch runs := o.hosts[0].runs; {
	case o.violation != "":
		return o.violation
	case runs.Violations() > 0:
		return fmt.Sprintf("%d runs overlapped or repeated a claim", runs.Violations())
	case o.done() != len(o.jobs):
		return fmt.Sprintf("%d of %d jobs are done", o.done(), len(o.jobs))
	}
	for _, h := range o.hosts {
		if n := h.agent.ledger.Counters().InvariantBroken; n > 0 {
			return fmt.Sprintf("%d invariants broken", n)
		}
		if free := h.agent.load().Free.Slots; free != 8 {
			return fmt.Sprintf("%d slots are free of 8", free)
		}
	}
	return ""
}
