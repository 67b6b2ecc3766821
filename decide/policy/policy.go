// Package policy defines the interface of a scheduling policy, a complete set of
// decisions, so that policies can be compared on the same workload. Predictive is
// the project's own policy; package baseline has simpler ones.
package policy

import (
	"time"

	"persimmonrock.example/decide"
	"persimmonrock.example/structs"
	"persimmonrock.example/wire"
)

// Agent is an instance as its own agent sees it: exact and without lag, except
// for the measured use of tasks and the service times.
type Agent struct {
	Index    int
	ID       structs.InstanceID
	Zone     structs.DataCentre
	Total    structs.Resources
	Free     structs.Resources
	Services []wire.ServiceLoad
	// Uses has one entry for each customer; only the slots in use are set.
	Uses []decide.SlotUse
	// Service, ServiceFree and ServiceUses are only set for AdmitUrgent: the
	// called service, its free slots, and the slots in use by customer.
	Service     structs.Service
	ServiceFree int
	ServiceUses []decide.SlotUse
	// Tasks and Pressure are only set for Relieve.
	Tasks    []decide.RunningTask
	Pressure []decide.ServicePressure
}

// Measurement is a delayed report on a service of an instance: the mean
// duration of the calls that ended between From and To.
type Measurement struct {
	Instance     int
	Service      structs.Service
	From, To     time.Duration
	ServiceTime  time.Duration
	Calls, Slots int
}

// Policy is one complete set of decisions. In all methods, now is a reading of
// the same clock.
type Policy interface {
	Name() string
	// ChooseUrgent chooses the candidate for an attempt of a call at the given
	// entry.
	ChooseUrgent(now time.Duration, entry int, q decide.UrgentQuery, cs []decide.Candidate) (int, decide.Hold)
	// AdmitUrgent and AdmitBatch make the final decision at the instance's
	// agent.
	AdmitUrgent(now time.Duration, a *Agent, c structs.Contract) bool
	AdmitBatch(now time.Duration, a *Agent, c structs.Contract, need structs.Resources) bool
	// Reserve returns the number of free slots withheld from batch tasks, for
	// the load report.
	Reserve(now time.Duration, a *Agent) int
	// Place chooses the jobs to start. Queue entries hold the declared size;
	// the policy may replace it by a better estimate.
	Place(now time.Duration, v *decide.BatchView, limit int) ([]decide.Placement, map[structs.JobID]decide.Hold)
	// Relieve returns the actions on the tasks of an instance.
	Relieve(now time.Duration, a *Agent) []decide.Action
	// RecordCall adds a call to a customer's retry budget. AllowRetry takes a
	// retry from the budget and reports whether the budget allowed one.
	RecordCall(now time.Duration, c structs.Customer)
	AllowRetry(now time.Duration, c structs.Customer) bool
	// ObserveMeasurement reports a delayed measurement.
	ObserveMeasurement(now time.Duration, m Measurement)
	// ObserveTasks reports that the running tasks of a kind, weighted by speed,
	// changed by delta. ObserveLoad reports a change of a service's slots in use.
	ObserveTasks(now time.Duration, instance int, k structs.Kind, delta float64)
	ObserveLoad(now time.Duration, instance int, s structs.Service, inUse int)
	// ObserveUsage reports the peak use of a run that completed, or (with ran 0) of
	// a run killed for using too much.
	ObserveUsage(c structs.Customer, k structs.Kind, used structs.Resources, ran time.Duration)
	// ObserveEnd reports a run that completed (ok) or failed. It isn't called for a
	// run that was stopped.
	ObserveEnd(now time.Duration, instance structs.InstanceID, k structs.Kind, ok bool)
}
