// Package urgent serves urgent calls: it chooses an agent, sends the call,
// and decides after a failed attempt whether another attempt is safe.
//
// The decision depends on the flag mayHaveRun, which is false while every attempt
// so far is proved not to have started: the request was never sent, or the agent
// refused it before admission. Once the flag is true, a final refusal says
// unknown instead of not_run, and only an idempotent call is sent again. Only an
// idempotent call may have two attempts in flight: when the first is slower than
// the 95th percentile (hedge.go), or its agent is unresponsive (liveness.go).
package urgent
