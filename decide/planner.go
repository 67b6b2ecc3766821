package decide

import (
	"math"
	"time"

	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Instance is one instance as seen by the owner of a queue shard.
type Instance struct {
	ID   structs.InstanceID
	Zone structs.DataCentre
	Rack string
	// Total and Free are from the last load report. Later claims, which the
	// report may not include yet, are subtracted from Free.
	Total, Free structs.Resources
	Batch       []wire.BatchLoad
	Services    []wire.ServiceLoad
	// Reserve is the number of slots that urgent calls are expected to need
	// beyond those in use; if 0, the planner computes it from Services.
	Reserve int
	// Draining, Quarantined and Suspect instances get no new tasks; Suspect ones
	// have no recent load report.
	Draining, Quarantined, Suspect bool
	// Probe limits the instance to one task in this round, because the instance
	// may fail every task (see Health).
	Probe bool
}

// Waiting is one queued job.
type Waiting struct {
	Job      structs.JobID
	Customer structs.Customer
	Kind     structs.Kind
	// Need is the expected use of the job (see Sizes).
	Need structs.Resources
	// Order is the job's position within its customer's queue; lower goes first.
	// The queue must be sorted by Order within each customer.
	Order uint64
	// Avoid is the instance on which the job last failed, or "".
	Avoid structs.InstanceID
}

// BatchView is the input of one placement round. The planner does not modify it.
type BatchView struct {
	Now       time.Duration
	Instances []Instance
	Queue     []Waiting
	// Held is what each customer holds on all instances, urgent and batch.
	Held      map[structs.Customer]structs.Resources
	Contracts map[structs.Customer]structs.Contract
}

// Placement is the decision to start a job on an instance. Index is the job's
// index in the view's queue.
type Placement struct {
	Job      structs.JobID
	Instance structs.InstanceID
	Index    int
}

// PlannerCounters counts decisions. Trials are searches without the limit on
// disturbance (see Planner.trialDue).
type PlannerCounters struct {
	Rounds, Placed, NoFit, Impossible, BadInput, Borrowed, Trials uint64
}

// Planner places batch tasks. It reuses its buffers, so that a round allocates
// nothing once they have grown. The zero value is ready for use.
type Planner struct {
	counters        PlannerCounters
	placed          []Placement
	holds           map[structs.JobID]Hold
	customers       []customerState
	customerIndex   map[structs.Customer]int
	nextJob         []int32
	sites           []site
	scores          scorer
	total           structs.Resources
	largest         structs.Resources
	noFit           []structs.Resources
	impossibleHolds map[structs.Resources]Hold
	shareHolds      map[structs.Customer]Hold
	fullScans       int
	// cursor is the index in sites at which the last search of bestSite began.
	cursor int
	// blocked is set once a job within its customer's share fitted only on
	// instances where it was predicted to disturb a service too much. blockedAt
	// is the time at which blocked was set, or of the last trial.
	blocked   bool
	blockedAt time.Duration
}

type customerState struct {
	contract structs.Contract
	held     structs.Resources
	// first and last are the ends of the list of the customer's jobs in the
	// view's queue, linked by Planner.nextJob and ended by -1.
	first, last   int32
	weightedShare float64
	hasContract   bool
}

// site is the state of an instance that changes within a round.
type site struct {
	free structs.Resources
	// borrowReserve is the number of slots that borrowing tasks must leave free
	// in addition to the reserve for urgent calls.
	borrowReserve int
	usable        bool
}

const (
	// sampleSize is the number of fitting instances compared for one job.
	sampleSize = 32
	// cursorStep advances the start of each search by less than sampleSize, so
	// that one round scores only a part of a large fleet.
	cursorStep = 11
	// maxFullScans bounds the number of searches per round that visit the whole fleet.
	maxFullScans = 256
	maxNoFit     = 16
	// borrowReservePart is the part of an instance's slots that tasks beyond their
	// customer's share must leave free. Calls of other customers need a slot at
	// once, and a borrowed slot becomes free only when its task ends.
	borrowReservePart = 0.15
	maxCachedHolds    = 1024
	// trialInterval is the minimum time between two trials of a planner.
	trialInterval = 10 * time.Second
)

// Counters returns the counts so far.
func (p *Planner) Counters() PlannerCounters { return p.counters }

// PlaceBatch chooses up to limit jobs to start and returns the reasons why the
// other jobs considered wait. It always serves next the customer with the
// smallest weighted dominant share: the customer's largest share of any resource,
// divided by its contract's share. A job that fits nowhere is skipped and blocks no
// other. Both results are valid until the next call.
func (p *Planner) PlaceBatch(v *BatchView, m *Interference, limit int) (placed []Placement, holds map[structs.JobID]Hold) {
	p.counters.Rounds++
	p.reset(v, m)
	for len(p.placed) < limit {
		c := p.nextCustomer()
		if c == nil {
			break
		}
		i := c.first
		c.first = p.nextJob[i]
		p.consider(v, c, int(i))
	}
	return p.placed, p.holds
}

func (p *Planner) reset(v *BatchView, m *Interference) {
	p.placed = p.placed[:0]
	p.noFit = p.noFit[:0]
	p.fullScans = 0
	if p.holds == nil {
		p.holds = make(map[structs.JobID]Hold)
		p.customerIndex = make(map[structs.Customer]int)
		p.impossibleHolds = make(map[structs.Resources]Hold)
		p.shareHolds = make(map[structs.Customer]Hold)
	}
	clear(p.holds)
	p.resetSites(v)
	p.scores.reset(v, m)
	p.resetCustomers(v)
}

func (p *Planner) resetSites(v *BatchView) {
	p.total, p.largest = structs.Resources{}, structs.Resources{}
	p.sites = p.sites[:0]
	for i := range v.Instances {
		in := &v.Instances[i]
		s := site{free: in.Free}
		s.usable = !in.Draining && !in.Quarantined && !in.Suspect
		if !nonNegative(in.Free) || !nonNegative(in.Total) || !fits(in.Free, in.Total) {
			p.counters.BadInput++
			s.usable = false
		} else {
			p.total = plus(p.total, in.Total)
			p.largest = maxEach(p.largest, in.Total)
			s.free.Slots -= urgentReserve(in)
			s.borrowReserve = int(borrowReservePart * float64(in.Total.Slots))
		}
		p.sites = append(p.sites, s)
	}
}

// urgentReserve returns the number of slots to keep free for urgent calls:
// in.Reserve if set, else half as many as calls run now, at least one for each
// service with a free slot, and at most half of the instance's slots. Without this
// bound, an idle instance with more services than slots would run no batch tasks.
func urgentReserve(in *Instance) int {
	if in.Reserve > 0 {
		return in.Reserve
	}
	sum := 0
	for i := range in.Services {
		s := &in.Services[i]
		if s.Leaving {
			continue
		}
		sum += min(max(1, (s.InUse+1)/2), max(0, s.Slots-s.InUse))
	}
	return min(sum, in.Total.Slots/2)
}

func (p *Planner) resetCustomers(v *BatchView) {
	clear(p.customerIndex)
	p.customers = p.customers[:0]
	if cap(p.nextJob) < len(v.Queue) {
		p.nextJob = make([]int32, 0, 2*len(v.Queue))
	}
	p.nextJob = p.nextJob[:len(v.Queue)]
	var last structs.Customer
	at := -1
	for i := range v.Queue {
		if name := v.Queue[i].Customer; at < 0 || name != last {
			last = name
			at = p.customer(v, name)
		}
		c := &p.customers[at]
		p.nextJob[i] = -1
		if c.first < 0 {
			c.first = int32(i)
		} else {
			p.nextJob[c.last] = int32(i)
		}
		c.last = int32(i)
	}
}

func (p *Planner) customer(v *BatchView, name structs.Customer) int {
	if at, ok := p.customerIndex[name]; ok {
		return at
	}
	c := customerState{first: -1}
	c.contract, c.hasContract = v.Contracts[name]
	c.contract.Customer = name
	c.hasContract = c.hasContract && validShare(c.contract.Share)
	c.held = v.Held[name]
	p.updateWeightedShare(&c)
	p.customers = append(p.customers, c)
	p.customerIndex[name] = len(p.customers) - 1
	return len(p.customers) - 1
}

func (p *Planner) updateWeightedShare(c *customerState) {
	if c.hasContract {
		c.weightedShare = dominantShare(c.held, p.total) / c.contract.Share
	}
}

func (p *Planner) nextCustomer() *customerState {
	var best *customerState
	for i := range p.customers {
		c := &p.customers[i]
		if c.first >= 0 && (best == nil || c.weightedShare < best.weightedShare) {
			best = c
		}
	}
	return best
}

func (p *Planner) consider(v *BatchView, c *customerState, index int) {
	w := &v.Queue[index]
	need := w.Need
	switch {
	case !c.hasContract:
		p.holds[w.Job] = p.shareHold(c, holdNoContract)
		return
	case !nonNegative(need):
		p.counters.BadInput++
		p.holds[w.Job] = Hold{Reason: "declared size is negative", Refusal: structs.RefusedBadRequest}
		return
	case len(v.Instances) == 0:
		p.holds[w.Job] = Hold{Reason: ReasonNoWorkers}
		return
	}
	need.Slots = max(need.Slots, 1)
	if !fits(need, p.largest) {
		p.counters.Impossible++
		p.holds[w.Job] = p.impossibleHold(need)
		return
	}
	p.place(v, c, index, need)
}

func (p *Planner) place(v *BatchView, c *customerState, index int, need structs.Resources) {
	w := &v.Queue[index]
	borrows := dominantShare(plus(c.held, need), p.total) > c.contract.Share
	at, disturbed := -1, false
	if !p.knownNoFit(need) {
		maxDisturbed := maxOwnInflation
		if borrows {
			maxDisturbed = maxBorrowedInflation
		}
		at, disturbed = p.bestSite(v, w, need, borrows, maxDisturbed)
	}
	if at < 0 && disturbed && !borrows && p.trialDue(v.Now) {
		at, _ = p.bestSite(v, w, need, borrows, math.MaxFloat64)
		p.blockedAt = v.Now
		p.counters.Trials++
	}
	if at < 0 {
		p.recordHold(v, c, w, need, borrows)
		return
	}
	p.sites[at].free = minus(p.sites[at].free, need)
	p.sites[at].usable = !v.Instances[at].Probe
	p.scores.add(v, at, w.Kind)
	c.held = plus(c.held, need)
	p.updateWeightedShare(c)
	p.counters.Placed++
	if borrows {
		p.counters.Borrowed++
	}
	p.placed = append(p.placed, Placement{Job: w.Job, Instance: v.Instances[at].ID, Index: index})
}

// trialDue reports whether one job may start where it is predicted to disturb
// a service beyond the limit.
//
// Guards against: jobs within their customer's share wait forever beside free
// workers. It comes about when calls are slow for another reason, such as a paused
// process, and a kind that ran beside them is predicted to be harmful everywhere.
// Tasks of the kind are no longer placed, so no measurement corrects the
// prediction. Therefore one such job starts every trialInterval where its predicted
// harm is least. The agent throttles the job if it disturbs a service.
func (p *Planner) trialDue(now time.Duration) bool {
	if !p.blocked {
		p.blocked = true
		p.blockedAt = now
	}
	return now-p.blockedAt >= trialInterval
}

// bestSite returns the best of the first sampleSize instances that fit, or -1. The
// start of the search advances with each call, so a large fleet costs no more than
// a small one while most instances have free capacity. disturbed is set if the task
// fits on an instance but would disturb a service there beyond maxDisturbed.
func (p *Planner) bestSite(v *BatchView, w *Waiting, need structs.Resources, borrows bool, maxDisturbed float64) (best int, disturbed bool) {
	n := len(p.sites)
	kind := p.scores.kind(w.Kind)
	p.cursor = (p.cursor + cursorStep) % n
	start := p.cursor
	best = -1
	bestScore, found, possible := 0.0, 0, false
	limit := n
	if p.fullScans >= maxFullScans {
		limit = min(n, sampleSize)
	}
	for k := range limit {
		i := start + k
		if i >= n {
			i -= n
		}
		s := &p.sites[i]
		if !s.usable || !fits(need, s.free) || (w.Avoid != "" && v.Instances[i].ID == w.Avoid) {
			continue
		}
		possible = true
		if borrows && s.free.Slots-need.Slots < s.borrowReserve {
			continue
		}
		score, ok := p.scores.score(v, i, kind, need, s.free, maxDisturbed)
		if !ok {
			disturbed = true
			continue
		}
		if best < 0 || score < bestScore {
			best, bestScore = i, score
		}
		if found++; found >= sampleSize {
			return best, disturbed
		}
	}
	if limit == n {
		p.fullScans++
		if !possible && w.Avoid == "" {
			p.rememberNoFit(need)
		}
	}
	return best, disturbed
}

// recordHold records why w waits. If the need exceeds the total of every instance,
// the reason is that of holdImpossible.
func (p *Planner) recordHold(v *BatchView, c *customerState, w *Waiting, need structs.Resources, borrows bool) {
	p.counters.NoFit++
	if !possibleSomewhere(v, need) {
		p.counters.Impossible++
		p.holds[w.Job] = p.impossibleHold(need)
		return
	}
	if borrows {
		p.holds[w.Job] = p.shareHold(c, holdShare)
		return
	}
	p.holds[w.Job] = Hold{Reason: ReasonNoFit}
}

func possibleSomewhere(v *BatchView, need structs.Resources) bool {
	for i := range v.Instances {
		if fits(need, v.Instances[i].Total) {
			return true
		}
	}
	return false
}

func (p *Planner) impossibleHold(need structs.Resources) Hold {
	if h, ok := p.impossibleHolds[need]; ok {
		return h
	}
	if len(p.impossibleHolds) >= maxCachedHolds {
		clear(p.impossibleHolds)
	}
	h := holdImpossible(need, p.largest)
	p.impossibleHolds[need] = h
	return h
}

func (p *Planner) shareHold(c *customerState, newHold func(structs.Customer) Hold) Hold {
	h, ok := p.shareHolds[c.contract.Customer]
	if ok && (h.Refusal == structs.RefusedShare) == c.hasContract {
		return h
	}
	if len(p.shareHolds) >= maxCachedHolds {
		clear(p.shareHolds)
	}
	h = newHold(c.contract.Customer)
	p.shareHolds[c.contract.Customer] = h
	return h
}

func (p *Planner) knownNoFit(need structs.Resources) bool {
	for _, f := range p.noFit {
		if fits(f, need) {
			return true
		}
	}
	return false
}

func (p *Planner) rememberNoFit(need structs.Resources) {
	if len(p.noFit) < maxNoFit {
		p.noFit = append(p.noFit, need)
		return
	}
	p.noFit[int(p.counters.NoFit)%maxNoFit] = need
}
