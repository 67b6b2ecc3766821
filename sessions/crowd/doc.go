// Package crowd plays crowds of clients that don't behave against the real
// programs: heads without end, bodies that stop short, connections that stay
// open. The tests check that the process lives, that its memory and descriptors
// stay within its machine, and that an ordinary client is served beside the
// crowd. They need the machine for themselves and so have a build tag:
//
//	go test -tags crowd -count=1 ./sessions/crowd
package crowd
