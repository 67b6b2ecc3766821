package model

import (
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/decide/policy"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

func (s *simulation) submit(i int) {
	c := s.w.jobs[i].customer
	if len(s.waiting[c]) >= s.w.contracts[c].BatchQueue {
		return
	}
	s.enqueue(i)
}

func (s *simulation) enqueue(i int) {
	s.jobs[i].queued = true
	c := s.w.jobs[i].customer
	s.waiting[c] = append(s.waiting[c], i)
}

func (s *simulation) cancel(i int) {
	s.jobs[i].ended = true
	for at := range s.nodes {
		for k, t := range s.nodes[at].tasks {
			if t.job == i {
				s.advance(at)
				s.remove(at, k)
				s.reschedule(at)
				return
			}
		}
	}
}

// advance brings the tasks of a node up to the current time and ends those that
// are complete or fail.
func (s *simulation) advance(at int) {
	n := &s.nodes[at]
	if n.updated == s.now {
		return
	}
	from := n.updated
	n.updated = s.now
	for k := 0; k < len(n.tasks); k++ {
		t := n.tasks[k]
		j := &s.w.jobs[t.job]
		t.done += t.rate * (s.now - from).Seconds()
		s.result.work[j.customer] += t.rate * (s.now - from).Seconds()
		if s.now-t.savedAt >= checkpointEvery {
			t.saved, t.savedAt = t.done, s.now
		}
		switch {
		case t.fails && s.now-t.started >= failureDelay:
			s.failTask(at, k)
			k--
		case t.done >= j.work.Seconds()-1e-9:
			s.completeTask(at, k)
			k--
		}
	}
}

// reschedule computes the rate of every task and schedules the node's next task
// end.
func (s *simulation) reschedule(at int) {
	n := &s.nodes[at]
	n.version++
	overcommit := s.overcommitment(n)
	next := time.Duration(1 << 62)
	for _, t := range n.tasks {
		t.rate = t.speed / overcommit
		left := s.w.jobs[t.job].work.Seconds() - t.done
		end := s.now + time.Duration(left/t.rate*float64(time.Second)) + 1
		if t.fails {
			end = max(t.started+failureDelay, s.now+1)
		}
		next = min(next, end)
	}
	if len(n.tasks) > 0 {
		s.events.push(next, eventTaskEnd, at, n.version)
	}
}

func (s *simulation) remove(at, k int) {
	n := &s.nodes[at]
	t := n.tasks[k]
	j := &s.w.jobs[t.job]
	n.tasks = append(n.tasks[:k], n.tasks[k+1:]...)
	n.claimed = subtractResources(n.claimed, t.need)
	n.batch[j.customer] -= t.need.Slots
	s.held[j.customer] = subtractResources(s.held[j.customer], t.need)
	s.p.ObserveTasks(s.now, at, s.kindNames[j.kind], -t.speed)
}

func (s *simulation) completeTask(at, k int) {
	t := s.nodes[at].tasks[k]
	j := &s.w.jobs[t.job]
	s.remove(at, k)
	s.jobs[t.job].ended = true
	s.result.Done[j.customer]++
	s.result.doneWork[j.customer] += j.work.Seconds()
	s.p.ObserveUsage(s.w.contracts[j.customer].Customer, s.kindNames[j.kind], j.actual, s.now-t.started)
	s.p.ObserveEnd(s.now, s.nodes[at].in.id, s.kindNames[j.kind], true)
}

func (s *simulation) failTask(at, k int) {
	t := s.nodes[at].tasks[k]
	j := &s.w.jobs[t.job]
	s.remove(at, k)
	st := &s.jobs[t.job]
	st.failures++
	s.result.Failures++
	st.avoid = s.nodes[at].in.id
	s.p.ObserveEnd(s.now, s.nodes[at].in.id, s.kindNames[j.kind], false)
	if st.failures >= maxFailures {
		st.ended = true
		if j.kind != s.w.failingKind {
			s.result.WrongFailures++
		}
		return
	}
	s.enqueue(t.job)
}

// stopTask ends a run early and enqueues its job again. The work since the last
// checkpoint and restartWork are lost. planned is false if memory ran short.
func (s *simulation) stopTask(at, k int, planned bool) {
	t := s.nodes[at].tasks[k]
	j := &s.w.jobs[t.job]
	s.remove(at, k)
	lost := t.done - t.saved + restartWork.Seconds()
	st := &s.jobs[t.job]
	st.done = max(0, t.saved-restartWork.Seconds())
	s.result.WorkLost += lost
	s.result.work[j.customer] -= lost
	if planned {
		s.result.Evictions++
	} else {
		s.result.Killed++
		s.p.ObserveUsage(s.w.contracts[j.customer].Customer, s.kindNames[j.kind], j.actual, 0)
	}
	s.enqueue(t.job)
}

// killForMemory kills tasks, the largest first, until the others fit into memory,
// as the platform does.
func (s *simulation) killForMemory(at int) {
	n := &s.nodes[at]
	for {
		used, worst := int64(0), -1
		for k, t := range n.tasks {
			b := s.w.jobs[t.job].actual.MemoryBytes
			used += b
			if worst < 0 || b > s.w.jobs[n.tasks[worst].job].actual.MemoryBytes {
				worst = k
			}
		}
		if used <= n.in.total.MemoryBytes {
			return
		}
		s.stopTask(at, worst, false)
	}
}

// planBatch is one planning round of the queue's owner.
func (s *simulation) planBatch() {
	s.events.push(s.now+planEvery, eventPlan, 0, 0)
	v := s.fillBatchView()
	if len(v.Queue) == 0 {
		return
	}
	placed, holds := s.p.Place(s.now, v, planLimit)
	for _, p := range placed {
		s.startTask(s.queueJobs[p.Index], s.byID[p.Instance], v.Queue[p.Index].Need)
	}
	for i, job := range s.queueJobs {
		h := holds[v.Queue[i].Job]
		if h.Refusal == structs.RefusedNoCapacity || h.Refusal == structs.RefusedUnsupportedKind {
			if !s.jobs[job].parked {
				s.jobs[job].parked = true
				s.result.Parked++
			}
		}
	}
}

func (s *simulation) fillBatchView() *decide.BatchView {
	v := &s.batchView
	v.Now, v.Contracts = s.now, s.contracts
	if v.Held == nil {
		v.Held = make(map[structs.Customer]structs.Resources)
		v.Instances = make([]decide.Instance, len(s.nodes))
	}
	for i := range s.nodes {
		s.fillInstance(&v.Instances[i], i)
	}
	v.Queue, s.queueJobs = v.Queue[:0], s.queueJobs[:0]
	for c := range customers {
		v.Held[s.w.contracts[c].Customer] = s.held[c]
		kept := s.waiting[c][:0]
		for _, i := range s.waiting[c] {
			if s.jobs[i].ended || !s.jobs[i].queued || s.jobs[i].parked {
				continue
			}
			kept = append(kept, i)
			if len(kept) > queueHead {
				continue
			}
			j := &s.w.jobs[i]
			s.queueJobs = append(s.queueJobs, i)
			v.Queue = append(v.Queue, decide.Waiting{
				Job:      j.id,
				Customer: s.w.contracts[c].Customer,
				Kind:     s.kindNames[j.kind],
				Need:     j.declared,
				Order:    uint64(i),
				Avoid:    s.jobs[i].avoid,
			})
		}
		s.waiting[c] = kept
	}
	return v
}

func (s *simulation) fillInstance(in *decide.Instance, i int) {
	n := &s.nodes[i]
	a := s.fillAgent(i)
	in.ID, in.Zone, in.Rack, in.Total, in.Free = n.in.id, n.in.zone, n.in.rack, a.Total, a.Free
	in.Free.MilliCores = max(0, in.Free.MilliCores)
	in.Reserve = s.p.Reserve(s.now, a)
	in.Batch = s.batchLoads(n, in.Batch)
	in.Services = in.Services[:0]
	for k := range n.backends {
		b := &n.backends[k]
		in.Services = append(in.Services, wire.ServiceLoad{Service: s.svcNames[b.service], Slots: backendSlots, InUse: b.inUse, ServiceTime: b.recentDuration})
	}
}

func (s *simulation) startTask(i, at int, need structs.Resources) {
	st := &s.jobs[i]
	j := &s.w.jobs[i]
	n := &s.nodes[at]
	need.Slots = max(1, need.Slots)
	a := s.fillAgent(at)
	if st.ended || !st.queued || a.Free.Slots < need.Slots || !s.p.AdmitBatch(s.now, a, s.w.contracts[j.customer], need) {
		s.result.NotStarted++
		return
	}
	s.advance(at)
	st.queued = false
	st.epoch++
	t := &task{job: i, speed: 1, started: s.now, done: st.done, saved: st.done, savedAt: s.now, need: need, epoch: st.epoch}
	failing := s.now >= n.in.failsFrom && s.now < n.in.failsUntil
	t.fails = failing || s.w.sizes[j.kind].failsEverywhere
	n.tasks = append(n.tasks, t)
	n.claimed = addResources(n.claimed, need)
	n.batch[j.customer] += need.Slots
	s.held[j.customer] = addResources(s.held[j.customer], need)
	s.p.ObserveTasks(s.now, at, s.kindNames[j.kind], 1)
	s.killForMemory(at)
	s.reschedule(at)
}

// tickAgent runs once a second for each agent. It sends the agent's load, reports
// a measurement window that has ended, and applies the policy's actions.
func (s *simulation) tickAgent(at int) {
	s.events.push(s.now+tickEvery, eventAgentTick, at, 0)
	s.advance(at)
	n := &s.nodes[at]
	report := loadReport{node: at, taken: s.now}
	for k := range n.backends {
		report.inUse = append(report.inUse, n.backends[k].inUse)
	}
	s.loadReports = append(s.loadReports, report)
	s.events.push(s.now+loadDelay, eventLoad, len(s.loadReports)-1, 0)
	if s.now-n.windowStart >= measurementWindow {
		s.closeWindow(at)
	}
	a := s.fillAgent(at)
	s.fillTasks(n, a)
	for _, act := range s.p.Relieve(s.now, a) {
		s.applyAction(at, act)
	}
	s.reschedule(at)
}

func (s *simulation) closeWindow(at int) {
	n := &s.nodes[at]
	for k := range n.backends {
		b := &n.backends[k]
		if b.durationCount >= 3 {
			s.measurements = append(s.measurements, policy.Measurement{
				Instance: at, Service: s.svcNames[b.service], From: n.windowStart, To: s.now,
				ServiceTime: b.durationSum / time.Duration(b.durationCount), Calls: b.durationCount, Slots: backendSlots,
			})
			s.events.push(s.now+measureLag, eventMeasured, len(s.measurements)-1, k)
		}
		b.durationSum, b.durationCount = 0, 0
	}
	n.windowStart = s.now
}

func (s *simulation) deliverMeasurement(i int) {
	m := s.measurements[i]
	n := &s.nodes[m.Instance]
	for k := range n.backends {
		if s.svcNames[n.backends[k].service] == m.Service {
			n.backends[k].recentDuration = m.ServiceTime
		}
	}
	s.p.ObserveMeasurement(s.now, m)
}

func (s *simulation) fillTasks(n *node, a *policy.Agent) {
	for k := range n.backends {
		b := &n.backends[k]
		a.Pressure = append(a.Pressure, decide.ServicePressure{
			Service: s.svcNames[b.service], Target: s.w.contracts[0].LatencyTarget.Std(),
			Time: b.recentDuration, InUse: b.inUse, Slots: backendSlots,
		})
	}
	for _, t := range n.tasks {
		j := &s.w.jobs[t.job]
		r := decide.RunningTask{
			Job: j.id, Epoch: t.epoch, Customer: s.w.contracts[j.customer].Customer, Kind: s.kindNames[j.kind],
			Ran: s.now - t.started, Progress: t.done / j.work.Seconds(), Saved: t.saved / j.work.Seconds(),
			Speed: t.speed, Slots: t.need.Slots,
		}
		if s.now-t.started >= usageLag {
			r.MemoryBytes = j.actual.MemoryBytes
		}
		a.Tasks = append(a.Tasks, r)
	}
}

func (s *simulation) applyAction(at int, act decide.Action) {
	n := &s.nodes[at]
	for k, t := range n.tasks {
		if s.w.jobs[t.job].id != act.Job {
			continue
		}
		if act.Kind == decide.ActionEvict {
			s.stopTask(at, k, true)
			return
		}
		if act.Kind == decide.ActionThrottle {
			s.result.Throttles++
		}
		s.p.ObserveTasks(s.now, at, s.kindNames[s.w.jobs[t.job].kind], act.Speed-t.speed)
		t.speed = act.Speed
		return
	}
}

func addResources(a, b structs.Resources) structs.Resources {
	a.Slots += b.Slots
	a.MilliCores += b.MilliCores
	a.MemoryBytes += b.MemoryBytes
	return a
}

func subtractResources(a, b structs.Resources) structs.Resources {
	a.Slots -= b.Slots
	a.MilliCores -= b.MilliCores
	a.MemoryBytes -= b.MemoryBytes
	return a
}
