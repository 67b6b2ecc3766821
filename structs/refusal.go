package structs

import (
	"fmt"
	"time"
)

// Outcome states whether a request without a result may have run.
type Outcome string

// NotRun guarantees that the request has not started and never will. Unknown
// guarantees nothing.
const (
	NotRun  Outcome = "not_run"
	Unknown Outcome = "unknown"
)

// RefusalType is the stable machine-readable cause of a refusal. It is the last
// segment of the problem document's "type" URI.
type RefusalType string

// The causes of refusals.
const (
	RefusedUnauthorised    RefusalType = "unauthorised"
	RefusedForbidden       RefusalType = "forbidden"
	RefusedNotFound        RefusalType = "not-found"
	RefusedUnknownService  RefusalType = "unknown-service"
	RefusedBadRequest      RefusalType = "bad-request"
	RefusedTooLarge        RefusalType = "too-large"
	RefusedDeadline        RefusalType = "deadline"
	RefusedNoCapacity      RefusalType = "no-capacity"
	RefusedNoMemory        RefusalType = "no-memory"
	RefusedShare           RefusalType = "share-used-up"
	RefusedQueueFull       RefusalType = "queue-full"
	RefusedDraining        RefusalType = "draining"
	RefusedStore           RefusalType = "store-unavailable"
	RefusedConflict        RefusalType = "conflict"
	RefusedStaleConfig     RefusalType = "stale-configuration"
	RefusedNotOwner        RefusalType = "not-owner"
	RefusedFenced          RefusalType = "fenced"
	RefusedUnreachable     RefusalType = "unreachable"
	RefusedRetryBudget     RefusalType = "retry-budget"
	RefusedAnswerLost      RefusalType = "answer-lost"
	RefusedAnswerCut       RefusalType = "answer-cut"
	RefusedInProgress      RefusalType = "in-progress"
	RefusedKeyReused       RefusalType = "key-reused"
	RefusedNotReady        RefusalType = "not-ready"
	RefusedInternal        RefusalType = "internal"
	RefusedMethod          RefusalType = "method-not-allowed"
	RefusedPrecondition    RefusalType = "precondition"
	RefusedQuarantine      RefusalType = "quarantined"
	RefusedUnsupportedKind RefusalType = "unsupported-kind"
)

// Refusal is the typed final answer to a request without a result. Processes
// send it over net/rpc as a value; callers receive it as an RFC 9457 document.
type Refusal struct {
	Type    RefusalType
	Status  int
	Outcome Outcome
	Detail  string
	// RetryAfter is the time after which a retry may succeed; 0 if none can.
	RetryAfter time.Duration
	// Step and Peer name the refused operation and the process concerned.
	Step string
	Peer string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("%s: %s (%s) at %s of %s", r.Type, r.Detail, r.Outcome, r.Step, r.Peer)
}
