package policy

import (
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/structs"
)

// historyRetention covers the longest lag and window of a measurement together.
const historyRetention = 60 * time.Second

// noRecentUse is the recent use of a customer without calls. It is not 0, which
// would mean an unknown use.
const noRecentUse = 1e-9

type demandKey struct {
	service  structs.Service
	customer structs.Customer
}

type agentState struct {
	history *decide.History
	model   *decide.Interference
	memory  decide.ReliefTracker
	demand  map[structs.Customer]*decide.Demand
	// combined is the demand of all urgent calls together. A customer's
	// calls count up to its quota, or up to one if the quota is 0.
	combined decide.Demand
	// services is the demand of each customer for each service's slots.
	services    map[demandKey]*decide.Demand
	serviceUses []decide.SlotUse
	uses        []decide.SlotUse
	shortfall   int
	together    []decide.KindCount
}

// Predictive makes every decision with package decide. It uses learnt
// interference, weighted dominant shares, reclaim of borrowed slots, throttling
// before eviction, learnt sizes, quarantine and a retry budget.
type Predictive struct {
	planner   decide.Planner
	shared    *decide.Interference
	agents    []*agentState
	sizes     decide.Sizes
	health    decide.Health
	retries   decide.RetryBudget
	contracts map[structs.Customer]structs.Contract
}

// NewPredictive returns the policy for a fleet of the given size.
func NewPredictive(instances int, contracts map[structs.Customer]structs.Contract) *Predictive {
	p := &Predictive{shared: decide.NewInterference(), contracts: contracts}
	for range instances {
		p.agents = append(p.agents, &agentState{
			history:  decide.NewHistory(historyRetention),
			model:    decide.NewInterference(),
			demand:   make(map[structs.Customer]*decide.Demand),
			services: make(map[demandKey]*decide.Demand),
		})
	}
	return p
}

// Name implements Policy.
func (p *Predictive) Name() string { return "persimmonrock" }

// ChooseUrgent implements Policy.
func (p *Predictive) ChooseUrgent(_ time.Duration, _ int, q decide.UrgentQuery, cs []decide.Candidate) (int, decide.Hold) {
	return decide.ChooseUrgent(q, cs, p.shared)
}

func (s *agentState) slotUses(now time.Duration, a *Agent, contracts map[structs.Customer]structs.Contract) []decide.SlotUse {
	s.uses = append(s.uses[:0], a.Uses...)
	all := decide.SlotUse{Expected: s.combined.Expected(now)}
	for i := range s.uses {
		u := &s.uses[i]
		u.Quota = decide.Quota(contracts[u.Customer], a.ID, a.Total)
		u.Recent = noRecentUse
		if d := s.demand[u.Customer]; d != nil {
			u.Expected = d.Expected(now)
			u.Recent = d.Recent(now)
		}
		all.Urgent += min(u.Urgent, max(u.Quota, 1))
	}
	s.uses = append(s.uses, all)
	return s.uses
}

// AdmitUrgent implements Policy. A call needs a slot of the instance and a slot
// of its service. Both kinds of slots are shared by the same rule.
func (p *Predictive) AdmitUrgent(now time.Duration, a *Agent, c structs.Contract) bool {
	s := p.agents[a.Index]
	uses := s.slotUses(now, a, p.contracts)
	quota := decide.Quota(c, a.ID, a.Total)
	ok, _ := decide.AdmitUrgent(uses, c, quota, a.Free)
	urgent := urgentSlots(uses, c.Customer)
	s.demandFor(c.Customer).Observe(now, urgent+1)
	if urgent < max(quota, 1) {
		s.combined.Observe(now, uses[len(uses)-1].Urgent+1)
	}
	if !ok && a.Free.Slots < 1 && urgent < quota {
		s.shortfall++
	}
	return s.admitToService(now, a, c, p.contracts) && ok
}

func (s *agentState) admitToService(now time.Duration, a *Agent, c structs.Contract, contracts map[structs.Customer]structs.Contract) bool {
	slots := structs.Resources{Slots: a.ServiceFree}
	for i := range a.ServiceUses {
		slots.Slots += a.ServiceUses[i].Urgent
	}
	s.serviceUses = append(s.serviceUses[:0], a.ServiceUses...)
	for i := range s.serviceUses {
		u := &s.serviceUses[i]
		u.Quota = decide.Quota(contracts[u.Customer], a.ID+structs.InstanceID(a.Service), slots)
		u.Recent = noRecentUse
		if d := s.services[demandKey{a.Service, u.Customer}]; d != nil {
			u.Expected = d.Expected(now)
			u.Recent = d.Recent(now)
		}
	}
	key := demandKey{a.Service, c.Customer}
	if s.services[key] == nil {
		s.services[key] = &decide.Demand{}
	}
	s.services[key].Observe(now, urgentSlots(s.serviceUses, c.Customer)+1)
	quota := decide.Quota(c, a.ID+structs.InstanceID(a.Service), slots)
	ok, _ := decide.AdmitUrgent(s.serviceUses, c, quota, structs.Resources{Slots: a.ServiceFree})
	return ok
}

