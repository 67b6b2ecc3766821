package model

import (
	"fmt"
	"math/rand/v2"
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/decide/policy"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Delays and limits of the simulation.
const (
	tickEvery         = time.Second
	planEvery         = 200 * time.Millisecond
	loadDelay         = 300 * time.Millisecond
	measurementWindow = 4 * time.Second
	measureLag        = 2 * time.Second
	hop               = 1 * time.Millisecond
	clientHop         = 3 * time.Millisecond
	restartWork       = 3 * time.Second
	checkpointEvery   = 30 * time.Second
	planLimit         = 64
	queueHead         = 60
	maxAttempts       = 3
	usageLag          = 5 * time.Second
	callMilliCores    = 1000
	failureDelay      = time.Second
	maxFailures       = 5
)

// task is one run of a job.
type task struct {
	job     int
	speed   float64
	rate    float64
	started time.Duration
	// done is the finished work of the whole job, in seconds; saved is the part
	// of done that the last checkpoint holds.
	done, saved float64
	savedAt     time.Duration
	need        structs.Resources
	fails       bool
	epoch       structs.Epoch
}

type jobState struct {
	done     float64
	failures int
	epoch    structs.Epoch
	queued   bool
	ended    bool
	parked   bool
	avoid    structs.InstanceID
}

type backend struct {
	service    int
	inUse      int
	byCustomer [customers]int
	// durationSum is the total duration, and durationCount the number, of the
	// calls that ended in the current measurement window.
	durationSum    time.Duration
	durationCount  int
	recentDuration time.Duration
}

type node struct {
	in          *instance
	backends    []backend
	tasks       []*task
	urgent      [customers]int
	batch       [customers]int
	claimed     structs.Resources
	updated     time.Duration
	version     int
	windowStart time.Duration
}

// view is what an entry knows of one backend.
type view struct {
	inUse       int
	serviceTime time.Duration
	at          time.Duration
	outstanding int
	// free is the number of the instance's free slots, for calls and tasks alike.
	free  int
	batch []wire.BatchLoad
}

type attempt struct {
	call, node, backend int
	started             time.Duration
	tried               [maxAttempts]structs.InstanceID
}

type simulation struct {
	w               *Workload
	p               policy.Policy
	now             time.Duration
	events          queue
	random          *rand.Rand
	nodes           []node
	views           [entries][services][]view
	backendsOf      [services][]backendRef
	attempts        []attempt
	freeAttempts    []int
	jobs            []jobState
	waiting         [customers][]int
	held            [customers]structs.Resources
	contracts       map[structs.Customer]structs.Contract
	agent           policy.Agent
	candidateBuffer []decide.Candidate
	batchView       decide.BatchView
	queueJobs       []int
	measurements    []policy.Measurement
	loadReports     []loadReport
	byID            map[structs.InstanceID]int
	result          *Result
	kindNames       [kinds]structs.Kind
	svcNames        [services]structs.Service
}

// backendRef locates a backend by its node's index and its index on that node.
type backendRef struct{ node, backend int }

// Run runs the workload with the policy that build returns.
func Run(w *Workload, build func(instances int, contracts map[structs.Customer]structs.Contract) policy.Policy) *Result {
	s := newSimulation(w, build)
	for i := range w.calls {
		s.events.push(w.calls[i].at, eventCall, i, 0)
	}
	for i := range w.jobs {
		s.events.push(w.jobs[i].at, eventJob, i, 0)
		if c := w.jobs[i].cancelled; c > 0 {
			s.events.push(c, eventCancel, i, 0)
		}
	}
	for i := range s.nodes {
		s.events.push(time.Duration(i)*tickEvery/time.Duration(len(s.nodes)), eventAgentTick, i, 0)
	}
	s.events.push(0, eventPlan, 0, 0)
	for {
		e, ok := s.events.pop()
		if !ok || e.at > w.Options.Duration {
			break
		}
		s.now = e.at
		s.handle(e)
	}
	s.finish()
	return s.result
}

func newSimulation(w *Workload, build func(int, map[structs.Customer]structs.Contract) policy.Policy) *simulation {
	s := &simulation{
		w:         w,
		random:    rand.New(rand.NewPCG(w.Options.Seed, 99)),
		jobs:      make([]jobState, len(w.jobs)),
		contracts: make(map[structs.Customer]structs.Contract),
		byID:      make(map[structs.InstanceID]int),
		result:    newResult(w),
	}
	for _, c := range w.contracts {
		s.contracts[c.Customer] = c
	}
	for k := range kinds {
		s.kindNames[k] = structs.Kind(fmt.Sprintf("kind-%d", k))
	}
	for k := range services {
		s.svcNames[k] = structs.Service(fmt.Sprintf("service-%d", k))
	}
	for i := range w.instances {
		in := &w.instances[i]
		n := node{in: in}
		for _, svc := range in.services {
			s.backendsOf[svc] = append(s.backendsOf[svc], backendRef{i, len(n.backends)})
			n.backends = append(n.backends, backend{service: svc})
		}
		s.nodes = append(s.nodes, n)
		s.byID[in.id] = i
	}
	for e := range entries {
		for svc := range services {
			s.views[e][svc] = make([]view, len(s.backendsOf[svc]))
		}
	}
	s.p = build(len(s.nodes), s.contracts)
	return s
}

func (s *simulation) handle(e event) {
	switch e.kind {
	case eventCall:
		s.startCall(e.a)
	case eventCallRetry:
		s.tryCall(e.a)
	case eventCallDone:
		s.endCall(e.a)
	case eventJob:
		s.submit(e.a)
	case eventCancel:
		s.cancel(e.a)
	case eventTaskEnd:
		if n := &s.nodes[e.a]; n.version == e.b {
			s.advance(e.a)
			s.reschedule(e.a)
		}
	case eventAgentTick:
		s.tickAgent(e.a)
	case eventPlan:
		s.planBatch()
	case eventMeasured:
		s.deliverMeasurement(e.a)
	case eventLoad:
		s.receiveLoad(e.a)
	}
}

// inflation is the factor by which the present load of b and n prolongs a call. It
// is hidden from the policy.
func (s *simulation) inflation(n *node, b *backend) float64 {
	slowdown := &s.w.slowdown[b.service]
	if s.now >= s.w.shiftAt {
		slowdown = &s.w.slowdownLater[b.service]
	}
	load := float64(b.inUse) / backendSlots
	byLoad := 0.6 + 0.9*load
	sum := 1 + 0.2*load*load
	for _, t := range n.tasks {
		sum += t.speed * slowdown[s.w.jobs[t.job].kind] * byLoad
	}
	return sum * s.overcommitment(n)
}

// overcommitment is the ratio of the cores in demand to the node's cores, at
// least 1.
func (s *simulation) overcommitment(n *node) float64 {
	used := 0.0
	for _, t := range n.tasks {
		used += t.speed * float64(s.w.jobs[t.job].actual.MilliCores)
	}
	for i := range n.backends {
		used += float64(n.backends[i].inUse * callMilliCores)
	}
	return max(1, used/float64(n.in.total.MilliCores))
}

func (n *node) urgentSlots() int {
	sum := 0
	for i := range n.backends {
		sum += n.backends[i].inUse
	}
	return sum
}

// claimedMemory is the sum, over the tasks of n, of the task's claimed memory or
// measured use, whichever is larger.
func (s *simulation) claimedMemory(n *node) int64 {
	taken := int64(0)
	for _, t := range n.tasks {
		most := t.need.MemoryBytes
		if s.now-t.started >= usageLag {
			most = max(most, s.w.jobs[t.job].actual.MemoryBytes)
		}
		taken += most
	}
	return taken
}

// fillAgent sets s.agent, which is reused, to the state of node i.
func (s *simulation) fillAgent(i int) *policy.Agent {
	n := &s.nodes[i]
	a := &s.agent
	a.Index, a.ID, a.Zone, a.Total = i, n.in.id, n.in.zone, n.in.total
	a.Free = structs.Resources{
		Slots:       n.in.total.Slots - n.urgentSlots() - n.claimed.Slots,
		MilliCores:  n.in.total.MilliCores - n.claimed.MilliCores,
		MemoryBytes: max(0, n.in.total.MemoryBytes-s.claimedMemory(n)),
	}
	a.Uses = a.Uses[:0]
	for c := range customers {
		a.Uses = append(a.Uses, decide.SlotUse{Customer: s.w.contracts[c].Customer, Urgent: n.urgent[c], Batch: n.batch[c]})
	}
	a.Services, a.ServiceUses = a.Services[:0], a.ServiceUses[:0]
	a.Tasks, a.Pressure = a.Tasks[:0], a.Pressure[:0]
	return a
}
