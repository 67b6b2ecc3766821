// Package soak runs the real programs as processes on one machine, against a
// stand-in of the users' store and workers, and disturbs them from outside:
// signals to the processes, and loopback relays in their connections to the
// store and to the workers. The rules of package machines watch what workers
// are told to do and what clients are shown.
//
//	go test ./sessions/soak -soak.seeds 50 -soak.first 1 -soak.for 20s
package soak
