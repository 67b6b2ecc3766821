package agent

import "persimmonrock.example/structs"

// retire takes one service of the instance out of use at an operator's request.
// Its other services and its batch tasks continue.
func (a *Agent) retire(service structs.Service) {
	a.ledger.Retire(service)
	a.deps.Events.Record(structs.Event{Step: StepLeaving, Peer: string(service), Detail: "retired by an operator"})
	a.entries.wakeAll()
}
