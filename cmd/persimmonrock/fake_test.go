package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"persimmonrock.example/cmd/internal/client"
	"persimmonrock.example/ops/problem"
	"persimmonrock.example/structs"
)

const (
	operatorKey = "prk_operator"
	customerKey = "prk_granite"
)

// fakeEntry answers as an entry does, from its fields.
type fakeEntry struct {
	mu        sync.Mutex
	contracts map[string]structs.Contract
	accepted  map[string]structs.Revision
	revision  structs.Revision
	// behind is the number of further reads that show the old revision for the
	// agent of instance-2.
	behind int
	// busy is the number of calls and of tasks in progress; most requests about
	// instances and backends lower it.
	busy  int
	state []structs.JobState
	// loseAnswer closes the connection after the next change has taken effect.
	loseAnswer bool
	// race adds a revision of the contract before the next change is applied.
	race bool
}

func (f *fakeEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	key := operatorKey
	if strings.HasPrefix(r.URL.Path, "/v1/jobs") {
		key = customerKey
	}
	if r.Header.Get("Authorization") != "Bearer "+key {
		refuse(w, structs.RefusedUnauthorised, 401, "want the header Authorization: Bearer with a valid key")
		return
	}
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/admin/contracts/{customer}", f.contract)
	mux.HandleFunc("GET /v1/admin/contracts", func(w http.ResponseWriter, _ *http.Request) {
		list := client.Contracts{Revision: f.revision}
		for _, c := range f.contracts {
			list.Contracts = append(list.Contracts, c)
		}
		answerJSON(w, list)
	})
	mux.HandleFunc("GET /v1/admin/config", f.config)
	mux.HandleFunc("GET /v1/admin/instances", func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, map[string]any{"instances": []client.Instance{f.instance("instance-1", false), f.instance("instance-with-a-long-name-2", true)}})
	})
	mux.HandleFunc("POST /v1/admin/instances/{instance}/{verb}", f.drain)
	mux.HandleFunc("GET /v1/admin/backends", f.backends)
	mux.HandleFunc("POST /v1/admin/backends/{instance}/{service}/retire", f.drain)
	mux.HandleFunc("GET /v1/admin/events", f.events)
	mux.HandleFunc("POST /v1/admin/jobs/{customer}/{id}/release", f.job)
	mux.HandleFunc("POST /v1/jobs", f.job)
	mux.HandleFunc("/v1/jobs/{id}", f.job)
	mux.HandleFunc("GET /v1/jobs", func(w http.ResponseWriter, _ *http.Request) {
		answerJSON(w, map[string]any{"jobs": []client.Job{
			{ID: "j-1", Kind: "grade-report", State: structs.JobDone},
			{ID: "j-2", Kind: "grade-report", State: structs.JobParked, Failures: 3, Reason: strings.Repeat("no worker has 300 GB ", 5)},
		}})
	})
	mux.HandleFunc("GET /v1/jobs/{id}/result", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, `{"grade": 7}`) })
	mux.ServeHTTP(w, r)
}

