package entry

import (
	"context"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"time"

	"persimmonrock.example/entry/contracts"
	"persimmonrock.example/entry/directory"
	"persimmonrock.example/ops/events"
	"persimmonrock.example/structs"
	"persimmonrock.example/structs/api"
	"persimmonrock.example/wire"
)

// adminTimeout bounds one operator's request.
const adminTimeout = 10 * time.Second

func (e *Entry) adminList(w http.ResponseWriter, r *http.Request) *structs.Refusal {
	if refused := e.contracts.Serve(r.Context()); refused != nil {
		return refused
	}
	config := e.contracts.Config()
	list := make([]structs.Contract, 0, len(config.Contracts))
	for _, c := range config.Contracts {
		list = append(list, c)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Customer < list[j].Customer })
	writeJSON(w, http.StatusOK, api.Contracts{Revision: config.Revision, Contracts: list})
	return nil
}

func (e *Entry) adminGet(w http.ResponseWriter, r *http.Request) *structs.Refusal {
	if refused := e.contracts.Serve(r.Context()); refused != nil {
		return refused
	}
	customer := structs.Customer(r.PathValue("customer"))
	contract, ok := e.contracts.Contract(customer)
	if !ok {
		return &structs.Refusal{Type: structs.RefusedNotFound, Status: http.StatusNotFound, Outcome: structs.NotRun,
			Detail: fmt.Sprintf("customer %s has no contract", customer), Step: "admin.contract"}
	}
	w.Header().Set("ETag", etag(contract.Revision))
	writeJSON(w, http.StatusOK, contract)
	return nil
}

func etag(r structs.Revision) string { return fmt.Sprintf("%q", strconv.FormatUint(uint64(r), 10)) }

// ifMatch reads the headers If-Match and If-None-Match: * of a change.
func ifMatch(r *http.Request) (structs.Revision, *structs.Refusal) {
	given := r.Header.Get("If-Match")
	switch absent := r.Header.Get("If-None-Match"); {
	case absent != "" && (absent != "*" || given != ""):
		return 0, badRequest("admin.match", "If-None-Match: want * alone, got %s", absent)
	case absent == "*":
		return contracts.NoContract, nil
	}
	if given == "" || given == "*" {
		return contracts.AnyRevision, nil
	}
	n, err := strconv.ParseUint(strings.Trim(given, `"`), 10, 64)
	if err != nil || n == 0 || structs.Revision(n) == contracts.NoContract {
		return 0, badRequest("admin.match", "If-Match: want an ETag that a GET gave, got %s", given)
	}
	return structs.Revision(n), nil
}

func (e *Entry) adminPut(w http.ResponseWriter, r *http.Request) *structs.Refusal {
	var contract structs.Contract
	if refused := e.decode(w, r, &contract); refused != nil {
		return refused
	}
	customer := structs.Customer(r.PathValue("customer"))
	if contract.Customer == "" {
		contract.Customer = customer
	}
	if contract.Customer != customer {
		return badRequest("admin.contract", "customer: the path says %s, the body %s", customer, contract.Customer)
	}
	if len(customer) > maxCustomer || strings.Contains(string(customer), "/") {
		return badRequest("admin.contract", "customer: want a name of up to %d bytes without a slash", maxCustomer)
	}
	if err := contract.Validate(); err != nil {
		return badRequest("admin.contract", "%v", err)
	}
	return e.change(w, r, contracts.Change{Customer: customer, Contract: &contract})
}

func (e *Entry) adminDelete(w http.ResponseWriter, r *http.Request) *structs.Refusal {
	return e.change(w, r, contracts.Change{Customer: structs.Customer(r.PathValue("customer"))})
}

// change applies an operator's change under the request's conditions.
func (e *Entry) change(w http.ResponseWriter, r *http.Request, c contracts.Change) *structs.Refusal {
	match, refused := ifMatch(r)
	if refused != nil {
		return refused
	}
	c.IfMatch = match
	if c.Operation, refused = operationID(r); refused != nil {
		return refused
	}
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	revision, refused := e.contracts.Apply(ctx, c)
	if refused != nil {
		return refused
	}
	e.announce(revision)
	w.Header().Set("ETag", etag(revision))
	w.Header().Set(headerRevision, strconv.FormatUint(uint64(revision), 10))
	if c.Contract == nil {
		w.WriteHeader(http.StatusNoContent)
		return nil
	}
	accepted := *c.Contract
	accepted.Revision = revision
	writeJSON(w, http.StatusOK, accepted)
	return nil
}

// adminConfig lists each known process's revision; an agent's revision is as of
// its last heartbeat.
func (e *Entry) adminConfig(w http.ResponseWriter, r *http.Request) *structs.Refusal {
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	own := e.contracts.Config().Revision
	list := []api.Process{{Process: string(e.config.ID), Kind: "entry", Address: e.config.Address, Revision: own}}
	for _, p := range e.directory.AskRevisions(ctx, own) {
		list = append(list, api.Process{Process: p.Address, Kind: "entry", Address: p.Address, Revision: p.Revision, Unknown: p.Err != nil})
	}
	for _, a := range e.directory.Agents() {
		list = append(list, api.Process{Process: string(a.Instance), Kind: "agent", Address: a.Address, Revision: a.Revision, Age: structs.Duration(a.Age)})
	}
	writeJSON(w, http.StatusOK, api.Config{Revision: own, Processes: list})
	return nil
}

