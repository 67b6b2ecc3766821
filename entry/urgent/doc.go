// Package urgent serves urgent calls: it chooses an agent, sends the call,
// and decides after a failed attempt whether another attempt is safe.
//
// The flag mayHaveRun decides this. It is false while every attempt so far is
// proved not to have started: the request was never sent, or the agent refused
// it before admission. Only while it is false may a final refusal say not_run,
// and a call that is not idempotent be sent again. Only an idempotent call has
// two attempts in flight at once: when the first is slower than the 95th
// percentile (hedge.go), or its agent is unresponsive (liveness.go).
package urgent