func (f *fakeEntry) contract(w http.ResponseWriter, r *http.Request) {
	name := r.PathValue("customer")
	old, exists := f.contracts[name]
	if r.Method == http.MethodGet {
		if !exists {
			refuse(w, structs.RefusedNotFound, 404, "customer "+name+" has no contract")
			return
		}
		w.Header().Set("ETag", fmt.Sprintf("%q", fmt.Sprint(old.Revision)))
		answerJSON(w, old)
		return
	}
	if f.race {
		f.race = false
		f.revision++
		old.Revision = f.revision
		f.contracts[name] = old
	}
	operation := r.Header.Get("Operation-Id")
	if _, repeated := f.accepted[operation]; !repeated {
		match := r.Header.Get("If-Match")
		if exists && match != fmt.Sprintf("%q", fmt.Sprint(old.Revision)) || !exists && r.Header.Get("If-None-Match") != "*" {
			refuse(w, structs.RefusedPrecondition, 412, fmt.Sprintf("the contract of %s is at revision %d now", name, old.Revision))
			return
		}
		f.change(r, name, operation)
	}
	if f.loseAnswer {
		f.loseAnswer = false
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Persimmonrock-Revision", fmt.Sprint(f.accepted[operation]))
	answerJSON(w, f.contracts[name])
}

func (f *fakeEntry) change(r *http.Request, name, operation string) {
	f.revision++
	f.accepted[operation] = f.revision
	delete(f.contracts, name)
	if r.Method == http.MethodPut {
		var c structs.Contract
		json.NewDecoder(r.Body).Decode(&c)
		c.Revision = f.revision
		f.contracts[name] = c
	}
}

func (f *fakeEntry) config(w http.ResponseWriter, _ *http.Request) {
	late := client.Process{Process: "instance-2", Kind: "agent", Address: "127.0.0.1:7420", Revision: f.revision}
	if f.behind > 0 {
		f.behind--
		late.Revision--
	}
	answerJSON(w, client.Config{Revision: f.revision, Processes: []client.Process{
		{Process: "entry-1", Kind: "entry", Address: "127.0.0.1:7400", Revision: f.revision},
		late,
	}})
}

func (f *fakeEntry) instance(id string, draining bool) client.Instance {
	return client.Instance{
		Instance: structs.InstanceID(id), Zone: "north", Address: "127.0.0.1:7420", Draining: draining,
		Free: structs.Resources{Slots: 8 - f.busy}, Total: structs.Resources{Slots: 8},
		Urgent: f.busy, Batch: f.busy, Revision: f.revision, Age: structs.Duration(300 * time.Millisecond),
	}
}

func (f *fakeEntry) drain(w http.ResponseWriter, r *http.Request) {
	if r.PathValue("instance") == "instance-9" {
		refuse(w, structs.RefusedNotFound, 404, "no agent of instance instance-9 is known here")
		return
	}
	view := f.instance(r.PathValue("instance"), r.PathValue("verb") != "resume")
	f.busy = max(f.busy-1, 0)
	answerJSON(w, view)
}

func (f *fakeEntry) backends(w http.ResponseWriter, _ *http.Request) {
	answerJSON(w, map[string]any{"backends": []client.Backend{
		{Instance: "instance-1", Zone: "north", Service: "assay-check", Idempotent: true, Slots: 8, InUse: f.busy, Leaving: true},
		{Instance: "instance-1", Zone: "north", Service: "lodge-claim", Slots: 4, InUse: 1},
	}})
	f.busy = max(f.busy-1, 0)
}

func (f *fakeEntry) job(w http.ResponseWriter, r *http.Request) {
	job := client.Job{ID: structs.JobID(r.PathValue("id")), Customer: "granite", Kind: "grade-report", State: structs.JobQueued}
	switch {
	case strings.HasSuffix(r.URL.Path, "/release"):
		job.Reason = "released by an operator"
	case r.Method == http.MethodPost:
		job.ID = "j-3"
	case r.Method == http.MethodDelete:
		job.State = structs.JobCancelled
	default:
		job.State, job.Instance = f.state[0], "instance-1"
		if len(f.state) > 1 {
			f.state = f.state[1:]
		}
	}
	answerJSON(w, job)
}

func (f *fakeEntry) events(w http.ResponseWriter, r *http.Request) {
	at := time.Date(2026, 12, 2, 9, 0, 0, 0, time.UTC)
	answerJSON(w, client.TimeLine{Missing: []string{"127.0.0.1:7430"}, Events: []structs.Event{
		{Logical: 4, Wall: at, Process: "entry-1", Step: "job.submitted", Job: "j-3", Customer: "granite"},
		{Logical: 9, Wall: at.Add(time.Hour), Process: "instance-1", Step: "task.started", Job: "j-3", Epoch: 1, Detail: r.URL.RawQuery},
	}})
}

func refuse(w http.ResponseWriter, kind structs.RefusalType, status int, detail string) {
	problem.Write(w, &structs.Refusal{Type: kind, Status: status, Outcome: structs.NotRun, Detail: detail}, "")
}

func answerJSON(w http.ResponseWriter, v any) { json.NewEncoder(w).Encode(v) }

func TestMain(m *testing.M) {
	pollInterval = time.Millisecond
	m.Run()
}
