package agent

import (
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"persimmonrock.example/agent/ledger"
	"persimmonrock.example/backend"
	"persimmonrock.example/structs"
)

// Limits of the announce API.
const (
	maxAnnouncement = 4 << 20
	// leaveWait bounds the time that DELETE waits for requests in progress.
	leaveWait = 20 * time.Second
	leavePoll = 20 * time.Millisecond
)

// Handler serves the announce API to the backend servers of the instance.
func (a *Agent) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/backends/{name}", a.putBackend)
	mux.HandleFunc("GET /v1/backends/{name}", a.getBackend)
	mux.HandleFunc("DELETE /v1/backends/{name}", a.deleteBackend)
	return mux
}

func (a *Agent) putBackend(w http.ResponseWriter, r *http.Request) {
	var announcement backend.Announcement
	body := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxAnnouncement))
	body.DisallowUnknownFields()
	if err := body.Decode(&announcement); err != nil {
		answerJSON(w, http.StatusBadRequest, backend.Problem{Detail: err.Error()})
		return
	}
	name := r.PathValue("name")
	before := a.ledger.Offers()
	answer, err := a.ledger.Announce(name, announcement, time.Now())
	var stale *ledger.StaleError
	switch {
	case errors.As(err, &stale):
		answerJSON(w, http.StatusConflict, backend.Problem{Detail: err.Error(), Incarnation: stale.Incarnation})
		return
	case err != nil:
		answerJSON(w, http.StatusBadRequest, backend.Problem{Detail: err.Error()})
		return
	}
	if a.ledger.Offers() != before {
		a.serverChanged(name, announcement)
	}
	answer.Next = structs.Duration(a.config.AnnounceEvery)
	answerJSON(w, http.StatusOK, answer)
}

// serverChanged notifies entries that the instance's offer has changed.
func (a *Agent) serverChanged(name string, announcement backend.Announcement) {
	a.deps.Events.Record(structs.Event{Step: StepAnnounced, Peer: name, Detail: string(announcement.Service)})
	a.deps.Log.Info().Str("backend", name).Str("service", string(announcement.Service)).Bool("leaving", announcement.Leaving).
		Msg("backend server changed")
	a.entries.wakeAll()
}

func (a *Agent) getBackend(w http.ResponseWriter, r *http.Request) {
	status, ok := a.ledger.Status(r.PathValue("name"))
	answerStatus(w, status, ok)
}

// deleteBackend stops new calls at once, notifies entries, and answers when no
// call runs any more, or with 202 after leaveWait.
func (a *Agent) deleteBackend(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("name")
	status, ok := a.ledger.Leave(name)
	if ok {
		a.deps.Events.Record(structs.Event{Step: StepLeaving, Peer: name})
		a.entries.wakeAll()
	}
	deadline := time.Now().Add(leaveWait)
	for ok && !status.Safe && time.Now().Before(deadline) {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(leavePoll):
		}
		status, ok = a.ledger.Status(name)
	}
	answerStatus(w, status, ok)
}

// answerStatus answers with the state of a server, or 404 for an unknown one.
// The agent sends no calls to such a server: it is safe to stop.
func answerStatus(w http.ResponseWriter, s backend.Status, known bool) {
	code := http.StatusOK
	switch {
	case !known:
		code = http.StatusNotFound
	case s.Leaving && !s.Safe:
		code = http.StatusAccepted
	}
	answerJSON(w, code, s)
}

func answerJSON(w http.ResponseWriter, code int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(code)
	_ = json.NewEncoder(w).Encode(body)
}
