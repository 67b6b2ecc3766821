package decide

import (
	"fmt"
	"time"

	"persimmonrock.example/structs"
)

// Hold is the reason why a job or call was not placed or admitted.
type Hold struct {
	// Reason is for operators: "waits: share of customer X used up".
	Reason string
	// Refusal is the stable cause for programs, or "" for a job that only waits.
	Refusal structs.RefusalType
	// RetryAfter is the time after which a retry may succeed; 0 if the caller
	// must compute it from its queue (see RetryAfter) or if no retry can succeed.
	RetryAfter time.Duration
}

// Held reports whether h contains a reason.
func (h Hold) Held() bool { return h.Reason != "" }

// Reasons without a parameter, explained for operators in
// docs/notes/decisions.md.
const (
	ReasonNoFit         = "waits: no free place fits now"
	ReasonNoBackend     = "no backend server offers the service"
	ReasonBusy          = "all slots of the service are in use"
	ReasonDeadline      = "no backend server would answer before the deadline"
	ReasonLeaving       = "every backend server of the service is leaving"
	ReasonExcluded      = "every usable backend server was tried"
	ReasonNoWorkers     = "waits: no worker is known"
	ReasonAdmissionFull = "waits: instance has no free slot"
	ReasonReserved      = "waits: the free slots belong to other customers by right"
)

const gigabyte = 1_000_000_000

func holdShare(c structs.Customer) Hold {
	return Hold{
		Reason:  "waits: share of customer " + string(c) + " used up",
		Refusal: structs.RefusedShare,
	}
}

func holdNoContract(c structs.Customer) Hold {
	return Hold{
		Reason:  "waits: customer " + string(c) + " has no contract",
		Refusal: structs.RefusedForbidden,
	}
}

// holdImpossible names the resource of which the job needs more than any empty
// instance has. largest is the largest amount of each resource on one instance.
func holdImpossible(need, largest structs.Resources) Hold {
	h := Hold{Refusal: structs.RefusedNoCapacity}
	switch {
	case need.MemoryBytes > largest.MemoryBytes:
		h.Reason = fmt.Sprintf("no worker has %d GB", (need.MemoryBytes+gigabyte-1)/gigabyte)
	case need.MilliCores > largest.MilliCores:
		h.Reason = fmt.Sprintf("no worker has %d cores", (need.MilliCores+999)/1000)
	case need.Accelerators > largest.Accelerators:
		h.Reason = fmt.Sprintf("no worker has %d accelerators", need.Accelerators)
	case need.Slots > largest.Slots:
		h.Reason = fmt.Sprintf("no worker has %d slots", need.Slots)
	case need.Connections > largest.Connections:
		h.Reason = fmt.Sprintf("no worker has %d connections", need.Connections)
	default:
		h.Reason = "no worker has all that the job needs at once"
	}
	return h
}
