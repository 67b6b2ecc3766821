package urgent

import (
	"slices"
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/entry/directory"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

func (s *Server) query(a *attempts) decide.UrgentQuery {
	return decide.UrgentQuery{
		Service: a.request.Service, Customer: a.request.Contract.Customer, Zone: s.zone,
		Remaining: time.Until(a.deadline), Exclude: a.tried, Random: s.random(),
	}
}

// fullReportMaxAge is the age up to which a report of no free slots is trusted.
//
// Failure guarded against: the last load received from an agent reports all slots
// taken, by calls of another entry that ended long ago. No call is sent to the
// agent, so no answer corrects the load, and callers are refused until the next
// heartbeat, a minute away with many agents. After fullReportMaxAge one call at a
// time is sent as if one slot were free. The agent admits the call, or refuses
// it as not run; either answer carries the agent's load.
const fullReportMaxAge = time.Second

// toCandidates converts agents to candidates. Overdue agents are excluded like
// suspect ones, unless all are overdue: then the entry itself may have been
// paused or cut off, and an attempt is better than a refusal.
func toCandidates(agents []directory.Agent, service structs.Service) []decide.Candidate {
	out := make([]decide.Candidate, 0, len(agents))
	anyTimely := slices.ContainsFunc(agents, func(a directory.Agent) bool { return !a.Overdue })
	for _, a := range agents {
		c := decide.Candidate{
			Instance: a.Instance, Zone: a.Zone, Draining: a.Load.Draining, Suspect: a.Suspect || a.Overdue && anyTimely,
			Age: a.Age, Batch: a.Load.Batch, Outstanding: a.Outstanding,
		}
		for _, l := range a.Load.Services {
			if l.Service == service {
				addLoad(&c, a, l)
			}
		}
		out = append(out, c)
	}
	return out
}

// addLoad copies the service's load into c. The service has no more free slots
// than the instance, whose slots other services and batch tasks share.
func addLoad(c *decide.Candidate, a directory.Agent, l wire.ServiceLoad) {
	c.InUse, c.ServiceTime, c.Leaving = l.InUse, l.ServiceTime, l.Leaving
	c.Slots = min(l.Slots, l.InUse+a.Load.Free.Slots)
	if a.Age > fullReportMaxAge && l.Slots > 0 && c.InUse >= c.Slots {
		c.InUse = min(c.InUse, l.Slots-1)
		c.Slots = c.InUse + 1
	}
}