func (e *Entry) adminBackends(w http.ResponseWriter, _ *http.Request) *structs.Refusal {
	list := []api.Backend{}
	for _, a := range e.directory.Agents() {
		for _, s := range a.Load.Services {
			list = append(list, api.Backend{Instance: a.Instance, Zone: a.Zone, Service: s.Service, Idempotent: s.Idempotent,
				Slots: s.Slots, InUse: s.InUse, Leaving: s.Leaving})
		}
	}
	writeJSON(w, http.StatusOK, api.Backends{Backends: list})
	return nil
}

func viewOfInstance(a directory.Agent) api.Instance {
	v := api.Instance{Instance: a.Instance, Zone: a.Zone, Address: a.Address, Draining: a.Load.Draining, Suspect: a.Suspect,
		Free: a.Load.Free, Total: a.Load.Total, Revision: a.Revision, Age: structs.Duration(a.Age)}
	for _, s := range a.Load.Services {
		v.Urgent += s.InUse
	}
	for _, b := range a.Load.Batch {
		v.Batch += b.Running
	}
	return v
}

func (e *Entry) adminInstances(w http.ResponseWriter, _ *http.Request) *structs.Refusal {
	list := []api.Instance{}
	for _, a := range e.directory.Agents() {
		list = append(list, viewOfInstance(a))
	}
	writeJSON(w, http.StatusOK, api.Instances{Instances: list})
	return nil
}

func (e *Entry) adminStop(w http.ResponseWriter, r *http.Request) *structs.Refusal {
	return e.drainInstance(w, r, wire.DrainRequest{})
}

func (e *Entry) adminResume(w http.ResponseWriter, r *http.Request) *structs.Refusal {
	return e.drainInstance(w, r, wire.DrainRequest{Cancel: true})
}

func (e *Entry) adminRetire(w http.ResponseWriter, r *http.Request) *structs.Refusal {
	return e.drainInstance(w, r, wire.DrainRequest{Service: structs.Service(r.PathValue("service"))})
}

// drainInstance sends an operator's drain request to the agent and returns the
// agent's state.
func (e *Entry) drainInstance(w http.ResponseWriter, r *http.Request, q wire.DrainRequest) *structs.Refusal {
	id := structs.InstanceID(r.PathValue("instance"))
	agent, ok := e.directory.Agent(id)
	if !ok {
		return &structs.Refusal{Type: structs.RefusedNotFound, Status: http.StatusNotFound, Outcome: structs.NotRun,
			Detail: fmt.Sprintf("no agent of instance %s is known here", id), Step: "admin.instance"}
	}
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	load, err := e.deps.Peers.Agent(agent.Address).Drain(ctx, q)
	if err != nil {
		return &structs.Refusal{Type: structs.RefusedUnreachable, Status: http.StatusBadGateway, Outcome: structs.Unknown,
			Detail: "the agent did not answer; repeating is safe", RetryAfter: time.Second, Step: "admin.instance", Peer: string(id)}
	}
	e.directory.Update(load)
	agent.Load = load
	writeJSON(w, http.StatusOK, viewOfInstance(agent))
	return nil
}

// adminEvents merges the time lines of all reachable processes.
func (e *Entry) adminEvents(w http.ResponseWriter, r *http.Request) *structs.Refusal {
	q := wire.EventsRequest{Request: structs.RequestID(r.URL.Query().Get("request")), Job: structs.JobID(r.URL.Query().Get("job"))}
	if after := r.URL.Query().Get("after"); after != "" {
		n, err := strconv.ParseUint(after, 10, 64)
		if err != nil {
			return badRequest("admin.events", "after: want a logical time, got %q", after)
		}
		q.After = n
	}
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	lines, missing := e.directory.EventsFrom(ctx, q)
	lines = append(lines, e.deps.Events.Select(q.Request, q.Job, q.After))
	merged := events.Merge(lines)
	if merged == nil {
		merged = []structs.Event{}
	}
	writeJSON(w, http.StatusOK, api.TimeLine{Events: merged, Missing: missing})
	return nil
}

// adminRelease puts a parked job back into the queue.
func (e *Entry) adminRelease(w http.ResponseWriter, r *http.Request) *structs.Refusal {
	ctx, cancel := context.WithTimeout(r.Context(), adminTimeout)
	defer cancel()
	job, refused := e.batch.Release(ctx, structs.Customer(r.PathValue("customer")), structs.JobID(r.PathValue("id")))
	if refused != nil {
		return refused
	}
	writeJSON(w, http.StatusOK, api.JobOf(job))
	return nil
}

// ReleaseJob implements wire.EntryAPI.
func (s rpcServer) ReleaseJob(r wire.ReleaseJobRequest, reply *wire.ReleaseJobReply) error {
	return s.batch.ServeRelease(r, reply)
}
