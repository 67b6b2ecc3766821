package backend

import "persimmonrock.example/structs"

// Headers of a request from an agent to its backend server, and of the answer.
const (
	// HeaderRequest carries the request's ID, in both directions.
	HeaderRequest = "Persimmonrock-Request"
	// HeaderAgent carries the agent's incarnation.
	HeaderAgent = "Persimmonrock-Agent-Incarnation"
	// HeaderBackend carries the incarnation of the server that is addressed.
	HeaderBackend = "Persimmonrock-Backend-Incarnation"
	// HeaderCustomer carries the customer for which the request runs.
	HeaderCustomer = "Persimmonrock-Customer"
	// HeaderRefused carries the Refusal of a request that the guard refused.
	HeaderRefused = "Persimmonrock-Refused"
)

// Refusal is the reason why a backend server's guard did not run a request.
type Refusal string

// The guard's refusals. All but RefusedActive prove that this request has not
// run and never will on this server.
const (
	// RefusedFenced: the request has no ID, or not the current incarnations of
	// agent and server.
	RefusedFenced Refusal = "fenced"
	// RefusedVoid: the agent has declared the request void before it arrived.
	RefusedVoid Refusal = "void"
	// RefusedActive: a request with this ID runs already.
	RefusedActive Refusal = "active"
	// RefusedLeaving: the server accepts no new requests before its stop.
	RefusedLeaving Refusal = "leaving"
	// RefusedFull: all slots are in use.
	RefusedFull Refusal = "full"
	// RefusedBody: the request's body did not arrive whole.
	RefusedBody Refusal = "body"
)

// Announcement is the body of PUT /v1/backends/{name}.
type Announcement struct {
	Service structs.Service `json:"service"`
	// Address is the base URL of the server and CallPath the path of calls.
	Address    string `json:"address"`
	CallPath   string `json:"call_path,omitempty"`
	Idempotent bool   `json:"idempotent,omitempty"`
	// Slots is the number of requests that may run at once.
	Slots       int   `json:"slots"`
	Connections int   `json:"connections"`
	MemoryBytes int64 `json:"memory_bytes,omitempty"`
	// Incarnation is higher for each process that serves under this name. A
	// process may announce itself only after the previous one has ended.
	Incarnation uint64 `json:"incarnation"`
	// Sequence rises with each announcement of one incarnation.
	Sequence uint64 `json:"sequence"`
	// AgentIncarnation is the agent incarnation whose requests are accepted.
	AgentIncarnation structs.Incarnation `json:"agent_incarnation"`
	// AgentSession repeats Answer.AgentSession of the accepted agent.
	AgentSession string `json:"agent_session,omitempty"`
	// Peers repeats the peers of the last answer.
	Peers map[string]int `json:"peers,omitempty"`
	// Answered is the number of the last answer that the server had carried out
	// when it listed Active.
	Answered uint64 `json:"answered"`
	// Active are the IDs of all requests that run.
	Active []structs.RequestID `json:"active"`
	// Leaving asks the agent to send no new requests.
	Leaving bool `json:"leaving,omitempty"`
}

// Answer is the agent's answer to an announcement.
type Answer struct {
	// AgentIncarnation is the only agent incarnation to accept requests from.
	AgentIncarnation structs.Incarnation `json:"agent_incarnation"`
	// AgentSession is unique to the agent's process. It distinguishes the agent
	// that a server has accepted from another with the same incarnation.
	AgentSession string `json:"agent_session"`
	// Number rises with each answer.
	Number uint64 `json:"number"`
	// Void are requests that the server must refuse if they arrive later.
	Void []structs.RequestID `json:"void,omitempty"`
	// Peers are the other servers of the instance, by name, with their slots. A
	// new agent reserves the slots of the peers that have not yet announced
	// themselves to it.
	Peers map[string]int `json:"peers,omitempty"`
	// Ready says that the agent sends requests to the server.
	Ready bool `json:"ready"`
	// Next is the time until the agent expects the next announcement.
	Next structs.Duration `json:"next"`
}

// Status is the answer to GET and DELETE of /v1/backends/{name}.
type Status struct {
	Leaving bool `json:"leaving"`
	// InUse is the number of slots in use.
	InUse int `json:"in_use"`
	// Safe says that the server is leaving and nothing runs on it.
	Safe bool `json:"safe"`
}

// Problem is the body of an error of the announcement API.
type Problem struct {
	Detail string `json:"detail"`
	// Incarnation is the highest incarnation that the agent has observed under
	// the name, if the announced incarnation was lower.
	Incarnation uint64 `json:"incarnation,omitempty"`
}
