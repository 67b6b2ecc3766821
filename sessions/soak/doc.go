// Package soak runs the real programs as processes on one machine, against
// fakes of the users' store and workers. It injects faults by signals to the
// processes, in the fakes, and in the connections to the fakes, which lead
// through loopback relays. The rules of package machines check the workers'
// actions and the states that clients observe.
//
//	go test ./sessions/soak -soak.seeds 50 -soak.first 1 -soak.for 20s
package soak
