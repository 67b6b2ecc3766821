package batch

import (
	"time"

	"persimmonrock.example/structs"
)

// place runs one round of placement and passes the claims to the writer.
func (t *tenure) place(agents map[structs.InstanceID]AgentView) {
	snapshot := t.snapshot(agents)
	if len(snapshot.Queue) == 0 {
		return
	}
	jobs := make(map[structs.JobID]structs.Job, len(snapshot.Queue))
	for _, j := range snapshot.Queue {
		jobs[j.ID] = j
	}
	for _, p := range t.m.deps.Placer.Place(snapshot) {
		j, queued := jobs[p.Job]
		delete(jobs, p.Job)
		agent, known := agents[p.Instance]
		switch {
		case !queued:
		case p.Park:
			t.park(j.ID, p.Reason)
		case p.Instance == "" || !known:
			t.markConsidered(j.ID, p.Reason, false)
		default:
			t.markConsidered(j.ID, "", true)
			t.claim(j, agent, snapshot.ShareSlots[j.Customer], p.Borrowed)
		}
	}
	// Jobs left undecided when the placer reached Max are part of the next round.
	for id := range jobs {
		t.reconsider(id)
	}
}

func (t *tenure) snapshot(agents map[structs.InstanceID]AgentView) Snapshot {
	s := Snapshot{HeldSlots: map[structs.Customer]int{}, ShareSlots: map[structs.Customer]int{}, Max: maxClaims}
	total := 0
	for _, a := range agents {
		total += a.Load.Total.Slots
	}
	t.candidates(&s, total, time.Now())
	if len(s.Queue) == 0 {
		return s
	}
	s.Agents = make([]AgentView, 0, len(agents))
	for _, a := range agents {
		if a.Lease == 0 || a.Load.Draining || t.m.agentLeases.leaseEnded(a.Instance, a.Lease) {
			continue
		}
		a.Load.Free = t.m.reserved.subtractFrom(a.Instance, a.Load.Free)
		s.Agents = append(s.Agents, a)
	}
	return s
}

// backOff excludes a job from placement after its start was refused or could
// not be sent. The time doubles until an agent admits the job.
func (t *tenure) backOff(id structs.JobID, reason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.jobs[id]
	if r == nil || r.job.State != structs.JobQueued {
		return
	}
	r.waitReason = reason
	r.notBefore = time.Now().Add(min(maxBackoff, minBackoff<<min(r.backoffs, 10)))
	r.considered = 0
	t.sweep.reconsiderAt(r.notBefore)
	r.backoffs++
}

func (t *tenure) park(id structs.JobID, reason string) {
	c := t.parkChange(id, reason)
	c.settle = func(j structs.Job, err error) {
		if err == nil {
			t.m.count.parked.Add(1)
			t.jobEvent(j)
			return
		}
		t.reconsider(id)
	}
	t.submit(c)
}

func (t *tenure) claim(j structs.Job, a AgentView, share int, borrowed bool) {
	t.m.reserved.add(t, j, a.Instance)
	c := t.claimChange(j.ID, a, share, borrowed)
	c.settle = func(after structs.Job, err error) {
		if err != nil || after.Epoch != j.Epoch+1 {
			t.m.reserved.remove(t, j.ID)
			t.reconsider(j.ID)
			return
		}
		t.m.count.claims.Add(1)
		t.jobEvent(after)
	}
	if !t.submit(c) {
		t.m.reserved.remove(t, j.ID)
	}
}
