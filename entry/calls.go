package entry

import (
	"net/http"

	"persimmonrock.example/entry/urgent"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// callerHeaders are the request headers that are passed to the backend server.
var callerHeaders = []string{"Accept", "Accept-Language", "Content-Encoding", "Content-Type", "Traceparent"}

func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request, c structs.Contract) *structs.Refusal {
	ctx, cancel, refused := withDeadline(r, c)
	if refused != nil {
		return refused
	}
	defer cancel()
	key, refused := idempotencyKey(r)
	if refused != nil {
		return refused
	}
	body, refused := e.readBody(w, r)
	if refused != nil {
		return refused
	}
	request := urgent.Request{
		ID: structs.RequestID(newID()), Contract: c, Service: structs.Service(r.PathValue("service")),
		Headers: selectHeaders(r.Header, callerHeaders), Body: body, Key: key, Revision: e.contracts.Config().Revision,
	}
	w.Header().Set(headerRequest, string(request.ID))
	answer, refused := e.urgent.Call(ctx, request)
	if refused != nil {
		return refused
	}
	for _, h := range answer.Headers {
		w.Header().Add(h.Name, h.Value)
	}
	if answer.Instance != "" {
		w.Header().Set(headerInstance, string(answer.Instance))
	}
	if answer.Replayed {
		w.Header().Set(headerReplayed, "true")
	}
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	return nil
}

func selectHeaders(h http.Header, names []string) []wire.Header {
	var out []wire.Header
	for _, name := range names {
		for _, value := range h.Values(name) {
			out = append(out, wire.Header{Name: name, Value: value})
		}
	}
	return out
}