func (s *agentState) demandFor(c structs.Customer) *decide.Demand {
	d := s.demand[c]
	if d == nil {
		d = &decide.Demand{}
		s.demand[c] = d
	}
	return d
}

func urgentSlots(uses []decide.SlotUse, c structs.Customer) int {
	for i := range uses {
		if uses[i].Customer == c {
			return uses[i].Urgent
		}
	}
	return 0
}

// AdmitBatch implements Policy.
func (p *Predictive) AdmitBatch(now time.Duration, a *Agent, c structs.Contract, need structs.Resources) bool {
	uses := p.agents[a.Index].slotUses(now, a, p.contracts)
	ok, _ := decide.AdmitBatch(uses, c, decide.Quota(c, a.ID, a.Total), need, a.Free)
	return ok
}

// Place implements Policy.
func (p *Predictive) Place(now time.Duration, v *decide.BatchView, limit int) ([]decide.Placement, map[structs.JobID]decide.Hold) {
	v.Now = now
	for i := range v.Instances {
		in := &v.Instances[i]
		quarantined, probe, _ := p.health.Worker(now, in.ID)
		in.Quarantined = quarantined && !probe
		in.Probe = probe
	}
	for i := range v.Queue {
		w := &v.Queue[i]
		w.Need, _ = p.sizes.Estimate(w.Customer, w.Kind, w.Need, 0)
	}
	placed, holds := p.planner.PlaceBatch(v, p.shared, limit)
	for _, one := range placed {
		p.health.RecordProbe(now, one.Instance)
	}
	return placed, holds
}

// Reserve implements Policy.
func (p *Predictive) Reserve(now time.Duration, a *Agent) int {
	uses := p.agents[a.Index].slotUses(now, a, p.contracts)
	all := uses[len(uses)-1]
	return max(0, all.Expected-all.Urgent)
}

// Relieve implements Policy.
func (p *Predictive) Relieve(now time.Duration, a *Agent) []decide.Action {
	s := p.agents[a.Index]
	uses := s.slotUses(now, a, p.contracts)
	st := decide.ReliefState{
		Services:    a.Pressure,
		Tasks:       a.Tasks,
		MemoryBytes: a.Total.MemoryBytes,
		SlotsOwed:   s.shortfall,
		CallsOwed:   s.shortfall,
	}
	s.shortfall = 0
	for i := range st.Tasks {
		t := &st.Tasks[i]
		_, t.Runtime = p.sizes.Estimate(t.Customer, t.Kind, structs.Resources{}, t.Runtime)
		for j := range uses {
			if uses[j].Customer == t.Customer {
				t.Borrowed = uses[j].Urgent+uses[j].Batch > uses[j].Quota
			}
		}
	}
	return decide.Relieve(now, st, p.shared, &s.memory)
}

// RecordCall implements Policy.
func (p *Predictive) RecordCall(now time.Duration, c structs.Customer) { p.retries.Call(now, c) }

// AllowRetry implements Policy.
func (p *Predictive) AllowRetry(now time.Duration, c structs.Customer) bool {
	return p.retries.Retry(now, c)
}

// ObserveMeasurement implements Policy.
func (p *Predictive) ObserveMeasurement(now time.Duration, m Measurement) {
	s := p.agents[m.Instance]
	together, inUse, ok := s.history.Window(now, m.From, m.To, m.Service, s.together)
	s.together = together
	if !ok {
		return
	}
	sample := decide.Sample{
		Service:     m.Service,
		Band:        decide.BandOf(int(inUse+0.5), m.Slots),
		ServiceTime: m.ServiceTime,
		Calls:       m.Calls,
		Together:    together,
	}
	p.shared.Observe(sample)
	s.model.Observe(sample)
}

// ObserveTasks implements Policy.
func (p *Predictive) ObserveTasks(now time.Duration, instance int, k structs.Kind, delta float64) {
	p.agents[instance].history.Add(now, k, delta)
}

// ObserveLoad implements Policy.
func (p *Predictive) ObserveLoad(now time.Duration, instance int, s structs.Service, inUse int) {
	p.agents[instance].history.SetLoad(now, s, inUse)
}

// ObserveUsage implements Policy.
func (p *Predictive) ObserveUsage(c structs.Customer, k structs.Kind, used structs.Resources, ran time.Duration) {
	p.sizes.Observe(c, k, used, ran)
}

// ObserveEnd implements Policy.
func (p *Predictive) ObserveEnd(now time.Duration, instance structs.InstanceID, k structs.Kind, ok bool) {
	p.health.Report(now, instance, k, ok)
}
