package agent

import (
	"net/http"
	"time"

	"persimmonrock.example/agent/ledger"
	"persimmonrock.example/structs"
)

// Delays after which a refused caller may retry.
const (
	retrySoon  = 100 * time.Millisecond
	retryDial  = time.Second
	retryDrain = 2 * time.Second
)

// refusalText is the refusal for a Reason of the ledger. Every Reason but
// Duplicate proves that the request did not run: after Duplicate, the first
// request with that ID may run.
type refusalText struct {
	kind    structs.RefusalType
	outcome structs.Outcome
	detail  string
	after   time.Duration
}

var admissionRefusals = map[ledger.Reason]refusalText{
	ledger.Draining:       {structs.RefusedDraining, structs.NotRun, "the instance is stopping", retryDrain},
	ledger.UnknownService: {structs.RefusedUnknownService, structs.NotRun, "no backend server here offers the service", retryDrain},
	ledger.NotReady:       {structs.RefusedNotReady, structs.NotRun, "the backend server has not announced itself lately", retryDial},
	ledger.Leaving:        {structs.RefusedDraining, structs.NotRun, "the backend server is leaving", retryDrain},
	ledger.Full:           {structs.RefusedNoCapacity, structs.NotRun, "all slots are taken", retrySoon},
	ledger.Share:          {structs.RefusedShare, structs.NotRun, "the customer's share of this instance is used up", retrySoon},
	ledger.NoContract:     {structs.RefusedForbidden, structs.NotRun, "the customer has no contract", 0},
	ledger.Duplicate:      {structs.RefusedInProgress, structs.Unknown, "a request with this ID runs already", 0},
	ledger.Late:           {structs.RefusedDeadline, structs.NotRun, "the time left is shorter than a call takes", retrySoon},
}

// refusalStatus is the HTTP status of each type; the rest are 503.
var refusalStatus = map[structs.RefusalType]int{
	structs.RefusedBadRequest:     http.StatusBadRequest,
	structs.RefusedTooLarge:       http.StatusRequestEntityTooLarge,
	structs.RefusedForbidden:      http.StatusForbidden,
	structs.RefusedUnknownService: http.StatusNotFound,
	structs.RefusedShare:          http.StatusTooManyRequests,
	structs.RefusedInProgress:     http.StatusConflict,
	structs.RefusedDeadline:       http.StatusGatewayTimeout,
	structs.RefusedAnswerCut:      http.StatusBadGateway,
	structs.RefusedAnswerLost:     http.StatusBadGateway,
}

func (a *Agent) refusal(t structs.RefusalType, o structs.Outcome, detail string, after time.Duration) *structs.Refusal {
	status := refusalStatus[t]
	if status == 0 {
		status = http.StatusServiceUnavailable
	}
	return &structs.Refusal{
		Type: t, Status: status, Outcome: o, Detail: detail, RetryAfter: after,
		Step: "Agent.Call", Peer: string(a.config.Instance),
	}
}
