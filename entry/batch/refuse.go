package batch

import (
	"fmt"
	"net/http"
	"time"

	"persimmonrock.example/structs"
)

// Delays that refusals recommend before a retry.
const (
	retryNoOwner = 2 * time.Second
	retryStore   = 5 * time.Second
	retryFull    = 10 * time.Second
)

// refusal returns a refusal that says that the request changed nothing.
func (m *Manager) refusal(t structs.RefusalType, status int, step, format string, args ...any) *structs.Refusal {
	return &structs.Refusal{
		Type: t, Status: status, Outcome: structs.NotRun,
		Detail: fmt.Sprintf(format, args...), Step: step, Peer: m.cfg.Address,
	}
}

func (m *Manager) refuseNoOwner(s structs.ShardID, step string) *structs.Refusal {
	r := m.refusal(structs.RefusedNotOwner, http.StatusServiceUnavailable, step, "no entry owns queue shard %d now", s)
	r.RetryAfter = retryNoOwner
	return r
}

func (m *Manager) refuseStore(step string) *structs.Refusal {
	r := m.refusal(structs.RefusedStore, http.StatusServiceUnavailable, step, "the table service does not answer")
	r.RetryAfter = retryStore
	return r
}

func (m *Manager) refuseNotFound(id structs.JobID, step string) *structs.Refusal {
	return m.refusal(structs.RefusedNotFound, http.StatusNotFound, step, "no job %s", id)
}

// refuseUnknown is the answer when a change may or may not have been made.
func (m *Manager) refuseUnknown(id structs.JobID, step, why string) *structs.Refusal {
	r := m.refusal(structs.RefusedAnswerLost, http.StatusGatewayTimeout, step, "job %s: %s; ask for it by this ID", id, why)
	r.Outcome = structs.Unknown
	r.RetryAfter = retryNoOwner
	return r
}
