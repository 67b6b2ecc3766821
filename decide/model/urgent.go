package model

import (
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/wire"
)

func (s *simulation) startCall(i int) {
	c := &s.w.calls[i]
	s.p.RecordCall(s.now, s.w.contracts[c.customer].Customer)
	id := len(s.attempts)
	if n := len(s.freeAttempts); n > 0 {
		id = s.freeAttempts[n-1]
		s.freeAttempts = s.freeAttempts[:n-1]
	} else {
		s.attempts = append(s.attempts, attempt{})
	}
	s.attempts[id] = attempt{call: i}
	s.tryCall(id)
}

// tryCall makes up to maxAttempts attempts, those after the first within the
// policy's retry budget. If no attempt is admitted, the call has not run. The
// caller then tries again after the Retry-After, until the call's deadline.
func (s *simulation) tryCall(id int) {
	a := &s.attempts[id]
	c := &s.w.calls[a.call]
	target := s.w.contracts[c.customer].LatencyTarget.Std()
	remaining := c.at + target - s.now
	customer := s.w.contracts[c.customer].Customer
	wait := time.Duration(0)
	for try := 0; try < maxAttempts; try++ {
		if try > 0 && !s.p.AllowRetry(s.now, customer) {
			break
		}
		q := decide.UrgentQuery{
			Service:   s.svcNames[c.service],
			Customer:  customer,
			Zone:      s.w.instances[c.entry*len(s.nodes)/entries].zone,
			Remaining: remaining,
			Exclude:   a.tried[:try],
			Random:    s.random.Uint64(),
		}
		at, hold := s.p.ChooseUrgent(s.now, c.entry, q, s.candidates(c))
		wait = hold.RetryAfter
		if at < 0 {
			break
		}
		s.result.Attempts++
		if s.admitCall(id, at) {
			return
		}
		a.tried[try] = s.nodes[s.backendsOf[c.service][at].node].in.id
	}
	s.retryLater(id, max(wait, decide.RetryAfter(1, 1, 100*time.Millisecond, s.random.Uint64())), remaining)
}

func (s *simulation) retryLater(id int, wait, remaining time.Duration) {
	s.result.Refusals++
	if wait < remaining {
		s.events.push(s.now+wait, eventCallRetry, id, 0)
		return
	}
	c := &s.w.calls[s.attempts[id].call]
	s.result.recordUnanswered(c.customer, s.w.contracts[c.customer].LatencyTarget.Std())
	s.freeAttempts = append(s.freeAttempts, id)
}

func (s *simulation) candidates(c *call) []decide.Candidate {
	views := s.views[c.entry][c.service]
	s.candidateBuffer = s.candidateBuffer[:0]
	for i, p := range s.backendsOf[c.service] {
		v := &views[i]
		n := &s.nodes[p.node]
		s.candidateBuffer = append(s.candidateBuffer, decide.Candidate{
			Instance:    n.in.id,
			Zone:        n.in.zone,
			Slots:       min(backendSlots, v.inUse+v.outstanding+v.free),
			InUse:       v.inUse,
			ServiceTime: v.serviceTime,
			Age:         s.now - v.at,
			Batch:       v.batch,
			Outstanding: v.outstanding,
		})
	}
	return s.candidateBuffer
}

// admitCall starts the call and returns true if the agent admits it.
func (s *simulation) admitCall(id, at int) bool {
	a := &s.attempts[id]
	c := &s.w.calls[a.call]
	p := s.backendsOf[c.service][at]
	n := &s.nodes[p.node]
	b := &n.backends[p.backend]
	agent := s.fillAgent(p.node)
	agent.Service, agent.ServiceFree = s.svcNames[b.service], max(0, backendSlots-b.inUse)
	for k := range customers {
		agent.ServiceUses = append(agent.ServiceUses, decide.SlotUse{Customer: s.w.contracts[k].Customer, Urgent: b.byCustomer[k]})
	}
	if agent.Free.Slots < 0 {
		s.result.Overcommitted++
	}
	full := b.inUse >= backendSlots
	if full || !s.p.AdmitUrgent(s.now, agent, s.w.contracts[c.customer]) || agent.Free.Slots < 1 {
		v := &s.views[c.entry][c.service][at]
		s.updateView(v, p.node, p.backend)
		v.inUse = max(0, b.inUse-v.outstanding)
		return false
	}
	s.advance(p.node)
	b.inUse++
	b.byCustomer[c.customer]++
	n.urgent[c.customer]++
	s.held[c.customer].Slots++
	s.p.ObserveLoad(s.now, p.node, s.svcNames[c.service], b.inUse)
	took := time.Duration(float64(c.work) * s.inflation(n, b))
	a.node, a.backend, a.started = p.node, p.backend, s.now
	s.views[c.entry][c.service][at].outstanding++
	s.events.push(s.now+took, eventCallDone, id, 0)
	s.reschedule(p.node)
	return true
}

func (s *simulation) endCall(id int) {
	a := &s.attempts[id]
	c := &s.w.calls[a.call]
	n := &s.nodes[a.node]
	b := &n.backends[a.backend]
	s.advance(a.node)
	b.inUse--
	b.byCustomer[c.customer]--
	n.urgent[c.customer]--
	s.held[c.customer].Slots--
	s.p.ObserveLoad(s.now, a.node, s.svcNames[c.service], b.inUse)
	b.durationSum += s.now - a.started
	b.durationCount++
	s.reschedule(a.node)
	for i, p := range s.backendsOf[c.service] {
		if p.node == a.node && p.backend == a.backend {
			v := &s.views[c.entry][c.service][i]
			v.outstanding--
			s.updateView(v, a.node, a.backend)
			v.inUse = max(0, b.inUse-v.outstanding)
		}
	}
	latency := s.now - c.at + 2*hop + 2*clientHop
	s.result.recordAnswered(c.customer, latency, s.w.contracts[c.customer].LatencyTarget.Std())
	s.freeAttempts = append(s.freeAttempts, id)
}

// updateView sets an entry's view of a backend, except inUse, to the present
// state. It models the load that an agent sends with an answer.
func (s *simulation) updateView(v *view, node, backend int) {
	n := &s.nodes[node]
	v.at = s.now
	v.free = max(0, n.in.total.Slots-n.urgentSlots()-n.claimed.Slots)
	v.serviceTime = n.backends[backend].recentDuration
	v.batch = s.batchLoads(n, v.batch)
}

// loadReport is a heartbeat in transit to the entries.
type loadReport struct {
	node  int
	inUse []int
	taken time.Duration
}

// receiveLoad applies a heartbeat at every entry that has no newer state. Only
// inUse is loadDelay old; updateView copies the rest as it is now.
func (s *simulation) receiveLoad(i int) {
	r := &s.loadReports[i]
	for k, b := range s.nodes[r.node].backends {
		for at, p := range s.backendsOf[b.service] {
			if p.node != r.node || p.backend != k {
				continue
			}
			for e := range entries {
				v := &s.views[e][b.service][at]
				if v.at > r.taken {
					continue
				}
				s.updateView(v, r.node, k)
				v.at = r.taken
				v.inUse = max(0, r.inUse[k]-v.outstanding)
			}
		}
	}
}

func (s *simulation) batchLoads(n *node, out []wire.BatchLoad) []wire.BatchLoad {
	out = out[:0]
	var counts [kinds]int
	for _, t := range n.tasks {
		counts[s.w.jobs[t.job].kind]++
	}
	for k, c := range counts {
		if c > 0 {
			out = append(out, wire.BatchLoad{Kind: s.kindNames[k], Running: c})
		}
	}
	return out
}
