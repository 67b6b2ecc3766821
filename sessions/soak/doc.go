// Package soak runs the real programs as processes on one machine, against
// fakes of the users' store and workers, and injects faults from outside: by
// signals to the processes, and by loopback relays in their connections to the
// store and to the workers. The rules of package machines check the orders that
// workers receive and the states that clients observe.
//
//	go test ./sessions/soak -soak.seeds 50 -soak.first 1 -soak.for 20s
package soak
