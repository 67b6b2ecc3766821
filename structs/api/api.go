// Package api defines the JSON documents of the HTTP interface for callers and
// operators, as entries write them and the commands read them.
package api

import (
	"encoding/json"

	"persimmonrock.example/structs"
)

// JobRequest is a job to submit. Payload is any JSON value; the task receives
// the value's bytes.
type JobRequest struct {
	Kind     structs.Kind      `json:"kind"`
	Declared structs.Resources `json:"declared"`
	Runtime  structs.Duration  `json:"runtime,omitempty"`
	Payload  json.RawMessage   `json:"payload,omitempty"`
}

// Job is the customer's view of a job.
type Job struct {
	ID        structs.JobID      `json:"id"`
	Customer  structs.Customer   `json:"customer"`
	Kind      structs.Kind       `json:"kind"`
	State     structs.JobState   `json:"state"`
	Reason    string             `json:"reason,omitempty"`
	Evictions int                `json:"evictions"`
	Failures  int                `json:"failures"`
	Instance  structs.InstanceID `json:"instance,omitempty"`
	Epoch     structs.Epoch      `json:"epoch"`
}

// JobOf returns the customer's view of j.
func JobOf(j structs.Job) Job {
	return Job{
		ID: j.ID, Customer: j.Customer, Kind: j.Spec.Kind, State: j.State, Reason: j.Reason,
		Evictions: j.Evictions, Failures: j.Failures, Instance: j.Instance, Epoch: j.Epoch,
	}
}

// Jobs is one page of a customer's jobs.
type Jobs struct {
	Jobs []Job `json:"jobs"`
}

// Contracts lists all contracts at one revision.
type Contracts struct {
	Revision  structs.Revision   `json:"revision"`
	Contracts []structs.Contract `json:"contracts"`
}

// Process reports the configuration revision of one process.
type Process struct {
	Process  string           `json:"process"`
	Kind     string           `json:"kind"`
	Address  string           `json:"address"`
	Revision structs.Revision `json:"revision"`
	// Age is the time since an agent's last report. Entries are queried on each
	// request, so their Age is 0.
	Age structs.Duration `json:"age"`
	// Unknown is set when the process did not answer.
	Unknown bool `json:"unknown,omitempty"`
}

// Config reports the revisions of the answering entry and of each process.
type Config struct {
	Revision  structs.Revision `json:"revision"`
	Processes []Process        `json:"processes"`
}

// Backend is one service on one instance.
type Backend struct {
	Instance   structs.InstanceID `json:"instance"`
	Zone       structs.DataCentre `json:"data_centre"`
	Service    structs.Service    `json:"service"`
	Idempotent bool               `json:"idempotent"`
	Slots      int                `json:"slots"`
	InUse      int                `json:"in_use"`
	Leaving    bool               `json:"leaving"`
}

// Backends lists the services of all instances.
type Backends struct {
	Backends []Backend `json:"backends"`
}

// Instance is one instance as known to an entry.
type Instance struct {
	Instance structs.InstanceID `json:"instance"`
	Zone     structs.DataCentre `json:"data_centre"`
	Address  string             `json:"address"`
	Draining bool               `json:"draining"`
	Suspect  bool               `json:"suspect"`
	Free     structs.Resources  `json:"free"`
	Total    structs.Resources  `json:"total"`
	// Urgent counts the running urgent calls, Batch the running batch tasks.
	Urgent   int              `json:"urgent"`
	Batch    int              `json:"batch"`
	Revision structs.Revision `json:"revision"`
	Age      structs.Duration `json:"age"`
}

// Instances lists all known instances.
type Instances struct {
	Instances []Instance `json:"instances"`
}

// TimeLine holds the merged events of all processes that could be reached.
type TimeLine struct {
	Events []structs.Event `json:"events"`
	// Missing lists the processes that did not answer.
	Missing []string `json:"missing,omitempty"`
}
