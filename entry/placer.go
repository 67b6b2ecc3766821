package entry

import (
	"sync"
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/entry/batch"
	"persimmonrock.example/entry/model"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// placer connects the decisions of package decide to the queue shards. One lock
// covers all shards of this entry, since they place on the same instances.
type placer struct {
	model     *model.Shared
	contracts batch.Contracts
	started   time.Time

	mu      sync.Mutex
	planner decide.Planner
	sizes   decide.Sizes
	health  decide.Health
	// probes holds the job last sent to each instance in quarantine, until the
	// job's end is reported.
	probes map[structs.InstanceID]structs.JobID
}

func newPlacer(m *model.Shared, c batch.Contracts) *placer {
	return &placer{model: m, contracts: c, started: time.Now(), probes: make(map[structs.InstanceID]structs.JobID)}
}

// Place implements batch.Placer.
func (p *placer) Place(s batch.Snapshot) []batch.Placement {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Since(p.started)
	var out []batch.Placement
	view := decide.BatchView{
		Now: now, Instances: p.instances(now, s.Agents), Held: heldSlots(s.HeldSlots),
		Contracts: p.contracts.Config().Contracts,
	}
	for _, j := range s.Queue {
		if parked, hold := p.health.Kind(j.Spec.Kind); parked {
			out = append(out, batch.Placement{Job: j.ID, Park: true, Reason: hold.Reason})
			continue
		}
		need, _ := p.sizes.Estimate(j.Customer, j.Spec.Kind, j.Spec.Declared, j.Spec.Runtime.Std())
		w := decide.Waiting{Job: j.ID, Customer: j.Customer, Kind: j.Spec.Kind, Need: need, Order: j.Submitted}
		if j.Failures > 0 {
			// The last run failed on this instance. A run on another one shows
			// whether the worker or the job is at fault.
			w.Avoid = j.Instance
		}
		view.Queue = append(view.Queue, w)
	}
	p.model.With(func(m *decide.Interference) {
		placed, holds := p.planner.PlaceBatch(&view, m, s.Max)
		for _, placement := range placed {
			out = append(out, batch.Placement{Job: placement.Job, Instance: placement.Instance, Borrowed: true})
			p.recordProbe(now, placement)
		}
		for id, hold := range holds {
			out = append(out, batch.Placement{Job: id, Reason: hold.Reason})
		}
	})
	return out
}

// recordProbe records a placement as a probe if its instance is in quarantine.
func (p *placer) recordProbe(now time.Duration, placement decide.Placement) {
	if quarantined, _, _ := p.health.Worker(now, placement.Instance); quarantined {
		p.health.RecordProbe(now, placement.Instance)
		p.probes[placement.Instance] = placement.Job
	}
}

func (p *placer) instances(now time.Duration, agents []batch.AgentView) []decide.Instance {
	out := make([]decide.Instance, 0, len(agents))
	for _, a := range agents {
		quarantined, probe := p.probe(now, a)
		out = append(out, decide.Instance{
			ID: a.Instance, Zone: a.Zone, Total: a.Load.Total, Free: a.Load.Free, Batch: a.Load.Batch, Services: a.Load.Services,
			Draining: a.Load.Draining || a.Lease == 0, Quarantined: quarantined && !probe, Probe: probe,
		})
	}
	return out
}

// probe reports whether the instance is in quarantine and whether to probe it.
//
// Failure guarded against: a probe runs for longer than the pause between
// probes, and a worker on which every job fails gets a second and a third, each
// of which loses a run. So the last probe's end must be reported first. An end
// may never be reported, because the claim failed or another entry recorded the
// end. The probe then counts as ended once the pause is over and the agent runs
// no batch task.
func (p *placer) probe(now time.Duration, a batch.AgentView) (quarantined, probe bool) {
	quarantined, due, _ := p.health.Worker(now, a.Instance)
	pending := p.probes[a.Instance] != ""
	return quarantined, due && (!pending || len(a.Load.Batch) == 0)
}

func heldSlots(held map[structs.Customer]int) map[structs.Customer]structs.Resources {
	out := make(map[structs.Customer]structs.Resources, len(held))
	for c, n := range held {
		out[c] = structs.Resources{Slots: n}
	}
	return out
}

// Ended implements batch.Placer.
func (p *placer) Ended(e batch.End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Since(p.started)
	if p.probes[e.Instance] == e.Job.ID {
		delete(p.probes, e.Instance)
	}
	switch e.End {
	case wire.EndDone:
		p.health.Report(now, e.Instance, e.Job.Spec.Kind, true)
	case wire.EndFailed, wire.EndLost:
		// EndLost, too: a job that crashes its worker never ends with EndFailed.
		p.health.Report(now, e.Instance, e.Job.Spec.Kind, false)
	}
	p.learnSize(e)
}

// learnSize learns from the end of a run. A run that was stopped early shows
// only its memory use until then, which counts if it is above the expected use.
// A run that resumed from a checkpoint did only the rest of the job, so its run
// time is not counted.
func (p *placer) learnSize(e batch.End) {
	customer, spec := e.Job.Customer, e.Job.Spec
	if e.End == wire.EndDone {
		ran := e.Ran
		if e.Job.Checkpoint != "" {
			ran = 0
		}
		p.sizes.Observe(customer, spec.Kind, e.Used, ran)
		return
	}
	expected, _ := p.sizes.Estimate(customer, spec.Kind, spec.Declared, 0)
	if e.Used.MemoryBytes > expected.MemoryBytes {
		p.sizes.Observe(customer, spec.Kind, structs.Resources{MemoryBytes: e.Used.MemoryBytes}, 0)
	}
}
